//! Requests from clients through VMs to targets, and their outcomes.

use jasminecart_core::request::{
    Action, AttemptId, FailureCause, NotRunCause, Outcome, Refusal, RequestId, RequestMeta,
    RunState,
};
use jasminecart_core::version::TargetState;
use jasminecart_core::{Millis, Name};
use rand::RngExt;

use super::client::{ClientRequest, ClientState};
use super::network::{Event, ProcessId};
use super::platform::SERVICES;
use super::targets::{Arrival, MAX_WAITING};
use super::vm::OpenAttempt;
use super::world::World;

/// The identity of a request at its client. All repeated submissions with one key share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ClientRequestId(pub(super) u64);

/// One submission of a request. The client ignores the outcomes of earlier submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Submission {
    pub(super) request: ClientRequestId,
    /// The number of the submission, from 1.
    pub(super) number: u32,
}

const MAX_SUBMISSIONS: u32 = 4;
const DEADLINE: Millis = Millis::from_secs(8);
/// An attempt at a silent target fails once less than this time remains until its deadline.
const PROGRESS_TIMEOUT: Millis = Millis::from_secs(3);

impl World {
    /// Submits new requests, and repeats those that are due.
    pub(super) fn offer_requests(&mut self) {
        if self.rng.random_bool(0.6) {
            self.new_request();
        }
        let now = self.now;
        let due = |request: &ClientRequest| request.repeat_at.is_some_and(|at| at <= now);
        let repeats: Vec<ClientRequestId> = self
            .clients
            .requests
            .iter()
            .filter(|(_, request)| due(request))
            .map(|(id, _)| *id)
            .collect();
        for id in repeats {
            self.send_request(id);
        }
    }

    fn new_request(&mut self) {
        let Some(vm) = self.random_ready_vm() else { return };
        let now = self.now;
        let idempotent = self.rng.random_bool(0.3);
        let keyed = self.rng.random_bool(0.5);
        let key = if keyed {
            let Some(process) = self.vms[vm].process.as_mut() else { return };
            Some(process.dispatcher.issue_key(now))
        } else {
            None
        };
        self.clients.next += 1;
        let id = ClientRequestId(self.clients.next);
        let request = ClientRequest {
            service: usize::from(self.rng.random_bool(0.3)),
            idempotent,
            key,
            at: None,
            deadline: now + DEADLINE,
            submissions: 0,
            state: ClientState::Waiting,
            repeat_at: None,
            told_not_run: false,
        };
        self.clients.requests.insert(id, request);
        self.verdict.requests += 1;
        self.send_request(id);
    }

    // Clients reach any VM that accepts requests. A paused one handles them late.
    fn random_ready_vm(&mut self) -> Option<usize> {
        let open = |index: &usize| {
            self.vms[*index]
                .process
                .as_ref()
                .is_some_and(|process| process.ready && process.leaving_since.is_none())
        };
        let candidates: Vec<usize> = (0..self.vms.len()).filter(open).collect();
        let count = candidates.len();
        (count > 0).then(|| candidates[self.rng.random_range(0..count)])
    }

    fn send_request(&mut self, id: ClientRequestId) {
        let Some(vm) = self.random_ready_vm() else { return };
        let (now, process) = (self.now, self.process_id(vm));
        let Some(request) = self.clients.requests.get_mut(&id) else { return };
        request.submissions += 1;
        request.repeat_at = None;
        request.state = ClientState::Waiting;
        request.deadline = now + DEADLINE;
        request.at = Some(process.clone());
        let deadline = request.deadline;
        let submission = Submission { request: id, number: request.submissions };
        if self.vms[vm].paused_until > now {
            let event = Event::Forwarded { to: process.0, submission, deadline };
            self.vms[vm].events.push_back(event);
        } else {
            self.submit(vm, submission, deadline);
        }
    }

    /// Submits a request from a client or another VM to the dispatcher of a VM.
    pub(super) fn submit(&mut self, vm: usize, submission: Submission, deadline: Millis) {
        let now = self.now;
        let Some(request) = self.clients.requests.get(&submission.request) else { return };
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        process.next_request += 1;
        let meta = RequestMeta {
            id: RequestId(process.next_request),
            service: Name::new(SERVICES[request.service]),
            class: Name::new("default"),
            tenant: Name::new("default"),
            deadline,
            idempotent: request.idempotent,
            repeatable: true,
            key: request.key.clone(),
        };
        process.requests.insert(meta.id, submission);
        let actions = process.dispatcher.submit(now, meta);
        self.apply_actions(vm, actions);
    }

    /// Applies an action of a dispatcher.
    pub(super) fn apply_action(&mut self, vm: usize, action: Action) {
        match action {
            Action::Send { request, attempt, target, deadline, .. } => {
                self.send_attempt(vm, request, attempt, target, deadline);
            }
            Action::Refuse { request, refusal } => self.refuse(vm, request, refusal),
            Action::Cancel { attempt } => {
                if let Some(process) = self.vms[vm].process.as_mut() {
                    process.attempts.remove(&attempt);
                }
            }
            Action::Forward { request, vm: to, .. } => self.forward(vm, request, to),
            Action::Message(outgoing) => self.send_all(vm, vec![outgoing]),
        }
    }

