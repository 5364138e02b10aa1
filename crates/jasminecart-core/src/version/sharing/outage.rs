//! Members that cannot reach the store, and outages that follow from their reports.

use std::collections::BTreeMap;

use super::SharingLimits;
use crate::names::VmId;
use crate::time::Millis;

/// The members that cannot reach the store, and whether that is an outage for the whole data centre.
///
/// Calls are charged even if the store refuses them. In an outage only a few members go on calling
/// it; `docs/platform.md`, "Readers", gives the bounds.
#[derive(Debug, Default)]
pub(super) struct StoreOutage {
    /// The members that are excluded from reading, and until when.
    excluded_until: BTreeMap<VmId, Millis>,
    /// When a member last reported that it cannot reach the store.
    reported_at: Option<Millis>,
    active: bool,
}

impl StoreOutage {
    /// Excludes a member from reading.
    pub(super) fn exclude(&mut self, vm: &VmId, until: Millis) {
        self.excluded_until.insert(vm.clone(), until);
    }

    /// Excludes a member that reported that it cannot reach the store.
    pub(super) fn on_report(&mut self, now: Millis, vm: &VmId, until: Millis) {
        self.exclude(vm, until);
        self.reported_at = Some(now);
    }

    /// Records that a member reaches the store.
    pub(super) fn include(&mut self, vm: &VmId) {
        self.excluded_until.remove(vm);
    }

    /// Records that the store has recently confirmed this VM's view.
    pub(super) fn end(&mut self) {
        self.active = false;
    }

    /// Drops exclusions that have expired, and updates whether there is an outage. It lasts until
    /// the store confirms this VM's view, or the reports cease: a VM that hears nothing of the
    /// other members may be the only one that reaches the store.
    pub(super) fn update(&mut self, now: Millis, ranked: &[VmId], limits: &SharingLimits) {
        self.excluded_until.retain(|_, until| now < *until);
        let max_age = limits.max_report_age;
        let reported = self.reported_at.is_some_and(|at| now.since(at) < max_age);
        self.active = reported && (self.active || self.is_reported(ranked, limits));
    }

    /// Returns whether so many of the ranked members are excluded that an outage is likely.
    pub(super) fn is_reported(&self, ranked: &[VmId], limits: &SharingLimits) -> bool {
        let share = limits.outage_report_share * ranked.len() as f64;
        let reports = self.excluded_until.keys().filter(|vm| ranked.contains(vm)).count();
        reports >= limits.min_outage_reports.max(share as usize)
    }

    /// Returns whether there is an outage, as of the last update.
    pub(super) fn is_active(&self) -> bool {
        self.active
    }

    pub(super) fn is_excluded(&self, vm: &VmId) -> bool {
        self.excluded_until.contains_key(vm)
    }
}
