//! The section indexes of the latest revisions, which serve as bases of transfers.

use std::collections::VecDeque;

use super::sections;
use super::wire::DocumentId;
use crate::version::document::Digest;

#[derive(Debug)]
struct Entry {
    id: DocumentId,
    index: Vec<u64>,
}

/// The section indexes of the revisions that this VM adopted, newest last.
#[derive(Debug, Default)]
pub(super) struct History {
    entries: VecDeque<Entry>,
}

impl History {
    pub(super) fn push(&mut self, id: DocumentId, text: &str, max_entries: usize) {
        self.entries.push_back(Entry { id, index: sections::index(text) });
        while self.entries.len() > max_entries.max(1) {
            self.entries.pop_front();
        }
    }

    /// Returns whether a document was current before and has been replaced.
    pub(super) fn is_replaced(&self, digest: &Digest) -> bool {
        let is_current = self.entries.back().is_some_and(|entry| entry.id.digest == *digest);
        !is_current && self.entries.iter().any(|entry| entry.id.digest == *digest)
    }

    pub(super) fn get(&self, id: &DocumentId) -> Option<&[u64]> {
        let entry = self.entries.iter().find(|entry| entry.id == *id)?;
        Some(&entry.index)
    }
}
