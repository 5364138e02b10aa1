//! Estimates of the load that the services of routes will get, and of what they can carry.
//!
//! After a change of weights no latency shows yet that a service gets more than it can serve: its
//! queues fill within a second, while a VM of a large deployment sees a few requests of it a second.
//! The load is therefore predicted: the mean requests in progress of each route, divided by the
//! current weights. The capacity is the slots of the targets that accept flows, divided by the
//! number of VMs, or what the services have carried before without signs of overload, whichever is
//! more. `docs/design/capacity.md` gives the reasons.

use std::collections::BTreeMap;

use crate::hashing::HashMap;
use crate::names::Name;
use crate::time::Millis;
use crate::version::{RouteRule, Routes};

/// The time constant of the mean requests in progress. A VM of a large deployment has about one
/// request in progress; in 5 s it sees some 60 independent ones, so that the mean errs by 13 %.
const LOAD_TIME: Millis = Millis::from_secs(5);
/// The weight of the samples of the first second, without which there is no estimate.
const MIN_WEIGHT: f64 = 0.18;
/// The time constant with which what a service carries counts as proven. It exceeds the time in
/// which queues show an overload.
const PROOF_TIME: Millis = Millis::from_secs(10);
/// The time constant with which a proven capacity is forgotten.
const PROOF_MEMORY: Millis = Millis::from_secs(60);
/// How long a service that refused a request proves nothing.
const REFUSAL_MEMORY: Millis = Millis::from_secs(2);
/// The share of its slots that a service can keep busy without long queues.
const USABLE_SLOTS: f64 = 0.9;
/// The greatest latency that counts, in objectives. The end of an idle flow looks like that of a
/// slow request.
const MAX_LATENCY_RATIO: u64 = 4;

/// What a VM knows of a service besides its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServiceState {
    /// The slots of its targets that accept flows and are not suspected.
    pub(super) slots: u32,
    /// Whether it is overloaded by its own evidence.
    pub(super) overloaded: bool,
}

/// What a service can carry of one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Carried {
    /// The share of the route's flows for the service that it can carry, 0 to 1.
    pub(super) share: f64,
    /// How much more it can carry, in requests in progress through this VM.
    pub(super) room: f64,
}

impl Carried {
    /// The estimate where nothing is known: the weights hold.
    const ALL: Carried = Carried { share: 1.0, room: 0.0 };
}

/// The mean number of requests in progress.
#[derive(Clone, Copy, Debug, Default)]
struct MeanLoad {
    /// The sum of the latencies since the last tick, in milliseconds.
    latency_sum: f64,
    sum: f64,
    /// The sum of the weights of the samples in `sum`, which approaches 1.
    weight: f64,
}

impl MeanLoad {
    fn tick(&mut self, elapsed: f64) {
        let load = std::mem::take(&mut self.latency_sum) / elapsed;
        let weight = weight(elapsed, LOAD_TIME);
        self.sum += weight * (load - self.sum);
        self.weight += weight * (1.0 - self.weight);
    }

    /// Returns the mean since the first sample, or 0 before [`MIN_WEIGHT`]. It is not drawn towards
    /// 0 in the first seconds, so that the estimates hold soon after a start.
    fn mean(&self) -> f64 {
        if self.weight < MIN_WEIGHT { 0.0 } else { self.sum / self.weight }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    load: MeanLoad,
    refused_at: Option<Millis>,
}

fn weight(elapsed: f64, time: Millis) -> f64 {
    1.0 - (-elapsed / time.get() as f64).exp()
}

/// The loads of routes and services through this VM.
#[derive(Debug, Default)]
pub(super) struct ServiceLoads {
    routes: HashMap<Name, MeanLoad>,
    services: HashMap<Name, ServiceLoad>,
    /// The share of the requests of the deployment that pass through this VM, by the number of VMs.
    vm_share: Option<f64>,
    /// The requests in progress through this VM that each slot has carried without overload.
    proven_per_slot: f64,
    ticked_at: Millis,
    /// The estimates of the services of each route, in the order of its rule.
    estimates: HashMap<Name, Vec<Carried>>,
}

impl ServiceLoads {
    /// Sets how many VMs share the requests; 0 if that is unknown.
    pub(super) fn set_vm_count(&mut self, count: usize) {
        self.vm_share = (count > 0).then(|| 1.0 / count as f64);
    }

