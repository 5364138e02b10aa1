//! Messages between the bucket routers of a data centre.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::Name;
use crate::version::Revision;

/// A message between bucket routers.
///
/// The codec identifies variants by their position, so new variants must be appended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Lets a VM that keeps forwarding packets of a flow route them to the target itself.
    Hint {
        /// The hash of the flow.
        flow: u64,
        /// The key of the target.
        target: u64,
    },
    /// Revokes the hint for a flow. The receiver confirms with [`FlowMessage::Forgotten`].
    Forget {
        /// The hash of the flow.
        flow: u64,
    },
    /// Transfers entries to an owner, grouped by target.
    Transfer {
        /// The sequence number, which the receiver confirms with [`FlowMessage::Received`].
        sequence: u32,
        /// The groups.
        groups: Vec<TransferGroup>,
    },
    /// Announces that the sender has transferred every entry it had for the receiver.
    TransferDone {
        /// The hash of the members from which the sender computed the owners.
        epoch: u64,
    },
    /// Compares the generations of two VMs.
    Digest {
        /// The revision of the sender's document.
        revision: Revision,
        /// The digest of the sender's generations.
        digest: u64,
        /// Whether the receiver has to respond.
        ask: bool,
        /// The revision up to which the sender already has the generations.
        since: Revision,
    },
    /// Sends generations, which the receiver merges as a set.
    Generations {
        /// The revision of the sender's document.
        revision: Revision,
        /// The services.
        services: Vec<ServiceGenerations>,
        /// Whether the receiver has to respond with its generations if they differ.
        ask: bool,
    },
    /// Confirms a [`FlowMessage::Transfer`].
    Received {
        /// The sequence number of the transfer.
        sequence: u32,
    },
    /// Confirms a [`FlowMessage::Forget`].
    Forgotten {
        /// The hash of the flow.
        flow: u64,
    },
}

/// Entries of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferGroup {
    /// The key of the target.
    pub target: u64,
    /// The entries.
    pub entries: Vec<TransferEntry>,
}

/// A transferred entry; its target is in the [`TransferGroup`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferEntry {
    /// The hash of the flow, as 8 bytes in little-endian order; a variable-length integer would
    /// take 10 bytes.
    pub flow: [u8; 8],
    /// The state of the flow, and a flag for whether hints were given.
    pub state: u8,
    /// The time since the flow was opened, in units of 250 ms. The younger of two entries is valid.
    pub age: u16,
}

/// The generations of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceGenerations {
    /// The service.
    pub service: Name,
    /// The generations by revision.
    pub generations: Vec<(Revision, Arc<[GenerationTarget]>)>,
    /// A bitmap of the buckets that generations discarded since left unsettled. Empty when there
    /// are none.
    pub residue: Vec<u64>,
}

/// A target in a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GenerationTarget {
    /// The name of the target.
    pub name: Name,
    /// The address for encapsulated packets. A changed address makes it a different target.
    pub address: SocketAddr,
    /// The weight.
    pub weight: u32,
    /// Whether the target keeps its open flows but receives no new ones.
    pub draining: bool,
    /// The revision that added the target. A target that is removed and added again is a different
    /// target.
    pub added: Revision,
}

impl FlowMessage {
    /// Estimates the size on the wire in bytes, for rate limits and metrics: the encoded message
    /// and 6 bytes for its share of the envelope.
    pub fn wire_bytes(&self) -> usize {
        const FRAME: usize = 6;
        FRAME
            + match self {
                FlowMessage::Hint { .. } => 20,
                FlowMessage::Forget { .. }
                | FlowMessage::Forgotten { .. }
                | FlowMessage::TransferDone { .. } => 10,
                FlowMessage::Received { .. } => 5,
                FlowMessage::Digest { .. } => 17,
                FlowMessage::Transfer { groups, .. } => {
                    5 + groups.iter().map(|group| 12 + 11 * group.entries.len()).sum::<usize>()
                }
                FlowMessage::Generations { services, .. } => {
                    services.iter().map(ServiceGenerations::wire_bytes).sum()
                }
            }
    }
}

impl ServiceGenerations {
    pub(super) fn wire_bytes(&self) -> usize {
        let target = |target: &GenerationTarget| 20 + target.name.as_str().len();
        let set = |(_, targets): &(Revision, Arc<[GenerationTarget]>)| {
            6 + targets.iter().map(target).sum::<usize>()
        };
        let residue = 10 * self.residue.len();
        4 + self.service.as_str().len() + residue + self.generations.iter().map(set).sum::<usize>()
    }
}
