//! The public interface of request dispatch. `docs/design.md`, section 7, is its specification.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::assign::SlotAccess;
use super::concurrency_limit::ConcurrencyLimit;
use super::handover::Handover;
use super::hedging::Hedging;
use super::keys::{KeyRegistry, issuer_of};
use super::leases::LeaseTable;
use super::outbox::Outbox;
use super::queue::{Queue, QueuePosition};
use super::retry_budget::RetryBudget;
use super::score::Scores;
use super::slot_requests::SlotRequests;
use super::target_index::TargetIndex;
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
const PAUSE_THRESHOLD: Millis = Millis(1_000);

/// A request from its submission until its response or refusal.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) meta: RequestMeta,
    /// The tenant whose concurrency limit this request counts against.
    pub(super) tenant: Option<Name>,
    pub(super) priority: u8,
    pub(super) max_wait: Millis,
    pub(super) order: u64,
    /// Its position in the queue, while it waits for a slot.
    pub(super) position: Option<QueuePosition>,
    /// Attempts in progress.
    pub(super) attempts: Vec<AttemptId>,
    /// Attempts sent, including those in progress.
    pub(super) attempts_sent: u32,
    /// Whether an attempt ended without a definite outcome, so that the request may have run.
    pub(super) may_have_run: bool,
    pub(super) tried_targets: Vec<Name>,
    /// Whether a second attempt was due and not sent. It is not considered again.
    pub(super) hedge_withheld: bool,
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

