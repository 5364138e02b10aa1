//! Adopts documents from the platform and from peers.

mod alerts;
mod fetch;
mod history;
mod limits;
mod platform;
mod refused;
mod sections;
mod serve;
mod sources;
mod start;
mod transfer;
mod wire;

use std::sync::Arc;

use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use self::alerts::ReportedAlerts;
use self::fetch::Fetch;
use self::history::History;
use self::platform::{PlatformRequest, PlatformRequests};
use self::refused::RefusedRevisions;
use self::serve::PartServer;
use self::sources::Sources;
use self::start::Startup;
use super::document::{Digest, Document, Revision};
use crate::invariant;
use crate::message::Outgoing;
use crate::names::VmId;
use crate::process::{Members, rendezvous};
use crate::time::Millis;

pub use self::alerts::AdoptionAlert;
pub use self::limits::{AdoptionCounters, AdoptionLimits};
pub use self::wire::{DocumentId, DocumentMessage, Part, Piece};

/// How long a starting VM waits for the document from the platform before it fetches the document
/// from a peer. The platform is faster than the paced transfer from a peer.
const PLATFORM_HEAD_START: Millis = Millis(1_000);

/// A response of the platform's configuration service.
#[derive(Clone, Debug)]
pub enum PlatformReply {
    /// The stored document, in response to a read or a watch.
    Document {
        /// The revision of the document.
        revision: Revision,
        /// The text of the document.
        text: Arc<str>,
    },
    /// A watch ended without a newer revision.
    Unchanged,
    /// The platform did not respond.
    Unavailable,
}

/// An action that the caller of [`Adoption`] has to carry out.
#[derive(Clone, Debug)]
pub enum Step {
    /// Apply a document as the current one.
    Adopt(Arc<Document>),
    /// Read the document from the platform once, and report the reply.
    ReadPlatform,
    /// Wait for the platform to have a revision above `after`, then report the reply.
    Watch {
        /// The highest revision that this VM has adopted or refused.
        after: Revision,
    },
    /// Stop the watch. Its reply does not need to be reported.
    StopWatch,
    /// Send a message.
    Message(Outgoing),
    /// Report a problem to the operators.
    Alert(AdoptionAlert),
}

/// Decides which document is current on this VM.
///
/// [`Adoption::tick`] has to be called at least every 200 ms. See `docs/design.md`, section 8.
#[derive(Debug)]
pub struct Adoption {
    limits: AdoptionLimits,
    rng: ChaCha8Rng,
    startup: Startup,
    current: Option<Arc<Document>>,
    refused: RefusedRevisions,
    history: History,
    sources: Sources,
    platform: PlatformRequests,
    fetch: Option<Fetch>,
    /// Whether the next transfer is sent without a base, because copied sections gave a different
    /// digest.
    fetch_without_base: bool,
    server: PartServer,
    reported: ReportedAlerts,
    next_compare_at: Option<Millis>,
    steps: Vec<Step>,
    counters: AdoptionCounters,
}

impl Adoption {
    /// Creates the adoption state of one process.
    pub fn new(me: VmId, seed: u64, limits: AdoptionLimits) -> Adoption {
        Adoption {
            rng: ChaCha8Rng::seed_from_u64(seed ^ rendezvous::hash(("adoption", &me))),
            startup: Startup::default(),
            current: None,
            refused: RefusedRevisions::default(),
            history: History::default(),
            sources: Sources::new(me),
            platform: PlatformRequests::default(),
            fetch: None,
            fetch_without_base: false,
            server: PartServer::new(&limits),
            reported: ReportedAlerts::default(),
            next_compare_at: None,
            steps: Vec::new(),
            counters: AdoptionCounters::default(),
            limits,
        }
    }

    /// Starts to read the platform and to query peers.
    pub fn start(&mut self, now: Millis) -> Vec<Step> {
        self.startup.started_at = Some(now);
        let request = self.platform.read(now);
        self.send_request(request);
        self.finish(now)
    }

