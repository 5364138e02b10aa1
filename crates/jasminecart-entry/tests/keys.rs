//! Contract tests of idempotency keys: at most one execution, and the same response to a retry.

mod support;

use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use jasminecart_entry::EntryHandle;
use support::{
    CompleteResponse, Platform, Script, Target, document, entry, eventually, exchange, get,
    issue_key, metric, request,
};
use test_case::test_case;

const HELLO: &[u8] = b"HTTP/1.1 201 Created\r\ncontent-length: 5\r\nx-claim: 7\r\n\r\nhello";

fn keyed_request(path: &str, key: &str) -> Request<Full<bytes::Bytes>> {
    let mut req = request("POST", path, "a claim");
    req.headers_mut().insert("idempotency-key", HeaderValue::from_str(key).unwrap());
    req
}

async fn send(entry: &EntryHandle, path: &str, key: &str) -> CompleteResponse {
    exchange(entry.addresses().requests, keyed_request(path, key)).await.unwrap()
}

/// Starts two VMs and waits until both list each other as active.
async fn start_pair(platform: &Platform) -> (EntryHandle, EntryHandle) {
    let a = entry("vm-1", platform, "").await;
    platform.set_vms(&[&a]);
    let b = entry("vm-2", platform, "").await;
    platform.set_vms(&[&a, &b]);
    for entry in [&a, &b] {
        let operators = entry.addresses().operators;
        // A VM that is still joining cannot be the successor of the other.
        eventually("both are active", || async {
            get(operators, "/status").await.1.matches("\"state\":\"Active\"").count() == 2
        })
        .await;
    }
    (a, b)
}

