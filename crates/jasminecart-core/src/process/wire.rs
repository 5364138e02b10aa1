//! Messages of membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::PeerAddress;
use crate::names::{Incarnation, Name, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// The most updates accepted in one message.
pub(super) const MAX_UPDATES: usize = 256;
/// The most data centres in one message.
pub(super) const MAX_DATA_CENTRES: usize = 64;
/// The most updates of a table in one message, which keeps it below about 2 KB.
pub(super) const TABLE_UPDATES: usize = 32;

/// What a VM states of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stated {
    /// It starts and owns nothing yet.
    Joining,
    /// It is ready but was declared dead repeatedly, and waits before it owns anything.
    Held,
    /// It takes part in everything.
    Active,
    /// It stops as planned.
    Leaving,
}

/// What every message tells of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The start of the sender's process.
    pub incarnation: Incarnation,
    /// The count of the sender's statements, which orders them against claims of others.
    pub counter: u32,
    /// The sender's own statement.
    pub stated: Stated,
    /// The document revision in force at the sender.
    pub revision: Revision,
}

/// What an update says of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The VM stated this of itself.
    State {
        /// The statement.
        stated: Stated,
        /// Its capacity relative to the other entry VMs.
        size: u32,
        /// Its addresses.
        address: PeerAddress,
        /// The document revision in force there.
        revision: Revision,
    },
    /// A member got no answer from the VM.
    Suspect,
    /// A member removed the VM.
    Dead,
    /// The VM reported a document revision.
    Revision(Revision),
}

/// What the sender knows of a VM, its own or another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The data centre, absent when it is the sender's.
    pub data_centre: Option<Name>,
    /// The name of the VM.
    pub name: Name,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The count of its statements that the claim refers to.
    pub counter: u32,
    /// The claim.
    pub claim: Claim,
}

impl Update {
    /// Returns an upper bound of the encoded size in bytes, where numbers take 7 bits a byte.
    pub(super) fn bytes(&self) -> usize {
        let number = |value: u64| (64 - (value | 1).leading_zeros() as usize).div_ceil(7);
        let name = |name: &Name| name.as_str().len() + 1;
        let socket = |socket: SocketAddr| if socket.is_ipv4() { 8 } else { 20 };
        let claim = match &self.claim {
            Claim::State { size, address, revision, .. } => {
                let PeerAddress { control, packets, requests } = *address;
                let sockets = socket(control) + socket(packets) + socket(requests);
                1 + number(u64::from(*size)) + sockets + number(revision.0)
            }
            Claim::Suspect | Claim::Dead => 0,
            Claim::Revision(revision) => number(revision.0),
        };
        let data_centre = self.data_centre.as_ref().map_or(0, name);
        let order = number(self.incarnation.0) + number(u64::from(self.counter));
        2 + data_centre + name(&self.name) + order + claim
    }

    /// Returns the identity of the VM, given the data centre of the sender.
    pub(super) fn vm(&self, sender: &Name) -> VmId {
        let data_centre = self.data_centre.as_ref().unwrap_or(sender).clone();
        VmId { data_centre, name: self.name.clone() }
    }
}

/// The hash of the live members of a data centre as the sender knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHash {
    /// The data centre.
    pub data_centre: Name,
    /// The hash.
    pub hash: u64,
}

/// A message of membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks for an [`MemberMessage::Ack`].
    Ping {
        /// The number of the probe.
        seq: u32,
        /// The sender.
        head: Head,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answers a ping.
    Ack {
        /// The number of the probe.
        seq: u32,
        /// The sender.
        head: Head,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to probe a member of the same data centre on behalf of the sender.
    Relay {
        /// The number of the sender's probe.
        seq: u32,
        /// The member to probe.
        target: Name,
        /// The sender.
        head: Head,
        /// Piggybacked updates, with the claim about the target first.
        updates: Vec<Update>,
    },
    /// Passes on the answer to a relayed probe.
    Relayed {
        /// The number of the receiver's probe.
        seq: u32,
        /// The member that answered.
        target: Name,
        /// What it told of itself.
        answer: Head,
        /// The sender.
        head: Head,
    },
    /// Introduces the sender and compares its table with the receiver's.
    Sync {
        /// The sender.
        head: Head,
        /// The sender's statement with its addresses.
        me: Update,
        /// What the sender knows of each data centre.
        tables: Vec<TableHash>,
        /// Whether this is the answer to another sync, which is not answered again.
        answer: bool,
    },
    /// A part of the sender's table.
    Table {
        /// The sender.
        head: Head,
        /// The members, dead ones included.
        updates: Vec<Update>,
        /// How long the receiver has to wait before it owns anything, because it flapped.
        hold: Millis,
    },
}

impl MemberMessage {
    /// Returns what the message tells of its sender.
    pub fn head(&self) -> Head {
        match self {
            MemberMessage::Ping { head, .. }
            | MemberMessage::Ack { head, .. }
            | MemberMessage::Relay { head, .. }
            | MemberMessage::Relayed { head, .. }
            | MemberMessage::Sync { head, .. }
            | MemberMessage::Table { head, .. } => *head,
        }
    }

    /// Tells whether all parts are within their bounds.
    pub(super) fn is_bounded(&self) -> bool {
        match self {
            MemberMessage::Ping { updates, .. }
            | MemberMessage::Ack { updates, .. }
            | MemberMessage::Relay { updates, .. }
            | MemberMessage::Table { updates, .. } => updates.len() <= MAX_UPDATES,
            MemberMessage::Relayed { .. } => true,
            MemberMessage::Sync { tables, .. } => tables.len() <= MAX_DATA_CENTRES,
        }
    }
}
