//! The page that explains where the packets of a flow go.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use jasminecart_core::flow::token::{Explanation, FlowId, RoutingToken};
use jasminecart_core::time::Millis;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::daemon::Command;

/// How long the page waits for the main loop. The command line gives up after 5 s.
const MAIN_LOOP_TIMEOUT: Duration = Duration::from_secs(3);
const USAGE: &str = "ask for /explain?client=IP:PORT&service=IP:PORT with IPv4 addresses, and optionally \
                     &token=HEX (32 bits, not zero) and &format=json or &format=text";

/// A valid query of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// The flow to explain.
    pub flow: FlowId,
    /// The token that its packets carry.
    pub token: Option<RoutingToken>,
    /// Whether the response is JSON instead of text.
    pub json: bool,
}

impl Query {
    /// Parses the query of a URL.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the query, in words.
    pub fn parse(query: &str) -> Result<Query, String> {
        let (mut client, mut service, mut token, mut json) = (None, None, None, None);
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (key, value) = part.split_once('=').unwrap_or((part, ""));
            let value = value.replace("%3A", ":").replace("%3a", ":");
            let invalid = || format!("{key}={value} is invalid; {USAGE}");
            let repeated = match key {
                "client" => client.replace(parse_address(&value).ok_or_else(invalid)?).is_some(),
                "service" => service.replace(parse_address(&value).ok_or_else(invalid)?).is_some(),
                "token" => token.replace(parse_token(&value).ok_or_else(invalid)?).is_some(),
                "format" => json.replace(parse_format(&value).ok_or_else(invalid)?).is_some(),
                _ => return Err(format!("unknown parameter {key}; {USAGE}")),
            };
            if repeated {
                return Err(format!("{key} is given twice; {USAGE}"));
            }
        }
        let missing = |name: &str| format!("{name} is missing; {USAGE}");
        let client = client.ok_or_else(|| missing("client"))?;
        let service = service.ok_or_else(|| missing("service"))?;
        Ok(Query { flow: FlowId { client, service }, token, json: json.unwrap_or(false) })
    }
}

fn parse_address(text: &str) -> Option<SocketAddrV4> {
    text.parse().ok()
}

/// Parses a token in hexadecimal, with or without `0x`.
fn parse_token(text: &str) -> Option<RoutingToken> {
    let digits = text.strip_prefix("0x").unwrap_or(text);
    let valid = digits.len() <= 8 && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    RoutingToken::from_wire(u32::from_str_radix(digits, 16).ok().filter(|_| valid)?)
}

fn parse_format(text: &str) -> Option<bool> {
    match text {
        "json" => Some(true),
        "text" => Some(false),
        _ => None,
    }
}

/// What one VM explains about a flow.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// The VM.
    pub(crate) vm: String,
    /// Why the VM is not ready, if it is not.
    pub(crate) not_ready: Option<NotReady>,
    /// Where the VM gets routes and targets from.
    pub(crate) source: &'static str,
    /// The revision of the store up to which this VM's view is complete.
    pub(crate) revision: String,
    /// The time since the store or a peer confirmed this VM's view.
    pub(crate) view_ms_ago: Millis,
    #[serde(flatten)]
    pub(crate) explanation: Explanation,
}

/// Why a VM is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum NotReady {
    /// It has no routes or targets yet.
    NotLoaded,
    /// Nobody confirmed its routes and targets within `fresh_within`.
    Stale,
    /// It stops.
    Stopping,
}

impl fmt::Display for NotReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotReady::NotLoaded => "it has no routes or targets yet",
            NotReady::Stale => "its routes and targets were not confirmed recently",
            NotReady::Stopping => "it stops",
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "VM {}: ", self.vm)?;
        match self.not_ready {
            Some(cause) => write!(f, "not ready ({cause})")?,
            None => f.write_str("ready")?,
        }
        let (source, revision, age) = (self.source, &self.revision, self.view_ms_ago.get());
        writeln!(f, ", source {source}, complete to revision {revision}, confirmed {age} ms ago")?;
        write!(f, "{}", self.explanation)
    }
}

/// Responds to a request for the page. The status is 400 for an invalid query, 404 for an unknown route and 503 if the
/// VM is not ready or its main loop does not respond.
pub(crate) async fn respond(
    query: &str,
    commands: &mpsc::Sender<Command>,
) -> Response<Full<Bytes>> {
    let query = match Query::parse(query) {
        Ok(query) => query,
        Err(problem) => return text(StatusCode::BAD_REQUEST, problem),
    };
    let (reply, report) = oneshot::channel();
    let Query { flow, token, json } = query;
    let asked = async {
        commands.send(Command::Explain { flow, token, reply }).await.ok()?;
        report.await.ok()
    };
    let Ok(Some(report)) = tokio::time::timeout(MAIN_LOOP_TIMEOUT, asked).await else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "the main loop does not respond".to_owned());
    };
    let status = match (report.not_ready, &report.explanation.route) {
        (Some(_), _) => StatusCode::SERVICE_UNAVAILABLE,
        (None, None) => StatusCode::NOT_FOUND,
        (None, Some(_)) => StatusCode::OK,
    };
    if !json {
        return text(status, report.to_string());
    }
    match serde_json::to_vec(&report) {
        Ok(body) => page(status, "application/json", body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    page(status, "text/plain; charset=utf-8", body.into_bytes())
}

fn page(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
