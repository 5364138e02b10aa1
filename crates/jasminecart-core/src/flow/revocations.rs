//! Hints that have to be revoked before a flow is decided again.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::VmId;
use crate::time::Millis;

/// The longest wait for confirmations. A VM that does not confirm by then is not fresh, so that it does not
/// use its hints, and clients give up a connection attempt only after several seconds.
const WAIT_SPAN: Millis = Millis::from_secs(3);
/// The most flows that wait. Beyond it a flow is decided without waiting.
const MAX_WAITING: usize = 4_096;

#[derive(Debug)]
struct Revocation {
    since: Millis,
    peers: BTreeSet<VmId>,
}

/// The flows whose hints are being revoked.
#[derive(Debug, Default)]
pub(super) struct Revocations {
    waiting: BTreeMap<u64, Revocation>,
}

impl Revocations {
    /// Starts to revoke the hints of a flow, or goes on with it. Returns the VMs that have to be told.
    pub(super) fn revoke(
        &mut self,
        now: Millis,
        flow: u64,
        peers: impl IntoIterator<Item = VmId>,
    ) -> Vec<VmId> {
        self.waiting.retain(|_, waiting| now.since(waiting.since) < WAIT_SPAN + WAIT_SPAN);
        if self.waiting.len() >= MAX_WAITING && !self.waiting.contains_key(&flow) {
            return Vec::new();
        }
        let start = || Revocation { since: now, peers: peers.into_iter().collect() };
        let waiting = self.waiting.entry(flow).or_insert_with(start);
        if now.since(waiting.since) >= WAIT_SPAN {
            waiting.peers.clear();
        }
        let peers = waiting.peers.iter().cloned().collect::<Vec<VmId>>();
        if peers.is_empty() {
            self.waiting.remove(&flow);
        }
        peers
    }

    /// Notes that a VM has no hint for a flow any more.
    pub(super) fn confirm(&mut self, flow: u64, from: &VmId) {
        if let Some(waiting) = self.waiting.get_mut(&flow) {
            waiting.peers.remove(from);
        }
    }
}
