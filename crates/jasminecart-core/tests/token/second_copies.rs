//! Tests of second copies of openings: when one is sent, where to, and what limits it.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::support::{CLAIM, FEED, data, deliver, flow, opening, router, target};
use jasminecart_core::flow::token::{
    Destination, RoutingToken, SecondCopyEvent, SecondCopyRefusal, SecondCopyTiming, TokenRouter,
    Verdict,
};
use jasminecart_core::second_copies::SecondCopyLimit;
use jasminecart_core::{Millis, Name};
use test_case::test_case;

const DELAY: Millis = Millis(50);

fn limited(share: f64, burst: u32) -> TokenRouter {
    let near = ["n1", "n2", "n3"].map(|name| target(name, "desk", "east", 1));
    let far = ["f1", "f2", "f3"].map(|name| target(name, "desk", "west", 1));
    let mut router = router(near.into_iter().chain(far));
    router.set_second_copy_limit(SecondCopyLimit::new(share, burst).expect("valid"));
    router.set_second_copy_timing(SecondCopyTiming::Fixed(DELAY));
    router
}

/// Opens flows whose clients follow up after 5 ms, so that the budget fills and handshake times are known.
fn fill(router: &mut TokenRouter, at: u64, count: u16) {
    for port in 0..count {
        let now = Millis(at + u64::from(port));
        let name = first_copy(router, now, 1_000 + port, CLAIM);
        router.on_segment(now + Millis(5), &data(flow(1_000 + port, CLAIM), &name, 101, 1, 0));
    }
    for port in 0..count {
        let now = Millis(at + u64::from(count));
        let name = first_copy(router, now, 5_000 + port, FEED);
        router.on_segment(now + Millis(5), &data(flow(5_000 + port, FEED), &name, 101, 1, 0));
    }
    router.due_second_copies(Millis(at + u64::from(count)) + DELAY);
    router.take_second_copy_events();
}

fn first_copy(router: &mut TokenRouter, now: Millis, port: u16, service: SocketAddrV4) -> Name {
    let verdict = deliver(router, now, &opening(flow(port, service), 0));
    assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
    router.take_decision().expect("a target was selected").target
}

fn sent(router: &mut TokenRouter, now: Millis) -> Vec<Destination> {
    router.set_receive_queue_empty(now);
    router.due_second_copies(now).into_iter().filter_map(|copy| copy.destination).collect()
}

fn name_of(destination: Destination) -> Name {
    let names = ["n1", "n2", "n3", "f1", "f2", "f3"].map(Name::new);
    let of = |name: &Name| RoutingToken::of(name, FEED) == destination.token;
    names.into_iter().find(of).expect("a known target")
}

/// Guards against changed behaviour where no share is set: no copy is scheduled, sent or counted.
#[test]
fn without_a_share_nothing_is_sent() {
    let mut router = limited(0.0, 10);
    fill(&mut router, 0, 200);
    first_copy(&mut router, Millis(1_000), 1, FEED);
    assert!(!router.awaits_second_copy(Millis(1_000), &flow(1, FEED)));
    assert_eq!(router.next_second_copy_at(), None);
    assert!(sent(&mut router, Millis(1_050)).is_empty());
    deliver(&mut router, Millis(1_200), &opening(flow(1, FEED), 1));
    assert_eq!(router.take_immediate_second_copy(), None);
    assert!(router.take_second_copy_events().is_empty());
}

/// Guards against a second copy to the target, or the data centre, that did not respond; against one for work
/// that may run once; and against one for an opening that the client followed up.
#[test]
fn only_an_unanswered_repeatable_opening_gets_a_second_copy_elsewhere() {
    let mut router = limited(10.0, 10);
    fill(&mut router, 0, 200);
    let silent = first_copy(&mut router, Millis(1_000), 1, FEED);
    first_copy(&mut router, Millis(1_000), 2, CLAIM);
    let answered = first_copy(&mut router, Millis(1_000), 3, FEED);
    router.on_segment(Millis(1_005), &data(flow(3, FEED), &answered, 101, 1, 0));
    assert!(sent(&mut router, Millis(1_049)).is_empty(), "a copy was sent before it was due");
    let copies = sent(&mut router, Millis(1_050));
    assert_eq!(copies.len(), 1);
    let second = name_of(copies[0]);
    assert_ne!(silent.as_str().get(..1), second.as_str().get(..1), "the same data centre");
    let third = deliver(&mut router, Millis(1_200), &opening(flow(1, FEED), 1));
    let Verdict::Forward(third) = third else { panic!("{third:?}") };
    assert!(![silent, second].contains(&name_of(third)), "a target got two copies");
}

/// Guards against a flow that is split between two targets which both responded: it stays with the one whose
/// token was echoed first.
#[test_case(true; "the target of the second copy first")]
#[test_case(false; "the target of the first copy first")]
fn a_flow_stays_with_the_target_that_was_echoed_first(second_first: bool) {
    let mut router = limited(10.0, 10);
    fill(&mut router, 0, 200);
    let first = first_copy(&mut router, Millis(1_000), 1, FEED);
    let second = name_of(sent(&mut router, Millis(1_050))[0]);
    let (winner, loser) = if second_first { (second, first) } else { (first, second) };
    for (at, echoed) in [(1_060, &winner), (1_070, &loser), (1_080, &winner), (1_090, &loser)] {
        let segment = data(flow(1, FEED), echoed, at as u32, 1, 200);
        let verdict = router.on_segment(Millis(at), &segment);
        let Verdict::Forward(destination) = verdict else { panic!("{verdict:?}") };
        assert_eq!(name_of(destination), winner);
    }
    assert_eq!(router.counters().second_copies_won, u64::from(second_first));
}

