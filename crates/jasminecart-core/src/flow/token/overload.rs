//! Admission of new flows to services whose targets are overloaded.
//!
//! Targets queue requests and shed only when their queues are full, so that under overload every
//! request waits for a full queue and misses its latency objective. New flows are refused before
//! that, as soon as the latency of a service shows that its queues grow. Open flows are never
//! refused: a reset would break them. The limit on requests in progress follows Little's law:
//! throughput times the latency to keep. `docs/platform.md`, "Overload", has the figures.

use super::explanation::Admission;
use crate::hashing::HashMap;
use crate::names::Name;
use crate::time::Millis;

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
/// The factor on the limit for the routes with the highest priority of those that a service serves,
/// and for the others.
const URGENT_SHARE: f64 = 1.5;
const OTHER_SHARE: f64 = 0.8;
/// How long a priority that is not seen any more counts as the highest of its service.
const PRIORITY_MEMORY: Millis = Millis::from_secs(10);
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
#[derive(Clone, Copy, Debug)]
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
    /// The highest priority among the requests, and when it was last seen.
    priority: u8,
    priority_seen_at: Millis,
    /// Whether the overload has been reported.
    reported: bool,
}

impl ServiceLoad {
    fn new(now: Millis, priority: u8) -> ServiceLoad {
        ServiceLoad {
            latency_ratio: 0.0,
            sampled_at: now,
            slow_since: None,
            kept_latency_sum: 0.0,
            limit: 0.0,
            priority,
            priority_seen_at: now,
            reported: false,
        }
    }

    fn is_overloaded(&self, now: Millis) -> bool {
        let lasts = self.slow_since.is_some_and(|at| now.since(at) >= MIN_OVERLOAD_TIME);
        lasts && now.since(self.sampled_at) <= MAX_SAMPLE_AGE
    }

    /// Records the priority of a request, and returns whether it is the highest of the service.
    fn observe_priority(&mut self, now: Millis, priority: u8) -> bool {
        let urgent = self.is_urgent(now, priority);
        if urgent {
            (self.priority, self.priority_seen_at) = (priority, now);
        }
        urgent
    }

    /// Returns whether a priority is the highest of the service.
    fn is_urgent(&self, now: Millis, priority: u8) -> bool {
        priority <= self.priority || now.since(self.priority_seen_at) > PRIORITY_MEMORY
    }

    /// Returns the limit on requests in progress that holds for a new flow.
    fn limit_for(&self, urgent: bool) -> f64 {
        self.limit.max(MIN_LIMIT) * if urgent { URGENT_SHARE } else { OTHER_SHARE }
    }
}

/// Decides whether services accept new flows.
#[derive(Debug, Default)]
pub(super) struct OverloadControl {
    services: HashMap<Name, ServiceLoad>,
    /// When this VM had its first routes and targets.
    ready_at: Option<Millis>,
    ticked_at: Millis,
    changes: Vec<OverloadChange>,
}

impl OverloadControl {
    /// Records a request that a target of `service` has served.
    pub(super) fn on_served(
        &mut self,
        now: Millis,
        service: &Name,
        priority: u8,
        objective: Millis,
    ) {
        let load = match self.services.get_mut(service) {
            Some(load) => load,
            None => {
                let load = ServiceLoad::new(now, priority);
                self.services.entry(service.clone()).or_insert(load)
            }
        };
        load.kept_latency_sum += KEPT_LATENCY * objective.get() as f64;
        load.observe_priority(now, priority);
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

    /// Returns whether a new flow of a route with `priority` may be opened. `in_progress` returns
    /// the number of requests in progress at the targets of the service through this VM; it is
    /// called only under overload.
    pub(super) fn admits(
        &mut self,
        now: Millis,
        service: &Name,
        priority: u8,
        in_progress: impl FnOnce() -> u32,
    ) -> bool {
        let settled = self.is_settled(now);
        let Some(load) = self.services.get_mut(service) else { return true };
        let urgent = load.observe_priority(now, priority);
        if !settled || !load.is_overloaded(now) {
            return true;
        }
        f64::from(in_progress()) < load.limit_for(urgent)
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
        priority: u8,
        in_progress: u32,
    ) -> Admission {
        let Some(load) = self.services.get(service) else {
            return Admission { in_progress, urgent: true, ..Admission::default() };
        };
        let (overloaded, urgent) = (load.is_overloaded(now), load.is_urgent(now, priority));
        let limit = load.limit_for(urgent);
        Admission {
            overloaded,
            enforced: overloaded && self.is_settled(now),
            urgent,
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
