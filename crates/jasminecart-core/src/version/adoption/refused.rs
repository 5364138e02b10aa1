//! Revisions that were refused as invalid, which are not asked for again.

use std::collections::BTreeMap;

use super::wire::Stamp;
use crate::version::document::{Digest, Revision};

/// The most refused revisions remembered; the lowest are forgotten first.
const MAX_REFUSED: usize = 16;

/// The refused revisions above the one in force. A revision between the one in force and a refused one is
/// still adopted, because other VMs may have it.
#[derive(Debug, Default)]
pub(super) struct Refused(BTreeMap<Revision, Digest>);

impl Refused {
    pub(super) fn insert(&mut self, stamp: Stamp) {
        self.0.insert(stamp.revision, stamp.digest);
        if self.0.len() > MAX_REFUSED {
            self.0.pop_first();
        }
    }

    pub(super) fn get(&self, revision: Revision) -> Option<Stamp> {
        self.0.get(&revision).map(|digest| Stamp { revision, digest: *digest })
    }

    pub(super) fn contains(&self, revision: Revision) -> bool {
        self.0.contains_key(&revision)
    }

    pub(super) fn highest(&self) -> Option<Revision> {
        self.0.keys().next_back().copied()
    }

    /// Forgets what a revision in force has made void.
    pub(super) fn forget_until(&mut self, in_force: Revision) {
        self.0.retain(|revision, _| *revision > in_force);
    }
}
