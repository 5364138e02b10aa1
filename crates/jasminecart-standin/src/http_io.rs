//! HTTP plumbing that the platform, the request targets and the clients share.

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

/// The largest body that a stand-in reads, in bytes. Uploads of the demo are far smaller.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, Infallible>;
/// A handler's decision to break the connection instead of answering.
#[derive(Debug, thiserror::Error)]
#[error("the connection is broken on purpose")]
pub(crate) struct Break;

/// Returns a whole body.
pub(crate) fn full(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed()
}

/// Reads a whole body. Returns `None` when it broke off or is too large.
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    let limited = Limited::new(body, MAX_BODY_BYTES);
    limited.collect().await.ok().map(|collected| collected.to_bytes())
}

/// Serves HTTP/1.1 and HTTP/2 with prior knowledge on a loopback socket until the handle is dropped. The
/// handler gets the number of the connection, counted from 0, with each request.
pub(crate) async fn serve<F, R>(handler: F) -> Result<(SocketAddr, AbortOnDropHandle<()>)>
where
    F: Fn(u64, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = std::result::Result<Response<Body>, Break>> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handler));
    Ok((address, AbortOnDropHandle::new(task)))
}

async fn accept<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(u64, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = std::result::Result<Response<Body>, Break>> + Send + 'static,
{
    // Connections end with this task, because dropping the set aborts them.
    let mut connections = JoinSet::new();
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |req| handler(number, req));
            let builder = auto::Builder::new(TokioExecutor::new());
            // A broken connection is the business of its client.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// The version of HTTP that a client uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// An answer that arrived whole.
#[derive(Debug)]
pub struct Answer {
    /// The status and the headers.
    pub parts: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection was made, so that nothing was sent.
    #[error("no connection was made")]
    NotConnected,
    /// The connection or the answer broke off.
    #[error("the connection broke off")]
    Broken,
}

/// Sends a request on a connection of its own, so that no request meets a kept connection at the moment
/// when its server closes it.
///
/// # Errors
///
/// Returns an error when there is no whole answer.
pub async fn send(
    to: SocketAddr,
    version: Version,
    mut req: Request<Full<Bytes>>,
) -> std::result::Result<Answer, SendError> {
    let stream = TcpStream::connect(to).await.map_err(|_| SendError::NotConnected)?;
    let io = TokioIo::new(stream);
    match version {
        Version::Http1 => {
            // Only a proxy gets the whole URI in HTTP/1.1 (RFC 9112, section 3.2).
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
) -> std::result::Result<Answer, SendError> {
    let (parts, body) = response.map_err(|_| SendError::Broken)?.into_parts();
    let body = read_body(body).await.ok_or(SendError::Broken)?;
    Ok(Answer { parts, body })
}

/// Gets a page over HTTP/1.1.
///
/// # Errors
///
/// Returns an error when there is no whole answer.
pub async fn get(at: SocketAddr, path: &str) -> std::result::Result<Answer, SendError> {
    let uri = format!("http://{at}{path}");
    let req = Request::get(uri).header("host", at.to_string()).body(Full::default());
    send(at, Version::Http1, req.map_err(|_| SendError::NotConnected)?).await
}
