//! Errors of the entry daemon.

use std::net::SocketAddr;

use thiserror::Error;

use crate::settings::SettingsErrors;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents an entry process from starting.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
    /// An address cannot be bound.
    #[error("cannot bind the {listener} listener to {address}: {source}")]
    Listen {
        /// The name of the listener.
        listener: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The peer service cannot start.
    #[error(transparent)]
    Peer(#[from] jasminecart_peer::Error),
    /// The handlers of SIGTERM and SIGINT cannot be installed.
    #[error("cannot install the handlers of SIGTERM and SIGINT: {0}")]
    Signals(std::io::Error),
}
