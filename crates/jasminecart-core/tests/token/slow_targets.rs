//! Tests of target selection by latency, on simulated targets of unequal speed with two slots each.

use std::collections::BTreeMap;

use crate::support::{CLAIM, FEED, UPLOAD, data, establish, finish, flow, open, router, target};
use jasminecart_core::Millis;
use jasminecart_core::flow::token::TokenRouter;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 2;

/// Simulated targets that run requests one after the other in each of their slots.
struct Targets {
    /// When each slot becomes free, in milliseconds.
    free_at: BTreeMap<String, Vec<f64>>,
    /// The factor by which the time of a request is multiplied.
    slowdowns: BTreeMap<String, f64>,
}

impl Targets {
    fn new(slowdowns: &[f64]) -> Targets {
        let names =
            slowdowns.iter().enumerate().map(|(number, factor)| (format!("a{number}"), *factor));
        let slowdowns: BTreeMap<String, f64> = names.collect();
        let free_at = slowdowns.keys().map(|name| (name.clone(), vec![0.0; SLOTS])).collect();
        Targets { free_at, slowdowns }
    }

    /// Runs a request that arrives at `now` in the slot that is free first, and returns when it is done.
    fn run(&mut self, name: &str, now: f64, work_ms: f64) -> f64 {
        let slots = self.free_at.get_mut(name).expect("a known target");
        let slot = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a slot");
        *slot = slot.max(now) + work_ms * self.slowdowns[name];
        *slot
    }
}

/// Runs claims at the given share of the capacity and returns their latencies in milliseconds, in ascending order.
fn run_claims(router: &mut TokenRouter, slowdowns: &[f64], load: f64, seed: u64) -> Vec<f64> {
    const WORK_MS: f64 = 39.0;
    let capacity: f64 = slowdowns.iter().map(|factor| SLOTS as f64 / (WORK_MS * factor)).sum();
    let gap = 1.0 / (capacity * load);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut targets = Targets::new(slowdowns);
    let mut ends: Vec<(f64, u16, jasminecart_core::Name)> = Vec::new();
    let mut latencies = Vec::new();
    let mut now = 0.0;
    for port in 1..8_000u16 {
        now += -gap * (1.0 - rng.random::<f64>()).ln();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        while ends.first().is_some_and(|(end, ..)| *end <= now) {
            let (end, port, name) = ends.remove(0);
            router.on_segment(Millis(end as u64), &finish(flow(port, CLAIM), &name, 600));
        }
        let at = Millis(now as u64);
        let name = open(router, at, flow(port, CLAIM), 0).target;
        router.on_segment(at, &data(flow(port, CLAIM), &name, 101, 1, 900));
        let work = WORK_MS * (0.5 + rng.random::<f64>());
        let end = targets.run(name.as_str(), now, work);
        latencies.push(end - now);
        ends.push((end, port, name));
    }
    // The router measures the latencies of the targets on the first 1,000 claims.
    let mut latencies = latencies.split_off(1_000);
    latencies.sort_by(f64::total_cmp);
    latencies
}

fn share_above(latencies: &[f64], bound: f64) -> f64 {
    latencies.iter().filter(|latency| **latency > bound).count() as f64 / latencies.len() as f64
}

/// Guards against late claims because slow targets get as many as fast ones. A third of the targets take 2.4 times
/// as long as the others. The objective of a claim is 200 ms, which 99 % have to meet at half of the capacity and
/// 95 % at four fifths.
#[test]
fn claims_meet_their_objective_although_some_targets_are_slow() {
    let slowdowns = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7];
    for (load, allowed) in [(0.5, 0.01), (0.8, 0.05)] {
        let names = (0..slowdowns.len()).map(|number| format!("a{number}"));
        let mut router = router(names.map(|name| target(&name, "desk", "east", 1)));
        let latencies = run_claims(&mut router, &slowdowns, load, 11);
        let late = share_above(&latencies, 200.0);
        assert!(late <= allowed, "a share of {late} of the claims is late at load {load}");
    }
}

/// Guards against a target that gets no flows for good after it was slow: without flows there are no new latency
/// samples. The recorded latency decays to the average within a minute without samples.
#[test]
fn a_slow_target_gets_its_share_back_after_a_while() {
    let mut router = router(["a0", "a1"].map(|name| target(name, "desk", "east", 1)));
    run_claims(&mut router, &[0.7, 6.0], 0.5, 12);
    let later = Millis(600_000);
    router.tick(later);
    let opened = (20_000..20_200u16)
        .map(|port| open(&mut router, later, flow(port, CLAIM), 0).target)
        .filter(|name| name.as_str() == "a1")
        .count();
    assert!((80..=120).contains(&opened), "{opened} of 200 flows went to the target that was slow");
}

/// Guards against uploads that cross data centres without need, as traffic between data centres is expensive.
/// Uploads of 40 kB (photographed receipts) stay in their data centre although some more requests wait at its
/// target than at that of the other one, up to a bound. Small requests leave earlier.
#[test]
fn large_requests_stay_in_their_data_centre() {
    let near = target("n1", "vault", "east", 1);
    let far = target("f1", "vault", "west", 1);
    let mut router = router([near, far]);
    for port in 1..40 {
        let name = open(&mut router, Millis(10), flow(port, UPLOAD), 0).target;
        for number in 0..33u32 {
            let segment = data(flow(port, UPLOAD), &name, 101 + number * 1_200, 1, 1_200);
            router.on_segment(Millis(20), &segment);
        }
        router.on_segment(Millis(30), &finish(flow(port, UPLOAD), &name, 300));
    }
    let opened = (100..108).map(|port| open(&mut router, Millis(40), flow(port, UPLOAD), 0).target);
    assert!(opened.into_iter().all(|name| name.as_str() == "n1"), "an upload left its data centre");
    let overflowing =
        (200..240).map(|port| open(&mut router, Millis(50), flow(port, UPLOAD), 0).target);
    assert!(
        overflowing.into_iter().any(|name| name.as_str() == "f1"),
        "no upload left an overloaded data centre"
    );
}

/// Guards against the pause between two requests being taken for the latency of the first. A client does not
/// acknowledge a response of one packet before its next request.
#[test]
fn a_request_that_acknowledges_a_response_starts_anew() {
    let mut router = router([target("a", "desk", "east", 1)]);
    let feed = flow(1, FEED);
    let name = establish(&mut router, Millis(100), feed);
    router.on_segment(Millis(110), &data(feed, &name, 101, 1, 200));
    router.on_segment(Millis(1_100), &data(feed, &name, 301, 901, 200));
    assert_eq!(router.take_completed_request(), None, "the latency of the first is not known");
    router.on_segment(Millis(1_130), &data(feed, &name, 501, 2_901, 0));
    let completed = router.take_completed_request().expect("the second request is complete");
    assert_eq!(completed.latency, Millis(30));
    assert_eq!(completed.bytes, 2_000);
}
