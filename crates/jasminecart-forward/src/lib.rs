//! The forwarding daemon as a library: one single-threaded process per VM, without persistent state.
//!
//! The daemon receives packets from clients, routes them with [`jasminecart_core::flow::token::TokenRouter`]
//! and forwards them to targets. It reads routes and targets through a [`Directory`], and exposes readiness,
//! metrics and logs. The packet format and the client of the platform's store are traits ([`edges`]) that are
//! implemented outside of this crate. `docs/platform.md` describes the process.

mod accept;
pub mod backlog;
mod daemon;
pub mod edges;
mod errors;
mod events;
pub mod explain;
mod feed;
mod forwarder;
mod http;
pub mod keys;
mod metrics;
pub mod peers;
mod process;
mod readiness;
mod retained;
mod settings;
mod streams;

pub use crate::edges::{Changes, Directory, DirectoryError, Encapsulation, SegmentError, Snapshot};
pub use crate::errors::{Error, Result};
pub use crate::feed::FeedLimits;
pub use crate::process::run;
pub use crate::settings::{Settings, SettingsErrors};