    /// Handles a response of the platform.
    pub fn on_platform(&mut self, now: Millis, reply: PlatformReply) -> Vec<Step> {
        self.startup.platform_responded = true;
        match reply {
            PlatformReply::Document { revision, text } => {
                let (current_revision, requested_after) =
                    (self.current_revision(), self.highest_evaluated());
                self.adopt_if_newer(now, revision, &text);
                if revision < current_revision {
                    self.report_reverted(revision);
                }
                if revision < requested_after {
                    self.platform.on_failure(now, &mut self.rng, &self.limits);
                } else {
                    self.platform.on_response(now, revision > requested_after);
                }
            }
            PlatformReply::Unchanged => self.platform.on_response(now, false),
            // A watch that was stopped may still report that it received no response.
            PlatformReply::Unavailable if !self.platform.is_pending() => {}
            PlatformReply::Unavailable => {
                self.counters.platform_failures += 1;
                self.platform.on_failure(now, &mut self.rng, &self.limits);
            }
        }
        self.send_due_requests(now);
        self.finish(now)
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: DocumentMessage) -> Vec<Step> {
        match message {
            DocumentMessage::Have { revision, digest } => {
                self.on_have(from, DocumentId { revision, digest });
            }
            DocumentMessage::Ask => {
                let have = self.have_message();
                self.send(from, have);
            }
            DocumentMessage::Fetch { base, revision, part } => {
                self.on_fetch(now, from, base, revision, part);
            }
            DocumentMessage::Part(part) => self.on_part(now, from, &part),
            DocumentMessage::Watch { span } => {
                self.platform.watch_as_backup(now, span, &self.limits);
                self.send_due_requests(now);
            }
        }
        self.fetch_newer(now);
        self.finish(now)
    }

    /// Replaces the members, and starts a transfer if one of them reports a newer revision.
    pub fn set_members(&mut self, now: Millis, members: &Members) -> Vec<Step> {
        self.sources.set_members(members);
        self.query_peers();
        self.fetch_newer(now);
        self.finish(now)
    }

    /// Processes timers: requests to the platform, comparisons with peers, and transfers.
    pub fn tick(&mut self, now: Millis) -> Vec<Step> {
        if self.startup.started_at.is_some() {
            self.send_due_requests(now);
            self.compare_with_peer(now);
            self.check_fetch(now);
            self.fetch_newer(now);
        }
        self.serve(now);
        self.finish(now)
    }

    /// Returns the current document.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Returns whether this VM is ready to serve. A VM without a document never is.
    pub fn is_ready(&self) -> bool {
        self.startup.is_ready()
    }

    /// Returns the counters for metrics.
    pub fn counters(&self) -> &AdoptionCounters {
        &self.counters
    }

    /// Updates readiness and returns the queued steps.
    fn finish(&mut self, now: Millis) -> Vec<Step> {
        let settled = self.fetch.is_none()
            && self.sources.newer(self.current_revision(), &self.refused).is_none();
        let timed_out = !self.startup.is_within(now, self.limits.start_timeout);
        self.startup.update_readiness(self.current.is_some(), settled, timed_out);
        std::mem::take(&mut self.steps)
    }

    /// Returns the current revision, or 0 without a document.
    fn current_revision(&self) -> Revision {
        self.current.as_ref().map(|document| document.revision()).unwrap_or_default()
    }

    /// Returns the highest revision that was adopted or refused. The platform is watched for later
    /// ones.
    fn highest_evaluated(&self) -> Revision {
        self.current_revision().max(self.refused.highest().unwrap_or_default())
    }

    fn current_id(&self) -> Option<DocumentId> {
        let document = self.current.as_ref()?;
        Some(DocumentId { revision: document.revision(), digest: document.digest() })
    }

    fn have_message(&self) -> DocumentMessage {
        let none = DocumentId { revision: Revision(0), digest: Digest([0; 32]) };
        let DocumentId { revision, digest } = self.current_id().unwrap_or(none);
        DocumentMessage::Have { revision, digest }
    }

    fn send(&mut self, to: &VmId, message: DocumentMessage) {
        self.steps.push(Step::Message(Outgoing::new(to.clone(), message)));
    }

    /// Adopts a document if it is valid and newer than the current one. Returns whether it was
    /// adopted.
    fn adopt_if_newer(&mut self, now: Millis, revision: Revision, text: &str) -> bool {
        if revision <= self.current_revision() || self.refused.contains(revision) {
            self.counters.outdated += u64::from(revision < self.current_revision());
            self.check_digest(DocumentId { revision, digest: Digest::of(text) });
            return false;
        }
        if self.is_restored(revision, text) {
            self.counters.outdated += 1;
            self.refused.insert(DocumentId { revision, digest: Digest::of(text) });
            self.report_reverted(revision);
            return false;
        }
        match Document::parse(revision, text) {
            Ok(document) => {
                self.adopt(now, Arc::new(document));
                true
            }
            Err(errors) => {
                self.counters.invalid += 1;
                self.refused.insert(DocumentId { revision, digest: Digest::of(text) });
                self.steps.push(Step::Alert(AdoptionAlert::Invalid { revision, errors }));
                false
            }
        }
    }

