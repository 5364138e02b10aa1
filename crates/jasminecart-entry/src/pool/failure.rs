//! What a failed send proves about whether the target ran the request.

use std::error::Error;

/// Why no response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// No byte of the request was written.
    NotSent,
    /// The target refused the HTTP/2 stream, which guarantees that it did not process the request.
    StreamRefused,
    /// The request failed after a byte of it may have been written.
    Broken,
}

/// Returns whether an error proves that an HTTP/2 target did not process the request: the stream
/// was reset with REFUSED_STREAM, or a GOAWAY has a last stream id below this stream (RFC 9113,
/// sections 6.8 and 8.7). The h2 crate reports a GOAWAY only to streams above its last stream id.
pub(crate) fn is_refused_stream(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<h2::Error>() {
            let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
            return error.is_remote() && (refused || error.is_go_away());
        }
        cause = error.source();
    }
    false
}
