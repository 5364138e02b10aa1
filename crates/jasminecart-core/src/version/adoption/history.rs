//! The section indexes of the latest revisions, as bases of transfers.

use std::collections::VecDeque;

use super::sections;
use super::wire::Stamp;

#[derive(Debug)]
struct Entry {
    stamp: Stamp,
    index: Vec<u64>,
}

/// The indexes of the revisions that were in force here, the newest last.
#[derive(Debug, Default)]
pub(super) struct History {
    entries: VecDeque<Entry>,
}

impl History {
    pub(super) fn push(&mut self, stamp: Stamp, text: &str, most: usize) {
        self.entries.push_back(Entry { stamp, index: sections::index(text) });
        while self.entries.len() > most.max(1) {
            self.entries.pop_front();
        }
    }

    pub(super) fn get(&self, stamp: &Stamp) -> Option<&[u64]> {
        let entry = self.entries.iter().find(|entry| entry.stamp == *stamp)?;
        Some(&entry.index)
    }
}
