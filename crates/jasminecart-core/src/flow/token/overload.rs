//! Admission of new flows to services whose targets are overloaded.
//!
//! Targets queue requests and shed only when their queues are full, so that under overload every
//! request waits for a full queue and misses its latency objective. New flows are refused before
//! that, as soon as the latency of a service shows that its queues grow. Open flows are never
//! refused: a reset would break them. The limit on requests in progress follows Little's law:
//! throughput times the latency to keep. `docs/platform.md`, "Overload", has the figures.

use super::admission_order::{AdmissionOrder, Precedence};
use super::explanation::AdmissionExplanation;
use super::service_selector::Admission;
use crate::hashing::HashMap;
use crate::names::Name;
use crate::time::Millis;
use crate::version::RouteRule;

/// The mean latency to keep, as a fraction of the latency objective. The latencies of one route
/// vary about twofold, so that most requests still meet the objective.
const KEPT_LATENCY: f64 = 0.6;
/// The mean latency, as a fraction of the objective, above which a service may be overloaded. Below
/// it no flow is refused, whatever is in progress.
const OVERLOAD_LATENCY: f64 = 0.5;
/// The greatest latency that counts, as a fraction of the objective. The end of a flow that was idle
/// for a while looks like that of a slow request. Full queues delay requests by less.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// The weight of a new sample in the mean latency of a service.
const LATENCY_WEIGHT: f64 = 0.1;
/// The time constant of the mean throughput.
const THROUGHPUT_TIME: Millis = Millis(300);
/// How long the latency has to stay above [`OVERLOAD_LATENCY`] before flows are refused, so that a
/// burst that the queues can absorb is served.
const MIN_OVERLOAD_TIME: Millis = Millis(200);
/// The greatest age of the last sample. Without responses there is no evidence of overload, and
/// nothing would show its end.
const MAX_SAMPLE_AGE: Millis = Millis(500);
/// The number of requests in progress below which no flow is refused.
const MIN_LIMIT: f64 = 6.0;
/// How long a VM refuses nothing after it has its first routes and targets. Clients then repeat what
/// they sent while it was away; the queues absorb that, and a refusal would lose it.
const START_GRACE: Millis = Millis::from_secs(3);

/// The start or end of an overload of a service, as this VM sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadChange {
    /// The service.
    pub service: Name,
    /// Whether the overload began.
    pub overloaded: bool,
    /// The mean latency of the first requests of flows, as a fraction of their objectives.
    pub latency_ratio: f64,
    /// The limit on requests in progress through this VM.
    pub limit: f64,
}

/// The load of one service, as this VM sees it.
#[derive(Clone, Debug)]
struct ServiceLoad {
    /// The mean latency of the first requests of flows, as a fraction of the objective.
    latency_ratio: f64,
    sampled_at: Millis,
    /// Since when the mean latency is above [`OVERLOAD_LATENCY`].
    slow_since: Option<Millis>,
    /// The sum of the latencies to keep of the requests completed since the last tick.
    kept_latency_sum: f64,
    /// The mean of that sum per millisecond, which is the limit on requests in progress.
    limit: f64,
    order: AdmissionOrder,
    /// Whether the overload has been reported.
    reported: bool,
}

impl ServiceLoad {
    fn new(now: Millis) -> ServiceLoad {
        ServiceLoad {
            latency_ratio: 0.0,
            sampled_at: now,
            slow_since: None,
            kept_latency_sum: 0.0,
            limit: 0.0,
            order: AdmissionOrder::default(),
            reported: false,
        }
    }

    fn is_overloaded(&self, now: Millis) -> bool {
        let lasts = self.slow_since.is_some_and(|at| now.since(at) >= MIN_OVERLOAD_TIME);
        lasts && now.since(self.sampled_at) <= MAX_SAMPLE_AGE
    }
}

/// Decides whether services accept new flows.
#[derive(Debug, Default)]
pub(super) struct OverloadControl {
    /// Whether routes are guaranteed a minimum.
    guarantees: bool,
    services: HashMap<Name, ServiceLoad>,
    /// When this VM had its first routes and targets.
    ready_at: Option<Millis>,
    ticked_at: Millis,
    changes: Vec<OverloadChange>,
}

impl OverloadControl {
    pub(super) fn new(guarantees: bool) -> OverloadControl {
        OverloadControl { guarantees, ..OverloadControl::default() }
    }

    /// Records a request that a target of `service` has served.
    pub(super) fn on_served(&mut self, now: Millis, service: &Name, rule: &RouteRule) {
        let load = match self.services.get_mut(service) {
            Some(load) => load,
            None => self.services.entry(service.clone()).or_insert(ServiceLoad::new(now)),
        };
        load.kept_latency_sum += KEPT_LATENCY * rule.objective.get() as f64;
        load.order.on_served(now, rule);
    }

    /// Records a request that a target of `service` has refused.
    pub(super) fn on_refused(&mut self, now: Millis, service: &Name, rule: &RouteRule) {
        if let Some(load) = self.services.get_mut(service) {
            load.order.on_refused(now, rule);
        }
    }

