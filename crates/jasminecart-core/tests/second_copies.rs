//! Tests of the budget of second copies and of the latencies from which their delay is derived.

use jasminecart_core::Millis;
use jasminecart_core::second_copies::{RecentLatencies, SecondCopyBudget, SecondCopyLimit};
use proptest::prelude::*;

proptest! {
    /// Guards against extra work beyond the limit: in any interval, second copies are at most the share of the
    /// first ones plus the burst, however first and second copies alternate.
    #[test]
    fn second_copies_stay_within_share_and_burst_in_any_interval(
        percent in 0u32..=20,
        burst in 1u32..=40,
        wanted in proptest::collection::vec(0u32..60, 1..200),
    ) {
        let limit = SecondCopyLimit::new(f64::from(percent), burst).expect("within bounds");
        let mut budget = SecondCopyBudget::new(limit);
        let spent: Vec<u32> = wanted
            .iter()
            .map(|wanted| {
                budget.record_first();
                (0..*wanted).map(|_| u32::from(budget.spend())).sum()
            })
            .collect();
        for from in 0..spent.len() {
            let mut second = 0;
            for (first, copies) in (1..).zip(&spent[from..]) {
                second += copies;
                prop_assert!(f64::from(second) <= f64::from(first * percent) / 100.0 + f64::from(burst));
            }
        }
    }
}

/// Guards against credit that outlives a limit which an operator switched off or lowered.
#[test]
fn a_lowered_limit_applies_at_once() {
    let mut budget = SecondCopyBudget::new(SecondCopyLimit::new(20.0, 100).expect("valid"));
    (0..1_000).for_each(|_| budget.record_first());
    assert_eq!(budget.available(), 100);
    budget.set_limit(SecondCopyLimit::new(20.0, 3).expect("valid"));
    assert_eq!(budget.available(), 3);
    budget.set_limit(SecondCopyLimit::default());
    assert!(!budget.spend());
}

/// Guards against a delay from too few samples, and against one that does not follow a change of the route.
#[test]
fn the_quantile_follows_recent_latencies() {
    let mut latencies = RecentLatencies::default();
    (0..49).for_each(|_| latencies.add(Millis(10)));
    assert_eq!(latencies.quantile(0.95), None);
    for latency in 1..=1_000 {
        latencies.add(Millis(latency));
    }
    let p95 = latencies.quantile(0.95).expect("enough samples").get();
    assert!((940..=1_200).contains(&p95), "{p95}");
    (0..5_000).for_each(|_| latencies.add(Millis(20)));
    let p95 = latencies.quantile(0.95).expect("enough samples").get();
    assert!((20..=24).contains(&p95), "{p95}");
    latencies.add(Millis::MAX);
}
