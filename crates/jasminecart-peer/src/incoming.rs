//! Accepts connections from peers, up to a limit.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};
use tonic::codegen::tokio_stream::Stream;
use tonic::transport::server::Connected;

use crate::counters::{Counters, add};

/// The maximum number of open connections. A data centre has up to 105 members, and a peer may hold two
/// connections while it replaces an unresponsive one.
const MAX_CONNECTIONS: usize = 512;

/// Accepts connections, and closes those above [`MAX_CONNECTIONS`] immediately.
#[derive(Debug)]
pub(crate) struct Incoming {
    listener: TcpListener,
    permits: Arc<Semaphore>,
    counters: Arc<Counters>,
    stopped: CancellationToken,
}

impl Incoming {
    /// Creates the stream of connections. Reads on all of them fail once `stopped` is cancelled, because the
    /// transport serves each connection in a separate task that would otherwise keep running.
    pub(crate) fn new(
        listener: TcpListener,
        counters: Arc<Counters>,
        stopped: CancellationToken,
    ) -> Incoming {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        Incoming { listener, permits, counters, stopped }
    }
}

impl Stream for Incoming {
    type Item = io::Result<Connection>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let stream = match ready!(self.listener.poll_accept(cx)) {
                Ok((stream, _)) => stream,
                Err(e) => return Poll::Ready(Some(Err(e))),
            };
            match self.permits.clone().try_acquire_owned() {
                Ok(permit) => {
                    let nodelay = stream.set_nodelay(true);
                    let stopped = Box::pin(self.stopped.clone().cancelled_owned());
                    let connection = Connection { stream, stopped, _permit: permit };
                    return Poll::Ready(Some(nodelay.map(|()| connection)));
                }
                Err(_) => add(&self.counters.received_too_many_connections, 1),
            }
        }
    }
}

/// A connection that counts towards [`MAX_CONNECTIONS`] until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    stopped: Pin<Box<WaitForCancellationFutureOwned>>,
    _permit: OwnedSemaphorePermit,
}

impl Connected for Connection {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stopped.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
