//! What a failed request proves about its execution.

use std::error::Error;

/// Why no answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// Not one byte of the request was written.
    NotSent,
    /// The target refused the stream by a rule of HTTP/2, which states that it was not processed.
    StreamRefused,
    /// The connection broke after a byte may have been written.
    Broken,
}

/// Tells whether an error means that an HTTP/2 target did not process the request: a stream reset with
/// REFUSED_STREAM, or a GOAWAY whose last stream is below this one (RFC 9113, sections 6.8 and 8.7). The
/// h2 crate reports a GOAWAY only to streams above its last stream.
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
