//! Messages between VMs, and the actions that the caller of [`super::Sharing`] carries out.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::{Name, VmId};
use crate::time::Millis;
use crate::version::{
    EvacuationChange, RouteRule, Routes, ServiceRule, StoreRevision, TargetChange,
};

/// Limits and intervals of [`super::Sharing`].
#[derive(Clone, Copy, Debug)]
pub struct SharingLimits {
    /// The number of VMs per data centre that follow the store.
    pub readers: usize,
    /// The number of VMs per data centre that call a failing store often, to detect its recovery
    /// immediately; the others call it less often. If the store rejects a third of the VMs, it
    /// rejects all three of them in 4 % of the cases.
    pub probers: usize,
    /// The interval at which a reader repeats its beacon if the store has confirmed nothing since
    /// the last one.
    pub beacon_interval: Millis,
    /// The age of the last store confirmation at which the member next in rank reads the store
    /// itself. A watch confirms every 1.5 s.
    pub standby_after: Millis,
    /// The age of the last store confirmation at which every member reads the store itself. New
    /// routes must be active within 3 s; this leaves 0.7 s to read them.
    pub fallback_after: Millis,
    /// How long a member that cannot reach the store is excluded from the ranking of readers.
    pub exclusion: Millis,
    /// How many members have to report that they cannot reach the store before the others leave
    /// calling it to them. If the store rejects a third of the VMs, it rejects all of these in
    /// 0.02 % of the cases.
    pub min_outage_reports: usize,
    /// The share of the members that have to report it in a large data centre.
    pub outage_report_share: f64,
    /// How long ago the last such report may have been received. Members that probe the store
    /// repeat theirs every [`SharingLimits::beacon_interval`].
    pub max_report_age: Millis,
    /// The oldest store confirmation at which a member may catch up with a delta. Tombstones are
    /// retained a little longer, for [`crate::version::TOMBSTONE_RETENTION`]; a member that was
    /// partitioned for longer needs the full state.
    pub max_delta_age: Millis,
    /// How long a VM that starts waits for a peer with routes and targets before it reads the
    /// store. When all VMs of a large deployment start together, the store's link would be shared
    /// by all of them; VMs with fast links read it first and send what they read to the others.
    pub store_delay: Millis,
    /// This VM's capacity relative to the others, by which they are ranked as readers.
    pub size: u32,
    /// How many of the VMs of a data centre that start without a peer to ask read the store after
    /// [`SharingLimits::store_delay`], as far as each knows the others.
    pub first_readers: usize,
    /// How long the others wait for them.
    pub first_reader_time: Millis,
    /// How long a VM that received its first state from a peer does not become a reader. It learns
    /// of the other members meanwhile.
    pub join_time: Millis,
    /// How long a VM waits for a peer to send changes that are too large for datagrams before it
    /// reads the store. New routes must be active within 3 s.
    pub transfer_patience: Millis,
    /// The largest size of one update in bytes, summed over all its receivers. A larger one would
    /// delay client packets on the same link for longer than their latency objectives allow.
    pub max_update_bytes: usize,
}

impl Default for SharingLimits {
    fn default() -> Self {
        SharingLimits {
            readers: 1,
            probers: 3,
            beacon_interval: Millis(1_000),
            standby_after: Millis(1_900),
            fallback_after: Millis(2_300),
            exclusion: Millis(4_000),
            min_outage_reports: 8,
            outage_report_share: 0.25,
            max_report_age: Millis(2_500),
            max_delta_age: Millis::from_secs(60),
            store_delay: Millis::ZERO,
            size: 1,
            first_readers: 2,
            first_reader_time: Millis(1_200),
            join_time: Millis(2_000),
            transfer_patience: Millis(1_000),
            max_update_bytes: SharingLimits::max_update_bytes(1_000),
        }
    }
}

impl SharingLimits {
    /// The time for which one update may occupy the link. The strictest latency objective is 150
    /// ms.
    const LINK_TIME: Millis = Millis(40);
    /// The speed of a link in Mbit/s over which the whole store, about 1 MB, is read in less than
    /// 100 ms.
    const FAST_LINK_MEGABITS: u32 = 100;
    /// The least time for which a VM with a slower link waits for a peer. VMs start within 0.3 s of
    /// each other, and one with a fast link has the state about 100 ms after its start.
    const MIN_STORE_DELAY: Millis = Millis(400);
    /// The range of the random part of that time.
    const STORE_DELAY_SPREAD: Millis = Millis(300);

    /// Sets this VM's capacity relative to the others.
    pub fn with_size(mut self, size: u32) -> SharingLimits {
        self.size = size;
        self
    }

    /// Sets the limits that depend on the VM's link of `megabits` Mbit/s. `jitter` is a random
    /// number from 0 to 1, which spreads the reads of VMs that start together.
    pub fn with_link(mut self, megabits: u32, jitter: f64) -> SharingLimits {
        self.max_update_bytes = SharingLimits::max_update_bytes(megabits);
        self.store_delay = if megabits >= SharingLimits::FAST_LINK_MEGABITS {
            Millis::ZERO
        } else {
            let spread = SharingLimits::STORE_DELAY_SPREAD.get() as f64 * jitter.clamp(0.0, 1.0);
            SharingLimits::MIN_STORE_DELAY + Millis(spread as u64)
        };
        self
    }

