//! The use of the limit on cold targets by the router.

use super::TokenRouter;
use crate::flow::token::cold_targets::{ColdRule, ColdState, ColdSummary, ColdTargets};
use crate::flow::token::observed_target::ObservedTarget;
use crate::names::Name;
use crate::process::Members;
use crate::time::Millis;

impl TokenRouter {
    /// Replaces the members, among which the VMs that may send new flows to a cold target are selected.
    pub fn set_members(&mut self, now: Millis, members: &Members) {
        self.cold_targets.set_members(now, members);
    }

    /// Records that a data centre returned from an evacuation, so that all its targets count as cold.
    pub fn set_data_centre_returned(&mut self, now: Millis, data_centre: &Name) {
        self.cold_targets.set_data_centre_returned(now, data_centre);
    }

    /// Returns how many targets are cold, as of the last tick.
    pub fn cold_targets(&self) -> ColdSummary {
        self.cold_targets.summary()
    }

    /// Returns how many targets are cold if that changed since the last call.
    pub fn take_cold_change(&mut self) -> Option<ColdSummary> {
        self.cold_targets.take_change()
    }

    /// Updates which cold targets of a service this VM may use. Returns whether any of them is withheld.
    pub(super) fn update_cold_targets(&mut self, now: Millis, service: &Name) -> bool {
        let rule = self.cold_targets.rule(service);
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut withheld = false;
        for &index in indices {
            let target = &mut self.targets[index];
            target.cold = assess(&mut self.cold_targets, now, rule, target);
            withheld |= target.cold.withheld;
        }
        withheld
    }

    /// Counts an opening that is sent to a target, if the target is cold.
    pub(super) fn count_cold_opening(&mut self, now: Millis, index: usize) {
        if self.targets[index].cold.is_cold {
            self.cold_targets.on_opening(now, &self.targets[index].name);
        }
    }

    /// Counts cold targets and removes the state of warm ones.
    pub(super) fn tick_cold_targets(&mut self, now: Millis) {
        let mut summary = ColdSummary::default();
        for target in &mut self.targets {
            let rule = self.cold_targets.rule(&target.service).filter(|_| target.accepts_flows);
            target.cold = assess(&mut self.cold_targets, now, rule, target);
            summary.cold += usize::from(target.cold.is_cold);
            summary.held += usize::from(target.cold.is_held);
        }
        self.cold_targets.tick(now, summary);
    }
}

fn assess(
    cold_targets: &mut ColdTargets,
    now: Millis,
    rule: Option<ColdRule>,
    target: &ObservedTarget,
) -> ColdState {
    rule.map_or_else(ColdState::default, |rule| {
        let until = target.warm_up_until;
        cold_targets.assess(now, rule, &target.name, &target.data_centre, until)
    })
}
