//! Stand-ins for the systems around jasminecart, and the demo that runs all of them in one process.
//!
//! Each stand-in speaks the published protocol over loopback: the platform and the request targets HTTP, the
//! packet targets and the network fabric GUE over UDP. Targets and clients record what they received, and the
//! figures of the demo come from these records. `docs/design.md`, section 14, lists the behaviours.

pub mod demo;
pub mod errors;
pub mod fabric;
pub mod feeds;
pub mod http_io;
pub mod packet_target;
pub mod platform;
pub mod request_target;
pub mod requests;
pub mod run_log;
pub mod stack;
mod tunnel;

pub use crate::errors::{Error, Result};
