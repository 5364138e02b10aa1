//! Tests of the detection of silent targets: one dead target, partitioned data centres, a pause of this
//! process, and busy targets that only appear dead.

use crate::support::{CLAIM, FEED, data, deliver, establish, flow, open, opening, router, target};
use jasminecart_core::flow::token::{ResetCause, TokenRouter, Verdict};
use jasminecart_core::version::TargetChange;
use jasminecart_core::{Millis, Name};
use test_case::test_case;

/// When a client retransmits a SYN or a data segment, counted from the first transmission.
const RETRANSMIT_AFTER: [Millis; 2] = [Millis(200), Millis(600)];

fn two_data_centres() -> TokenRouter {
    let near = ["n1", "n2"].map(|name| target(name, "desk", "east", 1));
    let far = ["f1", "f2", "f3"].map(|name| target(name, "desk", "west", 1));
    router(near.into_iter().chain(far))
}

/// Retransmits a request on an open flow after `wait`, and returns the verdict on that segment. The first
/// retransmission is preceded by the original.
fn retransmit(
    router: &mut TokenRouter,
    sent_at: Millis,
    wait: Millis,
    port: u16,
    service: std::net::SocketAddrV4,
    target: &Name,
) -> Verdict {
    let segment = data(flow(port, service), target, 101, 1, 200);
    if wait == RETRANSMIT_AFTER[0] {
        deliver(router, sent_at, &segment);
    }
    deliver(router, sent_at + wait, &segment)
}

/// Guards against openings that are lost at a dead target. The retransmitted SYN of a claim, 200 ms later, goes to
/// another target, and the openings that follow avoid the dead one.
#[test]
fn a_retransmitted_opening_and_those_after_it_avoid_a_dead_target() {
    let mut router = router(["a1", "a2", "a3"].map(|name| target(name, "desk", "east", 1)));
    let dead = open(&mut router, Millis(0), flow(1, CLAIM), 0).target;
    let decision = open(&mut router, Millis(200), flow(1, CLAIM), 1);
    assert_ne!(decision.target, dead);
    assert_eq!(decision.instead_of, Some(dead.clone()));
    for port in 2..60 {
        let decision = open(&mut router, Millis(210), flow(port, CLAIM), 0);
        assert_ne!(
            decision.target, dead,
            "a claim went to a target that became suspect 10 ms before"
        );
    }
    assert_eq!(router.counters().suspicions, 1);
}

/// Guards against claims that are lost while a VM finds out whether a silent target responds again. One repeatable
/// flow probes the target, and its first response ends the suspicion.
#[test]
fn a_silent_target_is_probed_by_one_repeatable_flow() {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    let dead = open(&mut router, Millis(0), flow(1, CLAIM), 0).target;
    open(&mut router, Millis(200), flow(1, CLAIM), 1);
    // The other target gets every flow, so that the silent one has the lower load and would be selected.
    for port in 2..40 {
        establish(&mut router, Millis(300), flow(port, CLAIM));
    }
    let claim = open(&mut router, Millis(1_300), flow(50, CLAIM), 0);
    assert_ne!(claim.target, dead, "a claim probed a silent target");
    let probe = open(&mut router, Millis(1_310), flow(51, FEED), 0);
    assert_eq!(probe.target, dead, "no feed probed the silent target");
    let second = open(&mut router, Millis(1_320), flow(52, FEED), 0);
    assert_ne!(second.target, dead, "a second flow probed the silent target");
    router.on_segment(Millis(1_330), &data(flow(51, FEED), &dead, 101, 1, 0));
    let claim = open(&mut router, Millis(1_340), flow(53, CLAIM), 0);
    assert_eq!(claim.target, dead, "a response did not end the suspicion");
}

/// Guards against a target that gets no flows for good after a probe flow without an outcome, because its
/// client went away: another probe flow has to follow after a bounded time.
#[test]
fn a_probe_flow_without_an_outcome_is_followed_by_another() {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    let dead = open(&mut router, Millis(0), flow(1, CLAIM), 0).target;
    open(&mut router, Millis(200), flow(1, CLAIM), 1);
    for port in 2..40 {
        establish(&mut router, Millis(300), flow(port, CLAIM));
    }
    for at in [1_300, 2_400, 3_500] {
        let probe = open(&mut router, Millis(at), flow(at as u16, FEED), 0);
        assert_eq!(probe.target, dead, "no probe flow at {at} ms");
        let second = open(&mut router, Millis(at + 10), flow(at as u16 + 1, FEED), 0);
        assert_ne!(second.target, dead, "a second probe flow at {at} ms");
    }
}

