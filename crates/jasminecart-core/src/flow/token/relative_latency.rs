//! The latency of a target relative to the other targets of its routes.
//!
//! Targets differ up to threefold in speed and don't report it. The latencies of a route span several orders of
//! magnitude, so that means are taken of their logarithms, relative to the mean of the route. The result
//! includes queueing at the target: an overloaded target looks slow, as intended.

use super::open_flows::Request;
use super::refusal::is_refusal_size;
use crate::hashing::HashMap;
use crate::names::Name;
use crate::time::Millis;

/// The weight of a new sample in the mean of a target. A VM sees a few samples a second of each target, so that
/// the mean covers several seconds.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The weight of a new sample in the mean of a route, which sees the samples of all targets.
const ROUTE_WEIGHT: f64 = 0.02;
/// The bound of the mean logarithm, which limits the factor to 1/4.5 to 4.5.
const MAX_LOG: f64 = 1.5;
/// The time constant with which a target without samples decays to average: by two thirds in this time.
const DECAY_TIME: Millis = Millis::from_secs(30);

/// The mean logarithm of the latency of one target relative to its routes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RelativeLatency {
    log: f64,
    samples: u32,
    at: Millis,
}

impl RelativeLatency {
    /// Returns the factor by which the target is slower than average.
    pub(super) fn factor(&self, now: Millis) -> f64 {
        let age = now.since(self.at).get() as f64 / DECAY_TIME.get() as f64;
        (self.log * (-age).exp()).exp()
    }

    fn add(&mut self, now: Millis, log: f64) {
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 2));
        self.samples = self.samples.saturating_add(1);
        self.log += weight * (log.clamp(-MAX_LOG, MAX_LOG) - self.log);
        self.at = now;
    }
}

/// The mean latency and sizes of the requests of each route.
#[derive(Debug, Default)]
pub(super) struct RouteMeans(HashMap<Name, RouteMean>);

#[derive(Clone, Copy, Debug)]
struct RouteMean {
    /// The logarithm of the latency in milliseconds.
    log: f64,
    bytes: f64,
    response_bytes: f64,
    samples: u32,
}

impl RouteMeans {
    /// Returns how many bytes clients send for a request of a route on average; 0 if none was seen.
    pub(super) fn bytes(&self, route: &Name) -> f64 {
        self.0.get(route).map_or(0.0, |mean| mean.bytes)
    }

    /// Returns whether the response to a request is so short that the request was probably refused.
    pub(super) fn is_refusal(&self, route: &Name, request: &Request) -> bool {
        let mean = self.0.get(route);
        mean.is_some_and(|mean| {
            is_refusal_size(request.response_bytes, mean.response_bytes, mean.samples)
        })
    }

    /// Adds one request of a route that a target served in `latency`.
    pub(super) fn add(
        &mut self,
        now: Millis,
        route: &Name,
        latency: Millis,
        request: &Request,
        target: &mut RelativeLatency,
    ) {
        // A latency below the clock's resolution of 1 ms counts as 0.5 ms.
        let log = (latency.get() as f64).max(0.5).ln();
        let mean = match self.0.get_mut(route) {
            Some(mean) => mean,
            None => {
                let first = RouteMean { log, bytes: 0.0, response_bytes: 0.0, samples: 0 };
                self.0.entry(route.clone()).or_insert(first)
            }
        };
        let weight = ROUTE_WEIGHT.max(1.0 / f64::from(mean.samples + 1));
        mean.samples = mean.samples.saturating_add(1);
        mean.log += weight * (log - mean.log);
        mean.bytes += weight * (f64::from(request.bytes) - mean.bytes);
        mean.response_bytes += weight * (f64::from(request.response_bytes) - mean.response_bytes);
        target.add(now, log - mean.log);
    }

    /// Removes routes that no longer exist.
    pub(super) fn retain(&mut self, exists: impl Fn(&Name) -> bool) {
        self.0.retain(|route, _| exists(route));
    }
}
