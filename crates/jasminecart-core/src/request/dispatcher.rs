//! The facade of request dispatch. `docs/design.md`, section 7, is its specification.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::asks::Asks;
use super::assign::Path;
use super::budget::Budget;
use super::ceiling::Ceiling;
use super::directory::Directory;
use super::handover::Handover;
use super::homes::Homes;
use super::keys::{Keys, issuer_of};
use super::outbox::Outbox;
use super::queue::{Place, Queue};
use super::score::Scores;
use super::tenants::Tenants;
use super::types::{
    Action, AttemptId, DispatchCounters, DispatchLimits, IssuedKey, KeyUse, Outcome, RefusalReason,
    RequestExplanation, RequestId, RequestMessage, RequestMeta, TargetUse,
};
use crate::names::{Incarnation, Name, VmId};
use crate::process::{MemberState, Members};
use crate::time::Millis;
use crate::version::Document;

/// A gap between two inputs that is longer than this counts as a pause of the process. Callers tick
/// every 10 ms.
const PAUSE: Millis = Millis(1_000);

/// A request between its submission and its answer.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) meta: RequestMeta,
    /// The tenant whose concurrency it counts against.
    pub(super) tenant: Option<Name>,
    pub(super) priority: u8,
    pub(super) max_wait: Millis,
    pub(super) order: u64,
    /// Its place in the queue, while it waits for a slot.
    pub(super) place: Option<Place>,
    /// Attempts in progress.
    pub(super) attempts: Vec<AttemptId>,
    /// Attempts sent, those in progress included.
    pub(super) sent: u32,
    /// Whether an attempt ended without telling if it ran.
    pub(super) in_doubt: bool,
    pub(super) tried: Vec<Name>,
}

/// An attempt that occupies a slot of its target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) service: Name,
    pub(super) target: Name,
    pub(super) sent_at: Millis,
    pub(super) deadline: Millis,
    pub(super) cancelled_at: Option<Millis>,
}

/// Decides which target runs a request, and what a failed attempt means for its caller.
///
/// The caller ticks every 10 ms, because backoffs, asks for slots and deadlines are due at that scale.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) me: VmId,
    pub(super) incarnation: Incarnation,
    pub(super) limits: DispatchLimits,
    pub(super) rng: ChaCha12Rng,
    pub(super) document: Option<Arc<Document>>,
    pub(super) members: Option<Members>,
    pub(super) directory: Directory,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) queues: BTreeMap<Name, Queue>,
    pub(super) widths: BTreeMap<(Name, u8), usize>,
    pub(super) budgets: BTreeMap<Name, Budget>,
    pub(super) tenants: Tenants,
    pub(super) scores: Scores,
    pub(super) homes: Homes,
    pub(super) asks: Asks,
    pub(super) in_use: BTreeMap<Name, u32>,
    pub(super) leased_at: BTreeMap<Name, Millis>,
    pub(super) direct: BTreeMap<Name, Ceiling>,
    pub(super) keys: Keys,
    pub(super) handover: Handover,
    pub(super) queued: usize,
    pub(super) next_attempt: u64,
    pub(super) next_order: u64,
    pub(super) last_input: Option<Millis>,
    pub(super) leaving: bool,
    pub(super) counters: DispatchCounters,
}

impl Dispatcher {
    /// Creates the dispatcher of one process.
    ///
    /// The secret of its keys is derived from `seed`, so the daemon has to take the seed from the random
    /// source of the operating system.
    pub fn new(
        me: VmId,
        incarnation: Incarnation,
        seed: u64,
        limits: DispatchLimits,
    ) -> Dispatcher {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let secret = [rng.random(), rng.random()];
        Dispatcher {
            keys: Keys::new((me.clone(), incarnation), secret, limits.max_keys),
            homes: Homes::new(limits.lease),
            me,
            incarnation,
            limits,
            rng,
            document: None,
            members: None,
            directory: Directory::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queues: BTreeMap::new(),
            widths: BTreeMap::new(),
            budgets: BTreeMap::new(),
            tenants: Tenants::default(),
            scores: Scores::default(),
            asks: Asks::default(),
            in_use: BTreeMap::new(),
            leased_at: BTreeMap::new(),
            direct: BTreeMap::new(),
            handover: Handover::default(),
            queued: 0,
            next_attempt: 0,
            next_order: 0,
            last_input: None,
            leaving: false,
            counters: DispatchCounters::default(),
        }
    }

