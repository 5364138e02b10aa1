//! Ends attempts and requests, and decides about retries and hedges.

use super::assign::Path;
use super::budget::backoff;
use super::dispatcher::{Attempt, Dispatcher};
use super::outbox::Outbox;
use super::score::Sample;
use super::types::{
    Action, AttemptId, FailureCause, KeyState, NotRunCause, Outcome, Refusal, RefusalReason,
    RequestId, RunState,
};
use crate::names::Name;
use crate::time::Millis;

/// A cancelled attempt occupies its slot until its outcome arrives, or this long when none does.
const CANCEL_LINGER: Millis = Millis(100);
/// A request is hedged when its attempt takes this many times the average of its target. With
/// exponential times 5 % of the attempts take that long.
const HEDGE_FACTOR: f64 = 3.0;
const HEDGE_MIN: Millis = Millis(50);
/// Statuses that count as an error of the target in its score.
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
        // An attempt that this VM held back says nothing about its target.
        if could_be_sent || outcome != Outcome::NotRun(NotRunCause::NotSent) {
            self.learn(now, &attempt, outcome);
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
        request.in_doubt |= matches!(outcome, Outcome::Failed(_));
        let others_run = !request.attempts.is_empty() || request.place.is_some();
        match outcome {
            Outcome::Done { status } => self.answer(now, attempt.request, status, out),
            Outcome::NotRun(_) | Outcome::Failed(_) if others_run => {}
            Outcome::NotRun(cause) => {
                let intact = request.meta.repeatable || cause == NotRunCause::NotSent;
                self.retry_or_refuse(now, attempt.request, intact, RefusalReason::Shed, out);
            }
            Outcome::Failed(FailureCause::Deadline) => {
                self.close(now, attempt.request, Some(RefusalReason::Deadline), out);
            }
            Outcome::Failed(_) => {
                let again = request.meta.repeatable;
                self.retry_or_refuse(
                    now,
                    attempt.request,
                    again,
                    RefusalReason::AttemptFailed,
                    out,
                );
            }
        }
    }

    /// Queues a request again after a backoff, when that is safe, in time and within the budget.
    fn retry_or_refuse(
        &mut self,
        now: Millis,
        id: RequestId,
        intact: bool,
        reason: RefusalReason,
        out: &mut Outbox,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let document = self.document.as_ref();
        let most = document.map_or(1, |document| document.limits().max_attempts);
        let meta = &request.meta;
        // A keyed request is run at most once, even by an idempotent method: its client asked for that.
        let safe = !request.in_doubt || (meta.idempotent && meta.key.is_none());
        let ready_at = now + backoff(request.sent, &mut self.rng);
        let possible = intact && safe && request.sent < most && ready_at < meta.deadline;
        let budget = self.budgets.entry(meta.service.clone()).or_default();
        if possible && budget.spend() {
            self.queue(now, id, ready_at);
        } else {
            self.close(now, id, Some(reason), out);
        }
    }

    fn answer(&mut self, now: Millis, id: RequestId, status: u16, out: &mut Outbox) {
        self.counters.answered += 1;
        let key = self.requests.get(&id).and_then(|request| request.meta.key.clone());
        if let Some(key) = key {
            self.keys.finish(&key, id, KeyState::Done(status));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.meta.key = None;
        }
        self.close(now, id, None, out);
    }

    /// Ends a request: cancels its attempts and, with a reason, answers it with a refusal. The refusal
    /// says `not-run` exactly when every attempt ended as not run.
    pub(super) fn close(
        &mut self,
        now: Millis,
        id: RequestId,
        reason: Option<RefusalReason>,
        out: &mut Outbox,
    ) {
        self.drop_from_queue(id);
        let Some(request) = self.requests.remove(&id) else { return };
        let not_run = !request.in_doubt && request.attempts.is_empty();
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

    /// Gives up a queued request, or only its hedge when an attempt is in progress.
    pub(super) fn give_up(
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
            self.close(now, id, Some(reason), out);
        }
    }

    /// Takes a request out of its queue. A retry or hedge that was not sent returns its budget.
    fn drop_from_queue(&mut self, id: RequestId) {
        if self.unqueue(id).is_none() {
            return;
        }
        let Some(request) = self.requests.get(&id).filter(|request| request.sent > 0) else {
            return;
        };
        if let Some(budget) = self.budgets.get_mut(&request.meta.service) {
            budget.refund();
        }
    }

    /// Updates the score of a target. A silent connection and a declared refusal say nothing about the
    /// target's ability to serve.
    fn learn(&mut self, now: Millis, attempt: &Attempt, outcome: Outcome) {
        let sample = match outcome {
            Outcome::Done { status } if ERROR_STATUSES.contains(&status) => Sample::Failed,
            Outcome::Done { .. } => Sample::Answered,
            Outcome::NotRun(NotRunCause::NotSent) => Sample::Failed,
            Outcome::NotRun(_) | Outcome::Failed(FailureCause::Silent) => return,
            Outcome::Failed(_) if attempt.cancelled_at.is_some() => Sample::Unanswered,
            Outcome::Failed(FailureCause::Deadline) => Sample::Unanswered,
            Outcome::Failed(FailureCause::Broken) => Sample::Failed,
        };
        let took = now.since(attempt.sent_at);
        let eject = self.scores.add(now, &attempt.target, sample, took);
        if eject && self.may_eject(now, &attempt.target) {
            self.counters.ejections += 1;
            self.scores.eject(now, &attempt.target);
        }
    }

    /// Tells whether one more ejection leaves every service enough targets.
    fn may_eject(&self, now: Millis, target: &Name) -> bool {
        let Some(info) = self.directory.target(target) else { return false };
        let percent = self.document.as_ref().map_or(0, |d| d.limits().max_ejected_percent) as usize;
        info.services.iter().all(|service| {
            let Some(active) = self.directory.active(service) else { return true };
            let ejected = active.iter().filter(|other| self.scores.is_ejected(now, other)).count();
            (ejected + 1) * 100 <= active.len() * percent
        })
    }

    /// Ends attempts past their deadline, and frees the slots of cancelled attempts without an outcome.
    pub(super) fn end_late(&mut self, now: Millis, out: &mut Outbox) {
        let live = self.attempts.values().filter(|attempt| attempt.cancelled_at.is_none());
        let late: Vec<RequestId> =
            live.filter(|a| now >= a.deadline).map(|attempt| attempt.request).collect();
        for request in late {
            self.close(now, request, Some(RefusalReason::Deadline), out);
        }
        let lingered = |attempt: &Attempt| {
            attempt.cancelled_at.is_some_and(|at| now.since(at) >= CANCEL_LINGER)
        };
        let gone: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| lingered(a)).map(|(id, _)| *id).collect();
        for id in gone {
            let Some(attempt) = self.attempts.remove(&id) else { continue };
            self.free_slot(now, &attempt.target, false, out);
        }
    }

    /// Queues a second attempt for idempotent requests whose first one is unusually slow, as long as slots
    /// are not scarce. At 95 % load, hedges of 1 % of the requests raised the p99 queueing time.
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
            let strained = queue.is_some_and(|queue| queue.is_strained(now));
            let budget = self.budgets.entry(request.meta.service.clone()).or_default();
            if !strained && budget.spend() {
                self.queue(now, id, now);
            }
        }
    }

    fn is_hedgeable(&self, now: Millis, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(&attempt.request) else { return false };
        let meta = &request.meta;
        let most = self.document.as_ref().map_or(1, |document| document.limits().max_attempts);
        let safe = meta.idempotent && meta.repeatable && meta.key.is_none();
        let single = request.attempts.len() == 1 && request.place.is_none() && request.sent < most;
        if attempt.cancelled_at.is_some() || !safe || !single {
            return false;
        }
        let Some(average) = self.scores.get(&attempt.target).and_then(|score| score.answer_ms())
        else {
            return false;
        };
        let slow = Millis((average * HEDGE_FACTOR) as u64).max(HEDGE_MIN);
        let others = self.directory.active(&attempt.service).map_or(0, |active| active.len()) > 1;
        let granted = self.path(now, &attempt.target) != Path::Direct;
        others && granted && now.since(attempt.sent_at) > slow
    }
}
