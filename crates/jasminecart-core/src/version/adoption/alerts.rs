//! Findings for operators, each reported once.

use std::collections::BTreeSet;

use super::wire::Stamp;
use crate::version::document::{Digest, DocumentErrors, Revision};

/// The most conflicts remembered as reported.
const MAX_REPORTED: usize = 64;

/// A finding that an operator has to look at.
#[derive(Clone, Debug)]
pub enum AdoptionAlert {
    /// The same revision exists with different bytes.
    DigestConflict {
        /// The revision.
        revision: Revision,
        /// The digest in force.
        ours: Digest,
        /// The other digest.
        theirs: Digest,
    },
    /// The document was refused as invalid; the previous one stays in force.
    Invalid {
        /// The revision.
        revision: Revision,
        /// The problems.
        errors: DocumentErrors,
    },
    /// The platform answered with a lower revision than the one in force.
    Reverted {
        /// The revision in force.
        ours: Revision,
        /// The revision of the platform.
        theirs: Revision,
    },
}

/// What was reported already.
#[derive(Debug, Default)]
pub(super) struct Reported {
    conflicts: BTreeSet<Stamp>,
    reverted: BTreeSet<Revision>,
}

impl Reported {
    /// Returns the alert for another digest of a revision, the first time.
    pub(super) fn conflict(&mut self, ours: Stamp, theirs: Digest) -> Option<AdoptionAlert> {
        let revision = ours.revision;
        let new = self.conflicts.insert(Stamp { revision, digest: theirs });
        if self.conflicts.len() > MAX_REPORTED {
            self.conflicts.pop_first();
        }
        let ours = ours.digest;
        new.then_some(AdoptionAlert::DigestConflict { revision, ours, theirs })
    }

    /// Returns the alert for a platform that went back, the first time for its revision.
    pub(super) fn reverted(&mut self, ours: Revision, theirs: Revision) -> Option<AdoptionAlert> {
        let new = self.reverted.insert(theirs);
        if self.reverted.len() > MAX_REPORTED {
            self.reverted.pop_first();
        }
        new.then_some(AdoptionAlert::Reverted { ours, theirs })
    }
}
