//! The listener for requests of clients and forwarded requests of other VMs.

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
use super::answers::AnswerStore;
use super::attempt::TargetRequest;
use super::body::{ClientBody, MAX_KEPT_BODY_BYTES, Payload, Upload};
use super::headers::{FORWARDED_HEADER, KEYS_PATH, prepare_request};
use super::reply;
use super::run::{Attempts, Reply, Run};
use crate::clock::Clock;
use crate::control::{Control, Directive};
use crate::metrics::{GaugeGuard, Metrics, count};
use crate::pool::Pool;
use crate::tasks::Tasks;

/// A client must send the head of its next request within this time.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(60);
const BUFFER_BYTES: usize = 64 << 10;
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;
const HTTP2_MAX_STREAMS: u32 = 128;
const HTTP2_MAX_HEADER_BYTES: u32 = 64 << 10;
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(20);
const HTTP2_PING_TIMEOUT: Duration = Duration::from_secs(10);
const TCP_KEEP_ALIVE_IDLE: Duration = Duration::from_secs(30);
/// A pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What every request needs.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) vm: String,
    pub(crate) clock: Clock,
    pub(crate) control: Control,
    pub(crate) pool: Arc<Pool>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) documents: watch::Receiver<Option<Arc<Document>>>,
    pub(crate) answers: AnswerStore,
    pub(crate) tasks: Tasks,
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) connections: Arc<Semaphore>,
    pub(crate) leaving: AtomicBool,
    pub(crate) next_request: AtomicU64,
}

impl RequestContext {
    /// Returns the document in force.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.documents.borrow().clone()
    }

    /// Reports how an attempt ended.
    pub(crate) async fn report(&self, attempt: AttemptId, outcome: Outcome) {
        self.control.attempt_ended(attempt, outcome).await;
    }

    /// Notes that the client of a request is gone or cannot be answered any more.
    pub(crate) async fn cancel(&self, request: RequestId) {
        self.control.cancel(request).await;
    }

    /// Notes that nothing more happens for a request.
    pub(crate) async fn end(&self, request: RequestId) {
        self.control.request_ended(request).await;
    }
}

/// The request listener.
#[derive(Debug)]
pub(crate) struct RequestListener {
    address: SocketAddr,
    cx: Arc<RequestContext>,
    finish: CancellationToken,
}

