//! Fakes of the platform, of targets and of clients for the contract tests of the entry daemon.
#![allow(dead_code, unreachable_pub)] // Each test file uses only some of the items.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use jasminecart_entry::{Entry, EntryHandle, Settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The longest wait for an event that a correct program makes happen earlier.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds, and fails the test if it does not within [`WAIT_TIMEOUT`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "not within {WAIT_TIMEOUT:?}: {what}");
}

/// A fake platform service that serves one document and a list of VMs.
pub struct Platform {
    pub address: SocketAddr,
    document: watch::Sender<(u64, u64, String)>,
    vms: Arc<Mutex<String>>,
    pub calls: Arc<AtomicUsize>,
}

impl Platform {
    pub async fn start(revision: u64, document: &str) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (document, _) = watch::channel((0, revision, document.to_owned()));
        let vms = Arc::new(Mutex::new("[]".to_owned()));
        let calls = Arc::new(AtomicUsize::new(0));
        let (watched, listed, counted) = (document.clone(), vms.clone(), calls.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (watched, listed) = (watched.clone(), listed.clone());
                let counted = counted.clone();
                let service = service_fn(move |req: Request<Incoming>| {
                    counted.fetch_add(1, Ordering::Relaxed);
                    let (watched, listed) = (watched.subscribe(), listed.clone());
                    async move { Ok::<_, Infallible>(platform_response(req, watched, listed).await) }
                });
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service),
                );
            }
        });
        Platform { address, document, vms, calls }
    }

    /// Replaces the document.
    pub fn publish(&self, revision: u64, document: &str) {
        self.document.send_modify(|(_, current, text)| {
            (*current, *text) = (revision, document.to_owned());
        });
    }

    /// Restores the platform from a copy that has this document.
    pub fn restore(&self, revision: u64, document: &str) {
        self.document.send_modify(|(epoch, current, text)| {
            (*epoch, *current, *text) = (*epoch + 1, revision, document.to_owned());
        });
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, entries: &[&EntryHandle]) {
        let rows: Vec<String> = entries
            .iter()
            .map(|entry| {
                let (me, at) = (entry.me(), entry.addresses());
                format!(
                    r#"{{"data_centre":"{}","name":"{}","control":"{}","packets":"{}","requests":"{}","leaving":false}}"#,
                    me.data_centre, me.name, at.peers, at.peer_packets, at.requests
                )
            })
            .collect();
        *self.vms.lock().unwrap() = format!("[{}]", rows.join(","));
    }
}

async fn platform_response(
    req: Request<Incoming>,
    mut document: watch::Receiver<(u64, u64, String)>,
    vms: Arc<Mutex<String>>,
) -> Response<Full<Bytes>> {
    if req.uri().path() == "/v1/vms" {
        return Response::new(Full::from(vms.lock().unwrap().clone()));
    }
    let query = req.uri().query().unwrap_or_default();
    let parameter = |name: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name));
        value.map(|value| value.parse::<u64>().unwrap())
    };
    if let Some(after) = parameter("after=") {
        let known = (parameter("epoch=").unwrap(), after);
        let wait = document.wait_for(|(epoch, revision, _)| (*epoch, *revision) != known);
        if tokio::time::timeout(Duration::from_secs(30), wait).await.is_err() {
            let empty = Response::builder().status(StatusCode::NOT_MODIFIED);
            return empty.body(Full::default()).unwrap();
        }
    }
    let (epoch, revision, text) = document.borrow().clone();
    let response = Response::builder().header("revision", revision).header("epoch", epoch);
    response.body(Full::from(text)).unwrap()
}

/// Returns a document with the service `claims` at the host `claims.test` and these targets.
pub fn document(service: &str, targets: &[SocketAddr]) -> String {
    let mut text = format!("[service claims]\nhost = claims.test\n{service}\n");
    for (n, address) in targets.iter().enumerate() {
        text += &format!(
            "[target t{n}]\nservice = claims\ndata_centre = ub-1\naddress = {address}\nslots = 100\n"
        );
    }
    text
}

pub fn settings(name: &str, platform: SocketAddr, extra: &str) -> Settings {
    let text = format!(
        "[vm]\nname = {name}\ndata_centre = ub-1\n\
         [listen]\nrequests = 127.0.0.1:0\npackets = 127.0.0.1:0\npeer_packets = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
         [platform]\naddress = {platform}\n[log]\nlevel = warn\n{extra}"
    );
    Settings::parse(&text).unwrap().with_seed(7)
}

