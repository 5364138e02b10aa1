//! Connections to targets.
//!
//! This crate has its own pool instead of that of a client library, because three guarantees depend
//! on it: a request is reported as `not-run` only if no byte of it was written, a connection that
//! the target closed while it was idle is not reused, and a response reaches only the attempt whose
//! connection carries it.

mod failure;
mod lease;
mod stream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

pub(crate) use self::failure::{SendFailure, is_refused_stream};
pub(crate) use self::lease::PooledConnection;
use self::lease::{Http1Connection, Http2Connection};
use self::stream::CountingStream;
use crate::metrics::{Metrics, increment};
use crate::request::BodyError;
use crate::tasks::Tasks;

/// The body of a request to a target.
pub(crate) type TargetBody = UnsyncBoxBody<Bytes, BodyError>;

/// The size of the read buffer of a connection, which limits how much is read ahead of a slow
/// client.
const BUFFER_BYTES: usize = 64 << 10;
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;
/// With these values, a connection whose peer vanished without closing it is detected after about
/// 30 s.
const TCP_KEEP_ALIVE_IDLE: Duration = Duration::from_secs(15);
const TCP_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const TCP_KEEP_ALIVE_RETRIES: u32 = 3;
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(10);
const HTTP2_PING_TIMEOUT: Duration = Duration::from_secs(5);

/// The version of HTTP that a target speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Version {
    /// HTTP/1.1, one request at a time on a connection.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Limits of the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    pub(crate) connect_within: Duration,
    pub(crate) keep_idle: Duration,
    pub(crate) max_idle: usize,
}

/// The connections to all targets and, for forwarded requests, to other entry VMs.
#[derive(Debug)]
pub(crate) struct Pool {
    limits: PoolLimits,
    tasks: Tasks,
    metrics: Arc<Metrics>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    shared: Mutex<HashMap<SocketAddr, Http2Connection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Http1Connection,
    since: Instant,
}

impl Pool {
    pub(crate) fn new(limits: PoolLimits, tasks: Tasks, metrics: Arc<Metrics>) -> Arc<Pool> {
        let (idle, shared) = (Mutex::default(), Mutex::default());
        Arc::new(Pool { limits, tasks, metrics, idle, shared })
    }

    /// Returns an idle, shared or new connection on which one request can be sent. An error means
    /// that nothing was sent.
    pub(crate) async fn checkout(
        self: &Arc<Pool>,
        address: SocketAddr,
        version: Version,
    ) -> Result<PooledConnection, SendFailure> {
        let opened = match version {
            Version::Http1 => self.checkout_http1(address).await,
            Version::Http2 => self.checkout_http2(address).await,
        };
        opened.map_err(|_| {
            increment(&self.metrics.counters.target_connect_failed);
            SendFailure::NotSent
        })
    }

    async fn checkout_http1(
        self: &Arc<Pool>,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        let connection = match self.take_idle(address) {
            Some(connection) => {
                increment(&self.metrics.counters.target_connections_reused);
                connection
            }
            None => self.open_http1(address).await?,
        };
        Ok(PooledConnection::http1(self.clone(), address, connection))
    }

    async fn checkout_http2(
        self: &Arc<Pool>,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        let usable = |shared: &&Http2Connection| shared.is_usable();
        let open = lock(&self.shared).get(&address).filter(usable).cloned();
        let connection = match open {
            Some(connection) => {
                increment(&self.metrics.counters.target_connections_reused);
                connection
            }
            None => {
                let connection = self.open_http2(address).await?;
                lock(&self.shared).insert(address, connection.clone());
                connection
            }
        };
        Ok(PooledConnection::http2(self.clone(), address, connection))
    }

    /// Takes the most recently used idle connection. Connections that the target closed, or on
    /// which it sent unsolicited bytes, are dropped.
    fn take_idle(&self, address: SocketAddr) -> Option<Http1Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        while let Some(IdleConnection { connection, since }) = connections.pop() {
            if since.elapsed() >= self.limits.keep_idle {
                continue;
            }
            if connection.is_usable() {
                return Some(connection);
            }
            increment(&self.metrics.counters.target_connections_stale);
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Http1Connection) {
        let mut idle = lock(&self.idle);
        let connections = idle.entry(address).or_default();
        if connections.len() < self.limits.max_idle {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes connections that were idle for `keep_idle`, and drops shared connections that are
    /// unusable.
    pub(crate) fn evict_idle(&self) {
        let keep = self.limits.keep_idle;
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < keep);
            !connections.is_empty()
        });
        lock(&self.shared).retain(|_, connection| connection.is_usable());
    }

    /// Removes a shared connection that made no progress, so that no further request uses it.
    fn remove_shared(&self, address: SocketAddr, connection: &Http2Connection) {
        let mut shared = lock(&self.shared);
        if shared.get(&address).is_some_and(|other| other.is_same(connection)) {
            shared.remove(&address);
        }
    }

    async fn open_http1(&self, address: SocketAddr) -> Result<Http1Connection, ConnectError> {
        let (stream, state) = CountingStream::new(self.connect(address).await?);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake::<_, TargetBody>(TokioIo::new(stream))
            .await?;
        self.tasks.spawn(async move {
            let _ = connection.await;
        });
        Ok(Http1Connection { sender, state })
    }

    async fn open_http2(&self, address: SocketAddr) -> Result<Http2Connection, ConnectError> {
        let (stream, state) = CountingStream::new(self.connect(address).await?);
        let (sender, connection) = http2::Builder::new(self.tasks.clone())
            .timer(TokioTimer::new())
            .initial_stream_window_size(HTTP2_WINDOW_BYTES)
            .keep_alive_interval(HTTP2_PING_INTERVAL)
            .keep_alive_timeout(HTTP2_PING_TIMEOUT)
            .handshake::<_, TargetBody>(TokioIo::new(stream))
            .await?;
        self.tasks.spawn(async move {
            let _ = connection.await;
        });
        Ok(Http2Connection { sender, state })
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, ConnectError> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.limits.connect_within, connect).await??;
        stream.set_nodelay(true)?;
        let keep_alive = TcpKeepalive::new()
            .with_time(TCP_KEEP_ALIVE_IDLE)
            .with_interval(TCP_KEEP_ALIVE_INTERVAL)
            .with_retries(TCP_KEEP_ALIVE_RETRIES);
        SockRef::from(&stream).set_tcp_keepalive(&keep_alive)?;
        increment(&self.metrics.counters.target_connections);
        Ok(stream)
    }
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("connecting to the target did not finish within connect_within")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
