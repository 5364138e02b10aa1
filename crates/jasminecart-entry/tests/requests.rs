//! Contract tests of the request listener: the response to the client, and the request to the
//! target.

mod support;

use http::{Request, StatusCode};
use http_body_util::Full;
use support::{
    CompleteResponse, Platform, Script, Target, closed_address, document, entry, eventually,
    exchange, exchange_http2, exchange_raw, metric_reaches, request,
};
use test_case::test_case;

const HELLO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

// Guards against requests that do not reach a target at all, for both versions of HTTP.
#[test_case(false; "HTTP/1.1")]
#[test_case(true; "HTTP/2")]
#[tokio::test]
async fn a_request_reaches_its_target(http2: bool) {
    let target = Target::start(&[Script::Echo]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let (address, req) = (entry.addresses().requests, request("POST", "/claims", "a claim"));
    let response = match http2 {
        true => exchange_http2(address, req).await,
        false => exchange(address, req).await,
    };
    let response = response.unwrap();
    assert_eq!((response.status, &response.body[..]), (StatusCode::OK, &b"a claim"[..]));
    assert_eq!(target.received(), 1);
}

// Guards against a wrong outcome header (I4) and against a second execution (I5): every request is
// a POST, so the target must receive it at most once.
#[test_case("", Script::SendAndClose(b""), 502, "unknown"; "closes without a response")]
#[test_case("", Script::SendAndClose(b"HTTP/1.1 200 O"), 502, "unknown"; "closes within the head")]
#[test_case("", Script::Send(b"nonsense\r\n\r\n"), 502, "unknown"; "responds with no HTTP")]
#[test_case("", Script::SendAndClose(b"HTTP/1.1 200 OK\r\n\r\nhello"), 502, "unknown"; "responds without a length")]
#[test_case("", Script::SendAndClose(b"HTTP/1.0 200 OK\r\n\r\nhello"), 502, "unknown"; "responds with HTTP/1.0")]
#[test_case("shed_status = 503", Script::Send(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"), 503, "not-run"; "sheds with a declared status")]
#[test_case("progress_timeout = 100ms", Script::SendAndHang(b""), 502, "unknown"; "is silent before its response")]
#[test_case("progress_timeout = 100ms", Script::SendAndHang(b"HTTP/1.1 200 OK\r\n"), 502, "unknown"; "is silent within the head")]
#[tokio::test]
async fn a_failed_attempt_is_reported_exactly(
    service: &str,
    script: Script,
    status: u16,
    outcome: &str,
) {
    let target = Target::start(Box::leak(Box::new([script]))).await;
    let platform = Platform::start(1, &document(service, &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("POST", "/claims", "a claim");
    let response = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!((response.status.as_u16(), response.outcome()), (status, Some(outcome)));
    assert_eq!(target.received(), 1);
}

// Guards against `unknown` for a request of which provably no byte was sent.
#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let platform = Platform::start(1, &document("", &[closed_address().await])).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("POST", "/claims", "a claim");
    let response = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!((response.status.as_u16(), response.outcome()), (503, Some("not-run")));
}

// Guards against forwarding the outcome header of a target, against replacing its status, and
// against forwarding hop-by-hop headers.
#[test_case(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\njasminecart-outcome: not-run\r\n\r\n", 503; "an undeclared status")]
#[test_case(b"HTTP/1.1 204 No Content\r\njasminecart-outcome: unknown\r\n\r\n", 204; "no body")]
#[test_case(b"HTTP/1.1 200 OK\r\nconnection: x-hop\r\nx-hop: 1\r\ncontent-length: 0\r\n\r\n", 200; "hop-by-hop headers")]
#[tokio::test]
async fn a_response_is_forwarded_without_an_outcome(bytes: &'static [u8], status: u16) {
    let target = Target::start(Box::leak(Box::new([Script::Send(bytes)]))).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("GET", "/claims", "");
    let response = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!((response.status.as_u16(), response.outcome()), (status, None));
    assert!(!response.headers.contains_key("x-hop"));
}

// Guards against treating the response to a HEAD request as truncated, because it has a length and
// no body.
#[tokio::test]
async fn a_response_to_head_is_complete() {
    let bytes = Script::Send(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n");
    let target = Target::start(Box::leak(Box::new([bytes]))).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let req = request("HEAD", "/claims", "");
    let response = exchange(entry.addresses().requests, req).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["content-length"], "1000");
}

// Guards against a truncated response that looks complete to the client (I3).
#[test_case(Script::SendAndClose(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello"); "closes before the length")]
#[test_case(Script::SendAndClose(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"); "closes between chunks")]
#[test_case(Script::SendAndClose(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel"); "closes within a chunk")]
#[test_case(Script::SendAndHang(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"); "is silent between chunks")]
#[test_case(Script::Send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nno number\r\n"); "sends a malformed chunk")]
#[tokio::test]
async fn a_broken_response_is_an_error_for_the_client(script: Script) {
    let target = Target::start(Box::leak(Box::new([script]))).await;
    let document = document("progress_timeout = 100ms", &[target.address]);
    let platform = Platform::start(1, &document).await;
    let entry = entry("vm-1", &platform, "").await;
    let address = entry.addresses().requests;
    let over_http1: Result<CompleteResponse, _> = exchange(address, request("GET", "/", "")).await;
    assert!(over_http1.is_err(), "{over_http1:?}");
    let over_http2: Result<CompleteResponse, _> =
        exchange_http2(address, request("GET", "/", "")).await;
    assert!(over_http2.is_err(), "{over_http2:?}");
}

// Guards against admitting malformed or unsupported requests instead of refusing them with
// `not-run`.
#[test_case("GET / HTTP/1.0\r\nhost: claims.test\r\n\r\n", 505; "HTTP/1.0")]
#[test_case("GET / HTTP/1.1\r\nhost: other.test\r\n\r\n", 404; "unknown host")]
#[test_case("GET / HTTP/1.1\r\n\r\n", 400; "no host")]
#[test_case("CONNECT claims.test:80 HTTP/1.1\r\nhost: claims.test\r\n\r\n", 501; "CONNECT")]
#[test_case("GET / HTTP/1.1\r\nhost: claims.test\r\njasminecart-deadline-ms: soon\r\n\r\n", 400; "malformed deadline")]
#[test_case("GET / HTTP/1.1\r\nhost: claims.test\r\njasminecart-deadline-ms: 0\r\n\r\n", 504; "passed deadline")]
#[test_case("GET / HTTP/1.1\r\nhost: claims.test\r\njasminecart-deadline-ms: 9\r\njasminecart-deadline-ms: 8\r\n\r\n", 400; "two deadlines")]
#[test_case("GET / HTTP/1.1\r\nhost: claims.test\r\njasminecart-tenant: a b\r\n\r\n", 400; "malformed tenant")]
#[test_case("POST / HTTP/1.1\r\nhost: claims.test\r\nidempotency-key: mine\r\ncontent-length: 0\r\n\r\n", 400; "key of the client")]
#[test_case("POST / HTTP/1.1\r\nhost: claims.test\r\ncontent-length: 70000000\r\n\r\n", 413; "body above the bound")]
#[test_case("GET /.well-known/jasminecart/keys HTTP/1.1\r\nhost: claims.test\r\n\r\n", 405; "key by GET")]
#[tokio::test]
async fn an_inadmissible_request_is_refused_as_not_run(text: &str, status: u16) {
    let target = Target::start(&[Script::Echo]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let text = text.replacen("\r\n\r\n", "\r\nconnection: close\r\n\r\n", 1);
    let response = exchange_raw(entry.addresses().requests, text.as_bytes()).await;
    assert!(response.contains(&format!(" {status} ")), "{response}");
    assert!(response.contains("jasminecart-outcome: not-run"), "{response}");
    assert_eq!(target.received(), 0);
}

// Guards against `unknown` for requests, and against their second execution, when the target has
// closed the pooled connection while it was idle.
#[tokio::test]
async fn a_pooled_connection_that_the_target_closed_is_not_reused() {
    let target = Target::start(&[Script::SendAndClose(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    for n in 1..=20 {
        let req = request("POST", "/claims", "a claim");
        let response = exchange(entry.addresses().requests, req).await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "request {n}");
        assert_eq!(target.received(), n);
        eventually("the target closes", || async { target.closed() == n }).await;
    }
}

// Guards against opening a new connection for each request.
#[tokio::test]
async fn an_idle_connection_is_reused() {
    let target = Target::start(&[Script::Send(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let operators = entry.addresses().operators;
    eventually("connections are reused", || async {
        let response = exchange(entry.addresses().requests, request("GET", "/", "")).await.unwrap();
        assert_eq!(&response.body[..], b"hello");
        support::metric(operators, "entry_target_connections_reused_total").await >= 5
    })
    .await;
    assert!(target.connections() < target.received());
}

// Guards against passing a response to the wrong request (I3): the target sends two responses to
// one request, or responds after the request was abandoned.
#[test_case(&[Script::Send(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"), Script::EchoHead], 200; "two responses at once")]
#[test_case(&[Script::Pause(20, b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst", b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"), Script::EchoHead], 200; "a second response while idle")]
#[test_case(&[Script::Pause(300, b"", b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"), Script::EchoHead], 504; "a response after the deadline")]
#[tokio::test]
async fn a_late_response_is_discarded(scripts: &'static [Script], first: u16) {
    let target = Target::start(scripts).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let address = entry.addresses().requests;
    let mut req = request("GET", "/first", "");
    req.headers_mut().insert("jasminecart-deadline-ms", http::HeaderValue::from(100));
    let response = exchange(address, req).await.unwrap();
    assert_eq!(response.status.as_u16(), first);
    eventually("the late response is sent", || async { target.finished() == 1 }).await;
    for n in 0..10 {
        let path = format!("/next-{n}");
        let response = exchange(address, request("GET", &path, "")).await.unwrap();
        let body = String::from_utf8(response.body.to_vec()).unwrap();
        assert!(body.starts_with(&format!("GET {path} ")), "{body}");
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

// Guards against passing a second copy of a response to the next caller (I3): the copy arrives when the connection is in
// use again. HTTP/1.1 responses carry nothing that tells whose they are.
#[tokio::test]
#[ignore = "KNOWN-RED.txt, entry 7"]
async fn a_copy_of_a_response_on_a_connection_in_use_is_discarded() {
    const SCRIPTS: [Script; 2] = [
        Script::Send(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst"),
        Script::Send(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"),
    ];
    let target = Target::start(&SCRIPTS).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let address = entry.addresses().requests;
    let response = exchange(address, request("GET", "/first", "")).await.unwrap();
    assert_eq!(&response.body[..], b"first");
    let response = exchange(address, request("GET", "/second", "")).await.unwrap();
    assert_ne!(&response.body[..], b"first", "the second caller got the response to the first");
}

// Guards against continuing an attempt after the client has disconnected, before and after the head
// of the response.
#[test_case(Script::SendAndHang(b""); "before the head")]
#[test_case(Script::SendAndHang(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhe"); "within the body")]
#[tokio::test]
async fn a_client_that_disconnects_cancels_its_attempt(script: Script) {
    let target = Target::start(Box::leak(Box::new([script]))).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let address = entry.addresses().requests;
    let client = tokio::spawn(exchange(address, request("GET", "/", "")));
    eventually("the request arrives", || async { target.received() == 1 }).await;
    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    client.abort();
    eventually("the target sees the end", || async { target.abandoned() == 1 }).await;
    metric_reaches(&entry, "entry_client_connections_total", 1).await;
    eventually("no request is left", || async {
        support::metric(entry.addresses().operators, "requests_in_progress").await == 0
    })
    .await;
}

// Guards against a deadline that does not end the attempt or is not sent to the target.
#[tokio::test]
async fn the_deadline_is_forwarded_and_ends_the_attempt() {
    let target = Target::start(&[Script::EchoHead, Script::SendAndHang(b"")]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let address = entry.addresses().requests;
    let with_deadline = |millis: u64| {
        let mut req: Request<Full<_>> = request("POST", "/", "");
        req.headers_mut().insert("jasminecart-deadline-ms", http::HeaderValue::from(millis));
        req
    };
    let response = exchange(address, with_deadline(5_000)).await.unwrap();
    let head = String::from_utf8(response.body.to_vec()).unwrap();
    let line = head.lines().find_map(|line| line.strip_prefix("jasminecart-deadline-ms: "));
    let remaining: u64 = line.unwrap().parse().unwrap();
    assert!((1..=5_000).contains(&remaining), "{remaining}");
    let response = exchange(address, with_deadline(50)).await.unwrap();
    assert_eq!((response.status.as_u16(), response.outcome()), (504, Some("unknown")));
    eventually("the target sees the end", || async { target.abandoned() == 1 }).await;
}

// Guards against bodies that are truncated, reordered or buffered without a limit.
#[test_case(false; "with a length")]
#[test_case(true; "chunked")]
#[tokio::test]
async fn a_large_body_passes_both_ways(chunked: bool) {
    let target = Target::start(&[Script::Echo]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let body: Vec<u8> = (0..3_000_000u32).map(|n| (n / 7) as u8).collect();
    let framing = match chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {}", body.len()),
    };
    let mut bytes =
        format!("POST / HTTP/1.1\r\nhost: claims.test\r\nconnection: close\r\n{framing}\r\n\r\n")
            .into_bytes();
    match chunked {
        true => {
            for chunk in body.chunks(70_000) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        }
        false => bytes.extend(&body),
    }
    let response = support::exchange_raw_concurrently(entry.addresses().requests, &bytes).await;
    let end = response.windows(4).position(|window| window == b"\r\n\r\n").unwrap() + 4;
    assert!(response.starts_with(b"HTTP/1.1 200"));
    assert!(response[end..] == body[..], "{} of {} bytes", response.len() - end, body.len());
}

// Guards against treating an upload as complete although the client disconnected, or sent a
// malformed or too large body.
#[test_case(b"4\r\nhalf\r\n", true, ""; "the client disconnects")]
#[test_case(b"no number\r\n", false, " 400 "; "the client sends a malformed chunk")]
#[test_case(b"20\r\n0123456789abcdef0123456789abcdef\r\n0\r\n\r\n", false, " 413 "; "the body exceeds its bound")]
#[tokio::test]
async fn a_broken_upload_is_not_completed(chunks: &[u8], close: bool, status: &str) {
    let target = Target::start(&[Script::Echo]).await;
    let text = document("", &[target.address]) + "[limits]\nmax_body = 31B\n";
    let platform = Platform::start(1, &text).await;
    let entry = entry("vm-1", &platform, "").await;
    let head = "POST / HTTP/1.1\r\nhost: claims.test\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let bytes = [head.as_bytes(), chunks].concat();
    let address = entry.addresses().requests;
    if close {
        support::send_raw_and_close(address, &bytes).await;
    } else {
        let response = exchange_raw(address, &bytes).await;
        assert!(response.contains(status), "{response}");
    }
    eventually("no request is left", || async {
        support::metric(entry.addresses().operators, "requests_in_progress").await == 0
    })
    .await;
    let (_, text) = support::get(entry.addresses().operators, "/metrics").await;
    assert!(!text.contains("outcome=\"done\""), "{text}");
}
