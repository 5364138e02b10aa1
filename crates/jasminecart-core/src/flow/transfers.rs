//! Entries on their way to other owners, within the budget of control traffic.

use std::collections::{BTreeMap, HashSet, VecDeque};

use super::messages::{FlowMessage, TransferEntry, TransferGroup};
use crate::message::Outgoing;
use crate::names::VmId;
use crate::time::Millis;

/// The most entries of one message.
const MAX_BATCH: usize = 512;

/// A rate of bytes with a burst of a quarter of a second, so that no second exceeds the rate by more.
#[derive(Debug)]
pub(super) struct Budget {
    rate: u64,
    /// What may be sent now; negative after [`Budget::spend`].
    left: i64,
    at: Millis,
}

impl Budget {
    /// Creates a budget of `rate` bytes a second.
    pub(super) fn new(rate: u64) -> Budget {
        Budget { rate, left: (rate / 4) as i64, at: Millis::ZERO }
    }

    /// Adds what has accrued.
    pub(super) fn refill(&mut self, now: Millis) {
        let accrued = now.since(self.at).get().min(1_000) * self.rate / 1_000;
        if accrued > 0 {
            self.left = (self.left + accrued as i64).min((self.rate / 4) as i64);
            self.at = now;
        }
    }

    /// Takes bytes if they are left.
    pub(super) fn take(&mut self, bytes: usize) -> bool {
        let enough = self.left() >= bytes;
        if enough {
            self.spend(bytes);
        }
        enough
    }

    /// Takes bytes even if they are not left.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.left = self.left.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    fn left(&self) -> usize {
        usize::try_from(self.left).unwrap_or(0)
    }
}

/// Why entries are transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Cause {
    /// A planned join or stop.
    Planned,
    /// A death, or a copy that is missing.
    Repair,
}

/// The queues of entries by receiver and cause.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    queues: BTreeMap<(VmId, Cause), (VecDeque<u64>, HashSet<u64>)>,
}

impl Transfers {
    /// Queues an entry unless it is queued already.
    pub(super) fn push(&mut self, to: &VmId, cause: Cause, flow: u64) {
        let (queue, queued) = self.queues.entry((to.clone(), cause)).or_default();
        if queued.insert(flow) {
            queue.push_back(flow);
        }
    }

    /// Tells whether nothing is queued for a VM.
    pub(super) fn is_done(&self, to: &VmId) -> bool {
        let queue = |cause| self.queues.get(&(to.clone(), cause));
        [Cause::Planned, Cause::Repair].into_iter().all(|cause| queue(cause).is_none())
    }

    /// Returns how many entries are queued.
    pub(super) fn len(&self) -> usize {
        self.queues.values().map(|(queue, _)| queue.len()).sum()
    }

    /// Drops the queues of VMs for which `keep` does not hold.
    pub(super) fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.queues.retain(|(vm, _), _| keep(vm));
    }

    /// Sends what the budget of a cause allows. `entry` returns the target and state of a flow, or nothing
    /// if the entry is gone.
    pub(super) fn send(
        &mut self,
        cause: Cause,
        budget: &mut Budget,
        entry: impl Fn(u64) -> Option<(u64, TransferEntry)>,
    ) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        for ((vm, _), (queue, queued)) in self.queues.iter_mut().filter(|((_, of), _)| *of == cause)
        {
            let mut groups: BTreeMap<u64, Vec<TransferEntry>> = BTreeMap::new();
            let (mut bytes, mut count) = (20, 0);
            while count < MAX_BATCH && bytes + 23 <= budget.left() {
                let Some(flow) = queue.pop_front() else { break };
                queued.remove(&flow);
                let Some((target, entry)) = entry(flow) else { continue };
                let group = groups.entry(target).or_default();
                bytes += if group.is_empty() { 23 } else { 11 };
                group.push(entry);
                count += 1;
            }
            if !groups.is_empty() {
                let group = |(target, entries)| TransferGroup { target, entries };
                let message =
                    FlowMessage::Transfer { groups: groups.into_iter().map(group).collect() };
                budget.take(message.wire_bytes().min(budget.left()));
                messages.push(Outgoing::new(vm.clone(), message));
            }
        }
        self.queues.retain(|_, (queue, _)| !queue.is_empty());
        messages
    }
}
