//! Decrementing of the IPv4 TTL and the IPv6 hop limit.

use crate::errors::{PacketError, Result};

const TTL_OFFSET: usize = 8;
const CHECKSUM_OFFSET: usize = 10;
const HOP_LIMIT_OFFSET: usize = 7;

/// Decrements the TTL or hop limit of an inner packet and adjusts the IPv4 header checksum.
///
/// # Errors
///
/// Returns an error if the value would reach zero, which ends a forwarding loop between VMs, or if
/// the packet is too short for its IP header.
pub fn decrement(inner: &mut [u8]) -> Result<()> {
    match inner.first().map(|first| first >> 4) {
        Some(4) if inner.len() >= 20 => decrement_v4(inner),
        Some(6) if inner.len() >= 40 => decrement_at(inner, HOP_LIMIT_OFFSET),
        _ => Err(PacketError::IpHeader),
    }
}

fn decrement_v4(inner: &mut [u8]) -> Result<()> {
    decrement_at(inner, TTL_OFFSET)?;
    // The TTL is the high byte of a 16-bit word, so the sum decreases by 0x0100. The checksum is
    // its ones' complement and increases by the same amount, with the carry added at the low end
    // (RFC 1624).
    let old = u16::from_be_bytes([inner[CHECKSUM_OFFSET], inner[CHECKSUM_OFFSET + 1]]);
    let (sum, carry) = old.overflowing_add(0x0100);
    let new = sum + u16::from(carry);
    inner[CHECKSUM_OFFSET..CHECKSUM_OFFSET + 2].copy_from_slice(&new.to_be_bytes());
    Ok(())
}

fn decrement_at(inner: &mut [u8], offset: usize) -> Result<()> {
    if inner[offset] <= 1 {
        return Err(PacketError::TtlExpired);
    }
    inner[offset] -= 1;
    Ok(())
}
