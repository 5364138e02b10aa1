//! Selects the peers from which this VM fetches routes and targets over a stream.
//!
//! A stream carries what is too large for datagrams: the full state for a VM that starts, and large
//! configurations. Each VM serves few streams at a time and refuses the others, so that a VM that
//! fetches has to try several peers. `docs/platform.md`, "Start of a VM", describes the sequence.

use std::collections::{BTreeMap, VecDeque};

use super::TransferFailure;
use crate::names::VmId;
use crate::process::{Member, rendezvous};
use crate::time::Millis;
use crate::version::StoreRevision;

/// The least revision of a VM that has routes and targets. The store's revisions start above 0.
pub(super) const FIRST_REVISION: StoreRevision = StoreRevision::new(0, 1);
/// Upper bound on the known sources. The two-year target is 105 VMs in a data centre.
const MAX_SOURCES: usize = 1_024;
/// How long a peer that refused a transfer is not asked again. A transfer takes about as long.
const BUSY_PAUSE: Millis = Millis(100);
/// How long a peer from which a transfer failed is not asked again.
const FAILURE_PAUSE: Millis = Millis(1_000);
/// The size of a peer that has not told it.
const UNKNOWN_SIZE: u32 = 1;
/// How many VMs that this VM has served are remembered, to name them to those that it refuses.
const MAX_SERVED: usize = 16;
/// How many of them one refusal names.
const NAMED_SOURCES: usize = 2;

/// A peer that has routes and targets.
#[derive(Clone, Copy, Debug)]
struct SourcePeer {
    size: u32,
    /// The revision up to which its view is known to be complete.
    upto: StoreRevision,
    retry_at: Millis,
}

/// The peers with routes and targets, and the transfer in progress.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    sources: BTreeMap<VmId, SourcePeer>,
    /// The peer that a transfer is in progress from, and when it began.
    active: Option<(VmId, Millis)>,
    attempts: u64,
    /// The VMs that this VM has sent its current view to, and its revision.
    served: VecDeque<VmId>,
    served_upto: StoreRevision,
}

impl Transfers {
    /// Adds a peer whose view is complete up to a revision. `size` is its capacity, if it is known.
    pub(super) fn add_source(&mut self, vm: &VmId, size: Option<u32>, upto: StoreRevision) {
        if let Some(source) = self.sources.get_mut(vm) {
            source.size = size.unwrap_or(source.size);
            source.upto = source.upto.max(upto);
        } else if self.sources.len() < MAX_SOURCES {
            let size = size.unwrap_or(UNKNOWN_SIZE);
            self.sources.insert(vm.clone(), SourcePeer { size, upto, retry_at: Millis::ZERO });
        }
    }

    /// Adds the members that have routes and targets, and removes those that stop or have died.
    pub(super) fn set_members<'a>(&mut self, members: impl IntoIterator<Item = &'a Member>) {
        for member in members {
            if member.is_eligible() {
                self.add_source(&member.vm, Some(member.size), FIRST_REVISION);
            } else {
                self.sources.remove(&member.vm);
            }
        }
    }

    /// Returns whether a transfer is in progress.
    pub(super) fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Selects the source of a new transfer, unless one is in progress. Sources whose view is
    /// complete up to `upto` are selected at random, weighted by the square of their size: large VMs have a multiple of the link
    /// capacity of small ones, on which a transfer delays packets of clients.
    pub(super) fn start(&mut self, now: Millis, me: &VmId, upto: StoreRevision) -> Option<VmId> {
        if self.active.is_some() {
            return None;
        }
        let attempt = self.attempts;
        let usable = |(vm, source): &(&VmId, &SourcePeer)| {
            *vm != me && now >= source.retry_at && source.upto >= upto
        };
        let ready = self.sources.iter().filter(usable);
        let weighted = ready.map(|(vm, source)| {
            let hash = rendezvous::hash(("transfer", me, attempt, vm));
            // A uniform number in (0, 1); the least exponential variate wins with a probability
            // proportional to its weight.
            let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            (-uniform.ln() / f64::from(source.size.max(1)).powi(2), vm)
        });
        let (_, vm) = weighted.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let vm = vm.clone();
        self.attempts += 1;
        self.active = Some((vm.clone(), now));
        Some(vm)
    }

    /// Ends the transfer in progress, and returns when it began.
    pub(super) fn complete(&mut self, from: &VmId) -> Option<Millis> {
        let (_, started_at) = self.active.take_if(|(vm, _)| vm == from)?;
        Some(started_at)
    }

    /// Records that this VM sent its view up to a revision to a peer.
    pub(super) fn add_served(&mut self, vm: &VmId, upto: StoreRevision) {
        if self.served_upto != upto {
            (self.served, self.served_upto) = (VecDeque::new(), upto);
        }
        self.served.push_front(vm.clone());
        self.served.truncate(MAX_SERVED);
    }

    /// Returns VMs that this VM has served and the revision that it sent them. Successive calls
    /// name different ones, so that the VMs that are referred to them spread.
    pub(super) fn served(&mut self) -> (Vec<VmId>, StoreRevision) {
        let count = NAMED_SOURCES.min(self.served.len());
        let named = self.served.iter().take(count).cloned().collect();
        self.served.rotate_left(count);
        (named, self.served_upto)
    }

    /// Records that the transfer in progress failed.
    pub(super) fn fail(&mut self, now: Millis, from: &VmId, failure: TransferFailure) {
        self.complete(from);
        if let Some(source) = self.sources.get_mut(from) {
            source.retry_at = now
                + match failure {
                    TransferFailure::Busy => BUSY_PAUSE,
                    TransferFailure::Failed => FAILURE_PAUSE,
                };
        }
    }
}
