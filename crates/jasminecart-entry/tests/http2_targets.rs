//! Contract tests with targets that speak HTTP/2, scripted frame by frame (RFC 9113).

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use support::{Platform, document, entry, exchange, request};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PREFACE_BYTES: usize = 24;
const SETTINGS_FRAME: &[u8] = b"\0\0\0\x04\0\0\0\0\0";
/// A HEADERS frame with status 200 and without END_STREAM, on the first stream of a client.
const HEADERS: &[u8] = b"\0\0\x01\x01\x04\0\0\0\x01\x88";
const DATA: &[u8] = b"\0\0\x05\0\0\0\0\0\x01hello";
const LAST_DATA: &[u8] = b"\0\0\x05\0\x01\0\0\0\x01hello";
const RESET_REFUSED: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07";
const RESET_INTERNAL: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\x02";
const RESET_NO_ERROR: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\0";
const RESET_CANCEL: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\x08";
const GOAWAY_EXCLUDING_STREAM: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\0";
const GOAWAY_ERROR_EXCLUDING_STREAM: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\x0b";
const GOAWAY_INCLUDING_STREAM: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\x01\0\0\0\0";
const GOAWAY_ERROR_INCLUDING_STREAM: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\x01\0\0\0\x02";

/// Starts a target that sends these frames after the HEADERS frame of each request, and then closes
/// the connection if `close` is set. Returns its address and counts of the requests received and of
/// the connections ended.
async fn start_target(
    frames: &'static [&'static [u8]],
    close: bool,
) -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (received, closed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let counts = (received.clone(), closed.clone());
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (received, closed) = counts.clone();
            tokio::spawn(async move {
                let _ = serve_frames(stream, frames, close, received).await;
                closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, received, closed)
}

async fn serve_frames(
    mut stream: TcpStream,
    frames: &[&[u8]],
    close: bool,
    received: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let mut preface = [0; PREFACE_BYTES];
    stream.read_exact(&mut preface).await?;
    stream.write_all(SETTINGS_FRAME).await?;
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await?;
        let size = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
        let mut payload = vec![0; size];
        stream.read_exact(&mut payload).await?;
        if head[3] == 1 {
            received.fetch_add(1, Ordering::SeqCst);
            stream.write_all(&frames.concat()).await?;
            if close {
                return Ok(());
            }
        }
    }
}

// Guards against misapplying the rules of HTTP/2 on which failures prove that a request was not
// processed.
#[test_case(&[RESET_REFUSED], false, 503, "not-run"; "REFUSED_STREAM")]
#[test_case(&[GOAWAY_EXCLUDING_STREAM], true, 503, "not-run"; "GOAWAY beyond the last stream")]
#[test_case(&[GOAWAY_ERROR_EXCLUDING_STREAM], true, 503, "not-run"; "GOAWAY with an error beyond the last stream")]
#[test_case(&[RESET_INTERNAL], false, 502, "unknown"; "INTERNAL_ERROR")]
#[test_case(&[RESET_CANCEL], false, 502, "unknown"; "CANCEL")]
#[test_case(&[GOAWAY_INCLUDING_STREAM], true, 502, "unknown"; "GOAWAY that includes the stream")]
#[test_case(&[GOAWAY_ERROR_INCLUDING_STREAM], true, 502, "unknown"; "GOAWAY with an error that includes the stream")]
#[test_case(&[], true, 502, "unknown"; "closed without a response")]
#[test_case(&[], false, 502, "unknown"; "silent")]
#[tokio::test]
async fn a_failed_attempt_is_reported_exactly(
    frames: &'static [&'static [u8]],
    close: bool,
    status: u16,
    outcome: &str,
) {
    let (address, received, _) = start_target(frames, close).await;
    let document = document("http = 2\nprogress_timeout = 100ms", &[address]);
    let platform = Platform::start(1, &document).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("POST", "/claims", "a claim");
    let response = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!((response.status.as_u16(), response.outcome()), (status, Some(outcome)));
    assert_eq!(received.load(Ordering::SeqCst), 1);
}

