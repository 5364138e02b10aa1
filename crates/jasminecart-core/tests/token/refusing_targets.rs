//! Tests of target selection with targets that refuse requests because their queue is full. A refusal arrives
//! faster than the response to a request that ran.

use crate::support::{CLAIM, data, finish, flow, open, router, target};
use jasminecart_core::flow::token::TokenRouter;
use jasminecart_core::{Millis, Name};
use test_case::test_case;

/// The length of the response to a claim that ran.
const RESPONSE_BYTES: u32 = 800;
/// The length of a refusal.
const REFUSAL_BYTES: u32 = 150;

/// Sends a claim whose response of `bytes` is acknowledged after `latency`. Returns its target.
fn claim(router: &mut TokenRouter, now: Millis, port: u16, latency: Millis, bytes: u32) -> Name {
    let name = open(router, now, flow(port, CLAIM), 0).target;
    router.on_segment(now, &data(flow(port, CLAIM), &name, 101, 1, 900));
    router.on_segment(now + latency, &finish(flow(port, CLAIM), &name, 1 + bytes));
    name
}

/// Returns a router that has measured two targets on 99 claims.
fn router_with_samples() -> TokenRouter {
    let mut router = router(["a1", "a2"].map(|name| target(name, "desk", "east", 1)));
    for port in 1..100 {
        claim(&mut router, Millis(u64::from(port) * 50), port, Millis(40), RESPONSE_BYTES);
    }
    router
}

/// Guards against a target with a full queue that attracts every retry: its refusals after 2 ms must not count as
/// low latency.
#[test]
fn the_retry_of_a_refused_claim_goes_to_another_target() {
    let mut router = router_with_samples();
    for (number, now) in (0..20).map(|number| (number, Millis(10_000 + u64::from(number) * 500))) {
        let port = 1_000 + 10 * number;
        let refused = claim(&mut router, now, port, Millis(2), REFUSAL_BYTES);
        let retried = claim(&mut router, now + Millis(5), port + 1, Millis(40), RESPONSE_BYTES);
        assert_ne!(
            retried, refused,
            "retry {number} went to the target whose queue was full 3 ms before"
        );
    }
    assert_eq!(router.counters().refusals, 20);
}

/// Guards against a target that is still avoided after its queue has emptied.
#[test]
fn a_target_gets_claims_again_seconds_after_a_refusal() {
    let mut router = router_with_samples();
    let refused = claim(&mut router, Millis(10_000), 1_000, Millis(2), REFUSAL_BYTES);
    let later = (0..40).map(|number| {
        let now = Millis(13_000 + u64::from(number) * 50);
        claim(&mut router, now, 2_000 + number, Millis(40), RESPONSE_BYTES)
    });
    let again = later.filter(|name| *name == refused).count();
    assert!((10..=30).contains(&again), "{again} of 40 claims went to the target that refused one");
}

/// Guards against responses of usual length that count as refusals. A refusal is recognised by being much shorter
/// than usual.
#[test_case(RESPONSE_BYTES, false; "usual")]
#[test_case(RESPONSE_BYTES / 2, false; "half")]
#[test_case(2_400, false; "first part of a long response")]
#[test_case(REFUSAL_BYTES, true; "refusal")]
fn only_responses_much_shorter_than_usual_are_refusals(bytes: u32, refused: bool) {
    let mut router = router_with_samples();
    claim(&mut router, Millis(10_000), 1_000, Millis(2), bytes);
    let completed = router.take_completed_request().expect("an acknowledged response");
    assert_eq!((completed.refused, completed.bytes), (refused, bytes));
}

/// Guards against a reordered segment with an older acknowledgement that completes a request which the target has
/// not responded to.
#[test]
fn a_reordered_acknowledgement_completes_no_request() {
    let mut router = router_with_samples();
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
        "an older acknowledgement completed a request"
    );
}
