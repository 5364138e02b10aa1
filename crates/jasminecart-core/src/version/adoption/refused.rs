//! Revisions that failed validation and are not fetched again.

use std::collections::BTreeMap;

use super::wire::DocumentId;
use crate::version::document::{Digest, Revision};

/// The largest number of refused revisions that are remembered. The lowest ones are evicted first.
const MAX_REFUSED: usize = 16;

/// The refused revisions above the current one. A revision between the current one and a refused
/// one is still adopted, because other VMs may have it.
#[derive(Debug, Default)]
pub(super) struct RefusedRevisions(BTreeMap<Revision, Digest>);

impl RefusedRevisions {
    pub(super) fn insert(&mut self, id: DocumentId) {
        self.0.insert(id.revision, id.digest);
        if self.0.len() > MAX_REFUSED {
            self.0.pop_first();
        }
    }

    pub(super) fn get(&self, revision: Revision) -> Option<DocumentId> {
        self.0.get(&revision).map(|digest| DocumentId { revision, digest: *digest })
    }

    pub(super) fn contains(&self, revision: Revision) -> bool {
        self.0.contains_key(&revision)
    }

    pub(super) fn highest(&self) -> Option<Revision> {
        self.0.keys().next_back().copied()
    }

    /// Discards the refused revisions that are not above the current one.
    pub(super) fn discard_up_to(&mut self, current: Revision) {
        self.0.retain(|revision, _| *revision > current);
    }
}
