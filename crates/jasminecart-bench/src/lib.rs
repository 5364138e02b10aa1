//! Measurements of the decision modules of `jasminecart-core`, without sockets.
//!
//! Each case drives the public interface of one module with simulated inputs from a seed and reports the
//! figures that `docs/design.md`, section 14, names, next to the baselines.

pub mod capacity;
pub mod documents;
pub mod faults;
pub mod flows;
mod lone;
pub mod membership;
pub mod message_queue;
pub mod packets;
pub mod report;
pub mod requests;
pub mod steering;
mod token_packets;
