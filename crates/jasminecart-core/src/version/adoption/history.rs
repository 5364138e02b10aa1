//! The section indexes of the latest revisions, which serve as bases of transfers.

use std::collections::VecDeque;

use super::sections;
use super::wire::DocumentId;

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

    pub(super) fn get(&self, id: &DocumentId) -> Option<&[u64]> {
        let entry = self.entries.iter().find(|entry| entry.id == *id)?;
        Some(&entry.index)
    }
}
