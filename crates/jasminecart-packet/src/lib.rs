//! Encapsulation of client packets and parsing of their headers, without I/O.
//!
//! Client packets are encapsulated in GUE version 0 over UDP. A packet that one entry VM forwards
//! to another has a forward header in the GUE private data. [`parse`] turns a received datagram
//! into the input of `jasminecart_core::flow::BucketRouter`. [`gue::encapsulate`] writes the header
//! of the datagram to send in front of the same bytes, so that no packet is copied.
//! `docs/design.md`, sections 6 and 14, gives the rules.

pub mod errors;
pub mod gue;
pub mod inner;
pub mod ttl;

use jasminecart_core::flow::{FlowPacket, ForwardHeader, FragmentKey};

pub use crate::errors::{PacketError, Result};
pub use crate::gue::Origin;

/// A received client packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// The offset of the inner packet in the datagram, in bytes. It extends to the end of the
    /// datagram.
    pub inner: usize,
    /// The inner packet as input of the router.
    pub content: Content,
}

/// A client packet as input of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// A packet with ports, or an ICMP error that quotes one.
    Flow(FlowPacket),
    /// A fragment other than the first, which has no ports.
    Fragment {
        /// The identity of the fragmented packet.
        key: FragmentKey,
        /// The forward header, if another entry VM forwarded the fragment.
        forwarded: Option<ForwardHeader>,
    },
}

/// Parses a datagram received from the fabric or from another entry VM.
///
/// # Errors
///
/// Returns the reason to drop the datagram. No input causes a panic.
pub fn parse(datagram: &[u8], origin: Origin) -> Result<Received> {
    let outer = gue::decapsulate(datagram, origin)?;
    let packet = &datagram[outer.inner..];
    gue::check_size(packet)?;
    let content = match inner::parse(packet, outer.version)? {
        inner::Inner::Flow { key, kind } => {
            Content::Flow(FlowPacket { key, kind, forwarded: outer.forwarded })
        }
        inner::Inner::Fragment(key) => Content::Fragment { key, forwarded: outer.forwarded },
    };
    Ok(Received { inner: outer.inner, content })
}
