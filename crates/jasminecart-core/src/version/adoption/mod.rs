//! Adoption of documents from the platform and from peers.

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

use self::alerts::Reported;
use self::fetch::Fetch;
use self::history::History;
use self::platform::{Platform, Request};
use self::refused::Refused;
use self::serve::Server;
use self::sources::Sources;
use self::start::Start;
use super::document::{Digest, Document, Revision};
use crate::invariant;
use crate::message::Outgoing;
use crate::names::VmId;
use crate::process::{Members, rendezvous};
use crate::time::Millis;

pub use self::alerts::AdoptionAlert;
pub use self::limits::{AdoptionCounters, AdoptionLimits};
pub use self::wire::{DocumentMessage, Part, Piece, Stamp};

/// For this long a starting VM leaves the whole document to the platform, which is faster than the paced
/// transfer from a peer.
const PLATFORM_FIRST: Millis = Millis(1_000);

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

/// What the caller of [`Adoption`] has to do.
#[derive(Clone, Debug)]
pub enum Step {
    /// Put a document into force.
    Adopt(Arc<Document>),
    /// Read the document from the platform once, and report the reply.
    ReadPlatform,
    /// Wait at the platform for a revision above this one, then report the reply.
    Watch {
        /// The revision that the caller has.
        after: Revision,
    },
    /// End the watch. Its reply need not be reported.
    StopWatch,
    /// Send a message.
    Message(Outgoing),
    /// Tell the operator.
    Alert(AdoptionAlert),
}

/// Decides which document is in force on this VM.
///
/// [`Adoption::tick`] has to be called at least every 200 ms. See `docs/design.md`, section 8.
#[derive(Debug)]
pub struct Adoption {
    limits: AdoptionLimits,
    rng: ChaCha8Rng,
    start: Start,
    current: Option<Arc<Document>>,
    refused: Refused,
    history: History,
    sources: Sources,
    platform: Platform,
    fetch: Option<Fetch>,
    /// Whether the next transfer copies nothing, because copied sections gave another digest.
    fetch_whole: bool,
    server: Server,
    reported: Reported,
    next_have: Option<Millis>,
    out: Vec<Step>,
    counters: AdoptionCounters,
}

impl Adoption {
    /// Creates the adoption of one process.
    pub fn new(me: VmId, seed: u64, limits: AdoptionLimits) -> Adoption {
        Adoption {
            rng: ChaCha8Rng::seed_from_u64(seed ^ rendezvous::hash(("adoption", &me))),
            start: Start::default(),
            current: None,
            refused: Refused::default(),
            history: History::default(),
            sources: Sources::new(me),
            platform: Platform::default(),
            fetch: None,
            fetch_whole: false,
            server: Server::new(&limits),
            reported: Reported::default(),
            next_have: None,
            out: Vec::new(),
            counters: AdoptionCounters::default(),
            limits,
        }
    }

    /// Starts asking the platform and the peers.
    pub fn start(&mut self, now: Millis) -> Vec<Step> {
        self.start.at = Some(now);
        let request = self.platform.read(now);
        self.ask_platform(request);
        self.finish(now)
    }

    /// Takes an answer of the platform.
    pub fn on_platform(&mut self, now: Millis, reply: PlatformReply) -> Vec<Step> {
        self.start.platform_answered = true;
        match reply {
            PlatformReply::Document { revision, text } => {
                let (in_force, asked) = (self.in_force(), self.after());
                self.offer(now, revision, &text);
                if revision < in_force {
                    self.note_reverted(revision);
                }
                if revision < asked {
                    self.platform.failed(now, &mut self.rng, &self.limits);
                } else {
                    self.platform.answered(now, revision > asked);
                }
            }
            PlatformReply::Unchanged => self.platform.answered(now, false),
            // A watch that was ended on request may still report that it got no answer.
            PlatformReply::Unavailable if !self.platform.is_asked() => {}
            PlatformReply::Unavailable => {
                self.counters.platform_failures += 1;
                self.platform.failed(now, &mut self.rng, &self.limits);
            }
        }
        self.plan(now);
        self.finish(now)
    }

