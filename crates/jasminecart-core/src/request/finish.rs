//! Ends attempts and requests, and decides on retries and hedges.

use super::assign::SlotAccess;
use super::dispatcher::{Attempt, Dispatcher};
use super::outbox::Outbox;
use super::retry_budget::backoff;
use super::score::Sample;
use super::types::{
    Action, AttemptId, FailureCause, KeyState, NotRunCause, Outcome, Refusal, RefusalReason,
    RequestId, RunState,
};
use crate::names::Name;
use crate::time::Millis;

/// A cancelled attempt occupies its slot until its outcome arrives, but no longer than this.
const CANCELLED_SLOT_TIMEOUT: Millis = Millis(100);
/// A request is hedged when its attempt takes this many times the average response time of its
/// target. With exponentially distributed response times, 5 % of the attempts take that long.
const HEDGE_FACTOR: f64 = 3.0;
const MIN_HEDGE_DELAY: Millis = Millis(50);
/// Statuses that count as errors in the score of the target.
const ERROR_STATUSES: [u16; 4] = [500, 502, 503, 504];

impl Dispatcher {
    pub(super) fn end_attempt(
        &mut self,
        now: Millis,
        id: AttemptId,
        outcome: Outcome,
        out: &mut Outbox,
    ) {
        let could_be_sent = self.may_send(now, id);
        let Some(attempt) = self.attempts.remove(&id) else {
            self.counters.unmatched += 1;
            return;
        };
        // An attempt that this VM did not send has no bearing on the score of its target.
        if could_be_sent || outcome != Outcome::NotRun(NotRunCause::NotSent) {
            self.update_score(now, &attempt, outcome);
        }
        let refused =
            matches!(outcome, Outcome::NotRun(NotRunCause::Shed | NotRunCause::StreamRefused));
        if attempt.cancelled_at.is_some() {
            self.counters.late += 1;
        } else {
            self.end_live_attempt(now, id, &attempt, outcome, out);
        }
        self.free_slot(now, &attempt.target, refused, out);
        self.dispatch(now, &attempt.service, out);
    }

    fn end_live_attempt(
        &mut self,
        now: Millis,
        id: AttemptId,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Outbox,
    ) {
        let request = self.requests.get_mut(&attempt.request);
        crate::invariant!(request.is_some(), "attempt {} has no request", id.0);
        let Some(request) = request else { return };
        request.attempts.retain(|other| *other != id);
        request.may_have_run |= matches!(outcome, Outcome::Failed(_));
        let others_run = !request.attempts.is_empty() || request.position.is_some();
        match outcome {
            Outcome::Done { status } => {
                self.record_hedging(now, attempt);
                self.complete(now, attempt.request, status, out);
            }
            Outcome::NotRun(_) | Outcome::Failed(_) if others_run => {}
            Outcome::NotRun(cause) => {
                let can_resend = request.meta.repeatable || cause == NotRunCause::NotSent;
                self.retry_or_refuse(now, attempt.request, can_resend, RefusalReason::Shed, out);
            }
            Outcome::Failed(FailureCause::Deadline) => {
                self.end_request(now, attempt.request, Some(RefusalReason::Deadline), out);
            }
            Outcome::Failed(_) => {
                let can_resend = request.meta.repeatable;
                self.retry_or_refuse(
                    now,
                    attempt.request,
                    can_resend,
                    RefusalReason::AttemptFailed,
                    out,
                );
            }
        }
    }

    /// Queues a request for a retry after a backoff, if a retry is safe, starts before the deadline
    /// and is within the budget. Otherwise refuses the request.
    fn retry_or_refuse(
        &mut self,
        now: Millis,
        id: RequestId,
        can_resend: bool,
        reason: RefusalReason,
        out: &mut Outbox,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let document = self.document.as_ref();
        let attempt_limit = document.map_or(1, |document| document.limits().max_attempts);
        let meta = &request.meta;
        // A request with a key runs at most once, even with an idempotent method, because that is
        // what the key guarantees to the client.
        let safe_to_repeat = !request.may_have_run || (meta.idempotent && meta.key.is_none());
        let ready_at = now + backoff(request.attempts_sent, &mut self.rng);
        let possible = can_resend
            && safe_to_repeat
            && request.attempts_sent < attempt_limit
            && ready_at < meta.deadline;
        let budget = self.retry_budgets.entry(meta.service.clone()).or_default();
        if possible && budget.spend() {
            self.queue(now, id, ready_at);
        } else {
            self.end_request(now, id, Some(reason), out);
        }
    }

