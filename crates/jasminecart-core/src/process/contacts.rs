//! Addresses of VMs that are not necessarily members: seeds and the platform's list of VMs.

use std::collections::{BTreeMap, BTreeSet};

use super::members::{PeerAddress, VmHint};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// Upper bound on the VMs accepted from one list. The two-year target is 630 VMs.
const MAX_HINTS: usize = 2_048;

/// The seeds, which are never dropped, and the last non-empty list of VMs from the platform.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    seeds: BTreeMap<VmId, PeerAddress>,
    hints: BTreeMap<VmId, PeerAddress>,
    leaving: BTreeSet<VmId>,
    listed_at: Option<Millis>,
}

impl Contacts {
    pub(super) fn add_seed(&mut self, hint: VmHint) {
        if self.seeds.len() < MAX_HINTS {
            self.seeds.insert(hint.vm, hint.address);
        }
    }

    /// Replaces the platform's list. An empty list is ignored: it lacks even this VM, so the
    /// platform is unavailable or wrong.
    pub(super) fn set_hints(&mut self, now: Millis, list: &[VmHint]) {
        if list.is_empty() {
            return;
        }
        let list = &list[..list.len().min(MAX_HINTS)];
        self.hints = list.iter().map(|hint| (hint.vm.clone(), hint.address)).collect();
        let leaving = list.iter().filter(|hint| hint.leaving);
        self.leaving = leaving.map(|hint| hint.vm.clone()).collect();
        self.listed_at = Some(now);
    }

    /// Adds a VM that introduced itself or that another VM named. The hints of such VMs make room
    /// for later ones when there are too many; VMs that are alive introduce themselves again.
    pub(super) fn add_hint(&mut self, hint: &VmHint) {
        if self.hints.len() >= MAX_HINTS && !self.hints.contains_key(&hint.vm) {
            self.hints.clear();
        }
        self.hints.insert(hint.vm.clone(), hint.address);
    }

    /// Returns whether a list received after `then` omits `vm` or marks it as leaving. The list has
    /// to contain `me`, since one without this VM is wrong.
    pub(super) fn was_unlisted_since(&self, vm: &VmId, me: &VmId, then: Millis) -> bool {
        let recent = self.listed_at.is_some_and(|at| at > then);
        let listed = self.hints.contains_key(vm) && !self.leaving.contains(vm);
        recent && self.hints.contains_key(me) && !listed
    }

    /// Returns whether the platform is about to remove a VM.
    pub(super) fn is_leaving(&self, vm: &VmId) -> bool {
        self.leaving.contains(vm)
    }

    pub(super) fn address(&self, vm: &VmId) -> Option<PeerAddress> {
        self.hints.get(vm).or_else(|| self.seeds.get(vm)).copied()
    }

    /// Returns the seeds and listed VMs of a data centre.
    pub(super) fn in_data_centre<'a>(
        &'a self,
        data_centre: &'a Name,
    ) -> impl Iterator<Item = &'a VmId> {
        self.all().filter(move |vm| vm.data_centre == *data_centre)
    }

    /// Returns all seeds and listed VMs. A VM that is both appears twice.
    pub(super) fn all(&self) -> impl Iterator<Item = &VmId> {
        self.seeds.keys().chain(self.hints.keys())
    }
}
