//! The start of a VM: the responses it waits for before it becomes ready.

use std::collections::BTreeSet;

use crate::names::VmId;
use crate::time::Millis;

/// The responses that a starting VM waits for.
#[derive(Debug, Default)]
pub(super) struct Startup {
    pub(super) started_at: Option<Millis>,
    pub(super) platform_responded: bool,
    queried: BTreeSet<VmId>,
    responded: BTreeSet<VmId>,
    ready: bool,
}

impl Startup {
    /// Returns the number of further peers to query.
    pub(super) fn peers_to_query(&self, max: usize) -> usize {
        if self.ready || self.started_at.is_none() {
            0
        } else {
            max.saturating_sub(self.queried.len())
        }
    }

    pub(super) fn was_queried(&self, vm: &VmId) -> bool {
        self.queried.contains(vm)
    }

    pub(super) fn record_query(&mut self, vm: VmId) {
        self.queried.insert(vm);
    }

    pub(super) fn record_response(&mut self, vm: &VmId) {
        if self.queried.contains(vm) {
            self.responded.insert(vm.clone());
        }
    }

    /// Returns whether less than `duration` has passed since the start, or the VM has not started
    /// yet.
    pub(super) fn is_within(&self, now: Millis, duration: Millis) -> bool {
        self.started_at.is_none_or(|at| now.since(at) < duration)
    }

    /// Updates readiness, which is never revoked. `settled` is set if no newer document is known or
    /// being fetched.
    pub(super) fn update_readiness(&mut self, has_document: bool, settled: bool, timed_out: bool) {
        let peers = !self.queried.is_empty() && self.responded.len() == self.queried.len();
        let responded = self.platform_responded && peers && settled;
        self.ready |= self.started_at.is_some() && has_document && (responded || timed_out);
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }
}
