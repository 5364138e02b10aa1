//! The listener for requests from clients and for requests forwarded by other entry VMs.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::uri::{Authority, PathAndQuery};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use jasminecart_core::request::{AttemptId, Outcome, RequestId, RunState};
use jasminecart_core::time::Millis;
use jasminecart_core::version::Document;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use super::admission::{AdmissionError, Admitted, admit};
use super::answers::ResponseStore;
use super::attempt::TargetRequest;
use super::body::{MAX_BUFFERED_BODY_BYTES, Payload, ResponseBody, Upload};
use super::headers::{FORWARDED_HEADER, KEYS_PATH, prepare_request};
use super::reply;
use super::run::{Attempts, RequestTask, ResponseSender};
use crate::clock::Clock;
use crate::control::{Control, Directive};
use crate::metrics::{GaugeGuard, Metrics, increment};
use crate::pool::Pool;
use crate::tasks::Tasks;

/// A client must send the head of its next request within this time, or its connection is closed.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(60);
const BUFFER_BYTES: usize = 64 << 10;
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;
const HTTP2_MAX_STREAMS: u32 = 128;
const HTTP2_MAX_HEADER_BYTES: u32 = 64 << 10;
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(20);
const HTTP2_PING_TIMEOUT: Duration = Duration::from_secs(10);
const TCP_KEEP_ALIVE_IDLE: Duration = Duration::from_secs(30);
/// The pause after a failed accept, such as for lack of file descriptors, which would fail again at
/// once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The state that all requests of this process share.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) vm: String,
    pub(crate) clock: Clock,
    pub(crate) control: Control,
    pub(crate) pool: Arc<Pool>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) documents: watch::Receiver<Option<Arc<Document>>>,
    pub(crate) stored_responses: ResponseStore,
    pub(crate) tasks: Tasks,
    pub(crate) request_permits: Arc<Semaphore>,
    pub(crate) connection_permits: Arc<Semaphore>,
    pub(crate) draining: AtomicBool,
    pub(crate) next_request: AtomicU64,
}

impl RequestContext {
    /// Returns the current document.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.documents.borrow().clone()
    }

    /// Reports the outcome of an attempt to the dispatcher.
    pub(crate) async fn report_outcome(&self, attempt: AttemptId, outcome: Outcome) {
        self.control.attempt_ended(attempt, outcome).await;
    }

    /// Cancels a request whose client has disconnected or can no longer be sent a response.
    pub(crate) async fn cancel_request(&self, request: RequestId) {
        self.control.cancel(request).await;
    }

    /// Reports that a request has ended and will report nothing more.
    pub(crate) async fn end_request(&self, request: RequestId) {
        self.control.request_ended(request).await;
    }
}

/// Accepts connections and serves their requests until shutdown.
#[derive(Debug)]
pub(crate) struct RequestListener {
    address: SocketAddr,
    cx: Arc<RequestContext>,
    shutdown: CancellationToken,
}

impl RequestListener {
    pub(crate) fn start(
        listener: TcpListener,
        cx: Arc<RequestContext>,
    ) -> std::io::Result<RequestListener> {
        let address = listener.local_addr()?;
        let shutdown = CancellationToken::new();
        cx.tasks.spawn(accept_loop(listener, cx.clone(), shutdown.clone()));
        Ok(RequestListener { address, cx, shutdown })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to drain: every further HTTP/1 response asks the client to close its connection.
    pub(crate) fn start_drain(&self) {
        self.cx.draining.store(true, Ordering::Relaxed);
    }

    /// Returns how many requests are in progress.
    pub(crate) fn in_progress(&self) -> i64 {
        self.cx.metrics.gauges.requests_in_progress.load(Ordering::Relaxed)
    }

    /// Stops accepting connections, and closes each open one when its requests have ended.
    pub(crate) fn shut_down(&self) {
        self.shutdown.cancel();
    }

    /// Returns how many connections of clients are open.
    pub(crate) fn open_connections(&self) -> i64 {
        self.cx.metrics.gauges.client_connections_open.load(Ordering::Relaxed)
    }
}

async fn accept_loop(listener: TcpListener, cx: Arc<RequestContext>, shutdown: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = cx.connection_permits.clone().try_acquire_owned() else {
            increment(&cx.metrics.counters.client_connections_refused);
            continue;
        };
        increment(&cx.metrics.counters.client_connections);
        let guard = GaugeGuard::new(&cx.metrics.gauges, |g| &g.client_connections_open);
        let served = serve_connection(stream, cx.clone(), shutdown.clone());
        cx.tasks.spawn(async move {
            served.await;
            drop((permit, guard));
        });
    }
}

