//! Loads that meet targets which do not answer: one dead target, a cut between data centres, a pause of
//! this process, and busy targets that only look dead.

use crate::support::{CLAIM, FEED, data, deliver, establish, flow, open, opening, router, target};
use jasminecart_core::flow::token::{ResetCause, TokenRouter, Verdict};
use jasminecart_core::version::TargetChange;
use jasminecart_core::{Millis, Name};
use test_case::test_case;

/// The times at which a client repeats an opening or a part of a request, after the first.
const REPEATS: [Millis; 2] = [Millis(200), Millis(600)];

fn two_data_centres() -> TokenRouter {
    let near = ["n1", "n2"].map(|name| target(name, "desk", "east", 1));
    let far = ["f1", "f2", "f3"].map(|name| target(name, "desk", "west", 1));
    router(near.into_iter().chain(far))
}

/// Sends a request on an open flow and returns the verdict on its repetition after `wait`.
fn repeat(
    router: &mut TokenRouter,
    sent_at: Millis,
    wait: Millis,
    port: u16,
    service: std::net::SocketAddrV4,
    target: &Name,
) -> Verdict {
    let segment = data(flow(port, service), target, 101, 1, 200);
    if wait == REPEATS[0] {
        deliver(router, sent_at, &segment);
    }
    deliver(router, sent_at + wait, &segment)
}

/// Pattern: a claim's opening meets a dead target. Its copy after 200 ms opens elsewhere, and the openings
/// that follow avoid the target.
#[test]
fn the_copy_of_an_opening_goes_elsewhere_and_others_follow() {
    let mut router = router(["a1", "a2", "a3"].map(|name| target(name, "desk", "east", 1)));
    let dead = open(&mut router, Millis(0), flow(1, CLAIM), 0).target;
    let decision = open(&mut router, Millis(200), flow(1, CLAIM), 1);
    assert_ne!(decision.target, dead);
    assert_eq!(decision.instead_of, Some(dead.clone()));
    for port in 2..60 {
        let decision = open(&mut router, Millis(210), flow(port, CLAIM), 0);
        assert_ne!(decision.target, dead, "a claim went to a target suspected 10 ms before");
    }
    assert_eq!(router.counters().suspicions, 1);
}

/// Pattern: a target is back after a pause. One repeatable flow tries it, a claim does not, and the first
/// answer ends the suspicion.
#[test]
fn a_silent_target_is_tried_by_one_repeatable_flow() {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    let dead = open(&mut router, Millis(0), flow(1, CLAIM), 0).target;
    open(&mut router, Millis(200), flow(1, CLAIM), 1);
    // The other target takes everything, so that its load speaks for the silent one.
    for port in 2..40 {
        establish(&mut router, Millis(300), flow(port, CLAIM));
    }
    let claim = open(&mut router, Millis(1_300), flow(50, CLAIM), 0);
    assert_ne!(claim.target, dead, "a claim must not find out whether a target is back");
    let trial = open(&mut router, Millis(1_310), flow(51, FEED), 0);
    assert_eq!(trial.target, dead, "a feed tries the silent target");
    let second = open(&mut router, Millis(1_320), flow(52, FEED), 0);
    assert_ne!(second.target, dead, "only one flow tries it");
    router.on_segment(Millis(1_330), &data(flow(51, FEED), &dead, 101, 1, 0));
    let claim = open(&mut router, Millis(1_340), flow(53, CLAIM), 0);
    assert_eq!(claim.target, dead, "an answer ends the suspicion at once");
}

/// A trial whose client goes away has no outcome, and another one follows. Without a bound the target would
/// get no flow any more.
#[test]
fn a_trial_without_an_outcome_is_repeated() {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    let dead = open(&mut router, Millis(0), flow(1, CLAIM), 0).target;
    open(&mut router, Millis(200), flow(1, CLAIM), 1);
    for port in 2..40 {
        establish(&mut router, Millis(300), flow(port, CLAIM));
    }
    for trial in [1_300, 2_400, 3_500] {
        let tried = open(&mut router, Millis(trial), flow(trial as u16, FEED), 0);
        assert_eq!(tried.target, dead, "no trial at {trial} ms");
        let second = open(&mut router, Millis(trial + 10), flow(trial as u16 + 1, FEED), 0);
        assert_ne!(second.target, dead, "a second trial at {trial} ms");
    }
}

/// Pattern: feeds wait for a target that died. Their clients are told to go elsewhere before the deadline.
#[test]
fn feeds_of_a_dead_target_are_reset_and_claims_are_not() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    for port in 2..6 {
        establish(&mut router, Millis(10), flow(port, if port < 4 { FEED } else { CLAIM }));
    }
    router.change_target(Millis(20), TargetChange::Written(target("a2", "desk", "east", 200)));
    for port in 1..4 {
        repeat(&mut router, Millis(1_000), REPEATS[0], port, FEED, &name);
    }
    let claim = repeat(&mut router, Millis(1_001), REPEATS[0], 4, CLAIM, &name);
    assert!(matches!(claim, Verdict::Forward(_)), "a claim that may be running was ended");
    // Another target answers, so that packets do leave this VM.
    establish(&mut router, Millis(1_300), flow(9, FEED));
    let feed = repeat(&mut router, Millis(1_000), REPEATS[1], 1, FEED, &name);
    assert_eq!(feed, Verdict::Reset(ResetCause::TargetSilent));
}

