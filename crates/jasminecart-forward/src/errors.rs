//! Errors of the daemon.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::settings::SettingsErrors;

/// The result of a fallible operation of the daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the daemon can't start or continue.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("the settings file {path} can't be read: {source}")]
    SettingsFile {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
    /// A listener can't be opened.
    #[error("the {listener} listener can't be opened on {address}: {source}")]
    Listen {
        /// The purpose of the listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The runtime, a signal handler or the log can't be set up.
    #[error("the process can't be set up: {0}")]
    Setup(#[from] io::Error),
}
