//! Transfers of entries to other owners, limited to a rate of control traffic.

use std::collections::{BTreeMap, HashSet, VecDeque};

use super::messages::{FlowMessage, TransferEntry, TransferGroup};
use crate::message::Outgoing;
use crate::names::VmId;
use crate::time::Millis;

/// The maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 512;
/// The entries of a message that is not confirmed within this time are sent again.
const CONFIRMATION_TIMEOUT: Millis = Millis::from_secs(1);

/// A rate limit in bytes with a burst of a quarter of a second, so that no second exceeds the rate
/// by more.
#[derive(Debug)]
pub(super) struct Budget {
    bytes_per_s: u64,
    /// The bytes that may be sent now; negative if [`Budget::spend`] exceeded them.
    available: i64,
    refilled_at: Millis,
}

impl Budget {
    /// Creates a budget of `bytes_per_s` bytes a second.
    pub(super) fn new(bytes_per_s: u64) -> Budget {
        Budget { bytes_per_s, available: (bytes_per_s / 4) as i64, refilled_at: Millis::ZERO }
    }

    /// Adds the bytes that have accrued since the last refill.
    pub(super) fn refill(&mut self, now: Millis) {
        let accrued = now.since(self.refilled_at).get().min(1_000) * self.bytes_per_s / 1_000;
        if accrued > 0 {
            self.available = (self.available + accrued as i64).min((self.bytes_per_s / 4) as i64);
            self.refilled_at = now;
        }
    }

    /// Spends `bytes` if they are available, and returns whether they were.
    pub(super) fn try_spend(&mut self, bytes: usize) -> bool {
        let enough = self.available() >= bytes;
        if enough {
            self.spend(bytes);
        }
        enough
    }

    /// Spends `bytes` even if they are not available.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    fn available(&self) -> usize {
        usize::try_from(self.available).unwrap_or(0)
    }
}

/// Why entries are transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TransferCause {
    /// A planned join or stop.
    Planned,
    /// The death of an owner, or an owner that lacks an entry.
    Repair,
}

/// The entries of a message that was sent but not confirmed yet.
#[derive(Debug)]
struct Unconfirmed {
    sent_at: Millis,
    cause: TransferCause,
    flows: Vec<u64>,
}

/// The queues of entries to send, by receiver and cause.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    queues: BTreeMap<(VmId, TransferCause), (VecDeque<u64>, HashSet<u64>)>,
    unconfirmed: BTreeMap<(VmId, u32), Unconfirmed>,
    sequence: u32,
}

impl Transfers {
    /// Queues an entry for a VM unless it is already queued.
    pub(super) fn push(&mut self, to: &VmId, cause: TransferCause, flow: u64) {
        let (queue, queued) = self.queues.entry((to.clone(), cause)).or_default();
        if queued.insert(flow) {
            queue.push_back(flow);
        }
    }

    /// Returns whether a VM has confirmed all its entries and none is queued.
    pub(super) fn is_fully_confirmed(&self, to: &VmId) -> bool {
        let queue = |cause| self.queues.get(&(to.clone(), cause));
        let confirmed = !self.unconfirmed.keys().any(|(vm, _)| vm == to);
        confirmed
            && [TransferCause::Planned, TransferCause::Repair]
                .into_iter()
                .all(|cause| queue(cause).is_none())
    }

    /// Records that a VM has confirmed a message.
    pub(super) fn confirm(&mut self, from: &VmId, sequence: u32) {
        self.unconfirmed.remove(&(from.clone(), sequence));
    }

    /// Queues entries again that were not confirmed in time, because their message may have been
    /// lost with its connection.
    pub(super) fn requeue_unconfirmed(&mut self, now: Millis) {
        let is_late = |sent: &Unconfirmed| now.since(sent.sent_at) >= CONFIRMATION_TIMEOUT;
        let late: Vec<(VmId, u32)> = self
            .unconfirmed
            .iter()
            .filter(|(_, sent)| is_late(sent))
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

    /// Retains only the queues of VMs for which `predicate` holds.
    pub(super) fn retain(&mut self, predicate: impl Fn(&VmId) -> bool) {
        self.queues.retain(|(vm, _), _| predicate(vm));
        self.unconfirmed.retain(|(vm, _), _| predicate(vm));
    }

    /// Returns messages with queued entries, as far as the budget of the cause allows. `entry`
    /// returns the target and the encoded entry of a flow, or `None` if the entry was removed.
    pub(super) fn send(
        &mut self,
        now: Millis,
        cause: TransferCause,
        budget: &mut Budget,
        entry: impl Fn(u64) -> Option<(u64, TransferEntry)>,
    ) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        for ((vm, _), (queue, queued)) in
            self.queues.iter_mut().filter(|((_, queue_cause), _)| *queue_cause == cause)
        {
            let mut groups: BTreeMap<u64, Vec<TransferEntry>> = BTreeMap::new();
            let (mut bytes, mut flows) = (20, Vec::new());
            while flows.len() < MAX_ENTRIES_PER_MESSAGE && bytes + 23 <= budget.available() {
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
                budget.try_spend(message.wire_bytes().min(budget.available()));
                messages.push(Outgoing::new(vm.clone(), message));
            }
        }
        self.queues.retain(|_, (queue, _)| !queue.is_empty());
        messages
    }
}
