//! Bodies of requests and responses, streamed with bounded buffers.

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

/// Request bodies up to this size in bytes are buffered whole, so that a retry can send them again.
pub(crate) const MAX_BUFFERED_BODY_BYTES: u64 = 16 << 10;

/// Why a body ended early. The texts for request bodies are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyError {
    /// The client disconnected, reset its stream or sent a malformed body.
    #[error("the client did not send the whole request body")]
    Client,
    /// The request body exceeds `max_body` of the document.
    #[error("the request body is larger than max_body")]
    TooLarge,
    /// The response ended before it was complete.
    #[error("the response ended before it was complete")]
    Response,
}

/// Returns whether a body that has no more frames is complete. Hyper ends an HTTP/2 body without an
/// error when the stream was reset with NO_ERROR or closed by a GOAWAY with NO_ERROR, so a
/// truncated body would look complete. On HTTP/1 hyper reports every early end as an error.
pub(crate) fn is_complete(body: &Incoming, http2: bool) -> bool {
    !http2 || body.is_end_stream()
}

/// Tracks when an attempt last made progress, for the progress timeout.
#[derive(Debug)]
pub(crate) struct Progress {
    clock: Clock,
    last_progress: AtomicU64,
    waiting_for_client: AtomicBool,
}

impl Progress {
    pub(crate) fn new(clock: Clock) -> Arc<Progress> {
        let last_progress = AtomicU64::new(clock.now().get());
        Arc::new(Progress { clock, last_progress, waiting_for_client: AtomicBool::new(false) })
    }

    fn record(&self, waiting_for_client: bool) {
        self.last_progress.store(self.clock.now().get(), Ordering::Relaxed);
        self.waiting_for_client.store(waiting_for_client, Ordering::Relaxed);
    }

    /// Completes when the attempt made no progress for `timeout`. Time spent waiting for the client
    /// to send more of the request body does not count, because the target is not the cause.
    pub(crate) async fn stalled(&self, timeout: Millis) {
        loop {
            if self.waiting_for_client.load(Ordering::Relaxed) {
                self.last_progress.store(self.clock.now().get(), Ordering::Relaxed);
            }
            let idle = self.clock.now().since(Millis(self.last_progress.load(Ordering::Relaxed)));
            if idle >= timeout {
                return;
            }
            tokio::time::sleep((timeout - idle).into()).await;
        }
    }
}

/// The body of a request, which several attempts may send.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    /// Buffered whole.
    Buffered(Bytes),
    /// Streamed from the client, so that only one attempt can send it.
    Stream(Arc<Upload>),
}

/// A request body that is streamed from the client.
#[derive(Debug)]
pub(crate) struct Upload {
    body: Mutex<Incoming>,
    http2: bool,
    remaining: AtomicU64,
    started: AtomicBool,
    failure: Mutex<Option<BodyError>>,
}

impl Upload {
    pub(crate) fn new(body: Incoming, http2: bool, max_body: u64) -> Arc<Upload> {
        Arc::new(Upload {
            body: Mutex::new(body),
            http2,
            remaining: AtomicU64::new(max_body),
            started: AtomicBool::new(false),
            failure: Mutex::new(None),
        })
    }

    /// Returns why receiving the body from the client failed.
    pub(crate) fn failure(&self) -> Option<BodyError> {
        *self.failure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poll_frame(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.started.store(true, Ordering::Relaxed);
        let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        let frame = match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            None if is_complete(&body, self.http2) => return Poll::Ready(None),
            None | Some(Err(_)) => Err(BodyError::Client),
            Some(Ok(frame)) => self.check_size(frame),
        };
        if let Err(e) = frame {
            *self.failure.lock().unwrap_or_else(PoisonError::into_inner) = Some(e);
        }
        Poll::Ready(Some(frame))
    }

    fn check_size(&self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        let remaining = self.remaining.load(Ordering::Relaxed);
        let remaining = remaining.checked_sub(size).ok_or(BodyError::TooLarge)?;
        self.remaining.store(remaining, Ordering::Relaxed);
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
    /// Returns whether more than one attempt can send the body.
    pub(crate) fn is_repeatable(&self) -> bool {
        matches!(self, Payload::Buffered(_))
    }

    /// Returns whether the next attempt can send the body: it is buffered, or no attempt has read
    /// from it.
    pub(crate) fn is_available(&self) -> bool {
        match self {
            Payload::Buffered(_) => true,
            Payload::Stream(upload) => !upload.started.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn failure(&self) -> Option<BodyError> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Stream(upload) => upload.failure(),
        }
    }

    /// Returns the body for one attempt.
    pub(crate) fn body(&self, progress: Arc<Progress>) -> TargetBody {
        match self {
            Payload::Buffered(bytes) => {
                Full::new(bytes.clone()).map_err(|never| match never {}).boxed_unsync()
            }
            Payload::Stream(upload) => {
                let upload = upload.clone();
                UploadBody { upload, progress }.boxed_unsync()
            }
        }
    }
}

#[derive(Debug)]
struct UploadBody {
    upload: Arc<Upload>,
    progress: Arc<Progress>,
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = self.upload.poll_frame(cx);
        self.progress.record(frame.is_pending());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.upload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.size_hint()
    }
}

/// An item of the channel that carries the body of a response to the client.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The end of a complete response.
    End,
}

/// How many parts of a response are queued for a slow client. A part is at most as large as the
/// read buffer of the connection to the target.
pub(crate) const MAX_QUEUED_PARTS: usize = 4;

/// The body of a response to the client.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Available in full.
    Full(Full<Bytes>),
    /// Streamed from the target. When the response is truncated, the channel closes without
    /// [`ResponsePart::End`], so that the client sees a broken connection or stream and not a
    /// shorter complete response.
    Stream(mpsc::Receiver<ResponsePart>),
}

impl ResponseBody {
    pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Full(Full::new(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ResponseBody::Full(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            ResponseBody::Stream(parts) => Poll::Ready(match ready!(parts.poll_recv(cx)) {
                Some(ResponsePart::Frame(frame)) => Some(Ok(frame)),
                Some(ResponsePart::End) => None,
                None => Some(Err(BodyError::Response)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(body) => body.size_hint(),
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