    /// Records the latency of the first request of a flow. The latencies of later ones say less
    /// about new flows, which go to the least loaded targets: feeds stay at a target that turns
    /// slow.
    pub(super) fn on_first_latency(
        &mut self,
        now: Millis,
        service: &Name,
        latency: Millis,
        objective: Millis,
    ) {
        let Some(load) = self.services.get_mut(service) else { return };
        let ratio = latency.get() as f64 / objective.get().max(1) as f64;
        if ratio > MAX_LATENCY_RATIO {
            return;
        }
        load.latency_ratio += LATENCY_WEIGHT * (ratio - load.latency_ratio);
        load.sampled_at = now;
        if load.latency_ratio <= OVERLOAD_LATENCY {
            load.slow_since = None;
        } else {
            load.slow_since.get_or_insert(now);
        }
    }

    /// Returns whether a new flow of a route may be opened. `in_progress` returns the number of
    /// requests in progress at the targets of the service through this VM; it is called only under
    /// overload.
    pub(super) fn admits(
        &mut self,
        now: Millis,
        service: &Name,
        rule: &RouteRule,
        in_progress: impl FnOnce() -> u32,
    ) -> bool {
        let settled = self.is_settled(now);
        let Some(load) = self.services.get_mut(service) else { return true };
        load.order.observe(now, rule);
        if !settled || !load.is_overloaded(now) {
            return true;
        }
        let precedence = if self.guarantees {
            load.order.precedence(now, rule)
        } else {
            Precedence::Share(load.order.share(now, rule))
        };
        let admits = match precedence {
            Precedence::Guaranteed => true,
            Precedence::Share(share) => {
                f64::from(in_progress()) < load.limit.max(MIN_LIMIT) * share
            }
        };
        if !admits {
            load.order.on_refused(now, rule);
        }
        admits
    }

    /// Returns whether a service takes one more flow of a route that may use other services. The
    /// limit has no minimum here, because a passed flow is not lost: in a deployment of 124 VMs a
    /// minimum of 6 requests on each VM is 744 at a service with 60 slots.
    pub(super) fn admission(
        &self,
        now: Millis,
        service: &Name,
        in_progress: impl FnOnce() -> u32,
    ) -> Admission {
        let load = self.services.get(service).filter(|load| load.is_overloaded(now));
        let Some(load) = load else { return Admission::Free };
        if f64::from(in_progress()) < load.limit {
            Admission::WithinLimit
        } else {
            Admission::AtLimit
        }
    }

    /// Returns whether a service was overloaded at the last tick.
    pub(super) fn is_reported(&self, service: &Name) -> bool {
        self.services.get(service).is_some_and(|load| load.reported)
    }

    /// Returns whether a service is overloaded.
    pub(super) fn is_overloaded(&self, now: Millis, service: &Name) -> bool {
        self.services.get(service).is_some_and(|load| load.is_overloaded(now))
    }

    /// Returns whether clients have had time to repeat what they sent before this VM was ready.
    fn is_settled(&self, now: Millis) -> bool {
        self.ready_at.is_some_and(|at| now.since(at) >= START_GRACE)
    }

    /// Explains what [`OverloadControl::admits`] would decide, and changes nothing.
    pub(super) fn explain(
        &self,
        now: Millis,
        service: &Name,
        rule: &RouteRule,
        in_progress: u32,
    ) -> AdmissionExplanation {
        let Some(load) = self.services.get(service) else {
            return AdmissionExplanation { in_progress, ..AdmissionExplanation::default() };
        };
        // A copy, because the order records each route that it is asked about.
        let mut order = load.order.clone();
        let guaranteed = self.guarantees && order.precedence(now, rule) == Precedence::Guaranteed;
        let limit = load.limit.max(MIN_LIMIT) * order.share(now, rule);
        let overloaded = load.is_overloaded(now);
        AdmissionExplanation {
            overloaded,
            enforced: overloaded && self.is_settled(now),
            guaranteed,
            limit: Some(limit),
            in_progress,
            left: Some((limit - f64::from(in_progress)).max(0.0)),
            latency_percent_of_objective: Some(100.0 * load.latency_ratio),
            sampled_ms_ago: Some(now.since(load.sampled_at)),
        }
    }

    /// Updates the limits. Call it about every 100 ms, once this VM has routes and targets.
    pub(super) fn tick(&mut self, now: Millis) {
        self.ready_at.get_or_insert(now);
        let elapsed = now.since(self.ticked_at);
        if elapsed == Millis::ZERO {
            return;
        }
        self.ticked_at = now;
        let elapsed = elapsed.get() as f64;
        let weight = 1.0 - (-elapsed / THROUGHPUT_TIME.get() as f64).exp();
        for (service, load) in &mut self.services {
            let sum = std::mem::take(&mut load.kept_latency_sum);
            load.limit += weight * (sum / elapsed - load.limit);
            let overloaded = load.is_overloaded(now);
            if overloaded != load.reported {
                load.reported = overloaded;
                self.changes.push(OverloadChange {
                    service: service.clone(),
                    overloaded,
                    latency_ratio: load.latency_ratio,
                    limit: load.limit.max(MIN_LIMIT),
                });
            }
        }
    }

    /// Returns and clears which services became overloaded, or recovered, since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<OverloadChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns how many services are overloaded.
    pub(super) fn overloaded_count(&self) -> usize {
        self.services.values().filter(|load| load.reported).count()
    }

    /// Removes services that no route leads to.
    pub(super) fn retain(&mut self, exists: impl Fn(&Name) -> bool) {
        self.services.retain(|service, _| exists(service));
    }
}
