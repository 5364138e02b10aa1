//! Errors of the stand-ins.

use std::io;

use thiserror::Error;

/// The result of a fallible operation of a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of a stand-in.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// A socket could not be bound or used.
    #[error("socket of a stand-in failed: {0}")]
    Io(#[from] io::Error),
    /// An entry VM did not start, or was not ready in time.
    #[error("entry VM did not start: {0}")]
    Entry(String),
    /// The task of a stand-in has ended, or an entry VM that the demo needs does not run.
    #[error("task of a stand-in has ended")]
    Stopped,
}
