//! Receives a document from peers, part by part.

use std::sync::Arc;

use super::sections;
use super::wire::{DocumentId, DocumentMessage, MAX_PART_BYTES, MAX_PARTS, MAX_PIECES, Part};
use crate::names::VmId;
use crate::time::Millis;
use crate::version::document::{Digest, Document, Revision};

/// The document text received so far.
#[derive(Debug)]
struct Assembly {
    document: DocumentId,
    base: Option<Revision>,
    parts: u32,
    next: u32,
    text: String,
}

/// A transfer in progress.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) source: VmId,
    /// The revision that the peers had reported when the transfer started.
    pub(super) revision: Revision,
    pub(super) progress_at: Millis,
    /// When the platform is read as well because the transfer is slow. [`Millis::MAX`] once it was
    /// read.
    pub(super) platform_read_at: Millis,
    base: Option<Arc<Document>>,
    assembly: Option<Assembly>,
}

/// The outcome of receiving a part.
#[derive(Debug)]
pub(super) enum ReceiveOutcome {
    /// The part was not expected and changes nothing.
    Ignored,
    /// More parts are needed.
    Incomplete,
    /// The document is complete and has the stated digest.
    Complete(Revision, String),
    /// The parts do not produce a text with the stated digest.
    Mismatch,
}

impl Fetch {
    pub(super) fn new(
        now: Millis,
        source: VmId,
        revision: Revision,
        base: Option<Arc<Document>>,
        platform_read_at: Millis,
    ) -> Fetch {
        Fetch { source, revision, progress_at: now, platform_read_at, base, assembly: None }
    }

    /// Continues the transfer from another peer, which can add to the same assembly.
    pub(super) fn switch_source(&mut self, now: Millis, source: VmId) {
        self.source = source;
        self.progress_at = now;
    }

    /// Moves the read of the platform forward by `duration`, unless the platform was already read.
    pub(super) fn advance_platform_read(&mut self, duration: Millis) {
        if self.platform_read_at < Millis::MAX {
            self.platform_read_at = self.platform_read_at - duration;
        }
    }

    /// Returns the request for the part that is needed next.
    pub(super) fn request(&self) -> DocumentMessage {
        let base = self
            .base
            .as_ref()
            .map(|base| DocumentId { revision: base.revision(), digest: base.digest() });
        let part = self.assembly.as_ref().map_or(0, |assembly| assembly.next);
        DocumentMessage::Fetch { base, revision: self.revision, part }
    }

    /// Appends a received part to the document.
    pub(super) fn receive(&mut self, now: Millis, part: &Part) -> ReceiveOutcome {
        let base_revision = self.base.as_ref().map(|base| base.revision());
        let known_base = part.base.is_none() || part.base == base_revision;
        if !is_bounded(part) || !known_base || part.document.revision < self.revision {
            return ReceiveOutcome::Ignored;
        }
        let continues = self.assembly.as_ref().is_some_and(|assembly| {
            let same = assembly.document == part.document && assembly.base == part.base;
            same && assembly.parts == part.parts
        });
        if !continues {
            // The source has a newer revision by now, or a different base than the previous source.
            self.assembly = None;
            if part.part > 0 {
                self.progress_at = now;
                return ReceiveOutcome::Incomplete;
            }
        }
        let assembly = self.assembly.get_or_insert_with(|| Assembly {
            document: part.document,
            base: part.base,
            parts: part.parts,
            next: 0,
            text: String::new(),
        });
        if assembly.next != part.part {
            return ReceiveOutcome::Ignored;
        }
        let base = self.base.as_ref().map(|base| base.text().clone()).unwrap_or_default();
        let base = if part.base.is_some() { sections::split(&base) } else { Vec::new() };
        if !sections::append(&mut assembly.text, &base, &part.pieces) {
            return ReceiveOutcome::Mismatch;
        }
        assembly.next += 1;
        self.progress_at = now;
        if assembly.next < assembly.parts {
            return ReceiveOutcome::Incomplete;
        }
        let text = std::mem::take(&mut assembly.text);
        if Digest::of(&text) == part.document.digest {
            ReceiveOutcome::Complete(part.document.revision, text)
        } else {
            ReceiveOutcome::Mismatch
        }
    }
}

fn is_bounded(part: &Part) -> bool {
    let bytes: usize = part.pieces.iter().map(sections::text_bytes).sum();
    let counts = part.pieces.len() <= MAX_PIECES && (1..=MAX_PARTS).contains(&part.parts);
    counts && part.part < part.parts && bytes <= MAX_PART_BYTES
}
