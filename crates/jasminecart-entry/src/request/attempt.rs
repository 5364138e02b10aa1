//! One attempt to have a request served by a target or by another entry VM.

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
use super::headers::{DEADLINE_HEADER, insert_number};
use super::listener::RequestContext;
use crate::metrics::increment;
use crate::pool::{PooledConnection, SendFailure, TargetBody, Version};

/// The parts of a request that are the same for all its attempts.
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
        insert_number(&mut headers, DEADLINE_HEADER, remaining.get());
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

/// The destination and the time limits of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptPlan {
    /// The service and the target; absent when the request is forwarded to another entry VM.
    pub(crate) target: Option<(Name, Name)>,
    pub(crate) address: SocketAddr,
    pub(crate) version: Version,
    pub(crate) deadline: Millis,
    pub(crate) progress_timeout: Millis,
    pub(crate) shed_statuses: Vec<u16>,
}

/// The head of a response and the connection that carries its body.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: PooledConnection,
}

/// The result of an attempt up to the head of the response.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The head of a response was received.
    Response(Box<TargetResponse>),
    /// The attempt ended without a response that may be forwarded to the client.
    Ended(Outcome),
}

impl AttemptResult {
    fn not_run(cause: NotRunCause) -> AttemptResult {
        AttemptResult::Ended(Outcome::NotRun(cause))
    }
}

/// Sends the request and waits for the head of the response, until the attempt is cancelled, its
/// deadline passes or the progress timeout expires.
pub(crate) async fn attempt(
    cx: Arc<RequestContext>,
    request: TargetRequest,
    plan: AttemptPlan,
    cancel: CancellationToken,
) -> AttemptResult {
    let deadline = plan.deadline.since(cx.clock.now());
    if deadline == Millis::ZERO || cancel.is_cancelled() {
        return AttemptResult::not_run(NotRunCause::NotSent);
    }
    let checkout = cx.pool.checkout(plan.address, plan.version);
    let connection = tokio::select! {
        biased;
        () = cancel.cancelled() => return AttemptResult::not_run(NotRunCause::NotSent),
        connection = checkout => connection,
        () = tokio::time::sleep(deadline.into()) => {
            return AttemptResult::not_run(NotRunCause::NotSent);
        }
    };
    match connection {
        Ok(connection) => send(&cx, &request, &plan, cancel, connection).await,
        Err(_) => AttemptResult::not_run(NotRunCause::NotSent),
    }
}

async fn send(
    cx: &RequestContext,
    request: &TargetRequest,
    plan: &AttemptPlan,
    cancel: CancellationToken,
    mut connection: PooledConnection,
) -> AttemptResult {
    let progress = Progress::new(cx.clock);
    let remaining = plan.deadline.since(cx.clock.now());
    // Opening the connection took time, or the process was paused: the deadline may have passed,
    // and the document may have changed.
    if remaining == Millis::ZERO || !is_target_active(cx, plan) {
        return AttemptResult::not_run(NotRunCause::NotSent);
    }
    let Ok(req) = request.build(connection.version(), remaining, progress.clone()) else {
        return AttemptResult::not_run(NotRunCause::NotSent);
    };
    let sent = tokio::select! {
        biased;
        () = cancel.cancelled() => Err(None),
        sent = connection.send(req) => Ok(sent),
        () = tokio::time::sleep(remaining.into()) => Err(Some(FailureCause::Deadline)),
        () = progress.stalled(plan.progress_timeout) => Err(Some(FailureCause::Silent)),
    };
    match sent {
        Ok(Ok(response)) => classify(cx, request, plan, TargetResponse { response, connection }),
        Ok(Err(failure)) => AttemptResult::Ended(failed_outcome(failure, FailureCause::Broken)),
        Err(Some(FailureCause::Silent)) => {
            let failure = connection.abandon_silent();
            AttemptResult::Ended(failed_outcome(failure, FailureCause::Silent))
        }
        Err(cause) => {
            let failure = connection.abandon();
            AttemptResult::Ended(failed_outcome(failure, cause.unwrap_or(FailureCause::Broken)))
        }
    }
}

/// Returns whether the target is active, serves the service and has this address in the current
/// document (I2, I6). A request that is forwarded to another entry VM has no target and always passes.
pub(crate) fn is_target_active(cx: &RequestContext, plan: &AttemptPlan) -> bool {
    let Some((service, target)) = &plan.target else { return true };
    let Some(document) = cx.document() else { return false };
    document.targets().get(target).is_some_and(|target| {
        let active = target.state == TargetState::Active;
        active && target.address == plan.address && target.serves(service)
    })
}

fn failed_outcome(failure: SendFailure, cause: FailureCause) -> Outcome {
    match failure {
        SendFailure::NotSent => Outcome::NotRun(NotRunCause::NotSent),
        SendFailure::StreamRefused => Outcome::NotRun(NotRunCause::StreamRefused),
        SendFailure::Broken => Outcome::Failed(cause),
    }
}

fn classify(
    cx: &RequestContext,
    request: &TargetRequest,
    plan: &AttemptPlan,
    response: TargetResponse,
) -> AttemptResult {
    if plan.shed_statuses.contains(&response.response.status().as_u16()) {
        return AttemptResult::not_run(NotRunCause::Shed);
    }
    if !is_framed(&request.method, response.connection.version(), &response.response) {
        increment(&cx.metrics.counters.answers_unframed);
        return AttemptResult::Ended(Outcome::Failed(FailureCause::Broken));
    }
    AttemptResult::Response(Box::new(response))
}

/// Returns whether a complete response can be distinguished from a truncated one. An HTTP/1
/// response without a length ends when the connection closes, so if the target crashes halfway, the
/// truncated response would look complete.
fn is_framed(method: &Method, version: Version, response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let bodyless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    version == Version::Http2
        || *method == Method::HEAD
        || bodyless.contains(&response.status())
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}