// Guards against requests that do not reach HTTP/2 targets at all.
#[tokio::test]
async fn a_response_over_http2_is_forwarded() {
    let (address, ..) = start_target(&[HEADERS, DATA, LAST_DATA], false).await;
    let platform = Platform::start(1, &document("http = 2", &[address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("POST", "/claims", "a claim");
    let response = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!((response.status.as_u16(), &response.body[..]), (200, &b"hellohello"[..]));
}

// Guards against a truncated response that looks complete to the client (I3).
#[test_case(&[HEADERS, DATA, RESET_INTERNAL], false; "reset within the body")]
#[test_case(&[HEADERS, DATA], true; "closed within the body")]
#[test_case(&[HEADERS, DATA, RESET_CANCEL], false; "CANCEL within the body")]
#[test_case(&[HEADERS, DATA, RESET_NO_ERROR], false; "NO_ERROR within the body")]
#[test_case(&[HEADERS, DATA, RESET_REFUSED], false; "REFUSED_STREAM after the head")]
#[test_case(&[HEADERS, DATA, GOAWAY_EXCLUDING_STREAM], true; "GOAWAY after the head")]
#[tokio::test]
async fn a_broken_response_is_an_error_for_the_client(
    frames: &'static [&'static [u8]],
    close: bool,
) {
    let (address, ..) = start_target(frames, close).await;
    let platform = Platform::start(1, &document("http = 2", &[address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let response = exchange(entry.addresses().requests, request("GET", "/", "")).await;
    assert!(response.is_err(), "{response:?}");
}

// Guards against treating an upload over HTTP/2 as complete although the client reset its stream.
// Hyper ends such a body without an error when the stream was reset with NO_ERROR.
#[test_case(h2::Reason::NO_ERROR, Some(7); "NO_ERROR with a length")]
#[test_case(h2::Reason::NO_ERROR, Some(70_000); "NO_ERROR with a length above the buffered size")]
#[test_case(h2::Reason::NO_ERROR, None; "NO_ERROR without a length")]
#[test_case(h2::Reason::CANCEL, None; "CANCEL without a length")]
#[tokio::test]
async fn a_reset_upload_is_not_completed(reason: h2::Reason, length: Option<u64>) {
    let target = support::Target::start(&[support::Script::Echo]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let stream = TcpStream::connect(entry.addresses().requests).await.unwrap();
    let (client, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut client = client.ready().await.unwrap();
    let mut req = http::Request::post("http://claims.test/claims");
    if let Some(length) = length {
        req = req.header("content-length", length);
    }
    let (response, mut body) = client.send_request(req.body(()).unwrap(), false).unwrap();
    body.send_data(bytes::Bytes::from_static(b"half"), false).unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    body.send_reset(reason);
    assert!(response.await.is_err());
    let operators = entry.addresses().operators;
    support::eventually("no request is left", || async move {
        support::metric(operators, "requests_in_progress").await == 0
    })
    .await;
    assert_eq!(target.finished(), 0);
}

// Guards against reusing a connection that made no progress or that the target closed while it was
// idle.
#[test_case(&[], false; "silent")]
#[test_case(&[HEADERS, LAST_DATA], true; "closed after the response")]
#[tokio::test]
async fn a_dead_connection_is_replaced(frames: &'static [&'static [u8]], close: bool) {
    let (address, received, closed) = start_target(frames, close).await;
    let document = document("http = 2\nprogress_timeout = 100ms", &[address]);
    let platform = Platform::start(1, &document).await;
    let entry = entry("vm-1", &platform, "").await;
    let operators = entry.addresses().operators;
    for n in 1..=3 {
        let response =
            exchange(entry.addresses().requests, request("POST", "/", "")).await.unwrap();
        assert_eq!(response.status.as_u16(), if close { 200 } else { 502 });
        assert_eq!(received.load(Ordering::SeqCst), n);
        assert_eq!(support::metric(operators, "entry_target_connections_total").await, n as u64);
        support::eventually("the connection ends", || async { closed.load(Ordering::SeqCst) == n })
            .await;
    }
}
