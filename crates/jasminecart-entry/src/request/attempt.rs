//! One attempt at a request.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use jasminecart_core::names::Name;
use jasminecart_core::request::{FailureCause, NotRunCause, Outcome};
use jasminecart_core::time::Millis;
use jasminecart_core::version::TargetState;
use tokio_util::sync::CancellationToken;

use super::body::{Payload, Progress};
use super::headers::{DEADLINE_HEADER, set_number};
use super::listener::RequestContext;
use crate::metrics::count;
use crate::pool::{Lease, SendFailure, TargetBody, Version};

/// What every attempt at a request sends.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: Method,
    pub(crate) authority: Option<Authority>,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) payload: Payload,
}

impl TargetRequest {
    fn build(
        &self,
        version: Version,
        remaining: Millis,
        progress: Arc<Progress>,
    ) -> Result<Request<TargetBody>, http::Error> {
        let mut headers = self.headers.clone();
        set_number(&mut headers, DEADLINE_HEADER, remaining.get());
        let uri = match (version, &self.authority) {
            (Version::Http2, Some(authority)) => {
                headers.remove(HOST);
                let uri = Uri::builder().scheme(Scheme::HTTP).authority(authority.clone());
                uri.path_and_query(self.path.clone()).build()?
            }
            _ => Uri::from(self.path.clone()),
        };
        let mut req = Request::new(self.payload.body(progress));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = headers;
        Ok(req)
    }
}

/// Where and how long an attempt runs.
#[derive(Clone, Debug)]
pub(crate) struct AttemptPlan {
    /// The service and the target, which are absent for another entry VM.
    pub(crate) target: Option<(Name, Name)>,
    pub(crate) address: SocketAddr,
    pub(crate) version: Version,
    pub(crate) deadline: Millis,
    pub(crate) progress_within: Millis,
    pub(crate) shed_statuses: Vec<u16>,
}

/// The head of an answer and the connection that carries the rest of it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
}

/// How an attempt ended, as far as its answer's head.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The head of an answer arrived.
    Answer(Box<Answer>),
    /// The attempt ended without an answer.
    Ended(Outcome),
}

impl AttemptEnd {
    fn not_run(cause: NotRunCause) -> AttemptEnd {
        AttemptEnd::Ended(Outcome::NotRun(cause))
    }
}

/// Sends the request and waits for the head of the answer, until the attempt is cancelled, its deadline
/// passes or nothing moves.
pub(crate) async fn attempt(
    cx: Arc<RequestContext>,
    request: TargetRequest,
    plan: AttemptPlan,
    cancel: CancellationToken,
) -> AttemptEnd {
    let deadline = plan.deadline.since(cx.clock.now());
    if deadline == Millis::ZERO || cancel.is_cancelled() {
        return AttemptEnd::not_run(NotRunCause::NotSent);
    }
    let checkout = cx.pool.checkout(plan.address, plan.version);
    let lease = tokio::select! {
        biased;
        () = cancel.cancelled() => return AttemptEnd::not_run(NotRunCause::NotSent),
        lease = checkout => lease,
        () = tokio::time::sleep(deadline.into()) => {
            return AttemptEnd::not_run(NotRunCause::NotSent);
        }
    };
    match lease {
        Ok(lease) => send(&cx, &request, &plan, cancel, lease).await,
        Err(_) => AttemptEnd::not_run(NotRunCause::NotSent),
    }
}

async fn send(
    cx: &RequestContext,
    request: &TargetRequest,
    plan: &AttemptPlan,
    cancel: CancellationToken,
    mut lease: Lease,
) -> AttemptEnd {
    let progress = Progress::new(cx.clock);
    let remaining = plan.deadline.since(cx.clock.now());
    // Opening the connection took time, and the process may have been paused.
    if remaining == Millis::ZERO || !is_in_force(cx, plan) {
        return AttemptEnd::not_run(NotRunCause::NotSent);
    }
    let Ok(req) = request.build(lease.version(), remaining, progress.clone()) else {
        return AttemptEnd::not_run(NotRunCause::NotSent);
    };
    let sent = tokio::select! {
        biased;
        () = cancel.cancelled() => Err(None),
        sent = lease.send(req) => Ok(sent),
        () = tokio::time::sleep(remaining.into()) => Err(Some(FailureCause::Deadline)),
        () = progress.silence(plan.progress_within) => Err(Some(FailureCause::Silent)),
    };
    match sent {
        Ok(Ok(response)) => judge(cx, request, plan, Answer { response, lease }),
        Ok(Err(failure)) => AttemptEnd::Ended(outcome(failure, FailureCause::Broken)),
        Err(Some(FailureCause::Silent)) => {
            let failure = lease.abandon_silent();
            AttemptEnd::Ended(outcome(failure, FailureCause::Silent))
        }
        Err(cause) => {
            let failure = lease.abandon();
            AttemptEnd::Ended(outcome(failure, cause.unwrap_or(FailureCause::Broken)))
        }
    }
}

/// Tells whether the document in force still gives the target work of the service at this address (I2, I6).
pub(crate) fn is_in_force(cx: &RequestContext, plan: &AttemptPlan) -> bool {
    let Some((service, target)) = &plan.target else { return true };
    let Some(document) = cx.document() else { return false };
    document.targets().get(target).is_some_and(|target| {
        let active = target.state == TargetState::Active;
        active && target.address == plan.address && target.serves(service)
    })
}

fn outcome(failure: SendFailure, cause: FailureCause) -> Outcome {
    match failure {
        SendFailure::NotSent => Outcome::NotRun(NotRunCause::NotSent),
        SendFailure::StreamRefused => Outcome::NotRun(NotRunCause::StreamRefused),
        SendFailure::Broken => Outcome::Failed(cause),
    }
}

fn judge(
    cx: &RequestContext,
    request: &TargetRequest,
    plan: &AttemptPlan,
    answer: Answer,
) -> AttemptEnd {
    if plan.shed_statuses.contains(&answer.response.status().as_u16()) {
        return AttemptEnd::not_run(NotRunCause::Shed);
    }
    if !is_framed(&request.method, answer.lease.version(), &answer.response) {
        count(&cx.metrics.counters.answers_unframed);
        return AttemptEnd::Ended(Outcome::Failed(FailureCause::Broken));
    }
    AttemptEnd::Answer(Box::new(answer))
}

/// Tells whether the end of an answer can be told from a broken connection. An HTTP/1 answer without a
/// length ends with the connection, so a target that dies in the middle would look complete.
fn is_framed(method: &Method, version: Version, response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let bodyless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    version == Version::Http2
        || *method == Method::HEAD
        || bodyless.contains(&response.status())
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}
