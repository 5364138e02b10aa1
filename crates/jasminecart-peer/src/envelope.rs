//! What travels between entry VMs.

use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::{Incarnation, Name, VmId};
use serde::{Deserialize, Serialize};

/// The version of the protocol. An envelope of another version is refused as a whole.
pub const PROTOCOL: u32 = 1;

/// The largest envelope in bytes. A document section is at most 1 MiB, the largest value of the
/// configuration service; the rest is room for the envelope itself and for messages sent along.
pub const MAX_ENVELOPE_BYTES: usize = (1 << 20) + (256 << 10);

/// The most messages of one envelope.
pub const MAX_ENVELOPE_MESSAGES: usize = 4_096;

/// Messages of one VM to another, in the order in which they were sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version of the protocol, [`PROTOCOL`].
    pub protocol: u32,
    /// The sender.
    pub from: VmId,
    /// The start of the sender's process.
    pub incarnation: Incarnation,
    /// The messages.
    pub messages: Vec<PeerMessage>,
}

impl Envelope {
    /// Tells whether the sender's names have the allowed form. Decoding alone does not check them.
    pub fn has_valid_sender(&self) -> bool {
        let valid = |name: &Name| Name::parse(name.as_str()).is_some();
        valid(&self.from.data_centre) && valid(&self.from.name)
    }
}

/// The answer to an envelope. Messages that answer messages travel in envelopes of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The version of the receiver's protocol.
    pub protocol: u32,
}
