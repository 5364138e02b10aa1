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

/// Requests a path from the operators' listener and returns the body of the response.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<String> {
    let no_response = |cause: String| Error::NoResponse { address, cause };
    let response = tokio::time::timeout(TIMEOUT, fetch(address, path)).await;
    let (status, text) = response
        .map_err(|_| no_response(format!("timed out after {} s", TIMEOUT.as_secs())))?
        .map_err(|error| no_response(error.to_string()))?;
    if status == 200 { Ok(text) } else { Err(Error::UnexpectedStatus { address, status, text }) }
}

type Cause = Box<dyn std::error::Error + Send + Sync>;

async fn fetch(address: SocketAddr, path: &str) -> std::result::Result<(u16, String), Cause> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let req = Request::get(path).header("host", address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(req).await?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
    driver.abort();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
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