/// Decides which target runs a request, and what a failed attempt means for the client.
///
/// The caller ticks every 10 ms, because backoffs, slot requests and deadlines are due on that
/// scale.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) me: VmId,
    pub(super) incarnation: Incarnation,
    pub(super) limits: DispatchLimits,
    pub(super) rng: ChaCha12Rng,
    pub(super) document: Option<Arc<Document>>,
    pub(super) members: Option<Members>,
    pub(super) target_index: TargetIndex,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) queues: BTreeMap<Name, Queue>,
    pub(super) fanouts: BTreeMap<(Name, u8), usize>,
    pub(super) retry_budgets: BTreeMap<Name, RetryBudget>,
    pub(super) hedging: Hedging,
    pub(super) tenants: Tenants,
    pub(super) scores: Scores,
    pub(super) leases: LeaseTable,
    pub(super) slot_requests: SlotRequests,
    pub(super) in_use: BTreeMap<Name, u32>,
    pub(super) lease_renewed_at: BTreeMap<Name, Millis>,
    pub(super) direct_limits: BTreeMap<Name, ConcurrencyLimit>,
    pub(super) keys: KeyRegistry,
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
    /// The secret that authenticates its keys is derived from `seed`, so the daemon has to take the
    /// seed from the random source of the operating system.
    pub fn new(
        me: VmId,
        incarnation: Incarnation,
        seed: u64,
        limits: DispatchLimits,
    ) -> Dispatcher {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let secret = [rng.random(), rng.random()];
        Dispatcher {
            keys: KeyRegistry::new((me.clone(), incarnation), secret, limits.max_keys),
            leases: LeaseTable::new(limits.lease),
            hedging: Hedging::new(limits.second_copies),
            me,
            incarnation,
            limits,
            rng,
            document: None,
            members: None,
            target_index: TargetIndex::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queues: BTreeMap::new(),
            fanouts: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            tenants: Tenants::default(),
            scores: Scores::default(),
            slot_requests: SlotRequests::default(),
            in_use: BTreeMap::new(),
            lease_renewed_at: BTreeMap::new(),
            direct_limits: BTreeMap::new(),
            handover: Handover::default(),
            queued: 0,
            next_attempt: 0,
            next_order: 0,
            last_input: None,
            leaving: false,
            counters: DispatchCounters::default(),
        }
    }

    /// Applies an adopted document. A lower revision than the current one is ignored.
    pub fn set_document(&mut self, now: Millis, document: &Arc<Document>) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        if self.document.as_ref().is_some_and(|old| old.revision() > document.revision()) {
            return Vec::new();
        }
        let first = self.document.is_none();
        let was_active = self.active_targets();
        self.document = Some(document.clone());
        self.target_index.set_document(document, &self.me);
        for target in self.active_targets() {
            let warming_up = !first && !was_active.contains(&target);
            self.scores.add_target(now, &target, warming_up);
        }
        self.scores.retain_targets(|target| document.targets().contains_key(target));
        let percent = document.limits().max_ejected_percent as usize;
        for active in self.target_index.services() {
            self.scores.end_excess_ejections(now, active, active.len() * percent / 100);
        }
        self.slot_requests.retain_targets(|target| document.targets().contains_key(target));
        self.tenants.retain_tenants(document.tenants());
        self.hedging.retain_services(|service| document.services().contains_key(service));
        self.update_homes(now, &mut out);
        self.refuse_removed_services(now, &mut out);
        self.dispatch_all(now, &mut out);
        self.flush(now, out)
    }

    /// Replaces the list of members.
    pub fn set_members(&mut self, now: Millis, members: &Members) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        let previous = self.members.replace(members.clone());
        let reachable = |vm: &VmId| members.get(vm).is_some_and(|member| member.is_reachable());
        self.slot_requests.retain_vms(reachable);
        self.leases.retain_vms(reachable);
        self.update_homes(now, &mut out);
        self.announce_adopted(previous.as_ref(), &mut out);
        self.check_successor(now, &mut out);
        self.dispatch_all(now, &mut out);
        self.flush(now, out)
    }

    /// Submits a request from a client of this VM.
    pub fn submit(&mut self, now: Millis, meta: RequestMeta) -> Vec<Action> {
        self.submit_inner(now, meta, false)
    }

    /// Submits a request that another VM forwarded because of its key. Only the issuer of the key
    /// forwards it again, to its successor, so a request makes at most two hops.
    pub fn submit_forwarded(&mut self, now: Millis, meta: RequestMeta) -> Vec<Action> {
        self.submit_inner(now, meta, true)
    }

    fn submit_inner(&mut self, now: Millis, meta: RequestMeta, forwarded: bool) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        self.counters.submitted += 1;
        let service = meta.service.clone();
        if self.admit(now, meta, forwarded, &mut out) {
            self.dispatch(now, &service, &mut out);
        }
        self.flush(now, out)
    }

    /// Handles the outcome of an attempt.
    pub fn on_outcome(&mut self, now: Millis, attempt: AttemptId, outcome: Outcome) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        self.end_attempt(now, attempt, outcome, &mut out);
        self.flush(now, out)
    }

    /// Cancels a request whose client has disconnected, with its attempts in progress. The client
    /// gets no response.
    pub fn on_cancel(&mut self, now: Millis, request: RequestId) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        if self.requests.contains_key(&request) {
            self.counters.cancelled += 1;
            self.end_request(now, request, None, &mut out);
        }
        self.flush(now, out)
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: RequestMessage) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        self.handle_message(now, from, message, &mut out);
        self.flush(now, out)
    }

    /// Performs all work that is due: ends overdue attempts, expires and renews leases, and sends
    /// hedges, retries and messages.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        self.end_overdue_attempts(now, &mut out);
        for target in self.leases.expire(now) {
            self.grant_from_home(now, &target, &mut out);
        }
        self.renew_leases(now, &mut out);
        self.hedge(now);
        self.dispatch_all(now, &mut out);
        self.continue_handover(now, &mut out);
        self.flush(now, out)
    }

    /// Starts a planned stop: new requests are refused, accepted ones are completed, and the key
    /// records are handed over once no request with a key is in progress.
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        let now = self.advance_time(now);
        let mut out = Outbox::default();
        self.leaving = true;
        self.continue_handover(now, &mut out);
        self.flush(now, out)
    }

    /// Returns whether no request is in progress and, during a planned stop, the key records have
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

    /// Returns how a key was used, if this VM owns it. After a refusal with
    /// [`RefusalReason::KeyUsed`], the caller uses this to repeat a stored response instead of the
    /// refusal.
    pub fn key_use(&self, key: &IssuedKey) -> Option<KeyUse> {
        match self.keys.key_status(key) {
            super::keys::KeyStatus::Used(key_use) => Some(key_use),
            _ => None,
        }
    }

    /// Returns whether an attempt may still be sent. The caller checks this right before the first
    /// byte, because the process may have paused since the attempt was returned. If it returns
    /// `false`, the caller reports [`Outcome::NotRun`] with [`super::NotRunCause::NotSent`].
    pub fn may_send(&self, now: Millis, attempt: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(&attempt) else { return false };
        let served = self
            .target_index
            .target(&attempt.target)
            .is_some_and(|info| info.active && info.services.contains(&attempt.service));
        served && attempt.cancelled_at.is_none() && now < attempt.deadline
    }

    /// Explains which target a request for a service would be sent to now, and why.
    pub fn explain(&self, now: Millis, service: &Name) -> RequestExplanation {
        let none = |reason: &str| RequestExplanation { target: None, reason: reason.to_owned() };
        if self.document.is_none() {
            return none("no document is in force");
        }
        let Some(active) = self.target_index.active(service) else {
            return none("the document has no such service");
        };
        let usable = active.iter().filter(|target| !self.scores.is_ejected(now, target));
        let cost = |target: &Name| self.cost(now, target);
        let Some(target) = usable.min_by(|a, b| cost(a).total_cmp(&cost(b))) else {
            return none("the service has no target that takes work");
        };
        let access = match self.slot_access(now, target) {
            SlotAccess::Local => "this VM grants its slots".to_owned(),
            SlotAccess::Remote(home) => format!("{home} grants its slots"),
            SlotAccess::Direct => "no home is reachable, so it is used directly".to_owned(),
        };
        let waiting = self.queues.get(service).map_or(0, Queue::len);
        let ejected = active.iter().filter(|target| self.scores.is_ejected(now, target)).count();
        let reason = format!(
            "lowest cost {:.0} ms of {} targets ({ejected} ejected); {access}; {waiting} requests wait",
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
            outstanding: self.slots_used(target),
            answer_ms: self.scores.get(target).and_then(|s| s.response_ms()).unwrap_or(0.0),
            ejected: self.scores.is_ejected(now, target),
        };
        self.target_index.targets().map(|(target, _)| row(target)).collect()
    }

    /// Returns the counters for metrics.
    pub fn counters(&self) -> &DispatchCounters {
        &self.counters
    }

    /// Advances the time to that of an input, never backwards, and recovers from a pause of the
    /// process.
    fn advance_time(&mut self, now: Millis) -> Millis {
        let last = self.last_input.unwrap_or(now);
        let now = now.max(last);
        if now.since(last) > PAUSE_THRESHOLD {
            self.counters.pauses += 1;
            self.leases.resume(now);
            self.slot_requests.resume();
        }
        self.last_input = Some(now);
        now
    }

    fn flush(&mut self, now: Millis, out: Outbox) -> Vec<Action> {
        self.counters.keys_evicted = self.keys.evicted();
        let tenants = self.tenants.in_progress();
        let requests = self.requests.len() as u64;
        crate::invariant!(
            tenants <= requests,
            "{tenants} requests counted for tenants, but only {requests} requests exist"
        );
        let used: u64 = self.in_use.values().map(|used| u64::from(*used)).sum();
        let attempts = self.attempts.len() as u64;
        crate::invariant!(
            used == attempts,
            "{used} slots counted as in use by {attempts} attempts"
        );
        out.finish(now, |vm| self.leases.stamp(vm))
    }

    /// Returns how many slots of a target this VM uses.
    pub(super) fn slots_used(&self, target: &Name) -> u32 {
        self.in_use.get(target).copied().unwrap_or(0)
    }

    pub(super) fn cost(&self, now: Millis, target: &Name) -> f64 {
        let slow_start = self.document.as_ref().map_or(Millis::ZERO, |d| d.limits().slow_start);
        self.scores.cost(now, target, slow_start)
    }

    fn active_targets(&self) -> BTreeSet<Name> {
        let active = self.target_index.targets().filter(|(_, info)| info.active);
        active.map(|(target, _)| target.clone()).collect()
    }

    /// Refuses queued requests whose service was removed from the document.
    fn refuse_removed_services(&mut self, now: Millis, out: &mut Outbox) {
        let orphaned =
            |request: &Request| self.target_index.active(&request.meta.service).is_none();
        let waiting = self.requests.iter().filter(|(_, request)| request.attempts.is_empty());
        let orphaned: Vec<RequestId> =
            waiting.filter(|(_, request)| orphaned(request)).map(|(id, _)| *id).collect();
        for request in orphaned {
            self.end_request(now, request, Some(RefusalReason::NoService), out);
        }
    }

    /// Recomputes the homes, and sends new homes the number of slots that this VM uses.
    fn update_homes(&mut self, now: Millis, out: &mut Outbox) {
        let Some(members) = self.members.clone() else { return };
        let had_homes =
            self.target_index.targets().any(|(t, _)| self.target_index.home(t).is_some());
        let changed = self.target_index.set_homes(&members);
        let alone = members.peers().next().is_none();
        for target in changed {
            self.slot_requests.remove_target(&target);
            if self.target_index.home(&target) == Some(&self.me) {
                let slots = self.target_index.target(&target).map_or(1, |info| info.slots);
                self.leases.become_home(now, &target, slots, had_homes || !alone);
            }
            self.announce_use(now, &target, out);
        }
        let (target_index, me) = (&self.target_index, &self.me);
        self.leases.retain_targets(|target| target_index.home(target) == Some(me));
    }

    /// Returns the owner of a key and its address, if it is another VM and reachable.
    pub(super) fn key_owner(&self, key: &IssuedKey) -> Option<(VmId, std::net::SocketAddr)> {
        let issuer = issuer_of(key);
        let (vm, incarnation) = self.keys.successor(&issuer).unwrap_or(&issuer);
        let member = self.members.as_ref()?.get(vm)?;
        let same = member.incarnation == *incarnation && *vm != self.me;
        let alive = member.state != MemberState::Dead;
        (same && alive).then(|| (vm.clone(), member.address.requests))
    }
}
