//! Responses that this process creates itself.

use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use jasminecart_core::request::{IssuedKey, Refusal, RefusalReason, RunState};

use super::body::ResponseBody;
use super::headers::{KEY_HEADER, OUTCOME_HEADER};

/// Returns the value of the outcome header.
pub(crate) fn outcome_value(state: RunState) -> &'static str {
    match state {
        RunState::NotRun => "not-run",
        RunState::Unknown => "unknown",
    }
}

/// Creates a plain-text response with the outcome header. A client may send the request again after
/// 1 s when the cause is temporary and no target ran it.
pub(crate) fn plain_text(
    status: StatusCode,
    state: RunState,
    text: &str,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(format!("{text}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome_value(state)));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    let temporary = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    if state == RunState::NotRun && temporary.contains(&status) {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Creates the response to a request that the dispatcher refused.
pub(crate) fn refusal(refusal: Refusal) -> Response<ResponseBody> {
    let (status, text) = status_and_text(refusal.reason);
    plain_text(status, refusal.state, text)
}

fn status_and_text(reason: RefusalReason) -> (StatusCode, &'static str) {
    use StatusCode as S;
    match reason {
        RefusalReason::NotReady => (S::SERVICE_UNAVAILABLE, "this entry VM takes no requests now"),
        RefusalReason::NoService => (S::NOT_FOUND, "there is no service with this host name"),
        RefusalReason::NoTarget => (S::SERVICE_UNAVAILABLE, "no target of the service takes work"),
        RefusalReason::Overload => (S::SERVICE_UNAVAILABLE, "the service is overloaded"),
        RefusalReason::TenantLimit => (S::TOO_MANY_REQUESTS, "the tenant is above its limits"),
        RefusalReason::Deadline => (S::GATEWAY_TIMEOUT, "the deadline of the request passed"),
        RefusalReason::Shed => (S::SERVICE_UNAVAILABLE, "the targets did not run the request"),
        RefusalReason::AttemptFailed => (S::BAD_GATEWAY, "the attempt at the target failed"),
        RefusalReason::KeyOwnerLost => {
            (S::BAD_GATEWAY, "the entry VM that issued the idempotency key cannot be reached")
        }
        RefusalReason::KeyUsed => {
            (S::CONFLICT, "a request with this idempotency key is in progress or has run")
        }
        RefusalReason::KeyInvalid => {
            (S::BAD_REQUEST, "the idempotency key was not issued by this environment")
        }
    }
}

/// Creates a response with an issued key, in the body and in the header in which a request carries
/// it.
pub(crate) fn issued_key(key: &IssuedKey) -> Response<ResponseBody> {
    let text = key.to_string();
    let mut response = Response::new(ResponseBody::full(text.clone()));
    *response.status_mut() = StatusCode::CREATED;
    if let Ok(value) = HeaderValue::try_from(text) {
        response.headers_mut().insert(KEY_HEADER, value);
    }
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
