//! Hints that have to be revoked before a new target is chosen for the addresses of a flow.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::VmId;
use crate::time::Millis;

/// The longest wait for confirmations. A VM that has not confirmed by then lacks recent contact and
/// so does not use its hints. Clients wait several seconds before they give up a connection
/// attempt.
const CONFIRMATION_TIMEOUT: Millis = Millis::from_secs(3);
/// The maximum number of flows that wait for confirmations. Beyond it, targets are chosen without
/// waiting.
const MAX_PENDING: usize = 4_096;

#[derive(Debug)]
struct Revocation {
    started_at: Millis,
    unconfirmed: BTreeSet<VmId>,
}

/// The flows whose hints are being revoked.
#[derive(Debug, Default)]
pub(super) struct Revocations {
    pending: BTreeMap<u64, Revocation>,
}

impl Revocations {
    /// Starts or continues the revocation of the hints of a flow. Returns the VMs that have not
    /// confirmed and have to be sent a revocation; none once all have confirmed or the wait is
    /// over.
    pub(super) fn revoke(
        &mut self,
        now: Millis,
        flow: u64,
        peers: impl IntoIterator<Item = VmId>,
    ) -> Vec<VmId> {
        self.pending.retain(|_, pending| {
            now.since(pending.started_at) < CONFIRMATION_TIMEOUT + CONFIRMATION_TIMEOUT
        });
        if self.pending.len() >= MAX_PENDING && !self.pending.contains_key(&flow) {
            return Vec::new();
        }
        let start = || Revocation { started_at: now, unconfirmed: peers.into_iter().collect() };
        let pending = self.pending.entry(flow).or_insert_with(start);
        if now.since(pending.started_at) >= CONFIRMATION_TIMEOUT {
            pending.unconfirmed.clear();
        }
        let peers = pending.unconfirmed.iter().cloned().collect::<Vec<VmId>>();
        if peers.is_empty() {
            self.pending.remove(&flow);
        }
        peers
    }

    /// Records that a VM has confirmed the revocation for a flow.
    pub(super) fn confirm(&mut self, flow: u64, from: &VmId) {
        if let Some(pending) = self.pending.get_mut(&flow) {
            pending.unconfirmed.remove(from);
        }
    }
}
