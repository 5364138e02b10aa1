//! VMs to contact that need not be members: seeds and the platform's list.

use std::collections::{BTreeMap, BTreeSet};

use super::members::{PeerAddress, VmHint};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// The most VMs taken from one list. The two-year target is 630 VMs.
const MAX_HINTS: usize = 2_048;

/// Seeds, which are never forgotten, and the last list of the platform that was not empty.
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

    /// Takes a list. An empty one is ignored: the platform is down or wrong, as this VM itself is missing.
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

    /// Tells whether the platform reported since `then` that a VM is gone, in a list that names `me`.
    pub(super) fn is_gone(&self, vm: &VmId, me: &VmId, then: Millis) -> bool {
        let recent = self.listed_at.is_some_and(|at| at > then);
        let listed = self.hints.contains_key(vm) && !self.leaving.contains(vm);
        recent && self.hints.contains_key(me) && !listed
    }

    /// Tells whether the platform is about to take a VM away.
    pub(super) fn is_leaving(&self, vm: &VmId) -> bool {
        self.leaving.contains(vm)
    }

    pub(super) fn address(&self, vm: &VmId) -> Option<PeerAddress> {
        self.hints.get(vm).or_else(|| self.seeds.get(vm)).copied()
    }

    /// Returns the VMs of a data centre.
    pub(super) fn of<'a>(&'a self, data_centre: &'a Name) -> impl Iterator<Item = &'a VmId> {
        self.all().filter(move |vm| vm.data_centre == *data_centre)
    }

    /// Returns all VMs, those in both sets twice.
    pub(super) fn all(&self) -> impl Iterator<Item = &VmId> {
        self.seeds.keys().chain(self.hints.keys())
    }
}
