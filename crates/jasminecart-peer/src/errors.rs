//! Errors of the peer service.

use thiserror::Error;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the peer service.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The listener's local address cannot be read.
    #[error("cannot read the local address of the peer listener: {0}")]
    Listener(#[from] std::io::Error),
    /// The bytes cannot be decoded as a message of this protocol.
    #[error("malformed peer message: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes follow the end of the message.
    #[error("malformed peer message: {0} bytes follow its end")]
    TrailingBytes(usize),
}
