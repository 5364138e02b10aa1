//! The entry daemon as a library.

pub mod clock;
pub mod packet_listener;