    /// Takes an adopted document. A revision below the one in force is ignored.
    pub fn set_document(&mut self, now: Millis, document: &Arc<Document>) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        if self.document.as_ref().is_some_and(|old| old.revision() > document.revision()) {
            return Vec::new();
        }
        let first = self.document.is_none();
        let was_active = self.active_targets();
        self.document = Some(document.clone());
        self.directory.set_document(document, &self.me);
        for target in self.active_targets() {
            let cold = !first && !was_active.contains(&target);
            self.scores.add_target(now, &target, cold);
        }
        self.scores.keep(|target| document.targets().contains_key(target));
        let percent = document.limits().max_ejected_percent as usize;
        for active in self.directory.services() {
            self.scores.pardon(now, active, active.len() * percent / 100);
        }
        self.asks.keep(|target| document.targets().contains_key(target));
        self.tenants.keep(document.tenants());
        self.update_homes(now, &mut out);
        self.refuse_unserved(now, &mut out);
        self.dispatch_all(now, &mut out);
        self.flush(now, out)
    }

    /// Takes a new list of members.
    pub fn set_members(&mut self, now: Millis, members: &Members) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        let previous = self.members.replace(members.clone());
        let reachable = |vm: &VmId| members.get(vm).is_some_and(|member| member.is_reachable());
        self.asks.keep_vms(reachable);
        self.homes.keep_vms(reachable);
        self.update_homes(now, &mut out);
        self.announce_adopted(previous.as_ref(), &mut out);
        self.check_successor(now, &mut out);
        self.dispatch_all(now, &mut out);
        self.flush(now, out)
    }

    /// Takes a new request of a client of this VM.
    pub fn submit(&mut self, now: Millis, meta: RequestMeta) -> Vec<Action> {
        self.submit_from(now, meta, false)
    }

    /// Takes a request that another VM forwarded because of its key. It is forwarded again only by the
    /// issuer of the key to its successor, so that a request makes at most two hops.
    pub fn submit_forwarded(&mut self, now: Millis, meta: RequestMeta) -> Vec<Action> {
        self.submit_from(now, meta, true)
    }

    fn submit_from(&mut self, now: Millis, meta: RequestMeta, forwarded: bool) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        self.counters.submitted += 1;
        let service = meta.service.clone();
        if self.admit(now, meta, forwarded, &mut out) {
            self.dispatch(now, &service, &mut out);
        }
        self.flush(now, out)
    }

    /// Takes the end of an attempt.
    pub fn on_outcome(&mut self, now: Millis, attempt: AttemptId, outcome: Outcome) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        self.end_attempt(now, attempt, outcome, &mut out);
        self.flush(now, out)
    }

    /// Notes that the caller of a request went away. Attempts in progress are cancelled; no answer is
    /// produced.
    pub fn on_cancel(&mut self, now: Millis, request: RequestId) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        if self.requests.contains_key(&request) {
            self.counters.cancelled += 1;
            self.close(now, request, None, &mut out);
        }
        self.flush(now, out)
    }

    /// Takes a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: RequestMessage) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        self.take_message(now, from, message, &mut out);
        self.flush(now, out)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        self.end_late(now, &mut out);
        for target in self.homes.expire(now) {
            self.grant_from_home(now, &target, &mut out);
        }
        self.renew_leases(now, &mut out);
        self.hedge(now);
        self.dispatch_all(now, &mut out);
        self.continue_handover(now, &mut out);
        self.flush(now, out)
    }

    /// Starts a planned stop: no new requests are taken, those taken are finished, and key records are
    /// handed over once no keyed request is in progress.
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        let now = self.enter(now);
        let mut out = Outbox::default();
        self.leaving = true;
        self.continue_handover(now, &mut out);
        self.flush(now, out)
    }

    /// Tells whether no request is in progress and, during a planned stop, whether the key records have
    /// been handed over.
    pub fn is_drained(&self) -> bool {
        let idle = self.requests.is_empty() && self.attempts.is_empty();
        idle && (!self.leaving || self.handover.is_done())
    }

    /// Issues an idempotency key.
    pub fn issue_key(&mut self, _now: Millis) -> IssuedKey {
        self.counters.keys_issued += 1;
        self.keys.issue()
    }

    /// Tells how a key was used, when this VM decides about it. The caller asks after a refusal with
    /// [`RefusalReason::KeyUsed`], to repeat a stored answer instead of the refusal.
    pub fn key_use(&self, key: &IssuedKey) -> Option<KeyUse> {
        match self.keys.judge(key) {
            super::keys::Judgement::Used(key_use) => Some(key_use),
            _ => None,
        }
    }

    /// Tells whether an attempt may still be sent. The caller asks right before the first byte, because
    /// the process may have paused since the attempt was returned. When the answer is no, the caller
    /// reports [`Outcome::NotRun`] with [`super::NotRunCause::NotSent`].
    pub fn may_send(&self, now: Millis, attempt: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(&attempt) else { return false };
        let served = self
            .directory
            .target(&attempt.target)
            .is_some_and(|info| info.active && info.services.contains(&attempt.service));
        served && attempt.cancelled_at.is_none() && now < attempt.deadline
    }

    /// Explains where a request of a service would go now and why.
    pub fn explain(&self, now: Millis, service: &Name) -> RequestExplanation {
        let none = |reason: &str| RequestExplanation { target: None, reason: reason.to_owned() };
        if self.document.is_none() {
            return none("no document is in force");
        }
        let Some(active) = self.directory.active(service) else {
            return none("the document has no such service");
        };
        let usable = active.iter().filter(|target| !self.scores.is_ejected(now, target));
        let cost = |target: &Name| self.cost(now, target);
        let Some(target) = usable.min_by(|a, b| cost(a).total_cmp(&cost(b))) else {
            return none("the service has no target that takes work");
        };
        let path = match self.path(now, target) {
            Path::Local => "this VM grants its slots".to_owned(),
            Path::Remote(home) => format!("{home} grants its slots"),
            Path::Direct => "no home is reachable, so it is used directly".to_owned(),
        };
        let waiting = self.queues.get(service).map_or(0, Queue::len);
        let ejected = active.iter().filter(|target| self.scores.is_ejected(now, target)).count();
        let reason = format!(
            "lowest cost {:.0} ms of {} targets ({ejected} ejected); {path}; {waiting} requests wait",
            cost(target),
            active.len()
        );
        RequestExplanation { target: Some(target.clone()), reason }
    }

    /// Returns the use of each target by this VM.
    pub fn targets(&self) -> Vec<TargetUse> {
        let now = self.last_input.unwrap_or_default();
        let row = |target: &Name| TargetUse {
            target: target.clone(),
            outstanding: self.used(target),
            answer_ms: self.scores.get(target).and_then(|s| s.answer_ms()).unwrap_or(0.0),
            ejected: self.scores.is_ejected(now, target),
        };
        self.directory.targets().map(|(target, _)| row(target)).collect()
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &DispatchCounters {
        &self.counters
    }

    /// Notes the time of an input, which never goes back, and recovers after a pause of the process.
    fn enter(&mut self, now: Millis) -> Millis {
        let last = self.last_input.unwrap_or(now);
        let now = now.max(last);
        if now.since(last) > PAUSE {
            self.counters.pauses += 1;
            self.homes.resume(now);
            self.asks.resume();
        }
        self.last_input = Some(now);
        now
    }

    fn flush(&mut self, now: Millis, out: Outbox) -> Vec<Action> {
        self.counters.keys_evicted = self.keys.evicted();
        let tenants = self.tenants.in_progress();
        let requests = self.requests.len() as u64;
        crate::invariant!(tenants <= requests, "{tenants} of {requests} requests have a tenant");
        let used: u64 = self.in_use.values().map(|used| u64::from(*used)).sum();
        let attempts = self.attempts.len() as u64;
        crate::invariant!(used == attempts, "{used} slots in use by {attempts} attempts");
        out.finish(now, |vm| self.homes.stamp(vm))
    }

    /// Returns how many slots of a target this VM uses.
    pub(super) fn used(&self, target: &Name) -> u32 {
        self.in_use.get(target).copied().unwrap_or(0)
    }

    pub(super) fn cost(&self, now: Millis, target: &Name) -> f64 {
        let slow_start = self.document.as_ref().map_or(Millis::ZERO, |d| d.limits().slow_start);
        self.scores.cost(now, target, slow_start)
    }

    fn active_targets(&self) -> BTreeSet<Name> {
        let active = self.directory.targets().filter(|(_, info)| info.active);
        active.map(|(target, _)| target.clone()).collect()
    }

    /// Refuses queued requests whose service left the document.
    fn refuse_unserved(&mut self, now: Millis, out: &mut Outbox) {
        let gone = |request: &Request| self.directory.active(&request.meta.service).is_none();
        let waiting = self.requests.iter().filter(|(_, request)| request.attempts.is_empty());
        let gone: Vec<RequestId> =
            waiting.filter(|(_, request)| gone(request)).map(|(id, _)| *id).collect();
        for request in gone {
            self.close(now, request, Some(RefusalReason::NoService), out);
        }
    }

    /// Recomputes the homes and tells new homes which slots this VM uses.
    fn update_homes(&mut self, now: Millis, out: &mut Outbox) {
        let Some(members) = self.members.clone() else { return };
        let had_homes = self.directory.targets().any(|(t, _)| self.directory.home(t).is_some());
        let changed = self.directory.set_homes(&members);
        let alone = members.peers().next().is_none();
        for target in changed {
            self.asks.forget(&target);
            if self.directory.home(&target) == Some(&self.me) {
                let slots = self.directory.target(&target).map_or(1, |info| info.slots);
                self.homes.open(now, &target, slots, had_homes || !alone);
            }
            self.state_use(now, &target, out);
        }
        let (directory, me) = (&self.directory, &self.me);
        self.homes.keep(|target| directory.home(target) == Some(me));
    }

    /// Returns the VM that decides about a key, when it is another one that can be reached.
    pub(super) fn decider(&self, key: &IssuedKey) -> Option<(VmId, std::net::SocketAddr)> {
        let issuer = issuer_of(key);
        let (vm, incarnation) = self.keys.successor(&issuer).unwrap_or(&issuer);
        let member = self.members.as_ref()?.get(vm)?;
        let same = member.incarnation == *incarnation && *vm != self.me;
        let alive = member.state != MemberState::Dead;
        (same && alive).then(|| (vm.clone(), member.address.requests))
    }
}