/// Starts an entry VM and waits until it is ready.
pub async fn entry(name: &str, platform: &Platform, extra: &str) -> EntryHandle {
    let entry = Entry::start(settings(name, platform.address, extra)).await.unwrap();
    let operators = entry.addresses().operators;
    eventually("ready", || async move { get(operators, "/readyz").await.0 == StatusCode::OK })
        .await;
    entry
}

/// Waits until a metric of an entry VM is at least `least`.
pub async fn metric_reaches(entry: &EntryHandle, name: &str, least: u64) {
    let operators = entry.addresses().operators;
    eventually(
        &format!("{name} >= {least}"),
        || async move { metric(operators, name).await >= least },
    )
    .await;
}

pub async fn metric(operators: SocketAddr, name: &str) -> u64 {
    let (_, text) = get(operators, "/metrics").await;
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("jasminecart_{name} ")));
    line.unwrap_or_else(|| panic!("no metric {name} in {text}")).parse().unwrap()
}

pub async fn get(address: SocketAddr, path: &str) -> (StatusCode, String) {
    let req = Request::get(path).header("host", "test").body(Full::default()).unwrap();
    match exchange(address, req).await {
        Ok(response) => (response.status, String::from_utf8_lossy(&response.body).into_owned()),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }
}

/// A response that was received to its end.
#[derive(Debug)]
pub struct CompleteResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CompleteResponse {
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get(jasminecart_entry::OUTCOME_HEADER).map(|value| value.to_str().unwrap())
    }
}

/// Builds a request to the service of [`document`].
pub fn request(method: &str, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let req = Request::builder().method(method).uri(path).header("host", "claims.test");
    req.body(Full::new(body.into())).unwrap()
}

