//! Errors of the command line, reported with exit code 2. A negative result is not an error and has exit
//! code 1.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents a command from completing.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not UTF-8 text.
    #[error("{} is not valid UTF-8: first invalid byte at offset {position}", path.display())]
    NotText {
        /// The file.
        path: PathBuf,
        /// The offset of the first invalid byte.
        position: usize,
    },
    /// The entry daemon could not start.
    #[error(transparent)]
    Entry(#[from] jasminecart_entry::Error),
    /// The demo could not run.
    #[error(transparent)]
    Demo(#[from] jasminecart_standin::Error),
    /// The operators' listener did not respond.
    #[error("no response from the operators' listener at {address}: {cause}")]
    NoResponse {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The listener does not serve explanations.
    #[error(
        "the VM at {address} does not explain flows; its build is too old, or the address is not its operators' listener"
    )]
    NoExplanation {
        /// The address.
        address: std::net::SocketAddr,
    },
    /// The operators' listener responded with a status other than 200.
    #[error("the operators' listener at {address} responded with status {status}: {text}")]
    UnexpectedStatus {
        /// The address.
        address: std::net::SocketAddr,
        /// The status code.
        status: u16,
        /// The body of the response.
        text: String,
    },
}
