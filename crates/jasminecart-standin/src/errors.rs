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
    #[error("a stand-in cannot use a socket: {0}")]
    Io(#[from] io::Error),
    /// An entry VM did not start.
    #[error("an entry VM did not start: {0}")]
    Entry(String),
    /// The task of a stand-in has ended.
    #[error("the task of a stand-in has ended")]
    Stopped,
}
