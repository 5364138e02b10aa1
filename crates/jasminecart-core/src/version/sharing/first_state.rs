//! Where a VM that has started obtains its first routes and targets from.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{SharingLimits, Source};
use crate::names::VmId;
use crate::process::rendezvous;
use crate::time::Millis;

/// How long a VM reads the store for its first routes and targets before it also accepts them from a
/// peer. A store in order responds within a tenth of this.
const FIRST_READ_PATIENCE: Millis = Millis(300);

/// The state of a VM until it has routes and targets. `docs/platform.md`, "Start of a VM", describes
/// the sequence.
#[derive(Debug, Default)]
pub(super) struct FirstState {
    /// When this VM first asked for its source.
    started_at: Option<Millis>,
    /// Whether this VM reads the store because no peer sent the state in time.
    reads_store: bool,
    /// Whether a call to the store failed.
    store_failed: bool,
    /// The other VMs that are known to have started without routes and targets, with their sizes.
    starting: BTreeMap<VmId, u32>,
    /// When this VM received the state from a peer.
    joined_at: Option<Millis>,
}

impl FirstState {
    /// Returns where this VM obtains the state from. `fetches` tells whether a transfer from a peer
    /// is in progress. Once the VM reads the store it goes on, because a read that was abandoned
    /// would have to start over.
    pub(super) fn source(
        &mut self,
        now: Millis,
        me: &VmId,
        limits: &SharingLimits,
        fetches: bool,
    ) -> Source {
        let age = now.since(*self.started_at.get_or_insert(now));
        let leaves_it_to_others = limits.store_delay > Millis::ZERO
            && age < limits.store_delay + limits.first_reader_time
            && !self.is_first_reader(me, limits);
        let waits = age < limits.store_delay || fetches || leaves_it_to_others;
        self.reads_store |= !waits || self.store_failed;
        if self.reads_store { Source::Fallback } else { Source::Starting }
    }

    /// Returns whether this VM is one of the first, by size, of the VMs that it knows to be starting
    /// too. Where no VM has a fast link, these read the store for the others.
    fn is_first_reader(&self, me: &VmId, limits: &SharingLimits) -> bool {
        let rank = |vm: &VmId, size: u32| Reverse((size.max(1).ilog2(), rendezvous::hash(vm)));
        let own = rank(me, limits.size);
        let before = self.starting.iter().filter(|(vm, size)| rank(vm, **size) < own);
        before.count() < limits.first_readers
    }

    /// Returns whether the state may be fetched from a peer.
    pub(super) fn may_fetch(&self, now: Millis) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        let slow = now.since(started_at) >= FIRST_READ_PATIENCE;
        !self.reads_store || self.store_failed || slow
    }

    /// Records that a call to the store failed.
    pub(super) fn set_store_failed(&mut self) {
        self.store_failed = true;
    }

    /// Records a VM that has started without routes and targets.
    pub(super) fn add_starting(&mut self, vm: &VmId, size: u32) {
        self.starting.insert(vm.clone(), size);
    }

    /// Records that a VM has routes and targets.
    pub(super) fn remove_starting(&mut self, vm: &VmId) {
        self.starting.remove(vm);
    }

    /// Records that this VM received the state from a peer.
    pub(super) fn set_joined(&mut self, now: Millis) {
        self.joined_at = Some(now);
        self.starting.clear();
    }

    /// Returns whether this VM received the state from a peer so recently that it may not know all
    /// members yet. It would rank first among those that it knows.
    pub(super) fn is_joining(&self, now: Millis, limits: &SharingLimits) -> bool {
        self.joined_at.is_some_and(|at| now.since(at) < limits.join_time)
    }
}