    const fn max_update_bytes(megabits: u32) -> usize {
        const BYTES_PER_MEGABIT_MS: usize = 125;
        megabits as usize * BYTES_PER_MEGABIT_MS * SharingLimits::LINK_TIME.get() as usize
    }
}

/// One changed item in a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharedItem {
    /// A target was written or deleted.
    Target(TargetChange),
    /// The routes changed. The following items contain the changes.
    Routes {
        /// The revision that the following items are relative to; `None` if they contain all
        /// routes.
        base: Option<StoreRevision>,
        /// The revision of the new routes.
        revision: StoreRevision,
        /// The operators' version of the new routes.
        version: u64,
        /// How long a flow may be idle.
        idle_timeout: Millis,
    },
    /// A service address has a new or changed rule.
    Route(std::net::SocketAddrV4, RouteRule),
    /// A service address no longer has a rule.
    RouteGone(std::net::SocketAddrV4),
    /// The evacuation of a data centre was requested or withdrawn.
    Evacuation(EvacuationChange),
    /// A service has a new or changed rule.
    Service(Name, ServiceRule),
    /// A service no longer has a rule.
    ServiceGone(Name),
}

/// A message between two VMs of one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharingMessage {
    /// Announces the revision of the sender's view, which the store confirmed `age` ago.
    Beacon {
        /// The revision of the last change to routes or targets. A receiver at this revision or a
        /// later one is up to date.
        unchanged_since: StoreRevision,
        /// The revision up to which the sender's view is complete.
        revision: StoreRevision,
        /// How long ago the store confirmed it.
        age: Millis,
        /// Whether the sender reaches the store. If not, another member takes over as a reader.
        reachable: bool,
    },
    /// Requests the changes after a revision.
    Ask {
        /// The revision up to which the sender's view is complete; 0 requests the full state.
        after: StoreRevision,
    },
    /// One part of an update, which contains the changes between two revisions.
    Share {
        /// The revision that the changes are relative to; 0 if they are the full state.
        after: StoreRevision,
        /// The revision up to which the changes are complete.
        upto: StoreRevision,
        /// How long ago the store confirmed that revision.
        age: Millis,
        /// The index of this part, starting at 0.
        part: u16,
        /// The number of parts of the update.
        parts: u16,
        /// The items of this part.
        items: Vec<SharedItem>,
    },
    /// The sender has changes that are too large for datagrams. The receiver fetches them over a
    /// stream, from the sender or from another peer that has fetched them.
    Offer {
        /// The revision up to which the sender's view is complete.
        upto: StoreRevision,
    },
    /// The response over a stream of a VM that serves too many others, or has nothing newer: other
    /// VMs that may have it.
    Sources {
        /// The VMs.
        vms: Vec<VmId>,
        /// The revision up to which their views are complete.
        upto: StoreRevision,
    },
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SharingStep {
    /// Send a message.
    Message {
        /// The VMs that receive it.
        to: Vec<VmId>,
        /// The message.
        message: SharingMessage,
    },
    /// Apply the changes received from a peer.
    Apply(SharedChanges),
    /// Request the changes after a revision from a peer over a stream. The caller reports the
    /// result to [`super::Sharing::on_transfer`] or [`super::Sharing::on_transfer_failure`].
    Fetch {
        /// The peer.
        from: VmId,
        /// The revision up to which this VM's view is complete; 0 requests the full state.
        after: StoreRevision,
    },
}

/// Why a peer did not send changes over a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferFailure {
    /// The peer serves other VMs, or has no newer state.
    Busy,
    /// The stream failed, or no response was received in time.
    Failed,
}

/// A completely received update.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedChanges {
    /// The VM that sent them.
    pub from: VmId,
    /// The changes of evacuations.
    pub evacuations: Vec<EvacuationChange>,
    /// The changes of targets.
    pub targets: Vec<TargetChange>,
    /// Whether `evacuations` and `targets` are the full state, so that all others are withdrawn or
    /// removed.
    pub complete: bool,
    /// The new routes, if they changed.
    pub routes: Option<Arc<Routes>>,
    /// The revision up to which the changes are complete.
    pub upto: StoreRevision,
}

/// Where a VM obtains changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// None yet: the VM has started and waits for a peer that has routes and targets.
    Starting,
    /// The store, because the VM is one of the readers.
    Reader,
    /// The store, because no peer provides a current view.
    Fallback,
    /// The readers of its data centre.
    Peers,
}

/// Counters of [`super::Sharing`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SharingCounters {
    /// Messages sent, counted per receiver.
    pub sent: u64,
    /// Updates applied from peers.
    pub applied: u64,
    /// Updates from peers that could not be applied to this VM's view because changes between were
    /// missing.
    pub gaps: u64,
    /// How often this VM switched from its peers to reading the store itself.
    pub alone: u64,
    /// Transfers over a stream that this VM requested.
    pub fetches: u64,
    /// Those of them that a peer refused or that failed.
    pub failed_fetches: u64,
}
