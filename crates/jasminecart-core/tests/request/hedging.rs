//! Tests of second attempts under a limit on second copies.

use crate::world::World;
use jasminecart_core::request::{DispatchCounters, DispatchLimits};
use jasminecart_core::second_copies::SecondCopyLimit;
use test_case::test_case;

fn world(share: f64, burst: u32) -> World {
    let second_copies = SecondCopyLimit::new(share, burst).expect("within bounds");
    World::with_limits(1, 4, DispatchLimits { second_copies, ..DispatchLimits::default() })
}

/// Submits `count` requests, 20 ms apart.
fn offer(world: &mut World, count: usize, idempotent: bool, with_key: bool) {
    for _ in 0..count {
        let key = with_key.then(|| world.issue_key(0));
        world.submit(0, 9_000, |meta| (meta.idempotent, meta.key) = (idempotent, key));
        world.run(20);
    }
}

/// After 300 fast requests, the first attempt of every 15th request is slow.
fn run_with_slow_attempts(world: &mut World, idempotent: bool, with_key: bool) -> DispatchCounters {
    world.run(100);
    offer(world, 300, idempotent, with_key);
    for _ in 0..20 {
        offer(world, 14, idempotent, with_key);
        world.targets.values_mut().for_each(|target| target.service_ms = 700);
        offer(world, 1, idempotent, with_key);
        world.targets.values_mut().for_each(|target| target.service_ms = 20);
    }
    world.run(9_000);
    world.check();
    world.vms[0].dispatcher.counters().clone()
}

/// Guards against a second attempt of work that may run once, and against a second response: each request is
/// counted as answered once.
#[test_case(true, false, true; "idempotent")]
#[test_case(false, false, false; "not idempotent")]
#[test_case(true, true, false; "with a key")]
fn only_repeatable_requests_get_a_second_attempt(idempotent: bool, with_key: bool, expected: bool) {
    let counters = run_with_slow_attempts(&mut world(20.0, 10), idempotent, with_key);
    assert_eq!(counters.hedges > 0, expected, "{counters:?}");
    assert_eq!(counters.hedges_won > 0, expected, "{counters:?}");
    assert_eq!(counters.answered, counters.submitted);
}

/// Guards against extra work beyond share and burst.
#[test_case(1.0, 1)]
#[test_case(2.0, 3)]
fn second_attempts_stay_within_share_and_burst(share: f64, burst: u32) {
    let counters = run_with_slow_attempts(&mut world(share, burst), true, false);
    let allowed = counters.submitted as f64 * share / 100.0 + f64::from(burst);
    assert!(counters.hedges as f64 <= allowed, "{counters:?}");
    assert!(counters.hedges > 0 && counters.hedges_withheld > 0, "{counters:?}");
}

/// Guards against second attempts while slots are scarce: all targets are slow, and requests wait.
#[test]
fn no_second_attempt_is_sent_under_overload() {
    let mut world = world(20.0, 10);
    world.run(100);
    offer(&mut world, 300, true, false);
    let before = world.vms[0].dispatcher.counters().hedges;
    world.targets.values_mut().for_each(|target| target.service_ms = 400);
    offer(&mut world, 15, true, false);
    let congested = world.vms[0].dispatcher.counters().hedges;
    offer(&mut world, 300, true, false);
    world.run(9_000);
    let counters = world.vms[0].dispatcher.counters();
    // Attempts that were due before the first request had to wait are allowed.
    assert_eq!(counters.hedges, congested, "{before} before, {counters:?}");
}

/// Guards against a changed behaviour without a share: no second attempt is withheld, and the delay does not
/// depend on latencies of the service.
#[test]
fn without_a_share_the_retry_budget_alone_limits_second_attempts() {
    let with = run_with_slow_attempts(&mut World::new(1, 4), true, false);
    let zero = run_with_slow_attempts(&mut world(0.0, 1_000), true, false);
    assert_eq!((with.hedges, with.hedges_withheld), (zero.hedges, 0));
    assert_eq!(with, zero);
}
