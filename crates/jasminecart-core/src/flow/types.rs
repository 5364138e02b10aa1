//! Limits, results and counts of the router.

use std::net::SocketAddr;

use serde::Serialize;

use super::packet::ForwardHeader;
use crate::names::{Name, VmId};

/// Bounds of flow routing.
#[derive(Clone, Debug)]
pub struct FlowLimits {
    /// The most entries of the flow table.
    pub max_exceptions: usize,
}

impl Default for FlowLimits {
    fn default() -> Self {
        FlowLimits { max_exceptions: 1_000_000 }
    }
}

/// Where a packet goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a target, encapsulated.
    Target {
        /// The service.
        service: Name,
        /// The target.
        target: Name,
        /// The address of the target for encapsulated packets.
        address: SocketAddr,
    },
    /// To another entry VM with a forward header.
    Peer {
        /// The VM.
        vm: VmId,
        /// The UDP address of the VM.
        address: SocketAddr,
        /// The header.
        header: ForwardHeader,
    },
    /// Nowhere.
    Drop(DropReason),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// This VM has no document yet.
    NoDocument,
    /// This VM does not know the generations yet.
    NotReady,
    /// No service has this address.
    NoService,
    /// The service has no target for a new flow.
    NoTarget,
    /// The table is full of established flows and the base target is draining.
    TableFull,
    /// The first fragment of the packet was not seen here.
    NoFragment,
    /// The packet waited while this process was paused.
    Backlog,
    /// The target of a flow with the same addresses drains, and hints to it are being revoked.
    Revoking,
}

/// Why a flow goes where it goes, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FlowExplanation {
    /// The service of the flow.
    pub service: Option<Name>,
    /// The target of the flow.
    pub target: Option<Name>,
    /// The reason in words.
    pub reason: String,
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FlowCounters {
    /// Packets sent to targets.
    pub to_targets: u64,
    /// Packets passed to other VMs.
    pub to_peers: u64,
    /// Packets dropped.
    pub dropped: u64,
    /// Packets dropped because no service has their address.
    pub dropped_no_service: u64,
    /// Packets dropped because the table is full.
    pub dropped_table_full: u64,
    /// Later fragments dropped because the first one is unknown.
    pub dropped_no_fragment: u64,
    /// Packets dropped because they waited while this process was paused.
    pub dropped_backlog: u64,
    /// SYNs dropped while hints for an earlier flow were being revoked.
    pub dropped_revoking: u64,
    /// New flows decided by this VM as an owner.
    pub decided: u64,
    /// New flows that went to the base target unrecorded because the table was full.
    pub unrecorded: u64,
    /// Packets sent to the base target although the owners were not certain to know the flow.
    pub uncertain: u64,
    /// Entries evicted from the full table.
    pub evicted: u64,
    /// Entries of the table.
    pub entries: u64,
    /// Memory of the table in bytes.
    pub table_bytes: u64,
    /// Buckets that are unsettled, over all services.
    pub unsettled_buckets: u64,
    /// Entries waiting to be transferred to other owners.
    pub transfer_queue: u64,
    /// Hints sent.
    pub hints: u64,
    /// Hints revoked because the owner decided again, by messages sent.
    pub forgets: u64,
    /// Bytes of hints and their revocation sent.
    pub hint_bytes: u64,
    /// Bytes of transfers after deaths sent.
    pub repair_bytes: u64,
    /// Bytes of transfers for planned changes sent.
    pub planned_bytes: u64,
    /// Bytes of generations and their comparison sent.
    pub sync_bytes: u64,
    /// Pauses of the event loop noticed.
    pub pauses: u64,
}
