//! Messages between the routers of a data centre.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::Name;
use crate::version::Revision;

/// A message of flow routing.
///
/// The codec numbers the variants in their order, so new variants go to the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Tells a VM the target of a flow whose packets it keeps forwarding.
    Hint {
        /// The hash of the flow.
        flow: u64,
        /// The key of the target.
        target: u64,
    },
    /// Tells a VM to drop its hint for a flow, because the owner decided again.
    Forget {
        /// The hash of the flow.
        flow: u64,
    },
    /// Hands entries to an owner, grouped by target.
    Transfer {
        /// The number of the message, which the receiver confirms.
        sequence: u32,
        /// The groups.
        groups: Vec<TransferGroup>,
    },
    /// States that the sender has handed over every entry that the receiver owns.
    TransferDone {
        /// The hash of the members for which the owners were computed.
        epoch: u64,
    },
    /// Compares the generations of two VMs.
    Digest {
        /// The revision of the sender's document.
        revision: Revision,
        /// The digest of its generations.
        digest: u64,
        /// Whether the receiver has to answer.
        ask: bool,
        /// The revision up to which the sender needs no generations.
        since: Revision,
    },
    /// Hands over generations, to be merged as a set.
    Generations {
        /// The revision of the sender's document.
        revision: Revision,
        /// The services.
        services: Vec<ServiceGenerations>,
        /// Whether the receiver has to answer with what the sender lacks.
        ask: bool,
    },
    /// Confirms a [`FlowMessage::Transfer`].
    Received {
        /// The number of the message.
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

/// An entry without its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferEntry {
    /// The hash of the flow, as bytes because a variable-length integer would take 10.
    pub flow: [u8; 8],
    /// The state of the flow and whether hints were given.
    pub state: u8,
    /// How long ago the flow was opened, in steps of 250 ms; the later of two entries is the valid one.
    pub age: u16,
}

/// The generations of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceGenerations {
    /// The service.
    pub service: Name,
    /// The generations by revision.
    pub generations: Vec<(Revision, Arc<[GenerationTarget]>)>,
    /// Buckets that were unsettled by generations discarded since, one bit each. Empty when there are none.
    pub residue: Vec<u64>,
}

/// A target in a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GenerationTarget {
    /// The name of the target.
    pub name: Name,
    /// The address for encapsulated packets. A target with another address is another target.
    pub address: SocketAddr,
    /// The weight.
    pub weight: u32,
    /// Whether the target keeps its open flows and gets no new ones.
    pub draining: bool,
    /// The revision that added the target. A target that is removed and added again is another target.
    pub added: Revision,
}

impl FlowMessage {
    /// Estimates the size on the wire in bytes, for pacing and measurements: the encoded message and
    /// 6 bytes for its share of the envelope.
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