    /// Returns whether a document comes from the copy that the store was restored from: it has been replaced, and it is the
    /// first one of a new epoch. Operators who go back to an earlier document publish it after that.
    fn is_restored(&self, revision: Revision, text: &str) -> bool {
        let new_epoch = revision.epoch() > self.highest_evaluated().epoch();
        new_epoch && self.history.is_replaced(&Digest::of(text))
    }

    fn adopt(&mut self, now: Millis, document: Arc<Document>) {
        let previous = self.current.as_ref().map(|document| document.revision());
        invariant!(
            previous < Some(document.revision()),
            "revision {} was adopted after {previous:?}",
            document.revision()
        );
        let id = DocumentId { revision: document.revision(), digest: document.digest() };
        self.history.push(id, document.text(), self.limits.max_history);
        self.counters.adopted += 1;
        self.current = Some(document.clone());
        if self.fetch.as_ref().is_some_and(|fetch| fetch.revision <= id.revision) {
            self.fetch = None;
        }
        self.fetch_without_base = false;
        self.refused.discard_up_to(id.revision);
        self.steps.push(Step::Adopt(document));
        let mut peers = self.sources.peers();
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, self.limits.push_fanout);
        let have = self.have_message();
        for vm in chosen {
            self.send(vm, have.clone());
        }
        self.next_compare_at = Some(now + self.limits.compare_interval);
    }

    /// Reports a conflict if this VM has the same revision with a different digest.
    fn check_digest(&mut self, theirs: DocumentId) {
        let known = [self.current_id(), self.refused.get(theirs.revision)].into_iter().flatten();
        let same = known.into_iter().find(|ours| ours.revision == theirs.revision);
        let Some(ours) = same.filter(|ours| ours.digest != theirs.digest) else { return };
        if let Some(alert) = self.reported.conflict(ours, theirs.digest) {
            self.steps.push(Step::Alert(alert));
        }
    }

    fn report_reverted(&mut self, theirs: Revision) {
        let Some(ours) = self.current_id() else { return };
        if let Some(alert) = self.reported.reverted(ours.revision, theirs) {
            self.steps.push(Step::Alert(alert));
        }
    }

    fn send_request(&mut self, request: PlatformRequest) {
        self.counters.platform_reads += u64::from(request != PlatformRequest::StopWatch);
        self.steps.push(match request {
            PlatformRequest::Read => Step::ReadPlatform,
            PlatformRequest::Watch => Step::Watch { after: self.highest_evaluated() },
            PlatformRequest::StopWatch => Step::StopWatch,
        });
    }

    /// Sends the requests to the platform that are due, and requests a backup watcher if necessary.
    fn send_due_requests(&mut self, now: Millis) {
        let rank = self.sources.own_rank();
        let watcher = rank < self.limits.watchers;
        let watches = watcher || self.current.is_none();
        let members = self.sources.count();
        let requests =
            self.platform.due_requests(now, watches, members, &mut self.rng, &self.limits);
        for request in requests {
            self.send_request(request);
        }
        if !watcher {
            return;
        }
        let Some(turn) = self.platform.take_backup_turn(now, &self.limits) else { return };
        let index = turn.wrapping_mul(self.limits.watchers).wrapping_add(rank);
        if let Some(vm) = self.sources.backup_watcher(self.limits.watchers, index).cloned() {
            self.send(&vm, DocumentMessage::Watch { span: self.limits.backup_watch_duration });
        }
    }

    /// Queries peers for their revisions while this VM starts.
    fn query_peers(&mut self) {
        let peers_to_query = self.startup.peers_to_query(self.limits.start_peers);
        if peers_to_query == 0 {
            return;
        }
        let mut peers = self.sources.peers();
        peers.retain(|vm| !self.startup.was_queried(vm));
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, peers_to_query);
        for vm in chosen {
            self.send(vm, DocumentMessage::Ask);
            self.startup.record_query(vm.clone());
        }
    }

    /// Sends revision and digest to a random peer at the configured interval.
    fn compare_with_peer(&mut self, now: Millis) {
        if now < *self.next_compare_at.get_or_insert(now + self.limits.compare_interval) {
            return;
        }
        self.next_compare_at = Some(now + self.limits.compare_interval);
        if let Some(vm) = self.sources.peers().choose(&mut self.rng) {
            let have = self.have_message();
            self.send(vm, have);
        }
    }

    fn on_have(&mut self, from: &VmId, theirs: DocumentId) {
        self.startup.record_response(from);
        self.sources.record_report(from, theirs.revision);
        // The source has restarted with a lower revision.
        self.fetch.take_if(|fetch| fetch.source == *from && theirs.revision < fetch.revision);
        self.check_digest(theirs);
        if self.current_id().is_some_and(|ours| ours.revision > theirs.revision) {
            let have = self.have_message();
            self.send(from, have);
        }
    }
}