    /// Records a request that a target of `service` has served.
    pub(super) fn on_served(&mut self, rule: &RouteRule, service: &Name, latency: Millis) {
        if latency.get() > MAX_LATENCY_RATIO.saturating_mul(rule.objective.get()) {
            return;
        }
        let latency = latency.get() as f64;
        match self.routes.get_mut(&rule.name) {
            Some(load) => load.latency_sum += latency,
            None => self.routes.entry(rule.name.clone()).or_default().latency_sum += latency,
        }
        match self.services.get_mut(service) {
            Some(service) => service.load.latency_sum += latency,
            None => {
                self.services.entry(service.clone()).or_default().load.latency_sum += latency;
            }
        }
    }

    /// Records a request that a target of `service` has refused.
    pub(super) fn on_refused(&mut self, now: Millis, service: &Name) {
        if let Some(service) = self.services.get_mut(service) {
            service.refused_at = Some(now);
        }
    }

    /// Returns what the service at `index` of a route can carry.
    pub(super) fn carried(&self, route: &Name, index: usize) -> Carried {
        let estimate = self.estimates.get(route).and_then(|services| services.get(index));
        estimate.copied().unwrap_or(Carried::ALL)
    }

    /// Updates the mean loads and the estimates. Call it about every 100 ms.
    pub(super) fn tick(
        &mut self,
        now: Millis,
        routes: &Routes,
        state: impl Fn(&Name) -> ServiceState,
    ) {
        let elapsed = now.since(self.ticked_at).get() as f64;
        if elapsed == 0.0 {
            return;
        }
        self.ticked_at = now;
        self.routes.values_mut().for_each(|load| load.tick(elapsed));
        self.proven_per_slot *= 1.0 - weight(elapsed, PROOF_MEMORY);
        let mut carried_per_slot = 0.0_f64;
        for (name, service) in &mut self.services {
            service.load.tick(elapsed);
            let ServiceState { slots, overloaded } = state(name);
            let refused = service.refused_at.is_some_and(|at| now.since(at) < REFUSAL_MEMORY);
            if slots > 0 && !overloaded && !refused {
                carried_per_slot = carried_per_slot.max(service.load.mean() / f64::from(slots));
            }
        }
        let growth = (carried_per_slot - self.proven_per_slot).max(0.0);
        self.proven_per_slot += weight(elapsed, PROOF_TIME) * growth;
        self.estimate(routes, state);
    }

    /// Estimates what the services of each route can carry with the current weights. Call it when
    /// the routes change.
    pub(super) fn estimate(&mut self, routes: &Routes, state: impl Fn(&Name) -> ServiceState) {
        self.estimates.clear();
        // Sorted by name, so that the result does not depend on the order of a hash table. Several
        // addresses may have one route.
        let rules: BTreeMap<&Name, &RouteRule> =
            routes.by_address.values().map(|rule| (&rule.name, &**rule)).collect();
        self.routes.retain(|name, _| rules.contains_key(name));
        self.services.retain(|name, _| rules.values().any(|rule| rule.allows(name)));
        let Some(vm_share) = self.vm_share else { return };
        if rules.values().all(|rule| rule.services.len() < 2) {
            return;
        }
        let per_slot = (USABLE_SLOTS * vm_share).max(self.proven_per_slot);
        let mut services = self.expected_services(&rules, per_slot, state);
        for (name, rule) in rules {
            if rule.services.len() > 1 {
                let carried = distribute(rule, self.mean_load(name), &mut services);
                self.estimates.insert(name.clone(), carried);
            }
        }
    }