/// Sends one request on a new connection. An error means that no complete response was received.
pub async fn exchange(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<CompleteResponse, hyper::Error> {
    exchange_on(TcpStream::connect(address).await.unwrap(), req).await
}

/// Sends one request on a connection.
pub async fn exchange_on(
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<CompleteResponse, hyper::Error> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let response = collect(sender.send_request(req).await?).await;
    driver.abort();
    response
}

/// Sends one request over HTTP/2 with prior knowledge.
pub async fn exchange_http2(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<CompleteResponse, hyper::Error> {
    exchange_http2_on(TcpStream::connect(address).await.unwrap(), req).await
}

/// Sends one request over HTTP/2 on a connection.
pub async fn exchange_http2_on(
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<CompleteResponse, hyper::Error> {
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let (mut parts, body) = req.into_parts();
    let host = parts.headers.remove("host").unwrap();
    parts.uri = format!("http://{}{}", host.to_str().unwrap(), parts.uri).parse().unwrap();
    let response = collect(sender.send_request(Request::from_parts(parts, body)).await?).await;
    driver.abort();
    response
}

pub async fn collect(response: Response<Incoming>) -> Result<CompleteResponse, hyper::Error> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(CompleteResponse { status: parts.status, headers: parts.headers, body })
}

/// Requests an idempotency key from an entry VM.
pub async fn issue_key(address: SocketAddr) -> String {
    let req = request("POST", jasminecart_entry::KEYS_PATH, "");
    let response = exchange(address, req).await.unwrap();
    assert_eq!(response.status, StatusCode::CREATED);
    String::from_utf8(response.body.to_vec()).unwrap()
}

/// A target that sends scripted bytes and counts the requests whose head it received.
pub struct Target {
    pub address: SocketAddr,
    pub received: Arc<AtomicUsize>,
    pub connections: Arc<AtomicUsize>,
    /// Connections that the entry VM closed during [`Script::SendAndHang`] or [`Script::Pause`].
    pub abandoned: Arc<AtomicUsize>,
    /// Connections that have ended, whichever side closed them.
    pub closed: Arc<AtomicUsize>,
    /// Scripts that have tried to send all their bytes.
    pub finished: Arc<AtomicUsize>,
}

/// A request as a scripted target received it.
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

/// What a scripted target does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Script {
    /// Sends these bytes and keeps the connection open for further requests.
    Send(&'static [u8]),
    /// Sends these bytes and closes the connection.
    SendAndClose(&'static [u8]),
    /// Sends these bytes and then nothing more, but keeps the connection open.
    SendAndHang(&'static [u8]),
    /// Sends the second bytes this many milliseconds after the first.
    Pause(u64, &'static [u8], &'static [u8]),
    /// Responds with the body of the request.
    Echo,
    /// Responds with the head of the request as the body.
    EchoHead,
}

impl Target {
    /// Starts a target that runs the n-th script for the n-th request, and the last script for all
    /// later ones.
    pub async fn start(scripts: &'static [Script]) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (received, connections) =
            (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let abandoned = Arc::<AtomicUsize>::default();
        let finished = Arc::<AtomicUsize>::default();
        let counts = (received.clone(), abandoned.clone(), finished.clone());
        let (connection_count, closed) = (connections.clone(), Arc::<AtomicUsize>::default());
        let counted = closed.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                connection_count.fetch_add(1, Ordering::SeqCst);
                let (counts, counted) = (counts.clone(), counted.clone());
                tokio::spawn(async move {
                    run_scripts(stream, scripts, counts).await;
                    counted.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Target { address, received, connections, abandoned, closed, finished }
    }

    pub fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    pub fn abandoned(&self) -> usize {
        self.abandoned.load(Ordering::SeqCst)
    }

    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }

    pub fn finished(&self) -> usize {
        self.finished.load(Ordering::SeqCst)
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn run_scripts(
    mut stream: TcpStream,
    scripts: &'static [Script],
    (received, abandoned, finished): (Arc<AtomicUsize>, Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let mut buf = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buf, &received).await {
        let (n, request) = request;
        let script = scripts[n.min(scripts.len() - 1)];
        let echo = |body: &[u8]| {
            let mut text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let mut bytes = std::mem::take(&mut text).into_bytes();
            bytes.extend_from_slice(body);
            bytes
        };
        let (bytes, close, hang) = match script {
            Script::Send(bytes) => (bytes.to_vec(), false, false),
            Script::SendAndClose(bytes) => (bytes.to_vec(), true, false),
            Script::SendAndHang(bytes) => (bytes.to_vec(), false, true),
            Script::Pause(millis, first, second) => {
                let _ = stream.write_all(first).await;
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(millis)) => {}
                    _ = stream.readable() => {
                        abandoned.fetch_add(1, Ordering::SeqCst);
                    }
                }
                (second.to_vec(), false, false)
            }
            Script::Echo => (echo(&request.body), false, false),
            Script::EchoHead => (echo(request.head.as_bytes()), false, false),
        };
        let written = stream.write_all(&bytes).await;
        finished.fetch_add(1, Ordering::SeqCst);
        if written.is_err() || close {
            return;
        }
        if hang {
            let mut ignored = [0; 1024];
            while stream.read(&mut ignored).await.is_ok_and(|count| count > 0) {}
            abandoned.fetch_add(1, Ordering::SeqCst);
            return;
        }
    }
}

/// Reads one request with `content-length` or chunked framing.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    received: &AtomicUsize,
) -> Option<(usize, ReceivedRequest)> {
    let end = read_until(stream, buf, b"\r\n\r\n").await?;
    let n = received.fetch_add(1, Ordering::SeqCst);
    let head = String::from_utf8(buf.drain(..end).collect()).unwrap();
    let lower = head.to_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = Vec::new();
    if let Some(length) = length.map(|length| length.parse::<usize>().unwrap()) {
        while buf.len() < length {
            read_more(stream, buf).await?;
        }
        body = buf.drain(..length).collect();
    } else if lower.contains("transfer-encoding: chunked") {
        loop {
            let end = read_until(stream, buf, b"\r\n").await?;
            let size = String::from_utf8(buf.drain(..end).collect()).unwrap();
            let size = usize::from_str_radix(size.trim(), 16).unwrap();
            while buf.len() < size + 2 {
                read_more(stream, buf).await?;
            }
            body.extend(buf.drain(..size));
            buf.drain(..2);
            if size == 0 {
                break;
            }
        }
    }
    Some((n, ReceivedRequest { head, body }))
}

async fn read_until(stream: &mut TcpStream, buf: &mut Vec<u8>, delimiter: &[u8]) -> Option<usize> {
    loop {
        if let Some(at) = buf.windows(delimiter.len()).position(|window| window == delimiter) {
            return Some(at + delimiter.len());
        }
        read_more(stream, buf).await?;
    }
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    match stream.read_buf(buf).await {
        Ok(count) if count > 0 => Some(()),
        _ => None,
    }
}

/// Returns an address on which no socket listens.
pub async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Sends raw bytes and returns what is received until the connection closes.
pub async fn exchange_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stays open");
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends raw bytes while reading, and returns what is received until the connection closes.
pub async fn exchange_raw_concurrently(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let (mut read, mut write) = TcpStream::connect(address).await.unwrap().into_split();
    let bytes = bytes.to_vec();
    let writer = tokio::spawn(async move {
        let _ = write.write_all(&bytes).await;
        write
    });
    let mut response = Vec::new();
    let ended = tokio::time::timeout(WAIT_TIMEOUT, read.read_to_end(&mut response)).await;
    assert!(ended.is_ok(), "the connection stays open");
    writer.abort();
    response
}

/// Sends raw bytes and closes the connection 50 ms later, without reading.
pub async fn send_raw_and_close(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
}
