//! GUE version 0 (draft-ietf-intarea-gue) and the forward header in its private data.
//!
//! ```text
//!  0                   1                   2                   3
//! |Ver|C|  Hlen   | Proto/ctype   |            Flags              |
//! | Forward v. 1  | Hops          | Record        | Reserved (0)  |
//! |                       Entry VM (64 bits)                      |
//! |                       Target   (64 bits)                      |
//! ```
//!
//! `Hlen` is the number of 32-bit words after the first. The header of a packet from the fabric or
//! to a target consists of the first word only.

use jasminecart_core::flow::ForwardHeader;

use crate::errors::{PacketError, Result};

/// The length of a GUE header without private data, in bytes.
pub const GUE_BYTES: usize = 4;
/// The length of the forward header in bytes, a multiple of 4 because GUE counts 32-bit words.
pub const FORWARD_BYTES: usize = 20;
/// The number of bytes that [`encapsulate`] may need in front of the inner packet.
pub const HEADROOM: usize = GUE_BYTES + FORWARD_BYTES;
/// The MTU between entry VMs and targets, in bytes.
pub const MTU: usize = 1_500;
/// The size limit of an inner packet: the MTU less an IPv6 header, a UDP header and the longest GUE
/// header. The limit is the same for every route, so that whether a packet is dropped does not
/// depend on whether its bucket is settled.
pub const MAX_INNER_BYTES: usize = MTU - 40 - 8 - HEADROOM;

const FORWARD_VERSION: u8 = 1;
const CONTROL_BIT: u8 = 0x20;
const HLEN_MASK: u8 = 0x1f;
const PROTOCOL_IPV4: u8 = 4;
const PROTOCOL_IPV6: u8 = 41;

/// The sender of a datagram, which determines whether it has to carry a forward header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The network fabric.
    Fabric,
    /// Another entry VM.
    Peer,
}

/// The version of an inner packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IpVersion {
    /// IPv4.
    V4,
    /// IPv6.
    V6,
}

/// A decoded GUE header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OuterHeader {
    /// The offset of the inner packet in the datagram, in bytes.
    pub inner: usize,
    /// The version of the inner packet.
    pub version: IpVersion,
    /// The forward header, if another entry VM forwarded the packet.
    pub forwarded: Option<ForwardHeader>,
}

/// Decodes the GUE header of a datagram.
///
/// # Errors
///
/// Returns an error for any header that `origin` does not send.
pub fn decapsulate(datagram: &[u8], origin: Origin) -> Result<OuterHeader> {
    let Some((&[first, protocol, flags @ ..], rest)) = datagram.split_first_chunk::<GUE_BYTES>()
    else {
        return Err(PacketError::GueTruncated);
    };
    if first >> 6 != 0 {
        return Err(PacketError::GueVersion);
    }
    if first & CONTROL_BIT != 0 {
        return Err(PacketError::GueControl);
    }
    if flags != [0, 0] {
        return Err(PacketError::GueFlags);
    }
    let version = match protocol {
        PROTOCOL_IPV4 => IpVersion::V4,
        PROTOCOL_IPV6 => IpVersion::V6,
        _ => return Err(PacketError::GueProtocol),
    };
    let private_bytes = usize::from(first & HLEN_MASK) * 4;
    let private = rest.get(..private_bytes).ok_or(PacketError::GueTruncated)?;
    let forwarded = match (origin, private) {
        (Origin::Fabric, []) => None,
        (Origin::Fabric, _) => return Err(PacketError::ForwardFromClient),
        (Origin::Peer, []) => return Err(PacketError::ForwardMissing),
        (Origin::Peer, private) => Some(parse_forward_header(private)?),
    };
    Ok(OuterHeader { inner: GUE_BYTES + private_bytes, version, forwarded })
}

fn parse_forward_header(private: &[u8]) -> Result<ForwardHeader> {
    let private: &[u8; FORWARD_BYTES] =
        private.try_into().map_err(|_| PacketError::ForwardMalformed)?;
    let [FORWARD_VERSION, hops, record @ (0 | 1), 0, ids @ ..] = private else {
        return Err(PacketError::ForwardMalformed);
    };
    let [e0, e1, e2, e3, e4, e5, e6, e7, target @ ..] = *ids;
    let entry = u64::from_be_bytes([e0, e1, e2, e3, e4, e5, e6, e7]);
    let target = u64::from_be_bytes(target);
    Ok(ForwardHeader { hops: *hops, entry, target, record: *record == 1 })
}

/// Writes the GUE header into the bytes in front of the inner packet, which starts at the offset
/// `inner`. Returns the offset of the datagram, or `None` if the header does not fit in front or
/// there is no inner packet. [`HEADROOM`] bytes in front are always sufficient.
pub fn encapsulate(buf: &mut [u8], inner: usize, forward: Option<&ForwardHeader>) -> Option<usize> {
    let protocol = match buf.get(inner)? >> 4 {
        4 => PROTOCOL_IPV4,
        _ => PROTOCOL_IPV6,
    };
    let private_bytes = if forward.is_some() { FORWARD_BYTES } else { 0 };
    let start = inner.checked_sub(GUE_BYTES + private_bytes)?;
    let header = &mut buf[start..inner];
    header[..GUE_BYTES].copy_from_slice(&[(private_bytes / 4) as u8, protocol, 0, 0]);
    if let Some(forward) = forward {
        let words = &mut header[GUE_BYTES..];
        words[..4].copy_from_slice(&[FORWARD_VERSION, forward.hops, u8::from(forward.record), 0]);
        words[4..12].copy_from_slice(&forward.entry.to_be_bytes());
        words[12..].copy_from_slice(&forward.target.to_be_bytes());
    }
    Some(start)
}

/// Checks that an inner packet fits the MTU after encapsulation.
pub fn check_size(inner: &[u8]) -> Result<()> {
    if inner.len() > MAX_INNER_BYTES { Err(PacketError::TooLarge) } else { Ok(()) }
}
