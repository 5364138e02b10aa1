//! The HTTP server and client that the platform, the request targets and the clients share.

use std::convert::Infallible;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::errors::Result;

/// The largest body that a stand-in reads. Uploads of the demo are far smaller.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The body of a response.
pub(crate) type Body = BoxBody<Bytes, Infallible>;
/// Returned by a handler to close the connection instead of responding.
#[derive(Debug, thiserror::Error)]
#[error("connection closed as an injected fault")]
pub(crate) struct CloseConnection;

/// Returns a body with this content.
pub(crate) fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed()
}

/// Reads a body to its end. Returns `None` when the connection closed before or the body is larger than
/// [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    let limited = Limited::new(body, MAX_BODY_BYTES);
    limited.collect().await.ok().map(|collected| collected.to_bytes())
}

/// Serves HTTP/1.1 and HTTP/2 with prior knowledge on a loopback socket until the handle is dropped. With each
/// request the handler receives the number of its connection, counted from 0.
pub(crate) async fn serve<F, R>(handler: F) -> Result<(SocketAddr, AbortOnDropHandle<()>)>
where
    F: Fn(u64, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = std::result::Result<Response<Body>, CloseConnection>> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handler));
    Ok((address, AbortOnDropHandle::new(task)))
}

async fn accept<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(u64, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = std::result::Result<Response<Body>, CloseConnection>> + Send + 'static,
{
    // Dropping the set aborts the connections, so that they end with this task.
    let mut connections = JoinSet::new();
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |req| handler(number, req));
            let builder = auto::Builder::new(TokioExecutor::new());
            // An error of the connection is reported by the client that has opened it.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// The HTTP version that a client uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// A response that was received completely.
#[derive(Debug)]
pub struct ReceivedResponse {
    /// The status and the headers.
    pub parts: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

/// Why no complete response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection could not be established, so that no request was sent.
    #[error("could not connect")]
    NotConnected,
    /// The connection failed before the response was complete.
    #[error("connection failed before the response was complete")]
    Broken,
}

/// Sends a request on a connection of its own, so that no request is sent on an idle connection at the moment when
/// its server closes it.
///
/// # Errors
///
/// Returns an error when no complete response is received.
pub async fn send(
    to: SocketAddr,
    version: Version,
    mut req: Request<Full<Bytes>>,
) -> std::result::Result<ReceivedResponse, SendError> {
    let stream = TcpStream::connect(to).await.map_err(|_| SendError::NotConnected)?;
    let io = TokioIo::new(stream);
    match version {
        Version::Http1 => {
            // In HTTP/1.1 only requests to a proxy carry the absolute URI (RFC 9112, section 3.2).
            if let Some(path) = req.uri().path_and_query() {
                *req.uri_mut() = path.clone().into();
            }
            let handshake = http1::handshake(io).await;
            let (mut sender, connection) = handshake.map_err(|_| SendError::NotConnected)?;
            let _task = AbortOnDropHandle::new(tokio::spawn(connection));
            collect(sender.send_request(req).await).await
        }
        Version::Http2 => {
            let handshake = http2::handshake(TokioExecutor::new(), io).await;
            let (mut sender, connection) = handshake.map_err(|_| SendError::NotConnected)?;
            let _task = AbortOnDropHandle::new(tokio::spawn(connection));
            collect(sender.send_request(req).await).await
        }
    }
}

async fn collect(
    response: hyper::Result<Response<Incoming>>,
) -> std::result::Result<ReceivedResponse, SendError> {
    let (parts, body) = response.map_err(|_| SendError::Broken)?.into_parts();
    let body = read_body(body).await.ok_or(SendError::Broken)?;
    Ok(ReceivedResponse { parts, body })
}

/// Sends a `GET` request over HTTP/1.1.
///
/// # Errors
///
/// Returns an error when no complete response is received.
pub async fn get(at: SocketAddr, path: &str) -> std::result::Result<ReceivedResponse, SendError> {
    let uri = format!("http://{at}{path}");
    let req = Request::get(uri).header("host", at.to_string()).body(Full::default());
    send(at, Version::Http1, req.map_err(|_| SendError::NotConnected)?).await
}
