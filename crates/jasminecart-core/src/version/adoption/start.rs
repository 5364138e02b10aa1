//! The start of a VM: what it waits for before it serves.

use std::collections::BTreeSet;

use crate::names::VmId;
use crate::time::Millis;

/// The answers that a starting VM waits for.
#[derive(Debug, Default)]
pub(super) struct Start {
    pub(super) at: Option<Millis>,
    pub(super) platform_answered: bool,
    asked: BTreeSet<VmId>,
    answered: BTreeSet<VmId>,
    ready: bool,
}

impl Start {
    /// Returns how many more peers have to be asked.
    pub(super) fn missing(&self, most: usize) -> usize {
        if self.ready || self.at.is_none() { 0 } else { most.saturating_sub(self.asked.len()) }
    }

    pub(super) fn was_asked(&self, vm: &VmId) -> bool {
        self.asked.contains(vm)
    }

    pub(super) fn ask(&mut self, vm: VmId) {
        self.asked.insert(vm);
    }

    pub(super) fn answer(&mut self, vm: &VmId) {
        if self.asked.contains(vm) {
            self.answered.insert(vm.clone());
        }
    }

    /// Tells whether the time to wait for answers has not passed yet.
    pub(super) fn is_within(&self, now: Millis, span: Millis) -> bool {
        self.at.is_none_or(|at| now.since(at) < span)
    }

    /// Updates readiness, which is never taken back. `settled` tells that there is a document and that no
    /// newer one is being fetched.
    pub(super) fn refresh(&mut self, has_document: bool, settled: bool, timed_out: bool) {
        let peers = !self.asked.is_empty() && self.answered.len() == self.asked.len();
        let answered = self.platform_answered && peers && settled;
        self.ready |= self.at.is_some() && has_document && (answered || timed_out);
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }
}
