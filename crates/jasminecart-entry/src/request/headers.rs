//! Headers of requests and responses.

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
/// Whether a target may have run a refused request: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "jasminecart-outcome";
/// How many times entry VMs have forwarded a request to the owner of its key.
pub const FORWARDED_HEADER: &str = "jasminecart-forwarded";
/// The path at which a `POST` issues an idempotency key.
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

/// Removes the hop-by-hop headers, also those named by `connection` (RFC 9110, section 7.6.1).
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Prepares the headers of a client's request for a target. `expect` is removed because this
/// process itself sends the interim response when it reads the body. The forwarding header is
/// removed because only entry VMs may set it.
pub(crate) fn prepare_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.remove(FORWARDED_HEADER);
}

/// Prepares the headers of a response for the client. Only entry VMs may set the outcome header, so
/// it is removed from the response of a target.
pub(crate) fn prepare_response(headers: &mut HeaderMap, from_entry_vm: bool) {
    remove_hop_by_hop(headers);
    if !from_entry_vm {
        headers.remove(OUTCOME_HEADER);
    }
}

pub(crate) fn insert_number(headers: &mut HeaderMap, name: &'static str, number: u64) {
    headers.insert(name, HeaderValue::from(number));
}
