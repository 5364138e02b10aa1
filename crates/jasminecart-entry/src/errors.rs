//! Errors of the entry daemon.

use std::net::SocketAddr;

use thiserror::Error;

use crate::settings::SettingsErrors;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that keeps an entry process from starting.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
    /// An address cannot be bound.
    #[error("the {listener} listener cannot use {address}: {source}")]
    Listen {
        /// Which listener.
        listener: &'static str,
        /// The address of the settings.
        address: SocketAddr,
        /// What the operating system reported.
        source: std::io::Error,
    },
    /// The peer service cannot start.
    #[error(transparent)]
    Peer(#[from] jasminecart_peer::Error),
    /// The handlers of SIGTERM and SIGINT cannot be installed.
    #[error("the signal handlers cannot be installed: {0}")]
    Signals(std::io::Error),
}