    fn complete(&mut self, now: Millis, id: RequestId, status: u16, out: &mut Outbox) {
        self.counters.answered += 1;
        let key = self.requests.get(&id).and_then(|request| request.meta.key.clone());
        if let Some(key) = key {
            self.keys.finish(&key, id, KeyState::Done(status));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.meta.key = None;
        }
        self.end_request(now, id, None, out);
    }

    /// Ends a request: cancels its attempts and, given a reason, refuses it. The refusal is
    /// `not-run` if and only if every attempt ended as not run.
    pub(super) fn end_request(
        &mut self,
        now: Millis,
        id: RequestId,
        reason: Option<RefusalReason>,
        out: &mut Outbox,
    ) {
        self.drop_from_queue(id);
        let Some(request) = self.requests.remove(&id) else { return };
        let not_run = !request.may_have_run && request.attempts.is_empty();
        for attempt in &request.attempts {
            if let Some(attempt) = self.attempts.get_mut(attempt) {
                attempt.cancelled_at = Some(now);
            }
            out.push(Action::Cancel { attempt: *attempt });
        }
        request.tenant.iter().for_each(|tenant| self.tenants.release(tenant));
        if let Some(key) = &request.meta.key {
            let state = if not_run { KeyState::NotRun } else { KeyState::Unknown };
            self.keys.finish(key, id, state);
        }
        if let Some(reason) = reason {
            let state = if not_run { RunState::NotRun } else { RunState::Unknown };
            self.refuse(id, Refusal { state, reason }, out);
        }
    }

    /// Refuses a queued request, or only removes its hedge from the queue if an attempt is in
    /// progress.
    pub(super) fn refuse_queued(
        &mut self,
        now: Millis,
        id: RequestId,
        reason: RefusalReason,
        out: &mut Outbox,
    ) {
        let runs = self.requests.get(&id).is_some_and(|request| !request.attempts.is_empty());
        if runs {
            self.drop_from_queue(id);
        } else {
            self.end_request(now, id, Some(reason), out);
        }
    }

    /// Removes a request from its queue. A retry or hedge that was not sent is refunded to the
    /// budget.
    fn drop_from_queue(&mut self, id: RequestId) {
        if self.dequeue(id).is_none() {
            return;
        }
        let Some(request) = self.requests.get(&id).filter(|request| request.attempts_sent > 0)
        else {
            return;
        };
        if let Some(budget) = self.retry_budgets.get_mut(&request.meta.service) {
            budget.refund();
        }
    }

    /// Updates the score of a target. A silent connection or a declared refusal says nothing about
    /// the target's ability to serve.
    fn update_score(&mut self, now: Millis, attempt: &Attempt, outcome: Outcome) {
        let sample = match outcome {
            Outcome::Done { status } if ERROR_STATUSES.contains(&status) => Sample::Failed,
            Outcome::Done { .. } => Sample::Responded,
            Outcome::NotRun(NotRunCause::NotSent) => Sample::Failed,
            Outcome::NotRun(_) | Outcome::Failed(FailureCause::Silent) => return,
            Outcome::Failed(_) if attempt.cancelled_at.is_some() => Sample::NoResponse,
            Outcome::Failed(FailureCause::Deadline) => Sample::NoResponse,
            Outcome::Failed(FailureCause::Broken) => Sample::Failed,
        };
        let elapsed = now.since(attempt.sent_at);
        let eject = self.scores.add(now, &attempt.target, sample, elapsed);
        if eject && self.may_eject(now, &attempt.target) {
            self.counters.ejections += 1;
            self.scores.eject(now, &attempt.target);
        }
    }

    /// Returns whether every service of a target stays within the maximum share of ejected targets
    /// if the target is ejected too.
    fn may_eject(&self, now: Millis, target: &Name) -> bool {
        let Some(info) = self.target_index.target(target) else { return false };
        let percent = self.document.as_ref().map_or(0, |d| d.limits().max_ejected_percent) as usize;
        info.services.iter().all(|service| {
            let Some(active) = self.target_index.active(service) else { return true };
            let ejected = active.iter().filter(|other| self.scores.is_ejected(now, other)).count();
            (ejected + 1) * 100 <= active.len() * percent
        })
    }

