//! The envelope in which entry VMs send messages to each other.

use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::{Incarnation, Name, VmId};
use serde::{Deserialize, Serialize};

/// The protocol version. A receiver refuses an envelope of any other version as a whole.
pub const PROTOCOL: u32 = 1;

/// The maximum size of an envelope in bytes. A document section is at most 1 MiB, the largest value of the
/// configuration service; the remainder is for the envelope's own fields and other messages in it.
pub const MAX_ENVELOPE_BYTES: usize = (1 << 20) + (256 << 10);

/// The maximum number of messages in one envelope.
pub const MAX_ENVELOPE_MESSAGES: usize = 4_096;

/// Messages from one VM to another, in the order in which they were sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's protocol version, [`PROTOCOL`].
    pub protocol: u32,
    /// The sender.
    pub from: VmId,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The messages.
    pub messages: Vec<PeerMessage>,
}

impl Envelope {
    /// Returns whether the sender's data centre and name are valid. Decoding alone does not check them.
    pub fn has_valid_sender(&self) -> bool {
        let valid = |name: &Name| Name::parse(name.as_str()).is_some();
        valid(&self.from.data_centre) && valid(&self.from.name)
    }
}

/// The response to an envelope. Replies to individual messages are sent in separate envelopes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The receiver's protocol version.
    pub protocol: u32,
}
