//! How much slower a target answers than the others of its service.
//!
//! Targets differ up to threefold in speed and say nothing about it. Latencies of a route are spread over
//! decades, so that means are taken of their logarithms, relative to the route's own mean. The result includes
//! waiting at the target, which makes an overloaded target look slow, as intended.

use super::open_flows::Request;
use super::refusal::is_short;
use crate::hashing::HashMap;
use crate::names::Name;
use crate::time::Millis;

/// The weight of a new sample. A VM sees a few samples a second of each target at today's size, so that
/// the mean covers some seconds.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The weight of a new sample in the mean of a route, which sees the samples of all targets.
const ROUTE_WEIGHT: f64 = 0.02;
/// The bound of the logarithm: factors of 1/4.5 to 4.5.
const MAX_LOG: f64 = 1.5;
/// The span after which a target without samples counts as average again by two thirds.
const FORGETTING: Millis = Millis::from_secs(30);

/// The mean latency of one target relative to its routes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slowness {
    log: f64,
    samples: u32,
    at: Millis,
}

impl Slowness {
    /// Returns by which factor the target is slower than average.
    pub(super) fn factor(&self, now: Millis) -> f64 {
        let age = now.since(self.at).get() as f64 / FORGETTING.get() as f64;
        (self.log * (-age).exp()).exp()
    }

    fn add(&mut self, now: Millis, log: f64) {
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 2));
        self.samples = self.samples.saturating_add(1);
        self.log += weight * (log.clamp(-MAX_LOG, MAX_LOG) - self.log);
        self.at = now;
    }
}

/// The means of the requests of each route.
#[derive(Debug, Default)]
pub(super) struct RouteMeans(HashMap<Name, RouteMean>);

#[derive(Clone, Copy, Debug)]
struct RouteMean {
    /// The logarithm of the latency in milliseconds.
    log: f64,
    bytes: f64,
    answer_bytes: f64,
    samples: u32,
}

impl RouteMeans {
    /// Returns how many bytes clients send for a request of a route; 0 when none was seen.
    pub(super) fn bytes(&self, route: &Name) -> f64 {
        self.0.get(route).map_or(0.0, |mean| mean.bytes)
    }

    /// Tells whether the answer to a request of a route is too short to be one that did the work.
    pub(super) fn is_refusal(&self, route: &Name, request: &Request) -> bool {
        let mean = self.0.get(route);
        mean.is_some_and(|mean| is_short(request.answer_bytes, mean.answer_bytes, mean.samples))
    }

    /// Takes one request of a route that a target served in `latency`.
    pub(super) fn add(
        &mut self,
        now: Millis,
        route: &Name,
        latency: Millis,
        request: &Request,
        target: &mut Slowness,
    ) {
        // A latency below the resolution of the clock counts as its half.
        let log = (latency.get() as f64).max(0.5).ln();
        let mean = match self.0.get_mut(route) {
            Some(mean) => mean,
            None => {
                let first = RouteMean { log, bytes: 0.0, answer_bytes: 0.0, samples: 0 };
                self.0.entry(route.clone()).or_insert(first)
            }
        };
        let weight = ROUTE_WEIGHT.max(1.0 / f64::from(mean.samples + 1));
        mean.samples = mean.samples.saturating_add(1);
        mean.log += weight * (log - mean.log);
        mean.bytes += weight * (f64::from(request.bytes) - mean.bytes);
        mean.answer_bytes += weight * (f64::from(request.answer_bytes) - mean.answer_bytes);
        target.add(now, log - mean.log);
    }

    /// Forgets routes that no longer exist.
    pub(super) fn retain(&mut self, exists: impl Fn(&Name) -> bool) {
        self.0.retain(|route, _| exists(route));
    }
}
