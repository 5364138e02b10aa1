//! Contract tests of the request listener: what a client learns, and what a target receives.

mod support;

use http::StatusCode;
use support::{Platform, Script, Target, document, entry, exchange, exchange2, request};
use test_case::test_case;

// Guards against a path through the daemon that does not work at all, for both versions of HTTP.
#[test_case(false; "HTTP/1.1")]
#[test_case(true; "HTTP/2")]
#[tokio::test]
async fn a_request_reaches_its_target(http2: bool) {
    let target = Target::start(&[Script::Echo]).await;
    let platform = Platform::start(1, &document("", &[target.address])).await;
    let entry = entry("vm-1", &platform, "").await;
    let (address, req) = (entry.addresses().requests, request("POST", "/claims", "a claim"));
    let answer = match http2 {
        true => exchange2(address, req).await,
        false => exchange(address, req).await,
    };
    let answer = answer.unwrap();
    assert_eq!((answer.status, &answer.body[..]), (StatusCode::OK, &b"a claim"[..]));
    assert_eq!(target.received(), 1);
}