async fn serve_connection(stream: TcpStream, cx: Arc<RequestContext>, shutdown: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let keep_alive = TcpKeepalive::new().with_time(TCP_KEEP_ALIVE_IDLE);
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keep_alive);
    let builder = http_builder(cx.tasks.clone());
    let service = service_fn(move |req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(handle(cx, req).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

fn http_builder(tasks: Tasks) -> auto::Builder<Tasks> {
    let mut builder = auto::Builder::new(tasks);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(HTTP2_MAX_STREAMS)
        .max_header_list_size(HTTP2_MAX_HEADER_BYTES)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .max_send_buf_size(BUFFER_BYTES)
        .keep_alive_interval(HTTP2_PING_INTERVAL)
        .keep_alive_timeout(HTTP2_PING_TIMEOUT);
    builder
}

async fn handle(cx: Arc<RequestContext>, req: Request<Incoming>) -> Response<ResponseBody> {
    let http1 = req.version() <= Version::HTTP_11;
    let draining = cx.draining.load(Ordering::Relaxed);
    let mut response = respond(cx, req).await;
    if draining && http1 {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(cx: Arc<RequestContext>, req: Request<Incoming>) -> Response<ResponseBody> {
    if req.uri().path() == KEYS_PATH {
        return issue_key(&cx, req.method()).await;
    }
    let Ok(permit) = cx.request_permits.clone().try_acquire_owned() else {
        return refuse(&cx, &AdmissionError::TooManyRequests);
    };
    let guard = GaugeGuard::new(&cx.metrics.gauges, |g| &g.requests_in_progress);
    let received_at = cx.clock.now();
    let id = RequestId(cx.next_request.fetch_add(1, Ordering::Relaxed));
    let (parts, body) = req.into_parts();
    let prepared = match admit(received_at, id, cx.document(), &parts) {
        Ok(admitted) => prepare(&cx, admitted, parts, body).await,
        Err(e) => Err(e),
    };
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(e) => return refuse(&cx, &e),
    };
    let (head_tx, head) = oneshot::channel();
    let (sender, directives) = mpsc::unbounded_channel::<Directive>();
    let task = RequestTask {
        cx: cx.clone(),
        admitted: prepared.admitted,
        request: prepared.request,
        forward_count: prepared.forward_count,
        received_at,
        response_tx: ResponseSender(Some(head_tx)),
        directives,
        attempts: Attempts::default(),
    };
    // A separate task submits the request, because hyper drops this future when the client
    // disconnects, and the control actor would never release a submitted request whose task was
    // dropped.
    cx.tasks.spawn(async move {
        task.run(sender).await;
        drop((permit, guard));
    });
    head.await.unwrap_or_else(|_| {
        let text = "the request was abandoned";
        reply::plain_text(http::StatusCode::INTERNAL_SERVER_ERROR, RunState::Unknown, text)
    })
}

fn refuse(cx: &RequestContext, e: &AdmissionError) -> Response<ResponseBody> {
    increment(&cx.metrics.counters.requests_not_admitted);
    e.response()
}

struct PreparedRequest {
    admitted: Admitted,
    request: TargetRequest,
    forward_count: u64,
}

async fn prepare(
    cx: &RequestContext,
    mut admitted: Admitted,
    parts: http::request::Parts,
    body: Incoming,
) -> Result<PreparedRequest, AdmissionError> {
    let max_body = admitted.document.limits().max_body;
    let remaining = admitted.meta.deadline.since(cx.clock.now());
    let http2 = parts.version == Version::HTTP_2;
    let payload = read_payload(body, http2, max_body, remaining).await?;
    admitted.meta.repeatable = payload.is_repeatable();
    let forward_count = forward_count(&parts.headers);
    let mut headers = parts.headers;
    let authority = parts.uri.authority().cloned().or_else(|| {
        let host = headers.get(HOST)?;
        Authority::try_from(host.as_bytes()).ok()
    });
    prepare_request(&mut headers);
    if let Some(authority) = &authority
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(HOST, host);
    }
    if let Payload::Buffered(bytes) = &payload
        && (!bytes.is_empty() || headers.contains_key(CONTENT_LENGTH))
    {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    }
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let request = TargetRequest { method: parts.method, authority, path, headers, payload };
    Ok(PreparedRequest { admitted, request, forward_count })
}

/// Returns how many times entry VMs have forwarded a request. A malformed header counts as the
/// maximum, so that the request is not forwarded again.
fn forward_count(headers: &HeaderMap) -> u64 {
    let Some(value) = headers.get(FORWARDED_HEADER) else { return 0 };
    value.to_str().ok().and_then(|text| text.parse().ok()).unwrap_or(u64::MAX)
}

/// Buffers a small body of known length and leaves any other to be streamed.
async fn read_payload(
    body: Incoming,
    http2: bool,
    max_body: u64,
    remaining: Millis,
) -> Result<Payload, AdmissionError> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let size = body.size_hint().exact();
    if size.is_some_and(|size| size > max_body) {
        return Err(AdmissionError::BodyTooLarge(max_body));
    }
    let Some(size) = size.filter(|size| *size <= MAX_BUFFERED_BODY_BYTES) else {
        return Ok(Payload::Stream(Upload::new(body, http2, max_body)));
    };
    let max_bytes = usize::try_from(MAX_BUFFERED_BODY_BYTES).unwrap_or(usize::MAX);
    let whole = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(remaining.into(), whole).await {
        Ok(Ok(whole)) => {
            let bytes = whole.to_bytes();
            let complete = bytes.len() as u64 == size;
            complete.then_some(Payload::Buffered(bytes)).ok_or(AdmissionError::BodyTimeout)
        }
        Ok(Err(_)) | Err(_) => Err(AdmissionError::BodyTimeout),
    }
}

async fn issue_key(cx: &RequestContext, method: &Method) -> Response<ResponseBody> {
    if *method != Method::POST {
        let text = "a key is issued by POST";
        return reply::plain_text(http::StatusCode::METHOD_NOT_ALLOWED, RunState::NotRun, text);
    }
    match cx.control.issue_key().await {
        Some(key) => reply::issued_key(&key),
        None => {
            let text = "this entry VM issues no keys now";
            reply::plain_text(http::StatusCode::SERVICE_UNAVAILABLE, RunState::NotRun, text)
        }
    }
}