/// False alarm to avoid: the link of this VM is full, so that no packet of it reaches any target (resets of
/// flows whose targets served, while a reader shared a large configuration over 10 Mbit/s).
#[test]
fn a_vm_whose_packets_do_not_leave_resets_nothing() {
    let mut router = router(["a1", "a2", "a3"].map(|name| target(name, "desk", "east", 1)));
    let names: Vec<Name> =
        (1..10).map(|port| establish(&mut router, Millis(10), flow(port, FEED))).collect();
    for wait in [0, 200, 600, 1_400] {
        for (port, name) in (1..10).zip(&names) {
            let segment = data(flow(port, FEED), name, 101, 1, 200);
            let verdict = deliver(&mut router, Millis(1_000 + wait), &segment);
            assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
        }
    }
}

/// False alarm to avoid: a busy target answers one client while another one waits and repeats.
#[test]
fn a_target_that_answers_anyone_is_not_silent() {
    let mut router = router(["a1"].map(|name| target(name, "desk", "east", 1)));
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    for port in 2..20 {
        establish(&mut router, Millis(10), flow(port, FEED));
    }
    for port in 2..20 {
        router.on_segment(Millis(1_000), &data(flow(port, FEED), &name, 101, 1, 200));
    }
    // The answer to the first client arrives after the others have sent their requests.
    router.on_segment(Millis(1_100), &data(flow(1, FEED), &name, 101, 900, 0));
    for wait in REPEATS {
        for port in 2..20 {
            let segment = data(flow(port, FEED), &name, 101, 1, 200);
            let verdict = deliver(&mut router, Millis(1_000) + wait, &segment);
            assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
        }
    }
    assert_eq!(router.counters().suspicions, 0);
}

/// False alarm to avoid: this process was frozen and reads originals and repetitions in one go.
#[test]
fn a_pause_of_this_process_proves_nothing() {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    let woken = Millis(9_000);
    for copy in 0..3 {
        open(&mut router, woken, flow(2, CLAIM), copy);
    }
    for _ in 0..4 {
        let verdict = router.on_segment(woken, &data(flow(1, FEED), &name, 101, 1, 200));
        assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
    }
    assert_eq!(router.counters().suspicions, 0);
}

/// False alarm to avoid: a VM that can't keep up with its packets reads a repetition long after the original,
/// although both waited together (31 flows of live targets were reset by a VM that read a large configuration).
#[test]
fn a_vm_that_cannot_keep_up_proves_nothing() {
    let mut router = router(["a1"].map(|name| target(name, "desk", "east", 1)));
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    for port in 2..9 {
        establish(&mut router, Millis(10), flow(port, FEED));
    }
    router.set_receive_queue_empty(Millis(900));
    for step in 0..3 {
        for port in 1..9 {
            let now = Millis(1_400 + 250 * step);
            let verdict = router.on_segment(now, &data(flow(port, FEED), &name, 101, 1, 200));
            assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
        }
    }
    assert_eq!(router.counters().suspicions, 0);
}

/// Pattern: a cut between data centres. Evidence against some of its targets keeps new flows from all of
/// them, and an answer of one of them ends that.
#[test]
fn a_cut_data_centre_is_avoided_as_a_whole() {
    let mut router = two_data_centres();
    let far = |name: &Name| name.as_str().starts_with('f');
    // Open many flows, so that the targets of the other data centre get some.
    let mut waiting = Vec::new();
    for port in 1..60 {
        let decision = open(&mut router, Millis(0), flow(port, FEED), 0);
        if far(&decision.target) {
            waiting.push((port, decision.target));
        } else {
            router.on_segment(Millis(2), &data(flow(port, FEED), &decision.target, 101, 1, 0));
        }
    }
    assert!(waiting.len() > 5, "{} flows to the other data centre", waiting.len());
    for (port, _) in &waiting {
        deliver(&mut router, Millis(200), &opening(flow(*port, FEED), 1));
    }
    for port in 100..200 {
        let decision = open(&mut router, Millis(210), flow(port, CLAIM), 0);
        assert!(!far(&decision.target), "{} is behind the cut", decision.target);
    }
    let (port, name) = &waiting[0];
    router.on_segment(Millis(220), &data(flow(*port, FEED), name, 101, 1, 0));
    let again =
        (300..400).any(|port| far(&open(&mut router, Millis(230), flow(port, CLAIM), 0).target));
    assert!(again, "the data centre answers again and gets no flows");
}

/// A floor under the suspicion: when every target is suspected, flows still go to one of them.
#[test_case(1; "one target")]
#[test_case(4; "four targets")]
fn flows_are_never_refused_because_all_targets_are_suspected(count: u16) {
    let targets = (0..count).map(|number| target(&format!("a{number}"), "desk", "east", 1));
    let mut router = router(targets);
    for port in 1..40 {
        open(&mut router, Millis(0), flow(port, CLAIM), 0);
    }
    for port in 1..40 {
        open(&mut router, Millis(200), flow(port, CLAIM), 1);
    }
    let decision = open(&mut router, Millis(210), flow(99, CLAIM), 0);
    assert!(decision.choice.all_suspect);
}
