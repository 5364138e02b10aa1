//! Limits, results and counters of the bucket router.

use std::net::SocketAddr;

use serde::Serialize;

use super::packet::ForwardHeader;
use crate::names::{Name, VmId};

/// Limits of the [`BucketRouter`](super::BucketRouter).
#[derive(Clone, Debug)]
pub struct FlowLimits {
    /// The maximum number of entries in the flow table.
    pub max_exceptions: usize,
}

impl Default for FlowLimits {
    fn default() -> Self {
        FlowLimits { max_exceptions: 1_000_000 }
    }
}

/// The next hop of a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Encapsulate the packet and send it to a target.
    Target {
        /// The service.
        service: Name,
        /// The target.
        target: Name,
        /// The address to which encapsulated packets are sent.
        address: SocketAddr,
    },
    /// Forward the packet to another entry VM with a forward header.
    Peer {
        /// The VM.
        vm: VmId,
        /// The UDP address of the VM.
        address: SocketAddr,
        /// The header.
        header: ForwardHeader,
    },
    /// Drop the packet.
    Drop(DropReason),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// This VM has no document yet.
    NoDocument,
    /// This VM has not received the generations of its peers yet.
    NotReady,
    /// No service has this address.
    NoService,
    /// The service has no target that can take the flow.
    NoTarget,
    /// The flow table is full of established flows, and the bucket has no base target or a draining
    /// one.
    TableFull,
    /// This VM has not received the first fragment of the packet.
    NoFragment,
    /// The packet was queued in a socket buffer while this process was paused.
    Backlog,
    /// The target of an earlier flow with the same addresses is draining, and hints for it are
    /// being revoked.
    Revoking,
}

/// The target of a flow and why it was chosen, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FlowExplanation {
    /// The service of the flow.
    pub service: Option<Name>,
    /// The target of the flow.
    pub target: Option<Name>,
    /// The reason in words.
    pub reason: String,
}

/// Counters for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FlowCounters {
    /// Packets sent to targets.
    pub to_targets: u64,
    /// Packets forwarded to other VMs.
    pub to_peers: u64,
    /// Packets dropped.
    pub dropped: u64,
    /// Packets dropped because no service has their address.
    pub dropped_no_service: u64,
    /// Packets dropped because the table is full.
    pub dropped_table_full: u64,
    /// Later fragments dropped because the first one was not received.
    pub dropped_no_fragment: u64,
    /// Packets dropped because they were queued while this process was paused.
    pub dropped_backlog: u64,
    /// SYNs dropped while hints for an earlier flow with the same addresses were being revoked.
    pub dropped_revoking: u64,
    /// New flows whose target this VM chose as an owner.
    pub decided: u64,
    /// New flows routed without an entry because the table was full.
    pub unrecorded: u64,
    /// Packets sent to the base target although an owner might lack the entry of their flow.
    pub uncertain: u64,
    /// Entries evicted from the full table.
    pub evicted: u64,
    /// Entries in the table.
    pub entries: u64,
    /// Memory used by the table in bytes.
    pub table_bytes: u64,
    /// Buckets that are unsettled, over all services.
    pub unsettled_buckets: u64,
    /// Entries queued for transfer to other owners.
    pub transfer_queue: u64,
    /// Hints sent.
    pub hints: u64,
    /// Revocations of hints and their confirmations sent, in messages.
    pub forgets: u64,
    /// Bytes of hints, revocations and their confirmations sent.
    pub hint_bytes: u64,
    /// Bytes sent to transfer entries after an owner died or to restore a missing entry.
    pub repair_bytes: u64,
    /// Bytes sent to transfer entries for planned joins and stops, to confirm transfers, and to
    /// send generations to joining VMs.
    pub planned_bytes: u64,
    /// Bytes sent to synchronise generations and to announce completed transfers.
    pub sync_bytes: u64,
    /// Pauses of the event loop detected.
    pub pauses: u64,
}
