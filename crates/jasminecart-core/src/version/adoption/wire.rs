//! Messages of document adoption between VMs.

use serde::{Deserialize, Serialize};

use crate::time::Millis;
use crate::version::document::{Digest, Revision};

/// The largest number of text bytes accepted in one message.
pub(super) const MAX_PART_BYTES: usize = 64 << 10;
/// The largest number of pieces accepted in one message.
pub(super) const MAX_PIECES: usize = 8_192;
/// The largest number of parts of one transfer.
pub(super) const MAX_PARTS: u32 = 4_096;

/// A piece of a text that is reconstructed from a base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Sections to copy from the base.
    Copy {
        /// The index of the first section, starting at 0.
        first: u32,
        /// The number of consecutive sections.
        count: u32,
    },
    /// New text.
    Text(String),
}

/// Identifies a document by revision and digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DocumentId {
    /// The revision.
    pub revision: Revision,
    /// The digest of the document's bytes.
    pub digest: Digest,
}

/// A part of a document in transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The document that is transferred.
    pub document: DocumentId,
    /// The revision whose sections are copied, or `None` if the whole text is sent.
    pub base: Option<Revision>,
    /// The index of this part, starting at 0.
    pub part: u32,
    /// The number of parts of the transfer.
    pub parts: u32,
    /// The pieces in order.
    pub pieces: Vec<Piece>,
}

/// A message of document adoption.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentMessage {
    /// Announces the sender's current document; revision 0 if it has none.
    Have {
        /// The revision.
        revision: Revision,
        /// The digest of the document's bytes.
        digest: Digest,
    },
    /// Requests a [`DocumentMessage::Have`] from the receiver.
    Ask,
    /// Requests a part of the receiver's document.
    Fetch {
        /// The sender's current document, from which unchanged sections are copied.
        base: Option<DocumentId>,
        /// The lowest revision that the sender accepts.
        revision: Revision,
        /// The index of the part.
        part: u32,
    },
    /// The response to a fetch.
    Part(Part),
    /// Requests the receiver to watch the platform temporarily, because the sender cannot reach it.
    Watch {
        /// The duration of the watch.
        span: Millis,
    },
}
