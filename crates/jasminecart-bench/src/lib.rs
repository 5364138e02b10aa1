//! Measurements of the decision modules of `jasminecart-core`, without sockets.
//!
//! Each case drives the public interface of one module with inputs simulated from a seed. It
//! reports the figures listed in `docs/design.md`, section 14, alongside those of baseline
//! algorithms.

pub mod capacity;
pub mod documents;
pub mod faults;
pub mod flows;
pub mod membership;
pub mod message_queue;
pub mod overload;
pub mod packets;
pub mod report;
pub mod requests;
pub mod second_copies;
mod single_vm;
pub mod steering;
mod token_packets;
