//! Messages of adoption.

use serde::{Deserialize, Serialize};

use crate::time::Millis;
use crate::version::document::{Digest, Revision};

/// The most bytes of text accepted in one message.
pub(super) const MAX_PART_BYTES: usize = 64 << 10;
/// The most pieces accepted in one message.
pub(super) const MAX_PIECES: usize = 8_192;
/// The most messages of one transfer.
pub(super) const MAX_PARTS: u32 = 4_096;

/// A piece of a text that is put together from another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Sections of the base, copied.
    Copy {
        /// The number of the first section, from 0.
        first: u32,
        /// How many sections follow each other.
        count: u32,
    },
    /// New text.
    Text(String),
}

/// A document by revision and digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The revision.
    pub revision: Revision,
    /// The digest of its bytes.
    pub digest: Digest,
}

/// A part of a document in transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The document.
    pub document: Stamp,
    /// The document whose sections are copied, or none when the whole text is sent.
    pub base: Option<Revision>,
    /// The number of this part, from 0.
    pub part: u32,
    /// The number of all parts.
    pub parts: u32,
    /// The pieces in order.
    pub pieces: Vec<Piece>,
}

/// A message of document adoption.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentMessage {
    /// States what the sender has; revision 0 when it has nothing.
    Have {
        /// The revision.
        revision: Revision,
        /// The digest of its bytes.
        digest: Digest,
    },
    /// Asks the receiver what it has.
    Ask,
    /// Asks for a part of the receiver's document.
    Fetch {
        /// What the sender has, from which unchanged sections are copied.
        base: Option<Stamp>,
        /// The lowest revision that is of use to the sender.
        revision: Revision,
        /// The number of the part.
        part: u32,
    },
    /// Answers a fetch.
    Part(Part),
    /// Asks the receiver to watch the platform for a while, because the sender cannot reach it.
    Watch {
        /// How long.
        span: Millis,
    },
}
