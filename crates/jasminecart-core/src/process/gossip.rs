//! The queue of updates that are piggybacked on messages.

use std::collections::BTreeMap;

use super::wire::{Claim, Update};
use crate::names::VmId;

#[derive(Debug)]
struct Entry {
    update: Update,
    /// How often the update was sent.
    sent: u32,
    max_sends: u32,
}

/// The queue of updates to piggyback. It holds at most one state update and one revision update per
/// VM.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// The entries by VM; the flag is true for an update of a revision.
    entries: BTreeMap<(bool, VmId), Entry>,
}

impl Gossip {
    /// Queues an update, which replaces an earlier one of the same kind about the same VM.
    pub(super) fn push(&mut self, vm: VmId, update: Update, members: usize) {
        let revision = matches!(update.claim, Claim::Revision(_));
        self.entries.insert(
            (revision, vm),
            Entry { update, sent: 0, max_sends: retransmit_limit(members) },
        );
    }

    /// Returns the updates sent least often so far, up to a bound in bytes, and counts them as
    /// sent. States come before revisions.
    pub(super) fn next_batch(&mut self, max_bytes: usize) -> Vec<Update> {
        let mut order: Vec<(bool, u32, VmId)> = self
            .entries
            .iter()
            .map(|((revision, vm), entry)| (*revision, entry.sent, vm.clone()))
            .collect();
        order.sort();
        let mut batch = Vec::new();
        let mut remaining = max_bytes;
        for (revision, _, vm) in order {
            let key = (revision, vm);
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let bytes = entry.update.max_encoded_bytes();
            if bytes > remaining {
                break;
            }
            remaining -= bytes;
            entry.sent += 1;
            batch.push(entry.update.clone());
            if entry.sent >= entry.max_sends {
                self.entries.remove(&key);
            }
        }
        batch
    }

    /// Drops the updates of a VM.
    pub(super) fn remove(&mut self, vm: &VmId) {
        self.entries.remove(&(false, vm.clone()));
        self.entries.remove(&(true, vm.clone()));
    }
}

/// Returns how often each VM sends an update: twice the number of rounds that gossip needs to reach
/// all members.
fn retransmit_limit(members: usize) -> u32 {
    2 * (members.max(1) + 1).next_power_of_two().trailing_zeros().max(1)
}
