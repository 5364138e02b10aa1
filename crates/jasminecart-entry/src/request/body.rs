//! Bodies of requests and answers, streamed with bounded buffers.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use jasminecart_core::time::Millis;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::pool::TargetBody;

/// Request bodies up to this size are kept whole, so that a retry is possible.
pub(crate) const MAX_KEPT_BODY_BYTES: u64 = 16 << 10;

/// Why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyError {
    /// The client went away or sent a malformed body.
    #[error("the client did not send the whole request body")]
    Client,
    /// The body is larger than the document allows.
    #[error("the request body is larger than max_body")]
    TooLarge,
    /// The answer broke off.
    #[error("the answer broke off before its end")]
    Answer,
}

/// Tells whether a body that has no more frames is complete. Hyper ends an HTTP/2 body without an error when
/// the stream was reset with NO_ERROR, or a GOAWAY with NO_ERROR cut it off, so a short body would look
/// complete. On HTTP/1 hyper reports every early end as an error.
pub(crate) fn is_complete(body: &Incoming, http2: bool) -> bool {
    !http2 || body.is_end_stream()
}

/// What one attempt moves, for its progress deadline.
#[derive(Debug)]
pub(crate) struct Progress {
    clock: Clock,
    last: AtomicU64,
    waiting_for_client: AtomicBool,
}

impl Progress {
    pub(crate) fn new(clock: Clock) -> Arc<Progress> {
        let last = AtomicU64::new(clock.now().get());
        Arc::new(Progress { clock, last, waiting_for_client: AtomicBool::new(false) })
    }

    fn note(&self, waiting_for_client: bool) {
        self.last.store(self.clock.now().get(), Ordering::Relaxed);
        self.waiting_for_client.store(waiting_for_client, Ordering::Relaxed);
    }

    /// Returns when the target has moved nothing for `timeout`. Time in which the client owes the next part
    /// of the request body does not count against the target.
    pub(crate) async fn silence(&self, timeout: Millis) {
        loop {
            if self.waiting_for_client.load(Ordering::Relaxed) {
                self.last.store(self.clock.now().get(), Ordering::Relaxed);
            }
            let idle = self.clock.now().since(Millis(self.last.load(Ordering::Relaxed)));
            if idle >= timeout {
                return;
            }
            tokio::time::sleep((timeout - idle).into()).await;
        }
    }
}

/// The body of a request, which may be needed for several attempts.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    /// Kept whole.
    Kept(Bytes),
    /// Streamed from the client.
    Stream(Arc<Upload>),
}

/// A request body that is streamed from the client.
#[derive(Debug)]
pub(crate) struct Upload {
    body: Mutex<Incoming>,
    http2: bool,
    left: AtomicU64,
    started: AtomicBool,
    failure: Mutex<Option<BodyError>>,
}

impl Upload {
    pub(crate) fn new(body: Incoming, http2: bool, max_body: u64) -> Arc<Upload> {
        Arc::new(Upload {
            body: Mutex::new(body),
            http2,
            left: AtomicU64::new(max_body),
            started: AtomicBool::new(false),
            failure: Mutex::new(None),
        })
    }

    /// Returns why the client's side of the body failed.
    pub(crate) fn failure(&self) -> Option<BodyError> {
        *self.failure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poll_frame(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.started.store(true, Ordering::Relaxed);
        let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        let frame = match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            None if is_complete(&body, self.http2) => return Poll::Ready(None),
            None | Some(Err(_)) => Err(BodyError::Client),
            Some(Ok(frame)) => self.admit(frame),
        };
        if let Err(e) = frame {
            *self.failure.lock().unwrap_or_else(PoisonError::into_inner) = Some(e);
        }
        Poll::Ready(Some(frame))
    }

    fn admit(&self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        let left = self.left.load(Ordering::Relaxed);
        let left = left.checked_sub(size).ok_or(BodyError::TooLarge)?;
        self.left.store(left, Ordering::Relaxed);
        Ok(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.lock().unwrap_or_else(PoisonError::into_inner).size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.lock().unwrap_or_else(PoisonError::into_inner).is_end_stream()
    }
}

impl Payload {
    /// Tells whether the body can be sent by another attempt.
    pub(crate) fn is_repeatable(&self) -> bool {
        matches!(self, Payload::Kept(_))
    }

    /// Tells whether the body can be sent now: it is kept, or nothing of it was read yet.
    pub(crate) fn is_available(&self) -> bool {
        match self {
            Payload::Kept(_) => true,
            Payload::Stream(upload) => !upload.started.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn failure(&self) -> Option<BodyError> {
        match self {
            Payload::Kept(_) => None,
            Payload::Stream(upload) => upload.failure(),
        }
    }

    /// Returns the body for one attempt.
    pub(crate) fn body(&self, progress: Arc<Progress>) -> TargetBody {
        match self {
            Payload::Kept(bytes) => {
                Full::new(bytes.clone()).map_err(|never| match never {}).boxed_unsync()
            }
            Payload::Stream(upload) => {
                let upload = upload.clone();
                StreamedBody { upload, progress }.boxed_unsync()
            }
        }
    }
}

#[derive(Debug)]
struct StreamedBody {
    upload: Arc<Upload>,
    progress: Arc<Progress>,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = self.upload.poll_frame(cx);
        self.progress.note(frame.is_pending());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.upload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.size_hint()
    }
}

/// A part of an answer on its way to the client.
#[derive(Debug)]
pub(crate) enum Part {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The end of a complete answer.
    End,
}

/// How many parts of an answer wait for a slow client. A part is at most as large as the read buffer of the
/// connection to the target.
pub(crate) const MAX_WAITING_PARTS: usize = 4;

/// The body of an answer as the client receives it.
#[derive(Debug)]
pub(crate) enum ClientBody {
    /// Known whole.
    Whole(Full<Bytes>),
    /// Streamed from the target. The channel ends without [`Part::End`] when the answer broke off, and the
    /// client then sees a broken connection or stream and never a short complete answer.
    Stream(mpsc::Receiver<Part>),
}

impl ClientBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> ClientBody {
        ClientBody::Whole(Full::new(bytes.into()))
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ClientBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            ClientBody::Stream(parts) => Poll::Ready(match ready!(parts.poll_recv(cx)) {
                Some(Part::Frame(frame)) => Some(Ok(frame)),
                Some(Part::End) => None,
                None => Some(Err(BodyError::Answer)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ClientBody::Whole(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ClientBody::Whole(body) => body.size_hint(),
            ClientBody::Stream(_) => SizeHint::default(),
        }
    }
}