// Guards against a second execution (I5), and against a retry that does not receive the stored
// response.
#[tokio::test]
async fn a_retry_gets_the_stored_response() {
    let target = Target::start(&[Script::Send(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let key = issue_key(entry.addresses().requests).await;
    for _ in 0..3 {
        let response = send(&entry, "/claims", &key).await;
        assert_eq!((response.status, &response.body[..]), (StatusCode::CREATED, &b"hello"[..]));
        assert_eq!(
            (response.headers["x-claim"].to_str().unwrap(), response.outcome()),
            ("7", None)
        );
    }
    assert_eq!(target.received(), 1);
    assert_eq!(metric(entry.addresses().operators, "entry_answers_from_store_total").await, 2);
}

// Guards against disclosing a stored response to another request, and against a second execution
// when no response is stored.
#[test_case(&[Script::Send(HELLO)], "", "/other"; "another path")]
#[test_case(&[Script::Send(HELLO)], "[limits]\nstored_answer_bytes = 10B\n", "/claims"; "no room for responses")]
#[test_case(&[Script::SendAndClose(b"")], "", "/claims"; "an unconfirmed attempt")]
#[test_case(&[Script::SendAndClose(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhe")], "", "/claims"; "a broken response")]
#[tokio::test]
async fn a_retry_without_a_stored_response_is_refused_as_unknown(
    scripts: &'static [Script],
    limits: &str,
    path: &str,
) {
    let target = Target::start(scripts).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, limits).await;
    let key = issue_key(entry.addresses().requests).await;
    let _ = exchange(entry.addresses().requests, keyed_request("/claims", &key)).await;
    let retry = send(&entry, path, &key).await;
    assert_eq!((retry.status.as_u16(), retry.outcome()), (409, Some("unknown")));
    assert_eq!(target.received(), 1);
}

// Guards against storing a response above the limit, or only a part of a response.
#[test_case(64 << 10, 200; "at the limit")]
#[test_case((64 << 10) + 1, 409; "above the limit")]
#[tokio::test]
async fn a_response_is_stored_up_to_the_limit(size: usize, status: u16) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
    let bytes: &'static [u8] = Box::leak([head.as_bytes(), &vec![b'x'; size]].concat().into());
    let target = Target::start(Box::leak(Box::new([Script::Send(bytes)]))).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let key = issue_key(entry.addresses().requests).await;
    assert_eq!(send(&entry, "/", &key).await.body.len(), size);
    let retry = send(&entry, "/", &key).await;
    assert_eq!(retry.status.as_u16(), status);
    if status == 200 {
        assert_eq!(retry.body.len(), size);
    }
}

// Guards against executing a retry while the first request is still in progress.
#[tokio::test]
async fn a_retry_during_the_first_request_is_refused_as_unknown() {
    let target = Target::start(&[Script::Pause(300, b"", HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let address = entry.addresses().requests;
    let key = issue_key(address).await;
    let first = tokio::spawn(exchange(address, keyed_request("/claims", &key)));
    eventually("the request arrives", || async { target.received() == 1 }).await;
    let retry = send(&entry, "/claims", &key).await;
    assert_eq!((retry.status.as_u16(), retry.outcome()), (409, Some("unknown")));
    assert_eq!(first.await.unwrap().unwrap().status, StatusCode::CREATED);
    assert_eq!(target.received(), 1);
}

// Guards against a key that cannot be used again after a request that was not run.
#[tokio::test]
async fn a_key_can_be_used_again_after_not_run() {
    let shed = Script::Send(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    let scripts = Box::leak(Box::new([shed, Script::Send(HELLO)]));
    let target = Target::start(scripts).await;
    let text = document("shed_status = 503", &[target.address]) + "[limits]\nmax_attempts = 1\n";
    let platform = Platform::start(1, &text).await;
    let entry = entry("vm-1", &platform, "").await;
    let key = issue_key(entry.addresses().requests).await;
    let first = send(&entry, "/claims", &key).await;
    assert_eq!((first.status.as_u16(), first.outcome()), (503, Some("not-run")));
    assert_eq!(send(&entry, "/claims", &key).await.status, StatusCode::CREATED);
}

// Guards against accepting a forged key.
#[tokio::test]
async fn a_forged_key_is_refused() {
    let target = Target::start(&[Script::Send(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let key = issue_key(entry.addresses().requests).await;
    let (front, code) = key.rsplit_once('/').unwrap();
    let code = u64::from_str_radix(code, 16).unwrap() ^ 1;
    let response = send(&entry, "/claims", &format!("{front}/{code:016x}")).await;
    assert_eq!((response.status.as_u16(), response.outcome()), (400, Some("not-run")));
    assert_eq!(target.received(), 0);
}

// Guards against two VMs that each run a request with the same key, and against changing the
// response to a forwarded request.
#[tokio::test]
async fn another_vm_forwards_to_the_owner() {
    let target = Target::start(&[Script::Send(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let (a, b) = start_pair(&platform).await;
    let key = issue_key(a.addresses().requests).await;
    for entry in [&b, &a, &b] {
        let response = send(entry, "/claims", &key).await;
        assert_eq!((response.status, &response.body[..]), (StatusCode::CREATED, &b"hello"[..]));
        assert_eq!(response.headers["x-claim"], "7");
    }
    assert_eq!(target.received(), 1);
    let (operators, forwarded) = (b.addresses().operators, "entry_requests_forwarded_total");
    assert_eq!(metric(operators, forwarded).await, 2);
    // The outcome header of a refusal by the owner is forwarded to the client.
    let response = send(&b, "/other", &key).await;
    assert_eq!((response.status.as_u16(), response.outcome()), (409, Some("unknown")));
}

// Guards against a second execution after the VM that ran the first request has died.
#[tokio::test]
async fn the_key_of_a_dead_vm_is_unknown() {
    let target = Target::start(&[Script::Send(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let (a, b) = start_pair(&platform).await;
    let key = issue_key(a.addresses().requests).await;
    assert_eq!(send(&a, "/claims", &key).await.status, StatusCode::CREATED);
    a.kill().await;
    let response = send(&b, "/claims", &key).await;
    assert_eq!((response.status.as_u16(), response.outcome()), (502, Some("unknown")));
    assert_eq!(target.received(), 1);
}

// Guards against entry VMs that forward a request in an endless loop.
#[tokio::test]
async fn the_number_of_forwards_is_limited() {
    let target = Target::start(&[Script::Send(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let (a, b) = start_pair(&platform).await;
    let key = issue_key(a.addresses().requests).await;
    let mut req = keyed_request("/claims", &key);
    req.headers_mut().insert("jasminecart-forwarded", HeaderValue::from_static("2"));
    let response = exchange(b.addresses().requests, req).await.unwrap();
    assert_eq!((response.status.as_u16(), response.outcome()), (502, Some("unknown")));
    assert_eq!(target.received(), 0);
}

// Guards against losing the records of used keys in a planned stop (I5, I7).
#[tokio::test]
async fn the_successor_of_a_stopped_vm_owns_its_keys() {
    let target = Target::start(&[Script::Send(HELLO)]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let (a, b) = start_pair(&platform).await;
    let address = a.addresses().requests;
    let (used, unused) = (issue_key(address).await, issue_key(address).await);
    assert_eq!(send(&a, "/claims", &used).await.status, StatusCode::CREATED);
    let report = a.stop().await;
    assert!(report.drained, "{report:?}");
    let retry = send(&b, "/claims", &used).await;
    assert_eq!((retry.status.as_u16(), retry.outcome()), (409, Some("unknown")));
    assert_eq!(send(&b, "/claims", &unused).await.status, StatusCode::CREATED);
    assert_eq!(target.received(), 2);
}
