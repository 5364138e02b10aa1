//! A client of the operators' listener.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::errors::{Error, Result};

/// The longest wait for an answer. The listener answers from memory.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The largest answer read, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// Reads a page of the operators' listener.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<String> {
    let no_answer = |cause: String| Error::NoAnswer { address, cause };
    let answer = tokio::time::timeout(TIMEOUT, fetch(address, path)).await;
    let (status, text) = answer
        .map_err(|_| no_answer(format!("timed out after {} s", TIMEOUT.as_secs())))?
        .map_err(|error| no_answer(error.to_string()))?;
    if status == 200 { Ok(text) } else { Err(Error::Refused { address, status, text }) }
}

type Cause = Box<dyn std::error::Error + Send + Sync>;

async fn fetch(address: SocketAddr, path: &str) -> std::result::Result<(u16, String), Cause> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let req = Request::get(path).header("host", address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(req).await?;
    let status = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await?.to_bytes();
    driver.abort();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Escapes a value for the query of a URL.
pub(crate) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~:,/".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
