//! A connection of the pool that is checked out for one request.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};

use super::stream::StreamState;
use super::{Pool, SendFailure, TargetBody, Version, is_refused_stream};

/// An HTTP/1.1 connection, which carries one request at a time.
#[derive(Debug)]
pub(super) struct Http1Connection {
    pub(super) sender: http1::SendRequest<TargetBody>,
    pub(super) state: Arc<StreamState>,
}

impl Http1Connection {
    /// Returns whether the connection is open, has finished the previous request and has no bytes
    /// to read.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.state.has_no_input()
    }
}

/// An HTTP/2 connection, which carries many requests at a time.
#[derive(Clone, Debug)]
pub(super) struct Http2Connection {
    pub(super) sender: http2::SendRequest<TargetBody>,
    pub(super) state: Arc<StreamState>,
}

impl Http2Connection {
    /// Returns whether the connection is open and accepts another request. Unlike on HTTP/1, bytes
    /// to read are no reason against it, because the target may send a frame at any time.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.state.is_open()
    }

    pub(super) fn is_same(&self, other: &Http2Connection) -> bool {
        Arc::ptr_eq(&self.state, &other.state)
    }
}

#[derive(Debug)]
enum Connection {
    Http1(Http1Connection),
    Http2(Http2Connection),
}

/// A connection that is checked out for one request. Dropping this value closes an HTTP/1
/// connection, so that a late response cannot be taken for that of another request. Only
/// [`PooledConnection::release`] returns the connection to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pool: Arc<Pool>,
    address: SocketAddr,
    connection: Option<Connection>,
    written_before: u64,
}

impl PooledConnection {
    pub(super) fn http1(
        pool: Arc<Pool>,
        address: SocketAddr,
        connection: Http1Connection,
    ) -> PooledConnection {
        let written_before = connection.state.written();
        let connection = Some(Connection::Http1(connection));
        PooledConnection { pool, address, connection, written_before }
    }

    pub(super) fn http2(
        pool: Arc<Pool>,
        address: SocketAddr,
        connection: Http2Connection,
    ) -> PooledConnection {
        PooledConnection {
            pool,
            address,
            connection: Some(Connection::Http2(connection)),
            written_before: 0,
        }
    }

    pub(crate) fn version(&self) -> Version {
        match self.connection {
            Some(Connection::Http2(_)) => Version::Http2,
            _ => Version::Http1,
        }
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        req: Request<TargetBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        match self.connection.as_mut() {
            Some(Connection::Http1(connection)) => {
                let sent = connection.sender.try_send_request(req).await;
                sent.map_err(|e| match e.message().is_some() {
                    true => SendFailure::NotSent,
                    false => self.abandon(),
                })
            }
            Some(Connection::Http2(connection)) => {
                let sent = connection.sender.try_send_request(req).await;
                sent.map_err(|e| match e.message().is_some() {
                    true => SendFailure::NotSent,
                    false if is_refused_stream(e.error()) => SendFailure::StreamRefused,
                    false => SendFailure::Broken,
                })
            }
            None => Err(SendFailure::NotSent),
        }
    }

    /// Abandons the request and returns whether it may have run. An HTTP/1 connection is closed. On
    /// HTTP/2, dropping the request resets its stream, and it may have run since the target did not
    /// refuse it.
    pub(crate) fn abandon(&mut self) -> SendFailure {
        match self.connection.take() {
            Some(Connection::Http1(connection)) => {
                match connection.state.close() == self.written_before {
                    true => SendFailure::NotSent,
                    false => SendFailure::Broken,
                }
            }
            Some(Connection::Http2(_)) => SendFailure::Broken,
            None => SendFailure::Broken,
        }
    }

    /// Abandons the request because it made no progress, and excludes the connection from further
    /// use.
    pub(crate) fn abandon_silent(&mut self) -> SendFailure {
        crate::metrics::increment(&self.pool.metrics.counters.target_connections_silent);
        if let Some(Connection::Http2(connection)) = &self.connection {
            self.pool.remove_shared(self.address, connection);
        }
        self.abandon()
    }

    /// Returns the connection to the pool after a complete response. It is not reused if it is
    /// still sending its request or the target asked to close it.
    pub(crate) fn release(mut self) {
        let Some(Connection::Http1(connection)) = self.connection.take() else { return };
        let (pool, address) = (self.pool.clone(), self.address);
        let tasks = pool.tasks.clone();
        tasks.spawn(async move {
            let mut connection = connection;
            let ready = connection.sender.ready();
            if let Ok(Ok(())) = tokio::time::timeout(pool.limits.connect_within, ready).await {
                pool.put_idle(address, connection);
            }
        });
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.abandon();
    }
}
