//! Messages of the membership protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::PeerAddress;
use crate::names::{Incarnation, Name, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// Upper bound on the updates in one message.
pub(super) const MAX_UPDATES: usize = 256;
/// Upper bound on the data centres in one message.
pub(super) const MAX_DATA_CENTRES: usize = 64;
/// The largest size in bytes of the updates in one message when a table is sent, so that the
/// message with its envelope fits a datagram of the usual MTU, however long the names are.
const TABLE_BYTES: usize = 1_100;

/// Splits the updates of a table into parts of at most [`TABLE_BYTES`].
pub(super) fn split_table(updates: Vec<Update>) -> Vec<Vec<Update>> {
    let mut parts: Vec<Vec<Update>> = Vec::new();
    let mut bytes = 0;
    for update in updates {
        let size = update.max_encoded_bytes();
        match parts.last_mut() {
            Some(part) if bytes + size <= TABLE_BYTES => part.push(update),
            Some(_) | None => {
                parts.push(vec![update]);
                bytes = 0;
            }
        }
        bytes += size;
    }
    parts
}

/// The state that a VM declares for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DeclaredState {
    /// The VM is starting and owns nothing yet.
    Joining,
    /// The VM is ready but held down: it was declared dead repeatedly and may not own anything yet.
    Held,
    /// The VM may own flows and slots.
    Active,
    /// The VM is about to stop as planned.
    Leaving,
}

/// The state of the sender, which is part of every message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The counter of the sender's declared state. It grows with each change and each refutation,
    /// and orders the declared state against suspicions and deaths reported by others.
    pub counter: u32,
    /// The sender's declared state.
    pub stated: DeclaredState,
    /// The sender's current document revision.
    pub revision: Revision,
}

/// What an update reports about a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The VM declared this state for itself.
    State {
        /// The declared state.
        stated: DeclaredState,
        /// Its capacity relative to the other entry VMs.
        size: u32,
        /// Its addresses.
        address: PeerAddress,
        /// The VM's current document revision.
        revision: Revision,
    },
    /// A member got no response from the VM.
    Suspect,
    /// A member declared the VM dead.
    Dead,
    /// The VM reported a document revision.
    Revision(Revision),
}

/// An update about a VM, which may be the sender or another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The data centre of the VM, absent if it is the sender's.
    pub data_centre: Option<Name>,
    /// The name of the VM.
    pub name: Name,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The counter of its declared state that the claim refers to, see [`Head::counter`].
    pub counter: u32,
    /// What is reported.
    pub claim: Claim,
}

impl Update {
    /// Returns an upper bound of the encoded size in bytes. Numbers are encoded with 7 bits per
    /// byte.
    pub(super) fn max_encoded_bytes(&self) -> usize {
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

    /// Returns the identity of the VM, given the data centre of the update's sender.
    pub(super) fn vm(&self, sender: &Name) -> VmId {
        let data_centre = self.data_centre.as_ref().unwrap_or(sender).clone();
        VmId { data_centre, name: self.name.clone() }
    }
}

/// The hash of the live members of a data centre in the sender's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHash {
    /// The data centre.
    pub data_centre: Name,
    /// The hash.
    pub hash: u64,
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// A probe, which the receiver has to acknowledge with [`MemberMessage::Ack`].
    Ping {
        /// The number of the probe.
        seq: u32,
        /// The sender.
        head: Head,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Acknowledges a ping.
    Ack {
        /// The number of the probe.
        seq: u32,
        /// The sender.
        head: Head,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Requests an indirect probe: the receiver pings a member of the same data centre for the
    /// sender.
    Relay {
        /// The number of the sender's probe.
        seq: u32,
        /// The member to probe.
        target: Name,
        /// The sender.
        head: Head,
        /// The suspicion or death of the target, if the sender has one.
        updates: Vec<Update>,
    },
    /// Relays the ack to an indirect probe.
    Relayed {
        /// The number of the receiver's probe.
        seq: u32,
        /// The member that sent the ack.
        target: Name,
        /// The head of its ack.
        answer: Head,
        /// The sender.
        head: Head,
    },
    /// Introduces the sender and compares its table with the receiver's.
    Sync {
        /// The sender.
        head: Head,
        /// The sender's declared state and addresses.
        me: Update,
        /// The hashes of the sender's view of each data centre.
        tables: Vec<TableHash>,
        /// Whether this responds to another sync. Such a response is not responded to.
        answer: bool,
    },
    /// A part of the sender's table of members.
    Table {
        /// The sender.
        head: Head,
        /// The members, dead ones included.
        updates: Vec<Update>,
        /// The hold-down of the receiver: how long it may not own anything because it flapped.
        hold: Millis,
    },
}

impl MemberMessage {
    /// Returns the state of the sender.
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

    /// Returns whether all lists are within their bounds.
    pub(super) fn is_within_bounds(&self) -> bool {
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
