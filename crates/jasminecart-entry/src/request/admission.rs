//! Checks of a request before it is submitted for dispatch.

use std::sync::Arc;

use http::request::Parts;
use http::{Method, StatusCode, Version};
use jasminecart_core::names::Name;
use jasminecart_core::request::{IssuedKey, RequestId, RequestMeta, RunState};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Document, Service};
use thiserror::Error;

use super::headers::{DEADLINE_HEADER, KEY_HEADER, TENANT_HEADER};

/// Why a request is refused before dispatch. No target has run such a request, so every response
/// states `not-run`. The texts are sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum AdmissionError {
    #[error("this entry VM has no document yet")]
    NoDocument,
    #[error("HTTP/1.0 is not supported, because a broken answer would look complete")]
    UnsupportedVersion,
    #[error("the method {0} is not supported")]
    UnsupportedMethod(Method),
    #[error("the request names no host")]
    MissingHost,
    #[error("there is no service with the host name {0:?}")]
    UnknownHost(String),
    #[error("the header {0} appears more than once or is not text")]
    MalformedHeader(&'static str),
    #[error("the header jasminecart-deadline-ms is not a number of milliseconds")]
    MalformedDeadline,
    #[error("the deadline of the request passed")]
    DeadlinePassed,
    #[error("the header jasminecart-tenant is not a name")]
    MalformedTenant,
    #[error(transparent)]
    Key(#[from] jasminecart_core::request::KeyError),
    #[error("the request body is larger than {0} bytes")]
    BodyTooLarge(u64),
    #[error("too many requests are in progress")]
    TooManyRequests,
    #[error("the request body did not arrive before the deadline")]
    BodyTimeout,
}

impl AdmissionError {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            AdmissionError::NoDocument | AdmissionError::TooManyRequests => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            AdmissionError::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            AdmissionError::UnsupportedMethod(_) => StatusCode::NOT_IMPLEMENTED,
            AdmissionError::UnknownHost(_) => StatusCode::NOT_FOUND,
            AdmissionError::DeadlinePassed | AdmissionError::BodyTimeout => {
                StatusCode::GATEWAY_TIMEOUT
            }
            AdmissionError::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            AdmissionError::MissingHost
            | AdmissionError::MalformedHeader(_)
            | AdmissionError::MalformedDeadline
            | AdmissionError::MalformedTenant
            | AdmissionError::Key(_) => StatusCode::BAD_REQUEST,
        }
    }

    /// Creates the response to the refused request.
    pub(crate) fn response(&self) -> http::Response<super::body::ResponseBody> {
        super::reply::plain_text(self.status(), RunState::NotRun, &self.to_string())
    }
}

/// A request that passed the checks and may be submitted for dispatch.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) document: Arc<Document>,
    pub(crate) service: Service,
    pub(crate) meta: RequestMeta,
}

/// Checks the version, method and host of a request against the document, and parses its headers.
pub(crate) fn admit(
    now: Millis,
    id: RequestId,
    document: Option<Arc<Document>>,
    parts: &Parts,
) -> Result<Admitted, AdmissionError> {
    let document = document.ok_or(AdmissionError::NoDocument)?;
    if parts.version < Version::HTTP_11 {
        return Err(AdmissionError::UnsupportedVersion);
    }
    if parts.method == Method::CONNECT {
        return Err(AdmissionError::UnsupportedMethod(parts.method.clone()));
    }
    let host = host(parts)?;
    let service = document.service_for_host(&host).ok_or(AdmissionError::UnknownHost(host))?;
    let service = service.clone();
    let class = document.class_of(&service, parts.uri.path());
    let (class, default_deadline) = match class {
        Some(class) => (class.name.clone(), class.default_deadline),
        None => (Name::new("default"), Millis::from_secs(30)),
    };
    let remaining = remaining_time(parts, default_deadline)?;
    let meta = RequestMeta {
        id,
        service: service.name.clone(),
        class,
        tenant: tenant(&document, parts)?,
        deadline: now + remaining,
        idempotent: is_idempotent(&parts.method),
        repeatable: false,
        key: single_header(parts, KEY_HEADER)?.map(IssuedKey::parse).transpose()?,
    };
    Ok(Admitted { document, service, meta })
}

/// Returns the value of a header that may appear at most once.
fn single_header<'a>(
    parts: &'a Parts,
    name: &'static str,
) -> Result<Option<&'a str>, AdmissionError> {
    let mut values = parts.headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| AdmissionError::MalformedHeader(name))?;
    match values.next() {
        Some(_) => Err(AdmissionError::MalformedHeader(name)),
        None => Ok(Some(text.trim())),
    }
}

/// Returns the host of a request without its port. The target URI takes precedence over the header
/// (RFC 9112, section 3.2.2).
fn host(parts: &Parts) -> Result<String, AdmissionError> {
    let authority = match parts.uri.authority() {
        Some(authority) => authority.as_str(),
        None => single_header(parts, "host")?.ok_or(AdmissionError::MissingHost)?,
    };
    let authority = authority.rsplit('@').next().unwrap_or(authority);
    let host = match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    };
    if host.is_empty() { Err(AdmissionError::MissingHost) } else { Ok(host.to_lowercase()) }
}

/// Returns the time left until the deadline. A client may shorten the default deadline of the
/// request class but not extend it, because a planned stop waits for the longest deadline of the
/// document.
fn remaining_time(parts: &Parts, default_deadline: Millis) -> Result<Millis, AdmissionError> {
    let Some(text) = single_header(parts, DEADLINE_HEADER)? else { return Ok(default_deadline) };
    let requested: u64 = text.parse().map_err(|_| AdmissionError::MalformedDeadline)?;
    match requested {
        0 => Err(AdmissionError::DeadlinePassed),
        _ => Ok(Millis(requested).min(default_deadline)),
    }
}

/// Returns the tenant of a request. A tenant that is not in the document is mapped to `default`, so
/// that clients cannot create tenants.
fn tenant(document: &Document, parts: &Parts) -> Result<Name, AdmissionError> {
    let Some(text) = single_header(parts, TENANT_HEADER)? else { return Ok(Name::new("default")) };
    let tenant = Name::parse(text).ok_or(AdmissionError::MalformedTenant)?;
    let known = document.tenants().contains_key(&tenant);
    Ok(if known { tenant } else { Name::new("default") })
}

fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}
