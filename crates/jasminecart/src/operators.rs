//! An HTTP client for the operators' listener.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::errors::{Error, Result};

/// The timeout of a request. The listener responds from memory.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response of the operators' listener.
#[derive(Debug)]
pub(crate) struct Page {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) text: String,
}

/// Requests a path from the operators' listener and returns the body of the response, which has to have status 200.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<String> {
    let Page { status, text, .. } = fetch_page(address, path).await?;
    if status == 200 { Ok(text) } else { Err(Error::UnexpectedStatus { address, status, text }) }
}

/// Requests a path from the operators' listener and returns the response, whatever its status.
pub(crate) async fn fetch_page(address: SocketAddr, path: &str) -> Result<Page> {
    let no_response = |cause: String| Error::NoResponse { address, cause };
    let response = tokio::time::timeout(TIMEOUT, fetch(address, path)).await;
    response
        .map_err(|_| no_response(format!("timed out after {} s", TIMEOUT.as_secs())))?
        .map_err(|error| no_response(error.to_string()))
}

type Cause = Box<dyn std::error::Error + Send + Sync>;

async fn fetch(address: SocketAddr, path: &str) -> std::result::Result<Page, Cause> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let req = Request::get(path).header("host", address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(req).await?;
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type");
    let content_type = content_type.map(|value| String::from_utf8_lossy(value.as_bytes()).into());
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
    driver.abort();
    Ok(Page { status, content_type, text: String::from_utf8_lossy(&body).into_owned() })
}

/// Percent-encodes a value for the query of a URL.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~:,/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
