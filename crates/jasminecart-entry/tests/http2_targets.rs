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
const SETTINGS: &[u8] = b"\0\0\0\x04\0\0\0\0\0";
/// Status 200 with more to follow, on the first stream of a client.
const HEAD: &[u8] = b"\0\0\x01\x01\x04\0\0\0\x01\x88";
const DATA: &[u8] = b"\0\0\x05\0\0\0\0\0\x01hello";
const LAST_DATA: &[u8] = b"\0\0\x05\0\x01\0\0\0\x01hello";
const RESET_REFUSED: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07";
const RESET_INTERNAL: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\x02";
const RESET_NO_ERROR: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\0";
const RESET_CANCEL: &[u8] = b"\0\0\x04\x03\0\0\0\0\x01\0\0\0\x08";
const GOAWAY_BEFORE: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\0";
const GOAWAY_CALM_BEFORE: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\x0b";
const GOAWAY_AFTER: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\x01\0\0\0\0";
const GOAWAY_ERROR_AFTER: &[u8] = b"\0\0\x08\x07\0\0\0\0\0\0\0\0\x01\0\0\0\x02";

/// Starts a target that sends these frames after the head of each connection's first request and then, if
/// told so, closes the connection. Returns how many requests it received and how many connections ended.
async fn target(
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
                let _ = follow(stream, frames, close, received).await;
                closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, received, closed)
}

async fn follow(
    mut stream: TcpStream,
    frames: &[&[u8]],
    close: bool,
    received: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let mut preface = [0; PREFACE_BYTES];
    stream.read_exact(&mut preface).await?;
    stream.write_all(SETTINGS).await?;
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

// Guards against a wrong reading of the rules by which HTTP/2 says that a request was not processed.
#[test_case(&[RESET_REFUSED], false, 503, "not-run"; "REFUSED_STREAM")]
#[test_case(&[GOAWAY_BEFORE], true, 503, "not-run"; "GOAWAY beyond the last stream")]
#[test_case(&[GOAWAY_CALM_BEFORE], true, 503, "not-run"; "GOAWAY with an error beyond the last stream")]
#[test_case(&[RESET_INTERNAL], false, 502, "unknown"; "INTERNAL_ERROR")]
#[test_case(&[RESET_CANCEL], false, 502, "unknown"; "CANCEL")]
#[test_case(&[GOAWAY_AFTER], true, 502, "unknown"; "GOAWAY that includes the stream")]
#[test_case(&[GOAWAY_ERROR_AFTER], true, 502, "unknown"; "GOAWAY with an error that includes the stream")]
#[test_case(&[], true, 502, "unknown"; "closed without an answer")]
#[test_case(&[], false, 502, "unknown"; "silent")]
#[tokio::test]
async fn a_failed_attempt_is_reported_exactly(
    frames: &'static [&'static [u8]],
    close: bool,
    status: u16,
    outcome: &str,
) {
    let (address, received, _) = target(frames, close).await;
    let document = document("http = 2\nprogress_timeout = 100ms", &[address]);
    let platform = Platform::start(1, &document).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("POST", "/claims", "a claim");
    let answer = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.outcome()), (status, Some(outcome)));
    assert_eq!(received.load(Ordering::SeqCst), 1);
}

// Guards against a path to HTTP/2 targets that does not work at all.
#[tokio::test]
async fn an_answer_over_http2_is_passed_on() {
    let (address, ..) = target(&[HEAD, DATA, LAST_DATA], false).await;
    let platform = Platform::start(1, &document("http = 2", &[address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("POST", "/claims", "a claim");
    let answer = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &b"hellohello"[..]));
}

// Guards against a short answer that looks complete to the client (I3).
#[test_case(&[HEAD, DATA, RESET_INTERNAL], false; "reset within the body")]
#[test_case(&[HEAD, DATA], true; "closed within the body")]
#[test_case(&[HEAD, DATA, RESET_CANCEL], false; "CANCEL within the body")]
#[test_case(&[HEAD, DATA, RESET_NO_ERROR], false; "NO_ERROR within the body")]
#[test_case(&[HEAD, DATA, RESET_REFUSED], false; "REFUSED_STREAM after the head")]
#[test_case(&[HEAD, DATA, GOAWAY_BEFORE], true; "GOAWAY after the head")]
#[tokio::test]
async fn a_broken_answer_is_an_error_for_the_client(frames: &'static [&'static [u8]], close: bool) {
    let (address, ..) = target(frames, close).await;
    let platform = Platform::start(1, &document("http = 2", &[address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let answer = exchange(entry.addresses().requests, request("GET", "/", "")).await;
    assert!(answer.is_err(), "{answer:?}");
}

// Guards against an upload over HTTP/2 that is taken for complete although the client reset its stream; hyper
// ends such a body without an error when the reset says NO_ERROR.
#[test_case(h2::Reason::NO_ERROR, Some(7); "NO_ERROR with a length")]
#[test_case(h2::Reason::NO_ERROR, Some(70_000); "NO_ERROR with a length above the kept size")]
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
    let (answer, mut body) = client.send_request(req.body(()).unwrap(), false).unwrap();
    body.send_data(bytes::Bytes::from_static(b"half"), false).unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    body.send_reset(reason);
    assert!(answer.await.is_err());
    let operators = entry.addresses().operators;
    support::eventually("no request is left", || async move {
        support::metric(operators, "requests_in_progress").await == 0
    })
    .await;
    assert_eq!(target.finished(), 0);
}

// Guards against a silent connection that is used again, and against one that the target closed while idle.
#[test_case(&[], false; "silent")]
#[test_case(&[HEAD, LAST_DATA], true; "closed after the answer")]
#[tokio::test]
async fn a_dead_connection_is_replaced(frames: &'static [&'static [u8]], close: bool) {
    let (address, received, closed) = target(frames, close).await;
    let document = document("http = 2\nprogress_timeout = 100ms", &[address]);
    let platform = Platform::start(1, &document).await;
    let entry = entry("vm-1", &platform, "").await;
    let operators = entry.addresses().operators;
    for n in 1..=3 {
        let answer = exchange(entry.addresses().requests, request("POST", "/", "")).await.unwrap();
        assert_eq!(answer.status.as_u16(), if close { 200 } else { 502 });
        assert_eq!(received.load(Ordering::SeqCst), n);
        assert_eq!(support::metric(operators, "entry_target_connections_total").await, n as u64);
        support::eventually("the connection ends", || async { closed.load(Ordering::SeqCst) == n })
            .await;
    }
}
