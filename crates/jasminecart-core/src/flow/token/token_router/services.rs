//! The choice of a service of the route for a new flow.

use super::TokenRouter;
use crate::flow::token::service_load::ServiceState;
use crate::flow::token::service_selector::{
    Admission, ServiceCandidate, ServiceChoice, choose_service,
};
use crate::flow::token::silence::Eligibility;
use crate::names::Name;
use crate::time::Millis;
use crate::version::RouteRule;

/// A service for a new flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SelectedService {
    pub(super) name: Name,
    /// The service that the weights selected, if it could not carry the flow.
    pub(super) instead_of: Option<Name>,
}

impl TokenRouter {
    /// Sets how many VMs of this VM's data centre are live; 0 if that is unknown. Without it,
    /// services pass on flows only when their latency shows an overload. The fabric spreads the
    /// packets evenly, so that the number of VMs tells the share of the requests that this VM gets;
    /// the other data centres with targets are taken to have as many.
    pub fn set_local_vm_count(&mut self, count: usize) {
        self.loads.set_vm_count(count.saturating_mul(self.data_centres.len()));
    }

    /// Selects a service of the route for a new flow, among those that have targets.
    pub(super) fn select_service(
        &mut self,
        now: Millis,
        rule: &RouteRule,
    ) -> Option<SelectedService> {
        let candidates: Vec<ServiceCandidate> = (0..rule.services.len())
            .map(|index| self.service_candidate(now, rule, index))
            .collect();
        let name = |index: usize| rule.services[index].0.clone();
        Some(match choose_service(&mut self.rng, &candidates)? {
            ServiceChoice::ByWeight(index) | ServiceChoice::Overloaded(index) => {
                SelectedService { name: name(index), instead_of: None }
            }
            ServiceChoice::Passed { to, from } => {
                self.counters.passed_openings += 1;
                SelectedService { name: name(to), instead_of: Some(name(from)) }
            }
        })
    }

    fn service_candidate(&self, now: Millis, rule: &RouteRule, index: usize) -> ServiceCandidate {
        let (name, share) = &rule.services[index];
        let targets = self.by_service.get(name).map_or(&[][..], Vec::as_slice);
        let is_withheld = |index: &usize| self.targets[*index].cold.withheld;
        let unusable =
            targets.is_empty() || (rule.services.len() > 1 && targets.iter().all(is_withheld));
        let weight = if unusable { 0 } else { *share };
        if rule.services.len() == 1 || !self.limits.shares_capacity {
            return ServiceCandidate {
                weight,
                carried: 1.0,
                room: 0.0,
                admission: Admission::Free,
            };
        }
        let carried = self.loads.carried(&rule.name, index);
        let in_progress = || targets.iter().map(|index| self.targets[*index].active_requests).sum();
        let admission = self.overload.admission(now, name, in_progress);
        ServiceCandidate { weight, carried: carried.share, room: carried.room, admission }
    }

    /// Updates the mean loads of services and the estimates of what they can carry.
    pub(super) fn tick_loads(&mut self, now: Millis) {
        let Some(routes) = self.routes.clone() else { return };
        let mut loads = std::mem::take(&mut self.loads);
        loads.tick(now, &routes, |service| self.service_state(service));
        self.loads = loads;
    }

    /// Updates the estimates after a change of routes.
    pub(super) fn estimate_loads(&mut self) {
        let Some(routes) = self.routes.clone() else { return };
        let mut loads = std::mem::take(&mut self.loads);
        loads.estimate(&routes, |service| self.service_state(service));
        self.loads = loads;
    }

    fn service_state(&self, service: &Name) -> ServiceState {
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let targets = indices.iter().map(|index| &self.targets[*index]);
        let usable = targets.filter(|target| {
            let eligible = target.eligibility == Eligibility::Eligible;
            target.accepts_flows && eligible && !target.cold.is_cold
        });
        let slots = usable.fold(0u32, |sum, target| sum.saturating_add(target.slots));
        ServiceState { slots, overloaded: self.overload.is_reported(service) }
    }
}
