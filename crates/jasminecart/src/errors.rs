//! Errors of the command line, which exit with 2. A negative result is not an error and exits with 1.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not UTF-8 text.
    #[error("{} is not UTF-8 text (byte {position})", path.display())]
    NotText {
        /// The file.
        path: PathBuf,
        /// The position of the first byte that is not UTF-8.
        position: usize,
    },
    /// The entry daemon could not run.
    #[error(transparent)]
    Entry(#[from] jasminecart_entry::Error),
    /// The demo could not run.
    #[error(transparent)]
    Demo(#[from] jasminecart_standin::Error),
    /// A daemon did not answer.
    #[error("no answer from the operators' listener at {address}: {cause}")]
    NoAnswer {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The daemon refused the request.
    #[error("the operators' listener at {address} answered {status}: {text}")]
    Refused {
        /// The address.
        address: std::net::SocketAddr,
        /// The status code.
        status: u16,
        /// The text of the answer.
        text: String,
    },
}