impl RequestListener {
    pub(crate) fn start(
        listener: TcpListener,
        cx: Arc<RequestContext>,
    ) -> std::io::Result<RequestListener> {
        let address = listener.local_addr()?;
        let finish = CancellationToken::new();
        cx.tasks.spawn(accept(listener, cx.clone(), finish.clone()));
        Ok(RequestListener { address, cx, finish })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks clients to use other connections, from now on with every answer.
    pub(crate) fn leave(&self) {
        self.cx.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns how many requests are in progress.
    pub(crate) fn in_progress(&self) -> i64 {
        self.cx.metrics.gauges.requests_in_progress.load(Ordering::Relaxed)
    }

    /// Stops accepting connections, and closes each open one when its requests are finished.
    pub(crate) fn finish(&self) {
        self.finish.cancel();
    }

    /// Returns how many connections of clients are open.
    pub(crate) fn open_connections(&self) -> i64 {
        self.cx.metrics.gauges.client_connections_open.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, cx: Arc<RequestContext>, finish: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = finish.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = cx.connections.clone().try_acquire_owned() else {
            count(&cx.metrics.counters.client_connections_refused);
            continue;
        };
        count(&cx.metrics.counters.client_connections);
        let guard = GaugeGuard::new(&cx.metrics.gauges, |g| &g.client_connections_open);
        let served = serve(stream, cx.clone(), finish.clone());
        cx.tasks.spawn(async move {
            served.await;
            drop((permit, guard));
        });
    }
}

async fn serve(stream: TcpStream, cx: Arc<RequestContext>, finish: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let keep_alive = TcpKeepalive::new().with_time(TCP_KEEP_ALIVE_IDLE);
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keep_alive);
    let builder = builder(cx.tasks.clone());
    let service = service_fn(move |req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(handle(cx, req).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = finish.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

fn builder(tasks: Tasks) -> auto::Builder<Tasks> {
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

async fn handle(cx: Arc<RequestContext>, req: Request<Incoming>) -> Response<ClientBody> {
    let http1 = req.version() <= Version::HTTP_11;
    let leaving = cx.leaving.load(Ordering::Relaxed);
    let mut response = answer(cx, req).await;
    if leaving && http1 {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(cx: Arc<RequestContext>, req: Request<Incoming>) -> Response<ClientBody> {
    if req.uri().path() == KEYS_PATH {
        return issue_key(&cx, req.method()).await;
    }
    let Ok(permit) = cx.permits.clone().try_acquire_owned() else {
        return refuse(&cx, &AdmissionError::TooManyRequests);
    };
    let guard = GaugeGuard::new(&cx.metrics.gauges, |g| &g.requests_in_progress);
    let arrived = cx.clock.now();
    let id = RequestId(cx.next_request.fetch_add(1, Ordering::Relaxed));
    let (parts, body) = req.into_parts();
    let prepared = match admit(arrived, id, cx.document(), &parts) {
        Ok(admitted) => prepare(&cx, admitted, parts, body).await,
        Err(e) => Err(e),
    };
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(e) => return refuse(&cx, &e),
    };
    let (reply, head) = oneshot::channel();
    let (sender, directives) = mpsc::unbounded_channel::<Directive>();
    let run = Run {
        cx: cx.clone(),
        admitted: prepared.admitted,
        request: prepared.request,
        hops: prepared.hops,
        arrived,
        reply: Reply(Some(reply)),
        directives,
        attempts: Attempts::default(),
    };
    // The request is submitted by its own task, because hyper drops this future when the client goes away,
    // and a submitted request without a task would stay with the control actor for ever.
    cx.tasks.spawn(async move {
        run.run(sender).await;
        drop((permit, guard));
    });
    head.await.unwrap_or_else(|_| {
        let text = "the request was abandoned";
        reply::plain(http::StatusCode::INTERNAL_SERVER_ERROR, RunState::Unknown, text)
    })
}

fn refuse(cx: &RequestContext, e: &AdmissionError) -> Response<ClientBody> {
    count(&cx.metrics.counters.requests_not_admitted);
    e.response()
}

struct Prepared {
    admitted: Admitted,
    request: TargetRequest,
    hops: u64,
}

async fn prepare(
    cx: &RequestContext,
    mut admitted: Admitted,
    parts: http::request::Parts,
    body: Incoming,
) -> Result<Prepared, AdmissionError> {
    let max_body = admitted.document.limits().max_body;
    let left = admitted.meta.deadline.since(cx.clock.now());
    let http2 = parts.version == Version::HTTP_2;
    let payload = read_payload(body, http2, max_body, left).await?;
    admitted.meta.repeatable = payload.is_repeatable();
    let hops = forwards(&parts.headers);
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
    if let Payload::Kept(bytes) = &payload
        && (!bytes.is_empty() || headers.contains_key(CONTENT_LENGTH))
    {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    }
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let request = TargetRequest { method: parts.method, authority, path, headers, payload };
    Ok(Prepared { admitted, request, hops })
}

/// Returns how often entry VMs forwarded a request.
fn forwards(headers: &HeaderMap) -> u64 {
    let Some(value) = headers.get(FORWARDED_HEADER) else { return 0 };
    value.to_str().ok().and_then(|text| text.parse().ok()).unwrap_or(u64::MAX)
}

/// Keeps a small body whole and leaves any other to be streamed.
async fn read_payload(
    body: Incoming,
    http2: bool,
    max_body: u64,
    left: Millis,
) -> Result<Payload, AdmissionError> {
    if body.is_end_stream() {
        return Ok(Payload::Kept(Bytes::new()));
    }
    let size = body.size_hint().exact();
    if size.is_some_and(|size| size > max_body) {
        return Err(AdmissionError::BodyTooLarge(max_body));
    }
    let Some(size) = size.filter(|size| *size <= MAX_KEPT_BODY_BYTES) else {
        return Ok(Payload::Stream(Upload::new(body, http2, max_body)));
    };
    let most = usize::try_from(MAX_KEPT_BODY_BYTES).unwrap_or(usize::MAX);
    let whole = Limited::new(body, most).collect();
    match tokio::time::timeout(left.into(), whole).await {
        Ok(Ok(whole)) => {
            let bytes = whole.to_bytes();
            let complete = bytes.len() as u64 == size;
            complete.then_some(Payload::Kept(bytes)).ok_or(AdmissionError::BodyLate)
        }
        Ok(Err(_)) | Err(_) => Err(AdmissionError::BodyLate),
    }
}

async fn issue_key(cx: &RequestContext, method: &Method) -> Response<ClientBody> {
    if *method != Method::POST {
        let text = "a key is issued by POST";
        return reply::plain(http::StatusCode::METHOD_NOT_ALLOWED, RunState::NotRun, text);
    }
    match cx.control.issue_key().await {
        Some(key) => reply::key(&key),
        None => {
            let text = "this entry VM issues no keys now";
            reply::plain(http::StatusCode::SERVICE_UNAVAILABLE, RunState::NotRun, text)
        }
    }
}
