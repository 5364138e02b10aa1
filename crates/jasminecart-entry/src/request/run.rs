//! One request from its submission for dispatch to the end of its response.

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
use super::answers::{BodyCopy, RequestIdentity, StoredResponse};
use super::attempt::{
    AttemptPlan, AttemptResult, TargetRequest, TargetResponse, attempt, is_target_active,
};
use super::body::{BodyError, MAX_QUEUED_PARTS, ResponseBody, ResponsePart, is_complete};
use super::headers::{FORWARDED_HEADER, insert_number, prepare_response};
use super::listener::RequestContext;
use super::reply;
use crate::control::Directive;
use crate::metrics::{RequestLabels, RequestOutcome, increment};
use crate::pool::{PooledConnection, Version};

/// The dispatcher refuses a request at its deadline. If its refusal does not arrive within this
/// time after the deadline, such as because the process was paused, the task of the request refuses
/// it itself.
const DEADLINE_GRACE: Millis = Millis(500);
/// A request with a key is forwarded to the VM that issued the key, and by that VM at most to its
/// successor after a planned stop.
const MAX_FORWARDS: u64 = 2;

/// The task that serves one request.
pub(crate) struct RequestTask {
    pub(crate) cx: Arc<RequestContext>,
    pub(crate) admitted: Admitted,
    pub(crate) request: TargetRequest,
    pub(crate) forward_count: u64,
    pub(crate) received_at: Millis,
    pub(crate) response_tx: ResponseSender,
    pub(crate) directives: mpsc::UnboundedReceiver<Directive>,
    pub(crate) attempts: Attempts,
}

/// Sends the head of the response to the client's connection. The receiver is dropped when the
/// client disconnects.
pub(crate) struct ResponseSender(pub(crate) Option<oneshot::Sender<Response<ResponseBody>>>);

