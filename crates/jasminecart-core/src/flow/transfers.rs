//! Entries on their way to other owners, within the budget of control traffic.

use std::collections::{BTreeMap, HashSet, VecDeque};

use super::messages::{FlowMessage, TransferEntry, TransferGroup};
use crate::message::Outgoing;
use crate::names::VmId;
use crate::time::Millis;

/// The most entries of one message.
const MAX_BATCH: usize = 512;
/// A message that is not confirmed within this span is sent again.
const CONFIRM_SPAN: Millis = Millis::from_secs(1);

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

/// Entries that were sent and not confirmed yet.
#[derive(Debug)]
struct Unconfirmed {
    sent_at: Millis,
    cause: Cause,
    flows: Vec<u64>,
}

/// The queues of entries by receiver and cause.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    queues: BTreeMap<(VmId, Cause), (VecDeque<u64>, HashSet<u64>)>,
    unconfirmed: BTreeMap<(VmId, u32), Unconfirmed>,
    sequence: u32,
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
        let confirmed = !self.unconfirmed.keys().any(|(vm, _)| vm == to);
        confirmed && [Cause::Planned, Cause::Repair].into_iter().all(|cause| queue(cause).is_none())
    }

    /// Notes that a VM has received a message.
    pub(super) fn confirm(&mut self, from: &VmId, sequence: u32) {
        self.unconfirmed.remove(&(from.clone(), sequence));
    }

    /// Queues again what was not confirmed in time, because a message may be lost with its connection.
    pub(super) fn repeat(&mut self, now: Millis) {
        let late = |sent: &Unconfirmed| now.since(sent.sent_at) >= CONFIRM_SPAN;
        let late: Vec<(VmId, u32)> = self
            .unconfirmed
            .iter()
            .filter(|(_, sent)| late(sent))
            .map(|(key, _)| key.clone())
            .collect();
        for key in late {
            let Some(sent) = self.unconfirmed.remove(&key) else { continue };
            for flow in sent.flows {
                self.push(&key.0, sent.cause, flow);
            }
        }
    }

    /// Returns how many entries are queued.
    pub(super) fn len(&self) -> usize {
        self.queues.values().map(|(queue, _)| queue.len()).sum()
    }

    /// Drops the queues of VMs for which `keep` does not hold.
    pub(super) fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.queues.retain(|(vm, _), _| keep(vm));
        self.unconfirmed.retain(|(vm, _), _| keep(vm));
    }

    /// Sends what the budget of a cause allows. `entry` returns the target and state of a flow, or nothing
    /// if the entry is gone.
    pub(super) fn send(
        &mut self,
        now: Millis,
        cause: Cause,
        budget: &mut Budget,
        entry: impl Fn(u64) -> Option<(u64, TransferEntry)>,
    ) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        for ((vm, _), (queue, queued)) in self.queues.iter_mut().filter(|((_, of), _)| *of == cause)
        {
            let mut groups: BTreeMap<u64, Vec<TransferEntry>> = BTreeMap::new();
            let (mut bytes, mut flows) = (20, Vec::new());
            while flows.len() < MAX_BATCH && bytes + 23 <= budget.left() {
                let Some(flow) = queue.pop_front() else { break };
                queued.remove(&flow);
                let Some((target, entry)) = entry(flow) else { continue };
                let group = groups.entry(target).or_default();
                bytes += if group.is_empty() { 23 } else { 11 };
                group.push(entry);
                flows.push(flow);
            }
            if !groups.is_empty() {
                let group = |(target, entries)| TransferGroup { target, entries };
                let groups = groups.into_iter().map(group).collect();
                self.sequence = self.sequence.wrapping_add(1);
                let sequence = self.sequence;
                let message = FlowMessage::Transfer { sequence, groups };
                let sent = Unconfirmed { sent_at: now, cause, flows };
                self.unconfirmed.insert((vm.clone(), sequence), sent);
                budget.take(message.wire_bytes().min(budget.left()));
                messages.push(Outgoing::new(vm.clone(), message));
            }
        }
        self.queues.retain(|_, (queue, _)| !queue.is_empty());
        messages
    }
}