    /// Takes a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: DocumentMessage) -> Vec<Step> {
        match message {
            DocumentMessage::Have { revision, digest } => {
                self.on_have(from, Stamp { revision, digest });
            }
            DocumentMessage::Ask => {
                let have = self.have();
                self.send(from, have);
            }
            DocumentMessage::Fetch { base, revision, part } => {
                self.on_fetch(now, from, base, revision, part);
            }
            DocumentMessage::Part(part) => self.on_part(now, from, &part),
            DocumentMessage::Watch { span } => {
                self.platform.backup_watcher(now, span, &self.limits);
                self.plan(now);
            }
        }
        self.fetch_newer(now);
        self.finish(now)
    }

    /// Takes a new list of members. Their reported revisions lead to transfers.
    pub fn set_members(&mut self, now: Millis, members: &Members) -> Vec<Step> {
        self.sources.set_members(members);
        self.ask_peers();
        self.fetch_newer(now);
        self.finish(now)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Step> {
        if self.start.at.is_some() {
            self.plan(now);
            self.compare(now);
            self.check_fetch(now);
            self.fetch_newer(now);
        }
        self.serve(now);
        self.finish(now)
    }

    /// Returns the document in force.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Tells whether this VM may serve. A VM without a document never may.
    pub fn is_ready(&self) -> bool {
        self.start.is_ready()
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &AdoptionCounters {
        &self.counters
    }

    fn finish(&mut self, now: Millis) -> Vec<Step> {
        let settled =
            self.fetch.is_none() && self.sources.newer(self.in_force(), &self.refused).is_none();
        let timed_out = !self.start.is_within(now, self.limits.start_within);
        self.start.refresh(self.current.is_some(), settled, timed_out);
        std::mem::take(&mut self.out)
    }

    /// Returns the revision in force, or 0.
    fn in_force(&self) -> Revision {
        self.current.as_ref().map(|document| document.revision()).unwrap_or_default()
    }

    /// Returns the revision above which the platform has news for this VM.
    fn after(&self) -> Revision {
        self.in_force().max(self.refused.highest().unwrap_or_default())
    }

    fn stamp(&self) -> Option<Stamp> {
        let document = self.current.as_ref()?;
        Some(Stamp { revision: document.revision(), digest: document.digest() })
    }

    fn have(&self) -> DocumentMessage {
        let none = Stamp { revision: Revision(0), digest: Digest([0; 32]) };
        let Stamp { revision, digest } = self.stamp().unwrap_or(none);
        DocumentMessage::Have { revision, digest }
    }

    fn send(&mut self, to: &VmId, message: DocumentMessage) {
        self.out.push(Step::Message(Outgoing::new(to.clone(), message)));
    }

    /// Puts a document into force when it is newer than the one in force. Returns whether it did.
    fn offer(&mut self, now: Millis, revision: Revision, text: &str) -> bool {
        if revision <= self.in_force() || self.refused.contains(revision) {
            self.counters.outdated += u64::from(revision < self.in_force());
            self.note_digest(Stamp { revision, digest: Digest::of(text) });
            return false;
        }
        match Document::parse(revision, text) {
            Ok(document) => {
                self.adopt(now, Arc::new(document));
                true
            }
            Err(errors) => {
                self.counters.invalid += 1;
                self.refused.insert(Stamp { revision, digest: Digest::of(text) });
                self.out.push(Step::Alert(AdoptionAlert::Invalid { revision, errors }));
                false
            }
        }
    }

    fn adopt(&mut self, now: Millis, document: Arc<Document>) {
        let previous = self.current.as_ref().map(|document| document.revision());
        invariant!(
            previous < Some(document.revision()),
            "revision {} was put into force after {previous:?}",
            document.revision()
        );
        let stamp = Stamp { revision: document.revision(), digest: document.digest() };
        self.history.push(stamp, document.text(), self.limits.history);
        self.counters.adopted += 1;
        self.current = Some(document.clone());
        if self.fetch.as_ref().is_some_and(|fetch| fetch.revision <= stamp.revision) {
            self.fetch = None;
        }
        self.fetch_whole = false;
        self.refused.forget_until(stamp.revision);
        self.out.push(Step::Adopt(document));
        let mut peers = self.sources.peers();
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, self.limits.push);
        let have = self.have();
        for vm in chosen {
            self.send(vm, have.clone());
        }
        self.next_have = Some(now + self.limits.have_period);
    }

    /// Compares a digest with that of the same revision here.
    fn note_digest(&mut self, theirs: Stamp) {
        let known = [self.stamp(), self.refused.get(theirs.revision)].into_iter().flatten();
        let same = known.into_iter().find(|ours| ours.revision == theirs.revision);
        let Some(ours) = same.filter(|ours| ours.digest != theirs.digest) else { return };
        if let Some(alert) = self.reported.conflict(ours, theirs.digest) {
            self.out.push(Step::Alert(alert));
        }
    }

    fn note_reverted(&mut self, theirs: Revision) {
        let Some(ours) = self.stamp() else { return };
        if let Some(alert) = self.reported.reverted(ours.revision, theirs) {
            self.out.push(Step::Alert(alert));
        }
    }

    fn ask_platform(&mut self, request: Request) {
        self.counters.platform_reads += u64::from(request != Request::StopWatch);
        self.out.push(match request {
            Request::Read => Step::ReadPlatform,
            Request::Watch => Step::Watch { after: self.after() },
            Request::StopWatch => Step::StopWatch,
        });
    }

    /// Makes the requests to the platform that are due.
    fn plan(&mut self, now: Millis) {
        let rank = self.sources.own_rank();
        let watcher = rank < self.limits.watchers;
        let watches = watcher || self.current.is_none();
        let members = self.sources.count();
        let requests = self.platform.plan(now, watches, members, &mut self.rng, &self.limits);
        for request in requests {
            self.ask_platform(request);
        }
        if !watcher {
            return;
        }
        let Some(turn) = self.platform.next_backup(now, &self.limits) else { return };
        let place = turn.wrapping_mul(self.limits.watchers).wrapping_add(rank);
        if let Some(vm) = self.sources.backup_watcher(self.limits.watchers, place).cloned() {
            self.send(&vm, DocumentMessage::Watch { span: self.limits.backup_watch_span });
        }
    }

    /// Asks peers what they have, at the start.
    fn ask_peers(&mut self) {
        let missing = self.start.missing(self.limits.start_peers);
        if missing == 0 {
            return;
        }
        let mut peers = self.sources.peers();
        peers.retain(|vm| !self.start.was_asked(vm));
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, missing);
        for vm in chosen {
            self.send(vm, DocumentMessage::Ask);
            self.start.ask(vm.clone());
        }
    }

    /// Compares revision and digest with a random peer now and then.
    fn compare(&mut self, now: Millis) {
        if now < *self.next_have.get_or_insert(now + self.limits.have_period) {
            return;
        }
        self.next_have = Some(now + self.limits.have_period);
        if let Some(vm) = self.sources.peers().choose(&mut self.rng) {
            let have = self.have();
            self.send(vm, have);
        }
    }

    fn on_have(&mut self, from: &VmId, theirs: Stamp) {
        self.start.answer(from);
        self.sources.set(from, theirs.revision);
        // The source has restarted with less than it had.
        self.fetch.take_if(|fetch| fetch.source == *from && theirs.revision < fetch.revision);
        self.note_digest(theirs);
        if self.stamp().is_some_and(|ours| ours.revision > theirs.revision) {
            let have = self.have();
            self.send(from, have);
        }
    }
}
