//! Loads that meet targets which refuse: a full queue, whose refusal comes faster than any answer.

use crate::support::{CLAIM, data, finish, flow, open, router, target};
use jasminecart_core::flow::token::TokenRouter;
use jasminecart_core::{Millis, Name};
use test_case::test_case;

/// The bytes of an answer that did the work, and of a refusal.
const ANSWER: u32 = 800;
const REFUSAL: u32 = 150;

/// Sends a claim whose answer of `bytes` is acknowledged after `latency`.
fn claim(router: &mut TokenRouter, now: Millis, port: u16, latency: Millis, bytes: u32) -> Name {
    let name = open(router, now, flow(port, CLAIM), 0).target;
    router.on_segment(now, &data(flow(port, CLAIM), &name, 101, 1, 900));
    router.on_segment(now + latency, &finish(flow(port, CLAIM), &name, 1 + bytes));
    name
}

/// Two targets that have answered claims for a while.
fn warm() -> TokenRouter {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    for port in 1..100 {
        claim(&mut router, Millis(u64::from(port) * 50), port, Millis(40), ANSWER);
    }
    router
}

/// Pattern: the queue of a target is full, and its clients try again at once. A refusal after 2 ms must not make
/// the target look fast, or it attracts every retry and refuses those too.
#[test]
fn the_retry_of_a_refused_claim_goes_elsewhere() {
    let mut router = warm();
    for (number, now) in (0..20).map(|number| (number, Millis(10_000 + u64::from(number) * 500))) {
        let port = 1_000 + 10 * number;
        let refused = claim(&mut router, now, port, Millis(2), REFUSAL);
        let retried = claim(&mut router, now + Millis(5), port + 1, Millis(40), ANSWER);
        assert_ne!(retried, refused, "the retry {number} met the queue that was full 3 ms before");
    }
    assert_eq!(router.counters().refusals, 20);
}

/// Guards against a target that is shunned after its queue has been worked off.
#[test]
fn a_refusal_is_forgotten_within_seconds() {
    let mut router = warm();
    let refused = claim(&mut router, Millis(10_000), 1_000, Millis(2), REFUSAL);
    let later = (0..40).map(|number| {
        let now = Millis(13_000 + u64::from(number) * 50);
        claim(&mut router, now, 2_000 + number, Millis(40), ANSWER)
    });
    let again = later.filter(|name| *name == refused).count();
    assert!((10..=30).contains(&again), "{again} of 40 claims to the target that refused once");
}

/// A refusal is told by its length. Guards against answers of usual spread that count as refusals.
#[test_case(ANSWER, false; "usual")]
#[test_case(ANSWER / 2, false; "half")]
#[test_case(2_400, false; "first part of a long answer")]
#[test_case(REFUSAL, true; "refusal")]
fn only_answers_much_shorter_than_usual_are_refusals(bytes: u32, refused: bool) {
    let mut router = warm();
    claim(&mut router, Millis(10_000), 1_000, Millis(2), bytes);
    let answered = router.take_completed_request().expect("an acknowledged answer");
    assert_eq!((answered.refused, answered.bytes), (refused, bytes));
}

/// Packets that overtake each other acknowledge less than was acknowledged before, which is no news of the target.
#[test]
fn an_older_acknowledgement_is_no_progress() {
    let mut router = warm();
    let now = Millis(10_000);
    let name = open(&mut router, now, flow(1_000, CLAIM), 0).target;
    router.on_segment(now, &data(flow(1_000, CLAIM), &name, 101, 1, 900));
    router.on_segment(now, &data(flow(1_000, CLAIM), &name, 1_001, 1_201, 0));
    router.take_completed_request().expect("the first part is acknowledged");
    router.on_segment(now, &data(flow(1_000, CLAIM), &name, 1_001, 1, 300));
    router.on_segment(now, &data(flow(1_000, CLAIM), &name, 1_301, 1, 0));
    assert_eq!(
        router.take_completed_request(),
        None,
        "an older acknowledgement answered a request"
    );
}
