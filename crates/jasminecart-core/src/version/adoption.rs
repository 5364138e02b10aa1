//! Adoption of documents from the platform and from peers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::document::{Digest, Document, DocumentErrors, Revision};
use crate::message::Outgoing;
use crate::names::VmId;
use crate::process::Members;
use crate::time::Millis;

/// Bounds and periods of adoption.
#[derive(Clone, Debug)]
pub struct AdoptionLimits {
    /// How long a starting VM waits for the platform and its peers before it serves with what it has.
    pub start_within: Millis,
}

impl Default for AdoptionLimits {
    fn default() -> Self {
        AdoptionLimits { start_within: Millis::from_secs(3) }
    }
}

/// A message of document adoption.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentMessage {
    /// States what the sender has.
    Have {
        /// The revision.
        revision: Revision,
        /// The digest of its bytes.
        digest: Digest,
    },
}

/// An answer of the platform's configuration service.
#[derive(Clone, Debug)]
pub enum PlatformReply {
    /// The document as stored, to a read or a watch.
    Document {
        /// The revision in the store.
        revision: Revision,
        /// The text.
        text: Arc<str>,
    },
    /// A watch ended without a newer revision.
    Unchanged,
    /// The platform did not answer.
    Unavailable,
}

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

/// What the caller of [`Adoption`] has to do.
#[derive(Clone, Debug)]
pub enum Step {
    /// Put a document into force.
    Adopt(Arc<Document>),
    /// Read the document from the platform once.
    ReadPlatform,
    /// Wait at the platform for a revision above this one, then report the reply.
    Watch {
        /// The revision that the caller has.
        after: Revision,
    },
    /// End the watch.
    StopWatch,
    /// Send a message.
    Message(Outgoing),
    /// Tell the operator.
    Alert(AdoptionAlert),
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AdoptionCounters {
    /// Documents put into force.
    pub adopted: u64,
}

/// Decides which document is in force on this VM.
#[derive(Debug)]
pub struct Adoption {
    limits: AdoptionLimits,
    started_at: Option<Millis>,
    ready: bool,
    current: Option<Arc<Document>>,
    counters: AdoptionCounters,
}

impl Adoption {
    /// Creates the adoption of one process.
    pub fn new(_me: VmId, _seed: u64, limits: AdoptionLimits) -> Adoption {
        let counters = AdoptionCounters::default();
        Adoption { limits, started_at: None, ready: false, current: None, counters }
    }

    /// Starts asking the platform and the peers.
    pub fn start(&mut self, now: Millis) -> Vec<Step> {
        self.started_at = Some(now);
        vec![Step::Watch { after: Revision(0) }]
    }

    /// Takes an answer of the platform.
    pub fn on_platform(&mut self, _now: Millis, reply: PlatformReply) -> Vec<Step> {
        let mut steps = Vec::new();
        if let PlatformReply::Document { revision, text } = reply {
            steps.extend(self.offer(revision, &text));
        }
        let after = self.current.as_ref().map_or(Revision(0), |document| document.revision());
        steps.push(Step::Watch { after });
        steps
    }

    /// Takes a message from a peer.
    pub fn on_message(
        &mut self,
        _now: Millis,
        _from: &VmId,
        _message: DocumentMessage,
    ) -> Vec<Step> {
        Vec::new()
    }

    /// Takes a new list of members.
    pub fn set_members(&mut self, _now: Millis, _members: &Members) -> Vec<Step> {
        Vec::new()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Step> {
        let waited = self.started_at.is_some_and(|at| now.since(at) >= self.limits.start_within);
        self.ready |= self.current.is_some() && waited;
        Vec::new()
    }

    /// Returns the document in force.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Tells whether this VM may serve. A VM without a document never may.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &AdoptionCounters {
        &self.counters
    }

    fn offer(&mut self, revision: Revision, text: &str) -> Option<Step> {
        if self.current.as_ref().is_some_and(|current| current.revision() >= revision) {
            return None;
        }
        match Document::parse(revision, text) {
            Ok(document) => {
                let document = Arc::new(document);
                self.current = Some(document.clone());
                self.ready = true;
                self.counters.adopted += 1;
                Some(Step::Adopt(document))
            }
            Err(errors) => Some(Step::Alert(AdoptionAlert::Invalid { revision, errors })),
        }
    }
}
