//! What VMs tell each other, and what the caller of [`super::Sharing`] has to do.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::VmId;
use crate::time::Millis;
use crate::version::{Revision, RouteRule, Routes, TargetChange};

/// Bounds and periods of [`super::Sharing`].
#[derive(Clone, Copy, Debug)]
pub struct SharingLimits {
    /// How many VMs of a data centre follow the store.
    pub readers: usize,
    /// How many VMs of a data centre call a store that fails often enough to notice its return at once. With
    /// a third of the VMs turned away, all of three are in 4 % of the cases; the others call less often.
    pub probers: usize,
    /// The period in which a reader repeats what it knows, if the store confirmed nothing since.
    pub beacon: Millis,
    /// The age of the last confirmation by the store at which the member next in rank reads on its own. A
    /// watch confirms every 1.5 s.
    pub standby_after: Millis,
    /// The age at which any member reads on its own. New routes have to be in force within 3 s, of which
    /// this leaves 0.7 s for reading them.
    pub alone_after: Millis,
    /// How long a reader that can't reach the store is passed over.
    pub passed_over: Millis,
    /// How long ago a member may have been current to be told only what changed since. Deletions are
    /// remembered a little longer, [`crate::version::TOMBSTONE_RETENTION`]; a member that was away for longer
    /// has to be told everything.
    pub history: Millis,
    /// The most bytes of one statement to all its receivers together. More would hold up the packets of
    /// clients on the same link for longer than their objectives allow.
    pub statement_bytes: usize,
}

impl Default for SharingLimits {
    fn default() -> Self {
        SharingLimits {
            readers: 1,
            probers: 3,
            beacon: Millis(1_000),
            standby_after: Millis(1_900),
            alone_after: Millis(2_300),
            passed_over: Millis(4_000),
            history: Millis::from_secs(60),
            statement_bytes: SharingLimits::statement_bytes(1_000),
        }
    }
}

impl SharingLimits {
    /// The time for which one statement may occupy the link. The strictest objective is 150 ms.
    const LINK_TIME: Millis = Millis(40);

    /// Sets the bound of a statement for a link of some Mbit/s.
    pub fn with_link(mut self, megabits: u32) -> SharingLimits {
        self.statement_bytes = SharingLimits::statement_bytes(megabits);
        self
    }

    const fn statement_bytes(megabits: u32) -> usize {
        const BYTES_PER_MEGABIT_MS: usize = 125;
        megabits as usize * BYTES_PER_MEGABIT_MS * SharingLimits::LINK_TIME.get() as usize
    }
}

/// One item of what VMs share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharedItem {
    /// A target was written or deleted.
    Target(TargetChange),
    /// The routes changed. The items that follow tell how.
    Routes {
        /// The routes that the following items change; absent when they are all routes.
        base: Option<Revision>,
        /// The revision of the new routes.
        revision: Revision,
        /// The operators' version of the new routes.
        version: u64,
        /// How long a flow may be idle.
        idle_timeout: Millis,
    },
    /// A service address leads to a rule.
    Route(std::net::SocketAddrV4, RouteRule),
    /// A service address no longer leads anywhere.
    RouteGone(std::net::SocketAddrV4),
}

/// A message between two VMs of one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharingMessage {
    /// What the sender knows is of `revision`, confirmed by the store `age` ago.
    Beacon {
        /// The revision since which nothing changed that concerns the receiver.
        unchanged_since: Revision,
        /// The revision up to which the sender knows everything.
        revision: Revision,
        /// How long ago the store confirmed it.
        age: Millis,
        /// Whether the sender reaches the store. If not, another member has to read in its place.
        reachable: bool,
    },
    /// Asks for what changed after a revision.
    Ask {
        /// The revision up to which the asker knows everything.
        after: Revision,
    },
    /// One part of what changed between two revisions.
    Share {
        /// The revision from which the changes count; 0 when they are everything.
        after: Revision,
        /// The revision up to which they are complete.
        upto: Revision,
        /// How long ago the store confirmed that.
        age: Millis,
        /// The number of this part, from 0.
        part: u16,
        /// How many parts there are.
        parts: u16,
        /// The items of this part.
        items: Vec<SharedItem>,
    },
    /// What changed is too large for the sender's link; the receiver has to read the store itself.
    ReadStore {
        /// The revision up to which it has to read.
        upto: Revision,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum SharingStep {
    /// A message has to be sent.
    Message {
        /// The VMs that receive it.
        to: Vec<VmId>,
        /// The message.
        message: SharingMessage,
    },
    /// A peer's knowledge has to be applied.
    Apply(SharedChanges),
}

/// Changes that were received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedChanges {
    /// The VM that sent them.
    pub from: VmId,
    /// Changes of targets.
    pub targets: Vec<TargetChange>,
    /// Whether these are all targets, so that any other one is gone.
    pub complete: bool,
    /// The new routes, if they changed.
    pub routes: Option<Arc<Routes>>,
    /// The revision up to which they are complete.
    pub upto: Revision,
}

/// How a VM keeps its knowledge current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It follows the store itself, because it is one of the readers.
    Reader,
    /// It follows the store itself, because no peer tells it anything current.
    Alone,
    /// It follows the readers of its data centre.
    Peers,
}

/// Counts of [`super::Sharing`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SharingCounters {
    /// Messages sent.
    pub sent: u64,
    /// Changes taken from peers.
    pub applied: u64,
    /// Changes of peers that did not fit what this VM knows.
    pub gaps: u64,
    /// How often this VM began to read on its own.
    pub alone: u64,
}
