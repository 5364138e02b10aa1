//! Alerts for operators. Each one is reported once.

use std::collections::BTreeSet;

use super::wire::DocumentId;
use crate::version::document::{Digest, DocumentErrors, Revision};

/// The largest number of reported alerts that are remembered per kind.
const MAX_REPORTED: usize = 64;

/// A problem that an operator has to look at.
#[derive(Clone, Debug)]
pub enum AdoptionAlert {
    /// Another VM or the platform has the same revision with different bytes.
    DigestConflict {
        /// The revision.
        revision: Revision,
        /// The digest on this VM.
        ours: Digest,
        /// The other digest.
        theirs: Digest,
    },
    /// A document failed validation; the previous one remains current.
    Invalid {
        /// The revision.
        revision: Revision,
        /// The validation errors.
        errors: DocumentErrors,
    },
    /// The platform responded with a lower revision than the current one, or came back from a copy with a document
    /// that has been replaced.
    Reverted {
        /// The current revision on this VM.
        ours: Revision,
        /// The revision on the platform.
        theirs: Revision,
    },
}

/// The alerts that were already reported.
#[derive(Debug, Default)]
pub(super) struct ReportedAlerts {
    conflicts: BTreeSet<DocumentId>,
    reverted: BTreeSet<Revision>,
}

impl ReportedAlerts {
    /// Returns the alert for a conflicting digest of a revision, or `None` if it was reported
    /// before.
    pub(super) fn conflict(&mut self, ours: DocumentId, theirs: Digest) -> Option<AdoptionAlert> {
        let revision = ours.revision;
        let is_new = self.conflicts.insert(DocumentId { revision, digest: theirs });
        if self.conflicts.len() > MAX_REPORTED {
            self.conflicts.pop_first();
        }
        let ours = ours.digest;
        is_new.then_some(AdoptionAlert::DigestConflict { revision, ours, theirs })
    }

    /// Returns the alert for a platform whose revision decreased to `theirs`, or `None` if it was
    /// reported before.
    pub(super) fn reverted(&mut self, ours: Revision, theirs: Revision) -> Option<AdoptionAlert> {
        let is_new = self.reverted.insert(theirs);
        if self.reverted.len() > MAX_REPORTED {
            self.reverted.pop_first();
        }
        is_new.then_some(AdoptionAlert::Reverted { ours, theirs })
    }
}
