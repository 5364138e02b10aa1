//! The forwarding daemon as a library: one process for each VM, one thread, no state that outlives it.
//!
//! The daemon reads packets from clients, asks [`jasminecart_core::flow::token::TokenRouter`] where they go
//! and sends them on. It learns routes and targets from a [`Directory`] and reports readiness, metrics and
//! logs. The packet format and the directory's protocol are traits ([`edges`]), implemented outside of
//! this crate. `docs/platform.md` describes the process.

mod daemon;
pub mod edges;
mod errors;
mod events;
mod feed;
mod forwarder;
mod http;
pub mod keys;
mod metrics;
pub mod peers;
mod process;
mod readiness;
mod settings;

pub use crate::edges::{Changes, Directory, DirectoryError, Encapsulation, SegmentError, Snapshot};
pub use crate::errors::{Error, Result};
pub use crate::feed::FeedLimits;
pub use crate::process::run;
pub use crate::settings::{Settings, SettingsErrors};
