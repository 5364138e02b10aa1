//! Errors of the peer service.

use thiserror::Error;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the peer service.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The listener cannot be used.
    #[error("the peer listener cannot be used: {0}")]
    Listener(#[from] std::io::Error),
    /// The bytes are no message of this protocol.
    #[error("malformed peer message: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes follow the message.
    #[error("malformed peer message: {0} bytes follow its end")]
    TrailingBytes(usize),
}
