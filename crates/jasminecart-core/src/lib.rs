//! The decision logic of jasminecart: deterministic state machines without I/O.
//!
//! The crate routes flows ([`flow`]), dispatches requests ([`request`]), adopts documents
//! ([`version`]) and tracks the members of a data centre ([`process`]). Callers pass in the time,
//! messages and results of I/O, and execute the returned actions. Sockets, timers and actors are in
//! `jasminecart-entry`. `docs/design.md` gives the reasons and the figures behind each design
//! decision.

pub mod errors;
pub mod flow;
pub mod hashing;
pub mod ini;
pub mod invariant;
pub mod message;
pub mod names;
pub mod process;
pub mod request;
pub mod second_copies;
pub mod time;
pub mod units;
pub mod version;

pub use crate::errors::{Error, Result};
pub use crate::message::{Outgoing, PeerMessage};
pub use crate::names::{Incarnation, Name, VmId};
pub use crate::time::Millis;