    /// Ends requests with attempts past their deadline, and frees the slots of cancelled attempts
    /// that reported no outcome in time.
    pub(super) fn end_overdue_attempts(&mut self, now: Millis, out: &mut Outbox) {
        let live = self.attempts.values().filter(|attempt| attempt.cancelled_at.is_none());
        let late: Vec<RequestId> =
            live.filter(|a| now >= a.deadline).map(|attempt| attempt.request).collect();
        for request in late {
            self.end_request(now, request, Some(RefusalReason::Deadline), out);
        }
        let timed_out = |attempt: &Attempt| {
            attempt.cancelled_at.is_some_and(|at| now.since(at) >= CANCELLED_SLOT_TIMEOUT)
        };
        let timed_out_attempts: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| timed_out(a)).map(|(id, _)| *id).collect();
        for id in timed_out_attempts {
            let Some(attempt) = self.attempts.remove(&id) else { continue };
            self.free_slot(now, &attempt.target, false, out);
        }
    }

    /// Queues a second attempt for idempotent requests whose first attempt is unusually slow,
    /// unless slots are scarce. At 95 % load, hedging 1 % of the requests raised the p99 queueing
    /// time.
    pub(super) fn hedge(&mut self, now: Millis) {
        let slow: Vec<RequestId> = self
            .attempts
            .values()
            .filter(|attempt| self.is_hedgeable(now, attempt))
            .map(|attempt| attempt.request)
            .collect();
        for id in slow {
            let Some(request) = self.requests.get(&id) else { continue };
            let queue = self.queues.get(&request.meta.service);
            let congested = queue.is_some_and(|queue| queue.is_congested(now));
            let budget = self.retry_budgets.entry(request.meta.service.clone()).or_default();
            let within_limit = !self.hedging.is_enabled() || self.hedging.allows();
            if !congested && within_limit && budget.spend() {
                self.hedging.spend();
                self.queue(now, id, now);
            } else if self.hedging.is_enabled() {
                self.withhold_hedge(id);
            }
        }
    }

    fn is_hedgeable(&self, now: Millis, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(&attempt.request) else { return false };
        let meta = &request.meta;
        let attempt_limit =
            self.document.as_ref().map_or(1, |document| document.limits().max_attempts);
        let safe_to_repeat = meta.idempotent && meta.repeatable && meta.key.is_none();
        let single = request.attempts.len() == 1
            && request.position.is_none()
            && request.attempts_sent < attempt_limit;
        if attempt.cancelled_at.is_some() || !safe_to_repeat || !single || request.hedge_withheld {
            return false;
        }
        let Some(slow) = self.hedge_delay(attempt) else { return false };
        let others =
            self.target_index.active(&attempt.service).map_or(0, |active| active.len()) > 1;
        let granted = self.slot_access(now, &attempt.target) != SlotAccess::Direct;
        others && granted && now.since(attempt.sent_at) > slow
    }

    /// Returns how long an attempt may take before its request gets a second one. With a limit on second copies
    /// it follows from the latencies of the service, otherwise from the mean of the target.
    fn hedge_delay(&self, attempt: &Attempt) -> Option<Millis> {
        if self.hedging.is_enabled() {
            return self.hedging.delay(&attempt.service).map(|delay| delay.max(MIN_HEDGE_DELAY));
        }
        let average = self.scores.get(&attempt.target)?.response_ms()?;
        Some(Millis((average * HEDGE_FACTOR) as u64).max(MIN_HEDGE_DELAY))
    }

    fn withhold_hedge(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.hedge_withheld = true;
            self.counters.hedges_withheld += 1;
        }
    }

    /// Records the latency of a request that completed, and whether its second attempt was the faster one. The
    /// latency counts from the earlier attempt in progress. That of the second attempt alone would shorten the
    /// delay with each second attempt that wins.
    fn record_hedging(&mut self, now: Millis, attempt: &Attempt) {
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let others = request.attempts.iter().filter_map(|id| self.attempts.get(id));
        let earliest = others.map(|other| other.sent_at).min().unwrap_or(attempt.sent_at);
        self.counters.hedges_won += u64::from(earliest < attempt.sent_at);
        let latency = now.since(earliest.min(attempt.sent_at));
        self.hedging.on_completed(&attempt.service, latency);
    }
}
