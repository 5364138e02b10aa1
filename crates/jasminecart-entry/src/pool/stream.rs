//! A TCP stream that counts what was written and can be sealed against further writes.

use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The state of a connection that is shared with its lease.
#[derive(Debug)]
pub(super) struct StreamState {
    stream: TcpStream,
    written: Mutex<Written>,
}

#[derive(Debug, Default)]
struct Written {
    bytes: u64,
    sealed: bool,
}

impl StreamState {
    /// Returns how many bytes the operating system took for sending.
    pub(super) fn written(&self) -> u64 {
        self.lock().bytes
    }

    /// Forbids all further writes and returns how many bytes were written before. The connection task may
    /// run on another thread, so only a sealed stream proves that a request was not sent.
    pub(super) fn seal(&self) -> u64 {
        let written = {
            let mut written = self.lock();
            written.sealed = true;
            written.bytes
        };
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
        written
    }

    /// Tells whether the stream is open and holds no bytes to read. An idle connection with bytes to read
    /// was closed by the target or carries an answer that nobody waits for.
    pub(super) fn is_quiet(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.stream).peek(&mut buf);
        peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Tells whether the target has not closed the stream, as far as this side knows.
    pub(super) fn is_open(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut buf) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Written> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, f: impl FnOnce() -> io::Result<usize>) -> io::Result<usize> {
        let mut written = self.lock();
        if written.sealed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let count = f()?;
        written.bytes += count as u64;
        Ok(count)
    }
}

/// The stream as hyper uses it.
#[derive(Debug)]
pub(super) struct Counted(Arc<StreamState>);

impl Counted {
    pub(super) fn new(stream: TcpStream) -> (Counted, Arc<StreamState>) {
        let state = Arc::new(StreamState { stream, written: Mutex::default() });
        (Counted(state.clone()), state)
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

impl Drop for Counted {
    /// Closes the connection when hyper drops it; the state may live on in a lease.
    fn drop(&mut self) {
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Both);
    }
}

impl AsyncRead for Counted {
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

impl AsyncWrite for Counted {
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
