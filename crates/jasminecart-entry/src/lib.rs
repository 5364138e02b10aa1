//! The entry daemon as a library.
//!
//! [`Entry::start`] runs one entry VM inside the calling process: the request listener, the packet listener,
//! the peer service, the platform client, the operators' listener and the control actor that owns the state
//! machines of `jasminecart-core`. Several entry VMs in one process share only the logger and the counter of
//! invariant violations. `docs/design.md`, section 14, describes the listeners.

mod control;
mod entry;
mod errors;
pub mod logging;
mod metrics;
mod operators;
pub mod packet_listener;
mod platform;
mod pool;
mod request;
pub mod settings;
mod tasks;

pub use jasminecart_runtime::clock;

pub use crate::entry::{Addresses, Entry, EntryHandle, StopReport, run};
pub use crate::errors::{Error, Result};
pub use crate::request::{
    DEADLINE_HEADER, FORWARDED_HEADER, KEY_HEADER, KEYS_PATH, OUTCOME_HEADER, TENANT_HEADER,
};
pub use crate::settings::Settings;