    fn forward(&mut self, vm: usize, request: RequestId, to: jasminecart_core::VmId) {
        let (now, from) = (self.now, self.process_id(vm));
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let Some(submission) = process.requests.remove(&request) else { return };
        let client = self.clients.requests.get(&submission.request);
        let deadline = client.map_or(now, |request| request.deadline);
        if self.network.is_open(now, &from.0, &to) && self.find(&to).is_some() {
            // The client's request fails when the VM that it was forwarded to dies.
            let at = self.find(&to).map(|index| self.process_id(index));
            if let Some(request) = self.clients.requests.get_mut(&submission.request) {
                request.at = at;
            }
            let event = Event::Forwarded { to, submission, deadline };
            self.network.schedule(now + Millis(2), event);
        } else {
            self.end_for_client(submission, ClientState::Unknown);
        }
    }

    /// Ends a request as unknown for its client, because it could not be forwarded.
    pub(super) fn forward_failed(&mut self, submission: Submission) {
        self.end_for_client(submission, ClientState::Unknown);
    }

    fn send_attempt(
        &mut self,
        vm: usize,
        request: RequestId,
        attempt: AttemptId,
        target: Name,
        deadline: Millis,
    ) {
        let (now, from) = (self.now, self.process_id(vm));
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let Some(submission) = process.requests.get(&request).copied() else { return };
        let id = submission.request;
        let open = OpenAttempt { request, target: target.clone(), deadline };
        process.attempts.insert(attempt, open);
        self.check_send(vm, id, &target);
        let reachable = self.platform.targets.contains_key(&target);
        if !reachable {
            let outcome = Outcome::NotRun(NotRunCause::NotSent);
            return self
                .network
                .schedule(now + Millis(1), Event::Outcome { to: from, attempt, outcome });
        }
        let arrival = Arrival { target, from, attempt, request: id, deadline };
        self.network.schedule(now + Millis(1), Event::Target(arrival));
    }

    // Checks I2 and I6 for a request that a VM sends to a target.
    fn check_send(&mut self, vm: usize, id: ClientRequestId, target: &Name) {
        let service = self.clients.requests.get(&id).map(|request| SERVICES[request.service]);
        let published = self.platform.targets.get(target);
        let foreign =
            published.is_some_and(|published| Some(published.service.as_str()) != service);
        if foreign {
            self.verdict.misrouted += 1;
            self.verdict.record_violation(self.now, "I2", format!("{id:?} was sent to {target}"));
        }
        if published.is_some_and(|published| published.state == TargetState::Draining) {
            self.check_new_work(vm, target, "request");
        }
    }

    /// Handles the arrival of a request at a target.
    pub(super) fn arrive_at_target(&mut self, arrival: Arrival) {
        let now = self.now;
        let Some(target) = self.targets.by_name.get(&arrival.target) else { return };
        let full = target.waiting.len() >= MAX_WAITING;
        let response = |outcome| Event::Outcome {
            to: arrival.from.clone(),
            attempt: arrival.attempt,
            outcome,
        };
        if now < target.shed_until || full {
            let outcome = Outcome::NotRun(NotRunCause::Shed);
            return self.network.schedule(now + Millis(1), response(outcome));
        }
        if now < target.break_until && self.rng.random_bool(0.5) {
            let outcome = Outcome::Failed(FailureCause::Broken);
            let event = response(outcome);
            self.network.schedule(now + Millis(1), event);
            // Half of the requests whose connection broke run nevertheless.
            if self.rng.random_bool(0.5) {
                return;
            }
        }
        if let Some(end) = self.targets.start(now, &arrival) {
            self.check_runs(arrival.request);
            let target = arrival.target.clone();
            self.network.schedule(end, Event::RunEnds { target, arrival });
        }
    }

    /// Ends a run at a target and starts a waiting request.
    pub(super) fn end_run(&mut self, name: &Name, arrival: Arrival) {
        let now = self.now;
        let silent = self.targets.by_name.get(name).is_some_and(|target| now < target.silent_until);
        if !silent {
            let (to, attempt) = (arrival.from, arrival.attempt);
            // Responses may be late, out of order or duplicated.
            let delay = if self.rng.random_bool(0.02) { 4_000 } else { 1 };
            let outcome = Outcome::Done { status: 200 };
            let event = Event::Outcome { to, attempt, outcome };
            if self.rng.random_bool(0.01) {
                self.network.schedule(now + Millis(delay + 50), event.clone());
            }
            self.network.schedule(now + Millis(delay), event);
        }
        if let Some(next) = self.targets.end(now, name)
            && let Some(end) = self.targets.start(now, &next)
        {
            self.check_runs(next.request);
            self.network.schedule(end, Event::RunEnds { target: name.clone(), arrival: next });
        }
    }

