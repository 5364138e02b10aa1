//! The delay and the budget of second attempts, if operators set a limit on second copies.

use std::collections::BTreeMap;

use crate::names::Name;
use crate::second_copies::{RecentLatencies, SecondCopyBudget, SecondCopyLimit};
use crate::time::Millis;

/// The limit on second attempts of one VM, and the latencies of each service.
#[derive(Debug)]
pub(super) struct Hedging {
    budget: SecondCopyBudget,
    latencies: BTreeMap<Name, RecentLatencies>,
}

impl Hedging {
    pub(super) fn new(limit: SecondCopyLimit) -> Hedging {
        Hedging { budget: SecondCopyBudget::new(limit), latencies: BTreeMap::new() }
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.budget.is_enabled()
    }

    /// Adds the credit for the first attempt of a request.
    pub(super) fn record_first(&mut self) {
        self.budget.record_first();
    }

    pub(super) fn allows(&self) -> bool {
        self.budget.allows()
    }

    /// Takes one second attempt from the budget. It is not returned if the attempt is not sent after all, so
    /// that attempts in any interval stay within the limit.
    pub(super) fn spend(&mut self) -> bool {
        self.budget.spend()
    }

    /// Records the latency of a completed request.
    pub(super) fn on_completed(&mut self, service: &Name, latency: Millis) {
        if !self.is_enabled() {
            return;
        }
        if let Some(latencies) = self.latencies.get_mut(service) {
            latencies.add(latency);
        } else {
            self.latencies.entry(service.clone()).or_default().add(latency);
        }
    }

    /// Returns the delay before a second attempt, or `None` while too few latencies are known.
    pub(super) fn delay(&self, service: &Name) -> Option<Millis> {
        self.latencies.get(service)?.quantile(self.budget.quantile())
    }

    /// Removes services that are no longer in the document.
    pub(super) fn retain_services(&mut self, exists: impl Fn(&Name) -> bool) {
        self.latencies.retain(|service, _| exists(service));
    }
}
