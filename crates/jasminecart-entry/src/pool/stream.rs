//! A TCP stream that counts the bytes written, and that the pool can close against further writes.

use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The part of a connection that hyper's task and the pool share.
#[derive(Debug)]
pub(super) struct StreamState {
    stream: TcpStream,
    written: Mutex<WriteState>,
}

#[derive(Debug, Default)]
struct WriteState {
    bytes: u64,
    closed: bool,
}

impl StreamState {
    /// Returns how many bytes were handed to the operating system for sending.
    pub(super) fn written(&self) -> u64 {
        self.lock().bytes
    }

    /// Closes the connection, forbids further writes and returns how many bytes were written
    /// before. The task of the connection may run on another thread, so the count proves that a
    /// request was not sent only after writes are forbidden.
    pub(super) fn close(&self) -> u64 {
        let written = {
            let mut state = self.lock();
            state.closed = true;
            state.bytes
        };
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
        written
    }

    /// Returns whether the stream is open and has no bytes to read. On an idle HTTP/1 connection,
    /// bytes to read belong to an unsolicited or late response.
    pub(super) fn has_no_input(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.stream).peek(&mut buf);
        peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Returns whether no close from the target has been seen. A close that follows unread bytes is
    /// not seen yet.
    pub(super) fn is_open(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut buf) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, WriteState> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, f: impl FnOnce() -> io::Result<usize>) -> io::Result<usize> {
        let mut state = self.lock();
        if state.closed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let count = f()?;
        state.bytes += count as u64;
        Ok(count)
    }
}

/// The side of the stream that hyper reads and writes.
#[derive(Debug)]
pub(super) struct CountingStream(Arc<StreamState>);

impl CountingStream {
    pub(super) fn new(stream: TcpStream) -> (CountingStream, Arc<StreamState>) {
        let state = Arc::new(StreamState { stream, written: Mutex::default() });
        (CountingStream(state.clone()), state)
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.write(|| write(&self.0.stream)) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl Drop for CountingStream {
    /// Closes the connection when hyper drops it, also if a [`super::PooledConnection`] still holds
    /// its state.
    fn drop(&mut self) {
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Both);
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