    fn check_runs(&mut self, id: ClientRequestId) {
        let Some(request) = self.clients.requests.get(&id) else { return };
        let runs = self.targets.runs.get(&id).copied().unwrap_or(0);
        if runs > 1 && !request.idempotent {
            self.verdict.run_twice += 1;
            let text = format!("{id:?} ran {runs} times: {request:?}");
            self.verdict.record_violation(self.now, "I5", text);
        }
        if request.told_not_run {
            self.verdict.false_not_run += 1;
            let text = format!("{id:?} ran after it was refused as not-run");
            self.verdict.record_violation(self.now, "I4", text);
        }
    }

    /// Handles the outcome of an attempt at a VM.
    pub(super) fn end_attempt(&mut self, vm: usize, attempt: AttemptId, outcome: Outcome) {
        let now = self.now;
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let open = process.attempts.remove(&attempt);
        let actions = process.dispatcher.on_outcome(now, attempt, outcome);
        if let Some(open) = open
            && matches!(outcome, Outcome::Done { .. })
            && !refuses(&actions, open.request)
        {
            let submission = process.requests.remove(&open.request);
            if let Some(submission) = submission {
                self.end_for_client(submission, ClientState::Answered);
            }
        }
        self.apply_actions(vm, actions);
    }

    /// Ends attempts whose deadline passed or whose connection is silent.
    pub(super) fn expire_attempts(&mut self, vm: usize) {
        let now = self.now;
        let Some(process) = self.vms[vm].process.as_ref() else { return };
        let expired: Vec<(AttemptId, FailureCause)> = process
            .attempts
            .iter()
            .filter_map(|(attempt, open)| Some((*attempt, self.failure(open, now)?)))
            .collect();
        for (attempt, cause) in expired {
            self.end_attempt(vm, attempt, Outcome::Failed(cause));
        }
    }

    fn failure(&self, open: &OpenAttempt, now: Millis) -> Option<FailureCause> {
        if open.deadline <= now {
            return Some(FailureCause::Deadline);
        }
        let target = self.targets.by_name.get(&open.target)?;
        let silent = now < target.silent_until && open.deadline.since(now) < PROGRESS_TIMEOUT;
        silent.then_some(FailureCause::Silent)
    }

    fn refuse(&mut self, vm: usize, request: RequestId, refusal: Refusal) {
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let Some(submission) = process.requests.remove(&request) else { return };
        let state = match refusal.state {
            RunState::NotRun => ClientState::NotRun,
            RunState::Unknown => ClientState::Unknown,
        };
        self.end_for_client(submission, state);
    }

    /// Ends a submission for its client, which may schedule a repeat.
    pub(super) fn end_for_client(&mut self, submission: Submission, state: ClientState) {
        let id = submission.request;
        let repeats = self.rng.random_bool(0.7);
        let wait = Millis(self.rng.random_range(10..3_000));
        let runs = self.targets.runs.get(&id).copied().unwrap_or(0);
        let now = self.now;
        let Some(request) = self.clients.requests.get_mut(&id) else { return };
        if request.submissions != submission.number {
            return;
        }
        request.state = state;
        match state {
            ClientState::Answered => {
                self.verdict.answered += 1;
                if runs == 0 {
                    self.verdict.record_violation(
                        now,
                        "I3",
                        format!("{id:?} was answered without a run"),
                    );
                }
            }
            ClientState::NotRun => {
                self.verdict.not_run += 1;
                request.told_not_run = true;
                if runs > 0 {
                    self.verdict.false_not_run += 1;
                    let text = format!("{id:?} had run when it was refused: {request:?}");
                    self.verdict.record_violation(now, "I4", text);
                }
            }
            ClientState::Unknown => self.verdict.unknown += 1,
            ClientState::Waiting => {}
        }
        // Only a keyed request may be repeated, after a response or an unknown outcome. It is not
        // repeated after a refusal as not-run: the repeat would be a new submission that may run,
        // and the check of I4 would report a false not-run.
        let keyed = request.key.is_some() && state != ClientState::NotRun;
        if keyed && repeats && request.submissions < MAX_SUBMISSIONS {
            request.repeat_at = Some(now + wait);
        }
    }

    /// Checks that every request ended for its client, unless the process that it was sent to
    /// ended.
    pub(super) fn check_completion(&mut self) {
        let waiting: Vec<(ClientRequestId, Option<ProcessId>)> = self
            .clients
            .requests
            .iter()
            .filter(|(_, request)| request.state == ClientState::Waiting)
            .map(|(id, request)| (*id, request.at.clone()))
            .collect();
        for (id, at) in waiting {
            if at.is_some_and(|process| self.find_process(&process).is_some()) {
                self.verdict.record_violation(self.now, "I3", format!("{id:?} got no answer"));
            }
        }
    }
}

fn refuses(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { request, .. } if *request == id))
}