impl ResponseSender {
    /// Completes when the client disconnects before the head of the response is sent.
    async fn closed(&mut self) {
        match &mut self.0 {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Sends the head and returns whether the client is still connected.
    fn send(&mut self, response: Response<ResponseBody>) -> bool {
        self.0.take().is_some_and(|sender| sender.send(response).is_ok())
    }
}

/// The attempts of one request.
#[derive(Default)]
pub(crate) struct Attempts {
    running: FuturesUnordered<BoxFuture<'static, (AttemptId, AttemptResult)>>,
    cancels: HashMap<AttemptId, CancellationToken>,
    unstarted: Vec<AttemptId>,
    started: bool,
    may_have_run: bool,
}

impl Attempts {
    fn record(&mut self, outcome: Outcome) {
        self.may_have_run |= !matches!(outcome, Outcome::NotRun(_));
    }

    /// Cancels all attempts and returns their outcomes. An attempt ends at once when it is
    /// cancelled.
    async fn cancel_all(&mut self, late: &AtomicU64) -> Vec<(AttemptId, Outcome)> {
        for cancel in self.cancels.values() {
            cancel.cancel();
        }
        let mut ended = Vec::new();
        while let Some((id, result)) = self.running.next().await {
            let outcome = match result {
                AttemptResult::Ended(outcome) => outcome,
                AttemptResult::Response(_) => {
                    increment(late);
                    Outcome::Failed(FailureCause::Broken)
                }
            };
            self.record(outcome);
            ended.push((id, outcome));
        }
        self.cancels.clear();
        ended
    }
}

enum Event {
    ClientDisconnected,
    Directive(Option<Directive>),
    Ended(AttemptId, AttemptResult),
    DeadlinePassed,
}

enum CopyEnd {
    /// The response is complete. With a declared length, this is its last part, which is not yet
    /// sent.
    Complete(Option<Frame<Bytes>>),
    Broken(FailureCause),
    ClientDisconnected,
}

impl RequestTask {
    /// Serves the request, from its submission to its end.
    pub(crate) async fn run(mut self, sender: mpsc::UnboundedSender<Directive>) {
        let meta = self.admitted.meta.clone();
        let request_outcome =
            match self.cx.control.submit(meta, self.forward_count > 0, sender).await {
                true => self.drive().await,
                false => self.refuse(RunState::NotRun, RefusalReason::NotReady),
            };
        let labels = RequestLabels::new(&self.admitted.meta.tenant, &self.admitted.meta.class);
        let elapsed = self.cx.clock.now().since(self.received_at);
        self.cx.metrics.observe_end(&labels, elapsed, request_outcome);
        self.close().await;
    }

    async fn drive(&mut self) -> RequestOutcome {
        let deadline = self.admitted.meta.deadline + DEADLINE_GRACE;
        loop {
            let remaining = deadline.since(self.cx.clock.now());
            let event = tokio::select! {
                biased;
                () = self.response_tx.closed() => Event::ClientDisconnected,
                directive = self.directives.recv() => Event::Directive(directive),
                Some((id, result)) = self.attempts.running.next() => Event::Ended(id, result),
                () = tokio::time::sleep(remaining.into()) => Event::DeadlinePassed,
            };
            let request_outcome = match event {
                Event::ClientDisconnected => Some(self.cancel_request().await),
                Event::Directive(Some(directive)) => self.handle_directive(directive).await,
                Event::Directive(None) => {
                    self.cancel_request().await;
                    Some(self.refuse(RunState::NotRun, RefusalReason::NotReady))
                }
                Event::Ended(id, result) => self.handle_attempt_result(id, result).await,
                Event::DeadlinePassed => {
                    self.cancel_request().await;
                    Some(self.refuse(RunState::NotRun, RefusalReason::Deadline))
                }
            };
            if let Some(request_outcome) = request_outcome {
                return request_outcome;
            }
        }
    }

    async fn handle_directive(&mut self, directive: Directive) -> Option<RequestOutcome> {
        match directive {
            Directive::Send { attempt, target, address, deadline } => {
                self.start_attempt(attempt, &target, address, deadline).await;
                None
            }
            Directive::Cancel { attempt } => {
                if let Some(cancel) = self.attempts.cancels.get(&attempt) {
                    cancel.cancel();
                }
                None
            }
            Directive::Refuse(refusal) => Some(self.handle_refusal(refusal).await),
            Directive::Forward { vm, address } => Some(self.forward_to_owner(&vm, address).await),
        }
    }

    async fn start_attempt(
        &mut self,
        id: AttemptId,
        target: &Name,
        address: SocketAddr,
        deadline: Millis,
    ) {
        if !self.attempts.started {
            self.attempts.started = true;
            let meta = &self.admitted.meta;
            let labels = RequestLabels::new(&meta.tenant, &meta.class);
            let elapsed = self.cx.clock.now().since(self.received_at);
            self.cx.metrics.observe_queueing(&labels, elapsed);
        }
        let service = &self.admitted.service;
        let plan = AttemptPlan {
            target: Some((service.name.clone(), target.clone())),
            address,
            version: http_version(service),
            deadline: deadline.min(self.admitted.meta.deadline),
            progress_timeout: service.progress_timeout,
            shed_statuses: service.shed_statuses.clone(),
        };
        if !self.may_send() || !is_target_active(&self.cx, &plan) {
            let not_sent = Outcome::NotRun(NotRunCause::NotSent);
            return self.cx.report_outcome(id, not_sent).await;
        }
        if !self.attempts.running.is_empty() {
            let (vm, service) = (self.cx.vm.as_str(), service.name.as_str());
            let elapsed = self.cx.clock.now().since(self.received_at);
            log::info!(event = "second_attempt", vm = vm, service = service, target = target.as_str(), after_ms = elapsed.get(); "a second attempt was sent while the first is in progress");
        }
        let cancel = CancellationToken::new();
        self.attempts.cancels.insert(id, cancel.clone());
        let running = attempt(self.cx.clone(), self.request.clone(), plan, cancel);
        self.attempts.running.push(Box::pin(async move { (id, running.await) }));
    }

    /// Returns whether the request may be sent, independently of the decision of the dispatcher: a
    /// request that is not idempotent, or that has a key, is never sent when another attempt may
    /// have run it (I5).
    fn may_send(&self) -> bool {
        let uncertain = self.attempts.may_have_run || !self.attempts.running.is_empty();
        let meta = &self.admitted.meta;
        let safe = (meta.idempotent && meta.key.is_none()) || !uncertain;
        if !safe {
            increment(&self.cx.metrics.counters.second_runs_refused);
        }
        invariant!(safe, "a request that may have run and must not run twice was to be sent again");
        safe && self.request.payload.is_available()
    }

    async fn handle_attempt_result(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
    ) -> Option<RequestOutcome> {
        self.attempts.cancels.remove(&id);
        match result {
            AttemptResult::Response(response) => {
                Some(self.send_response(Some(id), *response).await)
            }
            AttemptResult::Ended(outcome) => {
                self.attempts.record(outcome);
                if let Some(failure) = self.request.payload.failure() {
                    return Some(self.handle_upload_failure(failure, id, outcome).await);
                }
                self.cx.report_outcome(id, outcome).await;
                None
            }
        }
    }

    /// Ends a request whose body was not received whole. The request is cancelled before the
    /// outcome is reported, so that the failure is not attributed to the target.
    async fn handle_upload_failure(
        &mut self,
        failure: BodyError,
        id: AttemptId,
        outcome: Outcome,
    ) -> RequestOutcome {
        self.cancel_request().await;
        self.cx.report_outcome(id, outcome).await;
        let state = self.run_state(RunState::NotRun);
        let status = match failure {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Client | BodyError::Response => StatusCode::BAD_REQUEST,
        };
        self.response_tx.send(reply::plain_text(status, state, &failure.to_string()));
        if failure == BodyError::Client { RequestOutcome::Cancelled } else { outcome_for(state) }
    }

    async fn handle_refusal(&mut self, refusal: Refusal) -> RequestOutcome {
        let truthful = refusal.state == RunState::Unknown || !self.attempts.may_have_run;
        invariant!(truthful, "a request that may have run was to be refused as not-run");
        let ended = self.attempts.cancel_all(&self.cx.metrics.counters.answers_late).await;
        for (id, outcome) in ended {
            self.cx.report_outcome(id, outcome).await;
        }
        if refusal.reason == RefusalReason::KeyUsed
            && let Some(stored) = self.stored_response()
        {
            increment(&self.cx.metrics.counters.answers_from_store);
            self.response_tx.send(stored.to_response());
            return RequestOutcome::Stored;
        }
        self.refuse(refusal.state, refusal.reason)
    }

    /// Refuses the request. The outcome is `unknown` whenever an attempt may have run, whatever
    /// `state` says (I4).
    fn refuse(&mut self, state: RunState, reason: RefusalReason) -> RequestOutcome {
        let state = self.run_state(state);
        let meta = &self.admitted.meta;
        let late = self.cx.clock.now() >= meta.deadline;
        let reason = match reason {
            RefusalReason::AttemptFailed if late => RefusalReason::Deadline,
            reason => reason,
        };
        let (service, reason_text) = (meta.service.as_str(), format!("{reason:?}"));
        let (vm, outcome) = (self.cx.vm.as_str(), reply::outcome_value(state));
        let revision = self.admitted.document.revision().0;
        match state {
            RunState::Unknown => {
                log::info!(event = "request_refused", vm = vm, service = service, revision = revision, outcome = outcome, reason = reason_text.as_str(); "request refused; a target may have run it")
            }
            RunState::NotRun => {
                log::debug!(event = "request_refused", vm = vm, service = service, revision = revision, outcome = outcome, reason = reason_text.as_str(); "request refused; no target ran it")
            }
        }
        self.response_tx.send(reply::refusal(Refusal { state, reason }));
        outcome_for(state)
    }

    fn run_state(&self, state: RunState) -> RunState {
        if self.attempts.may_have_run { RunState::Unknown } else { state }
    }

    async fn cancel_request(&mut self) -> RequestOutcome {
        self.cx.cancel_request(self.admitted.meta.id).await;
        let ended = self.attempts.cancel_all(&self.cx.metrics.counters.answers_late).await;
        for (id, outcome) in ended {
            self.cx.report_outcome(id, outcome).await;
        }
        RequestOutcome::Cancelled
    }

    fn identity(&self) -> RequestIdentity {
        RequestIdentity {
            service: self.admitted.meta.service.clone(),
            tenant: self.admitted.meta.tenant.clone(),
            method: self.request.method.clone(),
            path: self.request.path.to_string(),
        }
    }

    fn stored_response(&self) -> Option<StoredResponse> {
        self.cx.stored_responses.get(self.admitted.meta.key.as_ref()?, &self.identity())
    }

    /// Forwards the request to the owner of its key. This VM does not know whether the owner ran an
    /// earlier request with the key, so the outcome of every failure is `unknown`.
    async fn forward_to_owner(&mut self, vm: &VmId, address: SocketAddr) -> RequestOutcome {
        if self.forward_count >= MAX_FORWARDS {
            return self.refuse(RunState::Unknown, RefusalReason::KeyOwnerLost);
        }
        increment(&self.cx.metrics.counters.requests_forwarded);
        let mut request = self.request.clone();
        insert_number(&mut request.headers, FORWARDED_HEADER, self.forward_count + 1);
        let plan = AttemptPlan {
            target: None,
            address,
            version: Version::Http1,
            deadline: self.admitted.meta.deadline,
            progress_timeout: self.admitted.meta.deadline.since(self.cx.clock.now()),
            shed_statuses: Vec::new(),
        };
        let cancel = CancellationToken::new();
        let running = attempt(self.cx.clone(), request, plan, cancel.clone());
        let result = tokio::select! {
            biased;
            () = self.response_tx.closed() => return RequestOutcome::Cancelled,
            result = running => result,
        };
        match result {
            AttemptResult::Response(response) => self.send_response(None, *response).await,
            AttemptResult::Ended(_) => {
                let (vm, owner) = (self.cx.vm.as_str(), vm.to_string());
                log::info!(event = "key_owner_unreachable", vm = vm, owner = owner.as_str(); "forwarding a request to the owner of its idempotency key failed; refusing it with outcome unknown");
                self.refuse(RunState::Unknown, RefusalReason::KeyOwnerLost)
            }
        }
    }

    /// Sends a response to the client. `id` is absent for a response from another entry VM.
    async fn send_response(
        &mut self,
        id: Option<AttemptId>,
        response: TargetResponse,
    ) -> RequestOutcome {
        let cancelled = self.attempts.cancel_all(&self.cx.metrics.counters.answers_late).await;
        let TargetResponse { response, connection } = response;
        let (mut parts, body) = response.into_parts();
        prepare_response(&mut parts.headers, id.is_none());
        let status = parts.status;
        let head = |body: ResponseBody| {
            let mut head = Response::new(body);
            *head.status_mut() = status;
            *head.headers_mut() = parts.headers.clone();
            head
        };
        let copy = BodyCopy::new(id.is_some() && self.admitted.meta.key.is_some());
        let request_outcome = if body.is_end_stream() {
            self.record_complete(id, connection, head(ResponseBody::full("")), copy).await;
            self.response_tx.send(head(ResponseBody::full("")));
            RequestOutcome::Done
        } else {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_PARTS);
            let stored = head(ResponseBody::full(""));
            match self.response_tx.send(head(ResponseBody::Stream(rx))) {
                true => self.stream_response(id, connection, body, stored, copy, tx).await,
                false => self.record_broken(id, connection, CopyEnd::ClientDisconnected).await,
            }
        };
        for (id, outcome) in cancelled {
            self.cx.report_outcome(id, outcome).await;
        }
        request_outcome
    }

    async fn stream_response(
        &mut self,
        id: Option<AttemptId>,
        connection: PooledConnection,
        mut body: Incoming,
        stored: Response<ResponseBody>,
        mut copy: BodyCopy,
        tx: mpsc::Sender<ResponsePart>,
    ) -> RequestOutcome {
        let http2 = connection.version() == Version::Http2;
        match self.copy_body(id, (&mut body, http2), &mut copy, &tx).await {
            CopyEnd::Complete(last) => {
                self.record_complete(id, connection, stored, copy).await;
                let remaining = self.admitted.meta.deadline.since(self.cx.clock.now());
                // A client that has not read the end by the deadline sees a broken response.
                let sent = tokio::time::timeout(remaining.into(), send_end(last, &tx)).await;
                sent.unwrap_or(RequestOutcome::Broken)
            }
            end => self.record_broken(id, connection, end).await,
        }
    }

    /// Copies the body to the client until its end. Reading from the target pauses while the client
    /// is slow. The last part of a response with a declared length is withheld until the end of the
    /// body is confirmed and the response is recorded, because a client that has all bytes may at
    /// once close its connection or retry its request.
    async fn copy_body(
        &mut self,
        id: Option<AttemptId>,
        (body, http2): (&mut Incoming, bool),
        copy: &mut BodyCopy,
        tx: &mpsc::Sender<ResponsePart>,
    ) -> CopyEnd {
        let remaining = self.admitted.meta.deadline.since(self.cx.clock.now());
        let deadline = tokio::time::sleep(remaining.into());
        tokio::pin!(deadline);
        let progress_timeout = self.admitted.service.progress_timeout;
        let mut unread = body.size_hint().exact();
        let mut withheld = None;
        loop {
            let frame = tokio::select! {
                biased;
                () = tx.closed() => return CopyEnd::ClientDisconnected,
                () = &mut deadline => return CopyEnd::Broken(FailureCause::Deadline),
                () = attempt_cancelled(&mut self.directives, id, &mut self.attempts.unstarted) => {
                    return CopyEnd::Broken(FailureCause::Deadline);
                }
                frame = body.frame() => frame,
                () = tokio::time::sleep(progress_timeout.into()) => {
                    return CopyEnd::Broken(FailureCause::Silent);
                }
            };
            let frame = match frame {
                None if is_complete(body, http2) => return CopyEnd::Complete(withheld),
                None | Some(Err(_)) => return CopyEnd::Broken(FailureCause::Broken),
                Some(Ok(frame)) => frame,
            };
            match frame.data_ref() {
                Some(data) => {
                    copy.add(data);
                    unread = unread.map(|unread| unread.saturating_sub(data.len() as u64));
                }
                None => copy.discard(),
            }
            let frame = match unread {
                Some(0) => match withheld.replace(frame) {
                    Some(frame) => frame,
                    None => continue,
                },
                _ => frame,
            };
            tokio::select! {
                biased;
                sent = tx.send(ResponsePart::Frame(frame)) => {
                    if sent.is_err() {
                        return CopyEnd::ClientDisconnected;
                    }
                }
                () = &mut deadline => return CopyEnd::Broken(FailureCause::Deadline),
            }
        }
    }

    /// Records a complete response. It is stored before the client can see its end, so that a retry
    /// with the same key finds it.
    async fn record_complete(
        &mut self,
        id: Option<AttemptId>,
        connection: PooledConnection,
        stored: Response<ResponseBody>,
        copy: BodyCopy,
    ) {
        connection.release();
        let status = stored.status();
        if let (Some(_), Some(key)) = (id, self.admitted.meta.key.clone()) {
            let headers = stored.headers().clone();
            let is_stored = copy.finish().is_some_and(|body| {
                let stored = StoredResponse { status, headers, body };
                self.cx.stored_responses.put(key, self.identity(), stored)
            });
            if !is_stored {
                increment(&self.cx.metrics.counters.answers_not_stored);
            }
        }
        if let Some(id) = id {
            let done = Outcome::Done { status: status.as_u16() };
            self.cx.report_outcome(id, done).await;
        }
    }

    /// Records a response that ended early after its head was sent. The request is cancelled first,
    /// because the client cannot be sent another response.
    async fn record_broken(
        &mut self,
        id: Option<AttemptId>,
        mut connection: PooledConnection,
        end: CopyEnd,
    ) -> RequestOutcome {
        let cause = match end {
            CopyEnd::Broken(cause) => cause,
            CopyEnd::Complete(_) | CopyEnd::ClientDisconnected => FailureCause::Broken,
        };
        match cause {
            FailureCause::Silent => connection.abandon_silent(),
            FailureCause::Broken | FailureCause::Deadline => connection.abandon(),
        };
        self.cx.cancel_request(self.admitted.meta.id).await;
        if let Some(id) = id {
            self.cx.report_outcome(id, Outcome::Failed(cause)).await;
        }
        if matches!(end, CopyEnd::ClientDisconnected) {
            return RequestOutcome::Cancelled;
        }
        let (vm, service) = (self.cx.vm.as_str(), self.admitted.meta.service.as_str());
        let reason = format!("{cause:?}");
        log::info!(event = "answer_broken", vm = vm, service = service, reason = reason.as_str(); "response ended early after its head was sent; aborting it towards the client");
        RequestOutcome::Broken
    }

    /// Reports to the control actor that the remaining attempts were not started and that the
    /// request has ended.
    async fn close(mut self) {
        self.directives.close();
        while let Some(directive) = self.directives.recv().await {
            if let Directive::Send { attempt, .. } = directive {
                self.attempts.unstarted.push(attempt);
            }
        }
        for attempt in std::mem::take(&mut self.attempts.unstarted) {
            let not_sent = Outcome::NotRun(NotRunCause::NotSent);
            self.cx.report_outcome(attempt, not_sent).await;
        }
        self.cx.end_request(self.admitted.meta.id).await;
    }
}

/// Sends the last part and the end of a response. A client that disconnects after the last part has
/// received the whole response.
async fn send_end(last: Option<Frame<Bytes>>, tx: &mpsc::Sender<ResponsePart>) -> RequestOutcome {
    if let Some(last) = last
        && tx.send(ResponsePart::Frame(last)).await.is_err()
    {
        return RequestOutcome::Cancelled;
    }
    let _ = tx.send(ResponsePart::End).await;
    RequestOutcome::Done
}

/// Completes when the dispatcher cancels the attempt whose response is being streamed, or refuses
/// the request. Further attempts of the dispatcher, such as a hedge, are not started meanwhile,
/// because the client is already receiving a response.
async fn attempt_cancelled(
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

fn outcome_for(state: RunState) -> RequestOutcome {
    match state {
        RunState::NotRun => RequestOutcome::NotRun,
        RunState::Unknown => RequestOutcome::Unknown,
    }
}

fn http_version(service: &Service) -> Version {
    if service.http2 { Version::Http2 } else { Version::Http1 }
}
