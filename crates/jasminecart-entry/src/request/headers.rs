//! Headers of requests and answers.

use http::header::{
    CONNECTION, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRANSFER_ENCODING,
    UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// The remaining time of a request in milliseconds.
pub const DEADLINE_HEADER: &str = "jasminecart-deadline-ms";
/// The idempotency key of a request.
pub const KEY_HEADER: &str = "idempotency-key";
/// The tenant of a request.
pub const TENANT_HEADER: &str = "jasminecart-tenant";
/// What is known of a refused request: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "jasminecart-outcome";
/// How often entry VMs forwarded a request to the VM that decides about its key.
pub const FORWARDED_HEADER: &str = "jasminecart-forwarded";
/// The path at which `POST` issues an idempotency key.
pub const KEYS_PATH: &str = "/.well-known/jasminecart/keys";

const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that concern one connection only (RFC 9110, section 7.6.1).
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Prepares the headers of a request for a target. `expect` is answered by this process when it reads the
/// body, and a client must not claim to be another entry VM.
pub(crate) fn prepare_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.remove(FORWARDED_HEADER);
}

/// Prepares the headers of a target's answer. Only jasminecart itself states an outcome.
pub(crate) fn prepare_answer(headers: &mut HeaderMap, from_entry_vm: bool) {
    remove_hop_by_hop(headers);
    if !from_entry_vm {
        headers.remove(OUTCOME_HEADER);
    }
}

/// Sets a header to a number.
pub(crate) fn set_number(headers: &mut HeaderMap, name: &'static str, number: u64) {
    headers.insert(name, HeaderValue::from(number));
}