/// Guards against extra work beyond the limit, when no target responds and the budget is all that limits copies.
#[test_case(1.0, 3)]
#[test_case(20.0, 1)]
fn copies_stay_within_share_and_burst(share: f64, burst: u32) {
    let mut router = limited(share, burst);
    fill(&mut router, 0, 300);
    let mut copies = 0;
    for round in 0..400u16 {
        let now = Millis(1_000 + 10 * u64::from(round));
        first_copy(&mut router, now, 10_000 + round, FEED);
        copies += sent(&mut router, now).len();
    }
    assert!(copies as f64 <= share * 4.0 + f64::from(burst), "{copies} copies of 400 openings");
    let events = router.take_second_copy_events();
    let withheld = |event: &&SecondCopyEvent| matches!(event, SecondCopyEvent::Withheld { .. });
    assert!(events.iter().any(|event| withheld(&event)));
}

/// Guards against copies that a paused or busy VM sends although the client may have followed up, and against a
/// delay that is derived from too few handshakes.
#[test]
fn late_copies_are_withheld() {
    let mut router = limited(10.0, 10);
    router.set_second_copy_timing(SecondCopyTiming::Adaptive);
    first_copy(&mut router, Millis(0), 1, FEED);
    assert_eq!(router.next_second_copy_at(), None);
    fill(&mut router, 10, 200);
    first_copy(&mut router, Millis(1_000), 2, FEED);
    let due_at = router.next_second_copy_at().expect("a copy is due");
    assert!((1_020..=1_150).contains(&due_at.get()), "{due_at}");
    assert!(sent(&mut router, due_at + Millis(60)).is_empty());
    let events = router.take_second_copy_events();
    let late = |event: &SecondCopyEvent| {
        matches!(event, SecondCopyEvent::Withheld { refusal: SecondCopyRefusal::Late, .. })
    };
    assert!(events.iter().any(late), "{events:?}");
}

/// Guards against a dead target that second copies hide, so that it gets new flows until it leaves the list.
#[test]
fn a_target_that_is_overtaken_repeatedly_is_suspected() {
    let mut router = limited(20.0, 10);
    fill(&mut router, 0, 200);
    let mut first = BTreeSet::new();
    for round in 0..12u16 {
        let now = Millis(1_000 + 20 * u64::from(round));
        let silent = first_copy(&mut router, now, 20_000 + round, FEED);
        for copy in router.due_second_copies(now + DELAY) {
            let Some(destination) = copy.destination else { continue };
            let second = name_of(destination);
            router.on_segment(now + DELAY, &data(copy.flow, &second, 101, 1, 0));
        }
        first.insert(silent);
    }
    router.set_receive_queue_empty(Millis(1_500));
    router.tick(Millis(1_500));
    assert!(router.suspects() > 0, "none of {first:?} is suspected");
}

/// Guards against copies that add load to a service whose targets cannot serve what they have.
#[test]
fn no_copy_is_sent_while_the_service_is_overloaded() {
    let mut router = limited(20.0, 100);
    fill(&mut router, 0, 200);
    let mut names = Vec::new();
    for round in 0..80u16 {
        let now = Millis(1_000 + 10 * u64::from(round));
        let name = first_copy(&mut router, now, 20_000 + round, FEED);
        router.on_segment(now, &data(flow(20_000 + round, FEED), &name, 101, 1, 200));
        names.push(name);
        // The objective is 150 ms; a mean latency above half of it is overload.
        if let Some(earlier) = round.checked_sub(14) {
            let name = &names[usize::from(earlier)];
            router.on_segment(now, &data(flow(20_000 + earlier, FEED), name, 301, 900, 0));
        }
    }
    router.due_second_copies(Millis(1_840));
    router.take_second_copy_events();
    let before = router.counters().second_copies;
    first_copy(&mut router, Millis(1_840), 1, FEED);
    assert!(sent(&mut router, Millis(1_890)).is_empty());
    assert_eq!(router.counters().second_copies, before);
    let events = router.take_second_copy_events();
    let overload = |event: &SecondCopyEvent| {
        matches!(event, SecondCopyEvent::Withheld { refusal: SecondCopyRefusal::Overload, .. })
    };
    assert!(events.iter().any(overload), "{events:?}");
}

/// Guards against a flow that is split at a VM which did not forward the opening: a late response makes the client
/// echo another token. A later flow of the same port, with other sequence numbers, follows its own token.
#[test]
fn another_vm_keeps_a_flow_at_its_target_too() {
    let mut router = limited(5.0, 10);
    let forwarded = |router: &mut TokenRouter, at, name: &str, seq, ack| {
        let segment = data(flow(1, FEED), &Name::new(name), seq, ack, 200);
        let verdict = router.on_segment(Millis(at), &segment);
        let Verdict::Forward(destination) = verdict else { panic!("{verdict:?}") };
        name_of(destination)
    };
    assert_eq!(forwarded(&mut router, 10, "n1", 101, 1), Name::new("n1"));
    assert_eq!(forwarded(&mut router, 20, "f2", 301, 1), Name::new("n1"));
    assert_eq!(forwarded(&mut router, 30, "f2", 7_000_000, 9_000_000), Name::new("f2"));
    // Without second copies, the token alone decides.
    router.set_second_copy_limit(SecondCopyLimit::default());
    assert_eq!(forwarded(&mut router, 40, "n3", 7_000_200, 9_000_000), Name::new("n3"));
}
