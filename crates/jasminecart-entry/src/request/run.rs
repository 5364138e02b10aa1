//! One request from its submission to the end of its answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use jasminecart_core::invariant;
use jasminecart_core::names::{Name, VmId};
use jasminecart_core::request::{
    AttemptId, FailureCause, NotRunCause, Outcome, Refusal, RefusalReason, RunState,
};
use jasminecart_core::time::Millis;
use jasminecart_core::version::Service;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::admission::Admitted;
use super::answers::{AnswerCopy, RequestIdentity, StoredAnswer};
use super::attempt::{Answer, AttemptEnd, AttemptPlan, TargetRequest, attempt, is_in_force};
use super::body::{BodyError, ClientBody, MAX_WAITING_PARTS, Part, is_complete};
use super::headers::{FORWARDED_HEADER, prepare_answer, set_number};
use super::listener::RequestContext;
use super::reply;
use crate::control::Directive;
use crate::metrics::{Ending, RequestLabels, count};
use crate::pool::{Lease, Version};

/// The dispatcher refuses a request at its deadline. When it does not within this time, such as after a
/// pause of the process, the request is refused here.
const DEADLINE_GRACE: Millis = Millis(500);
/// A keyed request goes to the VM that issued the key, and from there at most to its successor after a
/// planned stop.
const MAX_FORWARDS: u64 = 2;

/// A request in progress.
pub(crate) struct Run {
    pub(crate) cx: Arc<RequestContext>,
    pub(crate) admitted: Admitted,
    pub(crate) request: TargetRequest,
    pub(crate) hops: u64,
    pub(crate) arrived: Millis,
    pub(crate) reply: Reply,
    pub(crate) directives: mpsc::UnboundedReceiver<Directive>,
    pub(crate) attempts: Attempts,
}

/// Where the head of the answer goes. The client went away when the receiver is dropped.
pub(crate) struct Reply(pub(crate) Option<oneshot::Sender<Response<ClientBody>>>);

