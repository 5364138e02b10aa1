//! The gRPC service over which entry VMs exchange the messages of the state machines in `jasminecart-core`.
//!
//! [`PeerServer`] accepts [`Envelope`]s on a TCP listener and passes them to its caller. [`PeerLinks`] holds
//! one connection and one bounded queue for each peer. Delivery is at most once and unordered across
//! reconnections: the state machines tolerate lost messages, and a message that may have arrived is never
//! retransmitted. `docs/design.md`, section 14, describes the protocol.

mod codec;
mod counters;
mod envelope;
mod errors;
mod incoming;
mod links;
mod peer_service;
mod server;

pub use jasminecart_runtime::backoff::{Backoff, jitter};

pub use crate::codec::{Decoded, PostcardCodec};
pub use crate::counters::PeerCounters;
pub use crate::envelope::{Ack, Envelope, MAX_ENVELOPE_BYTES, MAX_ENVELOPE_MESSAGES, PROTOCOL};
pub use crate::errors::{Error, Result};
pub use crate::links::{LinkLimits, PeerLinks};
pub use crate::peer_service::peer_client::PeerClient;
pub use crate::server::{Delivered, PeerServer};
