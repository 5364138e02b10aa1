//! Loads on targets of unequal speed with two slots each, in a simulation without a network.

use std::collections::BTreeMap;

use crate::support::{CLAIM, UPLOAD, data, finish, flow, open, router, target};
use jasminecart_core::Millis;
use jasminecart_core::flow::token::TokenRouter;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 2;

/// Targets that run requests one after the other in each of their slots.
struct Targets {
    free_at: BTreeMap<String, Vec<f64>>,
    speeds: BTreeMap<String, f64>,
}

impl Targets {
    fn new(speeds: &[f64]) -> Targets {
        let names = speeds.iter().enumerate().map(|(number, speed)| (format!("a{number}"), *speed));
        let speeds: BTreeMap<String, f64> = names.collect();
        let free_at = speeds.keys().map(|name| (name.clone(), vec![0.0; SLOTS])).collect();
        Targets { free_at, speeds }
    }

    /// Returns when a request that arrives at `now` is done.
    fn run(&mut self, name: &str, now: f64, work_ms: f64) -> f64 {
        let slots = self.free_at.get_mut(name).expect("a known target");
        let slot = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a slot");
        *slot = slot.max(now) + work_ms * self.speeds[name];
        *slot
    }
}

/// Runs claims at a share of the capacity and returns their latencies in milliseconds.
fn claims(router: &mut TokenRouter, speeds: &[f64], load: f64, seed: u64) -> Vec<f64> {
    const WORK_MS: f64 = 39.0;
    let capacity: f64 = speeds.iter().map(|speed| SLOTS as f64 / (WORK_MS * speed)).sum();
    let gap = 1.0 / (capacity * load);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut targets = Targets::new(speeds);
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
    // The first part teaches the speeds.
    let mut latencies = latencies.split_off(1_000);
    latencies.sort_by(f64::total_cmp);
    latencies
}

fn share_above(latencies: &[f64], bound: f64) -> f64 {
    latencies.iter().filter(|latency| **latency > bound).count() as f64 / latencies.len() as f64
}

/// Pattern: a third of the targets take 2.4 times as long. The objective of a claim is 200 ms; the aim is that
/// 99 % meet it at half of the capacity, and 95 % at four fifths.
#[test]
fn slow_targets_get_less_so_that_claims_meet_their_objective() {
    let speeds = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7];
    for (load, allowed) in [(0.5, 0.01), (0.8, 0.05)] {
        let names = (0..speeds.len()).map(|number| format!("a{number}"));
        let mut router = router(names.map(|name| target(&name, "desk", "east", 1)));
        let latencies = claims(&mut router, &speeds, load, 11);
        let late = share_above(&latencies, 200.0);
        assert!(late <= allowed, "{late} of the claims late at load {load}");
    }
}

/// A target that was slow and is fast again gets its share back within a minute without samples.
#[test]
fn slowness_is_forgotten() {
    let mut router = router(["a0", "a1"].map(|name| target(name, "desk", "east", 1)));
    claims(&mut router, &[0.7, 6.0], 0.5, 12);
    let later = Millis(600_000);
    router.tick(later);
    let opened = (20_000..20_200u16)
        .map(|port| open(&mut router, later, flow(port, CLAIM), 0).target)
        .filter(|name| name.as_str() == "a1")
        .count();
    assert!((80..=120).contains(&opened), "{opened} of 200 flows to the target that was slow");
}

/// Pattern: photographed receipts of 40 kB, with a target in each data centre. Bytes between data centres are
/// dear, so that uploads stay although some requests more wait there, and small requests do not.
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
    let waiting =
        (200..240).map(|port| open(&mut router, Millis(50), flow(port, UPLOAD), 0).target);
    assert!(waiting.into_iter().any(|name| name.as_str() == "f1"), "no bound on waiting at home");
}