impl Reply {
    async fn closed(&mut self) {
        match &mut self.0 {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Sends the head and tells whether the client is still there.
    fn send(&mut self, response: Response<ClientBody>) -> bool {
        self.0.take().is_some_and(|sender| sender.send(response).is_ok())
    }
}

/// The attempts of one request.
#[derive(Default)]
pub(crate) struct Attempts {
    running: FuturesUnordered<BoxFuture<'static, (AttemptId, AttemptEnd)>>,
    cancels: HashMap<AttemptId, CancellationToken>,
    unstarted: Vec<AttemptId>,
    started: bool,
    may_have_run: bool,
}

impl Attempts {
    fn note(&mut self, outcome: Outcome) {
        self.may_have_run |= !matches!(outcome, Outcome::NotRun(_));
    }

    /// Cancels all attempts and returns how they ended. Attempts end at once when they are cancelled.
    async fn cancel_all(&mut self, late: &AtomicU64) -> Vec<(AttemptId, Outcome)> {
        for cancel in self.cancels.values() {
            cancel.cancel();
        }
        let mut ended = Vec::new();
        while let Some((id, end)) = self.running.next().await {
            let outcome = match end {
                AttemptEnd::Ended(outcome) => outcome,
                AttemptEnd::Answer(_) => {
                    count(late);
                    Outcome::Failed(FailureCause::Broken)
                }
            };
            self.note(outcome);
            ended.push((id, outcome));
        }
        self.cancels.clear();
        ended
    }
}

enum Next {
    ClientGone,
    Directive(Option<Directive>),
    Ended(AttemptId, AttemptEnd),
    Overdue,
}

enum PumpEnd {
    /// The answer is complete. Its last part is held back when its length was declared.
    Complete(Option<Frame<Bytes>>),
    Broken(FailureCause),
    ClientGone,
}

impl Run {
    /// Runs the request to its end.
    pub(crate) async fn run(mut self, sender: mpsc::UnboundedSender<Directive>) {
        let meta = self.admitted.meta.clone();
        let ending = match self.cx.control.submit(meta, self.hops > 0, sender).await {
            true => self.drive().await,
            false => self.refuse(RunState::NotRun, RefusalReason::NotReady),
        };
        let labels = RequestLabels::new(&self.admitted.meta.tenant, &self.admitted.meta.class);
        let span = self.cx.clock.now().since(self.arrived);
        self.cx.metrics.observe_end(&labels, span, ending);
        self.close().await;
    }

    async fn drive(&mut self) -> Ending {
        let deadline = self.admitted.meta.deadline + DEADLINE_GRACE;
        loop {
            let left = deadline.since(self.cx.clock.now());
            let next = tokio::select! {
                biased;
                () = self.reply.closed() => Next::ClientGone,
                directive = self.directives.recv() => Next::Directive(directive),
                Some((id, end)) = self.attempts.running.next() => Next::Ended(id, end),
                () = tokio::time::sleep(left.into()) => Next::Overdue,
            };
            let ending = match next {
                Next::ClientGone => Some(self.cancel().await),
                Next::Directive(Some(directive)) => self.obey(directive).await,
                Next::Directive(None) => {
                    self.cancel().await;
                    Some(self.refuse(RunState::NotRun, RefusalReason::NotReady))
                }
                Next::Ended(id, end) => self.on_end(id, end).await,
                Next::Overdue => {
                    self.cancel().await;
                    Some(self.refuse(RunState::NotRun, RefusalReason::Deadline))
                }
            };
            if let Some(ending) = ending {
                return ending;
            }
        }
    }

    async fn obey(&mut self, directive: Directive) -> Option<Ending> {
        match directive {
            Directive::Send { attempt, target, address, deadline } => {
                self.start(attempt, &target, address, deadline).await;
                None
            }
            Directive::Cancel { attempt } => {
                if let Some(cancel) = self.attempts.cancels.get(&attempt) {
                    cancel.cancel();
                }
                None
            }
            Directive::Refuse(refusal) => Some(self.on_refusal(refusal).await),
            Directive::Forward { vm, address } => Some(self.forward(&vm, address).await),
        }
    }

    async fn start(&mut self, id: AttemptId, target: &Name, address: SocketAddr, deadline: Millis) {
        if !self.attempts.started {
            self.attempts.started = true;
            let meta = &self.admitted.meta;
            let labels = RequestLabels::new(&meta.tenant, &meta.class);
            let span = self.cx.clock.now().since(self.arrived);
            self.cx.metrics.observe_queueing(&labels, span);
        }
        let service = &self.admitted.service;
        let plan = AttemptPlan {
            target: Some((service.name.clone(), target.clone())),
            address,
            version: version_of(service),
            deadline: deadline.min(self.admitted.meta.deadline),
            progress_within: service.progress_timeout,
            shed_statuses: service.shed_statuses.clone(),
        };
        if !self.may_send() || !is_in_force(&self.cx, &plan) {
            let not_sent = Outcome::NotRun(NotRunCause::NotSent);
            return self.cx.report(id, not_sent).await;
        }
        let cancel = CancellationToken::new();
        self.attempts.cancels.insert(id, cancel.clone());
        let running = attempt(self.cx.clone(), self.request.clone(), plan, cancel);
        self.attempts.running.push(Box::pin(async move { (id, running.await) }));
    }

    /// Checks a send against the promises of the listener, whatever the dispatcher decided: a request that
    /// is not idempotent, or that has a key, is never sent while another attempt may have run (I5).
    fn may_send(&self) -> bool {
        let in_doubt = self.attempts.may_have_run || !self.attempts.running.is_empty();
        let meta = &self.admitted.meta;
        let safe = (meta.idempotent && meta.key.is_none()) || !in_doubt;
        if !safe {
            count(&self.cx.metrics.counters.second_runs_refused);
        }
        invariant!(safe, "a request that may have run and is not idempotent was to be sent again");
        safe && self.request.payload.is_available()
    }

    async fn on_end(&mut self, id: AttemptId, end: AttemptEnd) -> Option<Ending> {
        self.attempts.cancels.remove(&id);
        match end {
            AttemptEnd::Answer(answer) => Some(self.answer(Some(id), *answer).await),
            AttemptEnd::Ended(outcome) => {
                self.attempts.note(outcome);
                if let Some(failure) = self.request.payload.failure() {
                    return Some(self.on_upload_failure(failure, id, outcome).await);
                }
                self.cx.report(id, outcome).await;
                None
            }
        }
    }

    /// Ends a request whose body did not arrive. The target is not to blame, so the request is cancelled
    /// before the outcome is reported.
    async fn on_upload_failure(
        &mut self,
        failure: BodyError,
        id: AttemptId,
        outcome: Outcome,
    ) -> Ending {
        self.cancel().await;
        self.cx.report(id, outcome).await;
        let state = self.state(RunState::NotRun);
        let status = match failure {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Client | BodyError::Answer => StatusCode::BAD_REQUEST,
        };
        self.reply.send(reply::plain(status, state, &failure.to_string()));
        if failure == BodyError::Client { Ending::Cancelled } else { ending_of(state) }
    }

    async fn on_refusal(&mut self, refusal: Refusal) -> Ending {
        let truthful = refusal.state == RunState::Unknown || !self.attempts.may_have_run;
        invariant!(truthful, "a request that may have run was to be refused as not run");
        let ended = self.attempts.cancel_all(&self.cx.metrics.counters.answers_late).await;
        for (id, outcome) in ended {
            self.cx.report(id, outcome).await;
        }
        if refusal.reason == RefusalReason::KeyUsed
            && let Some(answer) = self.stored()
        {
            count(&self.cx.metrics.counters.answers_from_store);
            self.reply.send(answer.response());
            return Ending::Stored;
        }
        self.refuse(refusal.state, refusal.reason)
    }

    /// Refuses the request. Whatever the caller believes, an attempt that may have run makes it `unknown`
    /// (I4).
    fn refuse(&mut self, state: RunState, reason: RefusalReason) -> Ending {
        let state = self.state(state);
        let meta = &self.admitted.meta;
        let late = self.cx.clock.now() >= meta.deadline;
        let reason = match reason {
            RefusalReason::AttemptFailed if late => RefusalReason::Deadline,
            reason => reason,
        };
        let (service, reason_text) = (meta.service.as_str(), format!("{reason:?}"));
        let (vm, outcome) = (self.cx.vm.as_str(), reply::outcome_text(state));
        let revision = self.admitted.document.revision().0;
        match state {
            RunState::Unknown => {
                log::info!(event = "request_refused", vm = vm, service = service, revision = revision, outcome = outcome, reason = reason_text.as_str(); "a request was refused")
            }
            RunState::NotRun => {
                log::debug!(event = "request_refused", vm = vm, service = service, revision = revision, outcome = outcome, reason = reason_text.as_str(); "a request was refused")
            }
        }
        self.reply.send(reply::refusal(Refusal { state, reason }));
        ending_of(state)
    }

    fn state(&self, state: RunState) -> RunState {
        if self.attempts.may_have_run { RunState::Unknown } else { state }
    }

    async fn cancel(&mut self) -> Ending {
        self.cx.cancel(self.admitted.meta.id).await;
        let ended = self.attempts.cancel_all(&self.cx.metrics.counters.answers_late).await;
        for (id, outcome) in ended {
            self.cx.report(id, outcome).await;
        }
        Ending::Cancelled
    }

    fn identity(&self) -> RequestIdentity {
        RequestIdentity {
            service: self.admitted.meta.service.clone(),
            tenant: self.admitted.meta.tenant.clone(),
            method: self.request.method.clone(),
            path: self.request.path.to_string(),
        }
    }

    fn stored(&self) -> Option<StoredAnswer> {
        self.cx.answers.get(self.admitted.meta.key.as_ref()?, &self.identity())
    }

    /// Forwards the request to the VM that issued its key. Whether that VM ran an earlier request with the
    /// key is not known here, so every failure is `unknown`.
    async fn forward(&mut self, vm: &VmId, address: SocketAddr) -> Ending {
        if self.hops >= MAX_FORWARDS {
            return self.refuse(RunState::Unknown, RefusalReason::KeyOwnerLost);
        }
        count(&self.cx.metrics.counters.requests_forwarded);
        let mut request = self.request.clone();
        set_number(&mut request.headers, FORWARDED_HEADER, self.hops + 1);
        let plan = AttemptPlan {
            target: None,
            address,
            version: Version::Http1,
            deadline: self.admitted.meta.deadline,
            progress_within: self.admitted.meta.deadline.since(self.cx.clock.now()),
            shed_statuses: Vec::new(),
        };
        let cancel = CancellationToken::new();
        let running = attempt(self.cx.clone(), request, plan, cancel.clone());
        let end = tokio::select! {
            biased;
            () = self.reply.closed() => return Ending::Cancelled,
            end = running => end,
        };
        match end {
            AttemptEnd::Answer(answer) => self.answer(None, *answer).await,
            AttemptEnd::Ended(_) => {
                let (vm, owner) = (self.cx.vm.as_str(), vm.to_string());
                log::info!(event = "key_owner_unreachable", vm = vm, owner = owner.as_str(); "the VM that issued an idempotency key cannot be reached");
                self.refuse(RunState::Unknown, RefusalReason::KeyOwnerLost)
            }
        }
    }

    /// Passes an answer on to the client. `id` is absent for the answer of another entry VM.
    async fn answer(&mut self, id: Option<AttemptId>, answer: Answer) -> Ending {
        let losers = self.attempts.cancel_all(&self.cx.metrics.counters.answers_late).await;
        let Answer { response, lease } = answer;
        let (mut parts, body) = response.into_parts();
        prepare_answer(&mut parts.headers, id.is_none());
        let status = parts.status;
        let head = |body: ClientBody| {
            let mut head = Response::new(body);
            *head.status_mut() = status;
            *head.headers_mut() = parts.headers.clone();
            head
        };
        let copy = AnswerCopy::new(id.is_some() && self.admitted.meta.key.is_some());
        let ending = if body.is_end_stream() {
            self.complete(id, lease, head(ClientBody::whole("")), copy).await;
            self.reply.send(head(ClientBody::whole("")));
            Ending::Done
        } else {
            let (tx, rx) = mpsc::channel(MAX_WAITING_PARTS);
            let stored = head(ClientBody::whole(""));
            match self.reply.send(head(ClientBody::Stream(rx))) {
                true => self.stream(id, lease, body, stored, copy, tx).await,
                false => self.broken(id, lease, PumpEnd::ClientGone).await,
            }
        };
        for (id, outcome) in losers {
            self.cx.report(id, outcome).await;
        }
        ending
    }

    async fn stream(
        &mut self,
        id: Option<AttemptId>,
        lease: Lease,
        mut body: Incoming,
        stored: Response<ClientBody>,
        mut copy: AnswerCopy,
        tx: mpsc::Sender<Part>,
    ) -> Ending {
        let http2 = lease.version() == Version::Http2;
        match self.pump(id, (&mut body, http2), &mut copy, &tx).await {
            PumpEnd::Complete(last) => {
                self.complete(id, lease, stored, copy).await;
                let left = self.admitted.meta.deadline.since(self.cx.clock.now());
                // A client that does not read the end before the deadline sees a broken answer.
                let sent = tokio::time::timeout(left.into(), send_end(last, &tx)).await;
                sent.unwrap_or(Ending::Broken)
            }
            end => self.broken(id, lease, end).await,
        }
    }

    /// Moves the body until its end. Waiting for a slow client holds the target's bytes back. The last part
    /// of an answer with a declared length is held back until the end of the body is confirmed: a client that
    /// has all bytes may close its connection or repeat its request before the answer is recorded.
    async fn pump(
        &mut self,
        id: Option<AttemptId>,
        (body, http2): (&mut Incoming, bool),
        copy: &mut AnswerCopy,
        tx: &mpsc::Sender<Part>,
    ) -> PumpEnd {
        let left = self.admitted.meta.deadline.since(self.cx.clock.now());
        let overdue = tokio::time::sleep(left.into());
        tokio::pin!(overdue);
        let progress_within = self.admitted.service.progress_timeout;
        let mut missing = body.size_hint().exact();
        let mut held = None;
        loop {
            let frame = tokio::select! {
                biased;
                () = tx.closed() => return PumpEnd::ClientGone,
                () = &mut overdue => return PumpEnd::Broken(FailureCause::Deadline),
                () = ended_by(&mut self.directives, id, &mut self.attempts.unstarted) => {
                    return PumpEnd::Broken(FailureCause::Deadline);
                }
                frame = body.frame() => frame,
                () = tokio::time::sleep(progress_within.into()) => {
                    return PumpEnd::Broken(FailureCause::Silent);
                }
            };
            let frame = match frame {
                None if is_complete(body, http2) => return PumpEnd::Complete(held),
                None | Some(Err(_)) => return PumpEnd::Broken(FailureCause::Broken),
                Some(Ok(frame)) => frame,
            };
            match frame.data_ref() {
                Some(data) => {
                    copy.add(data);
                    missing = missing.map(|missing| missing.saturating_sub(data.len() as u64));
                }
                None => copy.discard(),
            }
            let frame = match missing {
                Some(0) => match held.replace(frame) {
                    Some(frame) => frame,
                    None => continue,
                },
                _ => frame,
            };
            tokio::select! {
                biased;
                sent = tx.send(Part::Frame(frame)) => {
                    if sent.is_err() {
                        return PumpEnd::ClientGone;
                    }
                }
                () = &mut overdue => return PumpEnd::Broken(FailureCause::Deadline),
            }
        }
    }

    /// Records a complete answer. The answer is stored before the client can see its end, so that a repeat
    /// with the same key finds it.
    async fn complete(
        &mut self,
        id: Option<AttemptId>,
        lease: Lease,
        stored: Response<ClientBody>,
        copy: AnswerCopy,
    ) {
        lease.finish();
        let status = stored.status();
        if let (Some(_), Some(key)) = (id, self.admitted.meta.key.clone()) {
            let headers = stored.headers().clone();
            let kept = copy.finish().is_some_and(|body| {
                let answer = StoredAnswer { status, headers, body };
                self.cx.answers.put(key, self.identity(), answer)
            });
            if !kept {
                count(&self.cx.metrics.counters.answers_not_stored);
            }
        }
        if let Some(id) = id {
            let done = Outcome::Done { status: status.as_u16() };
            self.cx.report(id, done).await;
        }
    }

    /// Records an answer that broke off after its head was sent. The request is cancelled first, because
    /// the client can't be given another answer.
    async fn broken(&mut self, id: Option<AttemptId>, mut lease: Lease, end: PumpEnd) -> Ending {
        let cause = match end {
            PumpEnd::Broken(cause) => cause,
            PumpEnd::Complete(_) | PumpEnd::ClientGone => FailureCause::Broken,
        };
        match cause {
            FailureCause::Silent => lease.abandon_silent(),
            FailureCause::Broken | FailureCause::Deadline => lease.abandon(),
        };
        self.cx.cancel(self.admitted.meta.id).await;
        if let Some(id) = id {
            self.cx.report(id, Outcome::Failed(cause)).await;
        }
        if matches!(end, PumpEnd::ClientGone) {
            return Ending::Cancelled;
        }
        let (vm, service) = (self.cx.vm.as_str(), self.admitted.meta.service.as_str());
        let reason = format!("{cause:?}");
        log::info!(event = "answer_broken", vm = vm, service = service, reason = reason.as_str(); "an answer broke off after its head was sent");
        Ending::Broken
    }

    /// Tells the control actor that the request ended, and that attempts which were still to be started
    /// were not.
    async fn close(mut self) {
        self.directives.close();
        while let Some(directive) = self.directives.recv().await {
            if let Directive::Send { attempt, .. } = directive {
                self.attempts.unstarted.push(attempt);
            }
        }
        for attempt in std::mem::take(&mut self.attempts.unstarted) {
            let not_sent = Outcome::NotRun(NotRunCause::NotSent);
            self.cx.report(attempt, not_sent).await;
        }
        self.cx.end(self.admitted.meta.id).await;
    }
}

/// Sends the last part and the end of an answer. A client that closes its connection after the last part has
/// received everything.
async fn send_end(last: Option<Frame<Bytes>>, tx: &mpsc::Sender<Part>) -> Ending {
    if let Some(last) = last
        && tx.send(Part::Frame(last)).await.is_err()
    {
        return Ending::Cancelled;
    }
    let _ = tx.send(Part::End).await;
    Ending::Done
}

/// Returns when the dispatcher ends the answering attempt. Attempts that it starts meanwhile, such as a
/// hedge, are not started, because the client already receives an answer.
async fn ended_by(
    directives: &mut mpsc::UnboundedReceiver<Directive>,
    id: Option<AttemptId>,
    unstarted: &mut Vec<AttemptId>,
) {
    loop {
        match directives.recv().await {
            Some(Directive::Refuse(_)) | None => return,
            Some(Directive::Cancel { attempt }) if Some(attempt) == id => return,
            Some(Directive::Send { attempt, .. }) => unstarted.push(attempt),
            Some(_) => {}
        }
    }
}

fn ending_of(state: RunState) -> Ending {
    match state {
        RunState::NotRun => Ending::NotRun,
        RunState::Unknown => Ending::Unknown,
    }
}

fn version_of(service: &Service) -> Version {
    if service.http2 { Version::Http2 } else { Version::Http1 }
}
