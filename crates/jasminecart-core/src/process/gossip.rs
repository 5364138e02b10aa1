//! The queue of updates that are piggybacked on messages.

use std::collections::BTreeMap;

use super::wire::{Claim, Update};
use crate::names::VmId;

#[derive(Debug)]
struct Entry {
    update: Update,
    sent: u32,
    most: u32,
}

/// Updates waiting to be piggybacked. At most one state and one revision a VM wait at a time.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    entries: BTreeMap<(bool, VmId), Entry>,
}

impl Gossip {
    /// Queues an update, in place of an earlier one of the same VM.
    pub(super) fn push(&mut self, vm: VmId, update: Update, members: usize) {
        let revision = matches!(update.claim, Claim::Revision(_));
        self.entries.insert((revision, vm), Entry { update, sent: 0, most: sends(members) });
    }

    /// Takes the updates that were sent least often, up to a bound in bytes. States come before revisions.
    pub(super) fn take(&mut self, max_bytes: usize) -> Vec<Update> {
        let mut order: Vec<(bool, u32, VmId)> = self
            .entries
            .iter()
            .map(|((revision, vm), entry)| (*revision, entry.sent, vm.clone()))
            .collect();
        order.sort();
        let mut taken = Vec::new();
        let mut left = max_bytes;
        for (revision, _, vm) in order {
            let key = (revision, vm);
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let bytes = entry.update.bytes();
            if bytes > left {
                break;
            }
            left -= bytes;
            entry.sent += 1;
            taken.push(entry.update.clone());
            if entry.sent >= entry.most {
                self.entries.remove(&key);
            }
        }
        taken
    }

    /// Drops the updates of a VM.
    pub(super) fn forget(&mut self, vm: &VmId) {
        self.entries.remove(&(false, vm.clone()));
        self.entries.remove(&(true, vm.clone()));
    }
}

/// Returns how often each VM repeats an update: twice the steps that an epidemic needs to reach all.
fn sends(members: usize) -> u32 {
    2 * (members.max(1) + 1).next_power_of_two().trailing_zeros().max(1)
}
