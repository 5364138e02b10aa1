//! Tests of refusals under overload: what is no evidence of it, and who is refused. `measure overload` shows the
//! effect on many clients.

use crate::support::{CLAIM, FEED, UPLOAD, data, establish, finish, flow, opening, router, target};
use jasminecart_core::Millis;
use jasminecart_core::flow::token::{ResetCause, TokenRouter, Verdict};
use test_case::test_case;

/// The latency objective of all routes.
pub(crate) const OBJECTIVE: u64 = 150;
/// A time after the grace that follows the start of a process.
pub(crate) const SETTLED: Millis = Millis(5_000);

pub(crate) fn vm() -> TokenRouter {
    let targets = (0..4).map(|number| target(&format!("a{number}"), "desk", "east", 1));
    let mut router = router(targets.chain([target("v", "vault", "east", 1)]));
    router.tick(Millis(1));
    router
}

/// Serves `count` claims, one every 10 ms, each with the given latency. Returns the time of the last.
pub(crate) fn serve(router: &mut TokenRouter, from: Millis, count: u16, latency: u64) -> Millis {
    let mut now = from;
    for port in 0..count {
        let claim = flow(10_000 + port, CLAIM);
        let target = establish(router, now, claim);
        router.on_segment(now + Millis(5), &data(claim, &target, 101, 1, 900));
        router.on_segment(now + Millis(latency), &finish(claim, &target, 600));
        now += Millis(10);
        if port % 10 == 0 {
            router.tick(now);
        }
    }
    now + Millis(latency)
}

/// Opens flows until one is refused. Returns the number of opened ones.
fn opened_before_refusal(
    router: &mut TokenRouter,
    now: Millis,
    service: std::net::SocketAddrV4,
) -> u16 {
    for port in 0..200 {
        match router.on_segment(now, &opening(flow(30_000 + port, service), 0)) {
            Verdict::Forward(_) => {}
            verdict => {
                assert_eq!(verdict, Verdict::Reset(ResetCause::Overloaded));
                return port;
            }
        }
    }
    200
}

/// Guards against refusals of a service whose latency is far below its objective, however much is in progress.
#[test]
fn fast_responses_are_no_overload() {
    let mut router = vm();
    let now = serve(&mut router, SETTLED, 100, OBJECTIVE / 4);
    assert_eq!(opened_before_refusal(&mut router, now, FEED), 200);
}

/// Guards against flows that are all accepted while each waits longer, and against urgent requests that are refused
/// before others: feeds are refused first, claims later. Another service is not affected.
#[test]
fn a_slow_service_refuses_new_flows_and_urgent_ones_last() {
    let mut routes = crate::support::routes(2);
    let feed = std::sync::Arc::make_mut(routes.by_address.get_mut(&FEED).expect("a route"));
    feed.priority = 2;
    let mut router = vm();
    router.set_routes(std::sync::Arc::new(routes));
    let now = serve(&mut router, SETTLED, 100, OBJECTIVE);
    assert_eq!(router.overloaded_services(), 1);
    let feeds = opened_before_refusal(&mut router, now, FEED);
    assert!((1..50).contains(&feeds), "{feeds} feeds were opened");
    let claims = opened_before_refusal(&mut router, now, CLAIM);
    assert!((1..50).contains(&claims), "{claims} claims were opened after feeds were refused");
    assert_eq!(opened_before_refusal(&mut router, now, UPLOAD), 200);
}

/// Guards against a reset of an open flow, whatever the load.
#[test]
fn open_flows_are_not_refused() {
    let mut router = vm();
    let feed = flow(1, FEED);
    let feed_target = establish(&mut router, SETTLED, feed);
    let now = serve(&mut router, SETTLED, 100, OBJECTIVE);
    assert!(opened_before_refusal(&mut router, now, FEED) < 200);
    let verdict = router.on_segment(now, &data(feed, &feed_target, 101, 1, 200));
    assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
}

/// Guards against a service that is refused for good, because nothing is served any more that could show its
/// recovery.
#[test]
fn without_responses_there_is_no_evidence_of_overload() {
    let mut router = vm();
    let now = serve(&mut router, SETTLED, 100, OBJECTIVE);
    assert!(opened_before_refusal(&mut router, now, FEED) < 200);
    assert_eq!(opened_before_refusal(&mut router, now + Millis(600), FEED), 200);
}

/// Guards against refusing the clients that return after all VMs were down: their requests are late, but the queues
/// of the targets absorb them.
#[test_case(Millis(100), true; "just started")]
#[test_case(SETTLED, false; "settled")]
fn nothing_is_refused_in_the_first_seconds(from: Millis, all_admitted: bool) {
    let mut router = vm();
    let now = serve(&mut router, from, 100, OBJECTIVE);
    assert_eq!(opened_before_refusal(&mut router, now, FEED) == 200, all_admitted);
}

/// Guards against refusals because of one slow moment that the queues absorb.
#[test]
fn a_short_burst_is_not_refused() {
    let mut router = vm();
    let now = serve(&mut router, SETTLED, 100, OBJECTIVE / 4);
    let now = serve(&mut router, now, 12, OBJECTIVE);
    assert_eq!(opened_before_refusal(&mut router, now, FEED), 200);
}

/// Guards against idle feeds that look like overload: the response to their only request had one packet, which the
/// client acknowledged with the end of the flow seconds later.
#[test]
fn ends_of_idle_flows_are_no_overload() {
    let mut router = vm();
    let now = serve(&mut router, SETTLED, 100, OBJECTIVE / 4);
    for port in 0..20 {
        let feed = flow(20_000 + port, FEED);
        let target = establish(&mut router, now, feed);
        router.on_segment(now + Millis(5), &data(feed, &target, 101, 1, 200));
        router.on_segment(now + Millis(5_000 + 10 * u64::from(port)), &finish(feed, &target, 600));
    }
    router.tick(now + Millis(5_100));
    assert_eq!(router.overloaded_services(), 0);
    assert_eq!(opened_before_refusal(&mut router, now + Millis(5_500), FEED), 200);
}