    fn mean_load(&self, route: &Name) -> f64 {
        self.routes.get(route).map_or(0.0, MeanLoad::mean)
    }

    /// Returns the load that each service will get by the weights, and its capacity.
    fn expected_services<'a>(
        &self,
        rules: &BTreeMap<&Name, &'a RouteRule>,
        per_slot: f64,
        state: impl Fn(&Name) -> ServiceState,
    ) -> HashMap<&'a Name, ExpectedService> {
        let mut services: HashMap<&Name, ExpectedService> = HashMap::default();
        for (name, rule) in rules {
            for (service, _) in &rule.services {
                services.entry(service).or_insert_with(|| {
                    let slots = state(service).slots;
                    let capacity = per_slot * f64::from(slots);
                    ExpectedService { slots, capacity, ..ExpectedService::default() }
                });
            }
            let shares = shares(rule, &services);
            for ((service, _), share) in rule.services.iter().zip(shares) {
                if let Some(expected) = services.get_mut(service) {
                    expected.demand += share * self.mean_load(name);
                }
            }
        }
        for (name, expected) in &mut services {
            // Open flows stay where they are when weights change and still need capacity there.
            let current = self.services.get(*name).map_or(0.0, |service| service.load.mean());
            expected.room = (expected.capacity - expected.demand.max(current)).max(0.0);
        }
        services
    }
}

/// The expected load of a service and its capacity, in requests in progress through this VM.
#[derive(Clone, Copy, Debug, Default)]
struct ExpectedService {
    slots: u32,
    capacity: f64,
    demand: f64,
    room: f64,
}

/// Returns the shares of the services of a route, among those that have slots.
fn shares(rule: &RouteRule, services: &HashMap<&Name, ExpectedService>) -> Vec<f64> {
    let usable = |service: &Name| services.get(service).is_some_and(|expected| expected.slots > 0);
    let weights = rule.services.iter().map(
        |(service, weight)| {
            if usable(service) { f64::from(*weight) } else { 0.0 }
        },
    );
    let total: f64 = weights.clone().sum();
    weights.map(|weight| if total > 0.0 { weight / total } else { 0.0 }).collect()
}

/// Divides what the services of a route cannot carry among those that have room, and subtracts it
/// from their room.
fn distribute(
    rule: &RouteRule,
    load: f64,
    services: &mut HashMap<&Name, ExpectedService>,
) -> Vec<Carried> {
    let shares = shares(rule, services);
    let excess: Vec<f64> = rule
        .services
        .iter()
        .zip(&shares)
        .map(|((service, _), share)| {
            let Some(expected) = services.get(service) else { return 0.0 };
            let beyond =
                1.0 - (expected.capacity / expected.demand.max(f64::MIN_POSITIVE)).min(1.0);
            beyond * share * load
        })
        .collect();
    let room: Vec<f64> = rule
        .services
        .iter()
        .zip(&shares)
        .map(|((service, _), share)| {
            let room = services.get(service).map_or(0.0, |expected| expected.room);
            if *share > 0.0 { room } else { 0.0 }
        })
        .collect();
    let (total_excess, total_room): (f64, f64) = (excess.iter().sum(), room.iter().sum());
    let moved = total_excess.min(total_room);
    for ((service, _), room) in rule.services.iter().zip(&room) {
        if let Some(expected) = services.get_mut(service).filter(|_| total_room > 0.0) {
            expected.room -= moved * room / total_room;
        }
    }
    let passed = if total_excess > 0.0 { moved / total_excess } else { 0.0 };
    let carried = excess.iter().zip(&shares).zip(room).map(|((excess, share), room)| {
        let own = share * load;
        let share = if own > 0.0 { 1.0 - passed * excess / own } else { 1.0 };
        Carried { share, room }
    });
    carried.collect()
}