/// Guards against feeds that wait for a dead target until their deadline: they are reset, so that their clients
/// reconnect before it. A claim may be running and must not be reset.
#[test]
fn feeds_of_a_dead_target_are_reset_and_claims_are_not() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    for port in 2..6 {
        establish(&mut router, Millis(10), flow(port, if port < 4 { FEED } else { CLAIM }));
    }
    router.change_target(Millis(20), TargetChange::Written(target("a2", "desk", "east", 200)));
    for port in 1..4 {
        retransmit(&mut router, Millis(1_000), RETRANSMIT_AFTER[0], port, FEED, &name);
    }
    let claim = retransmit(&mut router, Millis(1_001), RETRANSMIT_AFTER[0], 4, CLAIM, &name);
    assert!(matches!(claim, Verdict::Forward(_)), "a claim that may be running was reset");
    // Another target responds, which shows that packets of this VM reach targets.
    establish(&mut router, Millis(1_300), flow(9, FEED));
    let feed = retransmit(&mut router, Millis(1_000), RETRANSMIT_AFTER[1], 1, FEED, &name);
    assert_eq!(feed, Verdict::Reset(ResetCause::TargetSilent));
}

/// Guards against a false suspicion when the link of this VM is full, so that its packets reach no target. It
/// reset flows of live targets while a reader shared a large configuration over 10 Mbit/s.
#[test]
fn a_vm_whose_packets_reach_no_target_resets_nothing() {
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

/// Guards against a false suspicion of a busy target that responds to one client while others wait and retransmit.
#[test]
fn a_target_that_responds_to_one_client_is_not_silent() {
    let mut router = router(["a1"].map(|name| target(name, "desk", "east", 1)));
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    for port in 2..20 {
        establish(&mut router, Millis(10), flow(port, FEED));
    }
    for port in 2..20 {
        router.on_segment(Millis(1_000), &data(flow(port, FEED), &name, 101, 1, 200));
    }
    // The response to the first client arrives after the others have sent their requests.
    router.on_segment(Millis(1_100), &data(flow(1, FEED), &name, 101, 900, 0));
    for wait in RETRANSMIT_AFTER {
        for port in 2..20 {
            let segment = data(flow(port, FEED), &name, 101, 1, 200);
            let verdict = deliver(&mut router, Millis(1_000) + wait, &segment);
            assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
        }
    }
    assert_eq!(router.counters().suspicions, 0);
}

/// Guards against a false suspicion after a pause of this process, which then reads original and retransmitted
/// segments at once.
#[test]
fn retransmissions_read_after_a_pause_raise_no_suspicion() {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    let resumed = Millis(9_000);
    for copy in 0..3 {
        open(&mut router, resumed, flow(2, CLAIM), copy);
    }
    for _ in 0..4 {
        let verdict = router.on_segment(resumed, &data(flow(1, FEED), &name, 101, 1, 200));
        assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
    }
    assert_eq!(router.counters().suspicions, 0);
}

/// Guards against a false suspicion at a VM that cannot keep up with its packets: it reads a retransmission
/// long after the original although both waited in the receive queue. 31 flows of live targets were reset by a
/// VM that read a large configuration.
#[test]
fn retransmissions_read_from_a_backlog_raise_no_suspicion() {
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

/// Guards against flows that are lost one target at a time when data centres are partitioned. Suspicion of some
/// targets of a data centre keeps new flows from all of them, until one of them responds.
#[test]
fn a_partitioned_data_centre_is_avoided_as_a_whole() {
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
        assert!(
            !far(&decision.target),
            "a claim went to {} in the partitioned data centre",
            decision.target
        );
    }
    let (port, name) = &waiting[0];
    router.on_segment(Millis(220), &data(flow(*port, FEED), name, 101, 1, 0));
    let again =
        (300..400).any(|port| far(&open(&mut router, Millis(230), flow(port, CLAIM), 0).target));
    assert!(again, "the data centre responds again and gets no flows");
}

/// Guards against refused flows when every target is suspect: they still go to one of them.
#[test_case(1; "one target")]
#[test_case(4; "four targets")]
fn flows_are_accepted_although_all_targets_are_suspect(count: u16) {
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
