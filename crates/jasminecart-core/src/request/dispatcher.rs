//! The request dispatcher.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::types::{
    Action, AttemptId, DispatchCounters, DispatchLimits, IssuedKey, Outcome, Refusal,
    RefusalReason, RequestExplanation, RequestId, RequestMessage, RequestMeta, RunState, TargetUse,
};
use crate::names::{Incarnation, Name, VmId};
use crate::process::Members;
use crate::time::Millis;
use crate::version::{Document, TargetState};

#[derive(Debug)]
struct Attempt {
    request: RequestId,
    target: Name,
}

/// Decides which target runs a request, and what a failed attempt means for its caller.
#[derive(Debug)]
pub struct Dispatcher {
    me: VmId,
    incarnation: Incarnation,
    document: Option<Arc<Document>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt: u64,
    next_key: u64,
    leaving: bool,
    counters: DispatchCounters,
}

impl Dispatcher {
    /// Creates the dispatcher of one process.
    pub fn new(
        me: VmId,
        incarnation: Incarnation,
        _seed: u64,
        _limits: DispatchLimits,
    ) -> Dispatcher {
        Dispatcher {
            me,
            incarnation,
            document: None,
            attempts: BTreeMap::new(),
            next_attempt: 0,
            next_key: 0,
            leaving: false,
            counters: DispatchCounters::default(),
        }
    }

    /// Takes an adopted document.
    pub fn set_document(&mut self, _now: Millis, document: &Arc<Document>) -> Vec<Action> {
        self.document = Some(document.clone());
        Vec::new()
    }

    /// Takes a new list of members.
    pub fn set_members(&mut self, _now: Millis, _members: &Members) -> Vec<Action> {
        Vec::new()
    }

    /// Takes a new request.
    pub fn submit(&mut self, _now: Millis, meta: RequestMeta) -> Vec<Action> {
        self.counters.submitted += 1;
        let request = meta.id;
        let Some(document) = self.document.clone() else {
            return self.refuse(request, RefusalReason::NotReady);
        };
        let near = document.targets_near(&meta.service, &self.me.data_centre);
        let active = near.into_iter().filter(|target| target.state == TargetState::Active);
        let Some(target) = active.min_by_key(|target| self.outstanding(&target.name)) else {
            return self.refuse(request, RefusalReason::NoTarget);
        };
        self.next_attempt += 1;
        self.counters.attempts += 1;
        let attempt = AttemptId(self.next_attempt);
        self.attempts.insert(attempt, Attempt { request, target: target.name.clone() });
        let (target, address) = (target.name.clone(), target.address);
        vec![Action::Send { request, attempt, target, address, deadline: meta.deadline }]
    }

    /// Takes the end of an attempt.
    pub fn on_outcome(
        &mut self,
        _now: Millis,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let Some(ended) = self.attempts.remove(&attempt) else {
            self.counters.unmatched += 1;
            return Vec::new();
        };
        let (state, reason) = match outcome {
            Outcome::Done { .. } => return Vec::new(),
            Outcome::NotRun(_) => (RunState::NotRun, RefusalReason::Shed),
            Outcome::Failed(_) => (RunState::Unknown, RefusalReason::AttemptFailed),
        };
        self.counters.refused += 1;
        vec![Action::Refuse { request: ended.request, refusal: Refusal { state, reason } }]
    }

    /// Notes that the caller of a request went away.
    pub fn on_cancel(&mut self, _now: Millis, request: RequestId) -> Vec<Action> {
        let of_request = |(_, attempt): &(&AttemptId, &Attempt)| attempt.request == request;
        let attempts: Vec<AttemptId> =
            self.attempts.iter().filter(of_request).map(|(id, _)| *id).collect();
        attempts.into_iter().map(|attempt| Action::Cancel { attempt }).collect()
    }

    /// Takes a message from a peer.
    pub fn on_message(
        &mut self,
        _now: Millis,
        _from: &VmId,
        _message: RequestMessage,
    ) -> Vec<Action> {
        Vec::new()
    }

    /// Does what is due.
    pub fn tick(&mut self, _now: Millis) -> Vec<Action> {
        Vec::new()
    }

    /// Starts a planned stop: no new requests are taken.
    pub fn leave(&mut self, _now: Millis) -> Vec<Action> {
        self.leaving = true;
        Vec::new()
    }

    /// Tells whether no request is in progress.
    pub fn is_drained(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Issues an idempotency key.
    pub fn issue_key(&mut self, _now: Millis) -> IssuedKey {
        self.next_key += 1;
        let (vm, incarnation) = (self.me.clone(), self.incarnation);
        IssuedKey { vm, incarnation, sequence: self.next_key, code: 0 }
    }

    /// Explains where a request of a service would go now and why.
    pub fn explain(&self, _now: Millis, _service: &Name) -> RequestExplanation {
        RequestExplanation { target: None, reason: "least outstanding".to_owned() }
    }

    /// Returns the use of each target by this VM.
    pub fn targets(&self) -> Vec<TargetUse> {
        Vec::new()
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &DispatchCounters {
        &self.counters
    }

    fn outstanding(&self, target: &Name) -> usize {
        self.attempts.values().filter(|attempt| attempt.target == *target).count()
    }

    fn refuse(&mut self, request: RequestId, reason: RefusalReason) -> Vec<Action> {
        self.counters.refused += 1;
        vec![Action::Refuse { request, refusal: Refusal { state: RunState::NotRun, reason } }]
    }
}
