//! The token in the packets of a flow that identifies its target and proves its service address.

use std::hash::Hasher as _;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;

use siphasher::sip::SipHasher13;
use siphasher::sip128::{Hasher128 as _, SipHasher13 as SipHasher13Wide};

use crate::names::Name;

/// The bits of a token that prove the service address. The other 12 find the candidates: about one among 3,400
/// targets.
const PROOF_BITS: u32 = 20;

/// The number of different prefixes of tokens.
pub(super) const PREFIX_VALUES: usize = 1 << (u32::BITS - PROOF_BITS);

/// A value that every packet of an open flow carries. It identifies the flow's target, and proves that a VM
/// opened a flow to this target for this service address.
///
/// The token is derived from the target's name and the service address alone, so that every VM that knows the
/// target can route the packet without having seen the flow or the routes of that time. Zero means "no token" in
/// the encapsulation and is never used. See `docs/design/bound-tokens.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RoutingToken(NonZeroU32);

impl RoutingToken {
    /// Returns the token of a target for the flows of a service address.
    pub fn of(target: &Name, service: SocketAddrV4) -> RoutingToken {
        TargetKey::of(target).token(service)
    }

    /// Decodes the token field of a packet. Returns `None` for zero, which means "no token".
    pub fn from_wire(value: u32) -> Option<RoutingToken> {
        NonZeroU32::new(value).map(RoutingToken)
    }

    /// Returns the value of the token field in packets.
    pub fn get(self) -> u32 {
        self.0.get()
    }

    /// Returns the bits that find the candidates, below [`PREFIX_VALUES`].
    pub(super) fn prefix(self) -> usize {
        (self.get() >> PROOF_BITS) as usize
    }
}

/// The identity of a target in the table of tracked flows. It does not depend on the service address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct TargetId(u64);

/// The hash of a target's name, computed once for each target. Its tokens are derived from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetKey {
    first: u64,
    second: u64,
}

impl TargetKey {
    pub(super) fn of(target: &Name) -> TargetKey {
        // The key is fixed, because all VMs have to compute the same tokens.
        let mut hasher = SipHasher13Wide::new_with_keys(0, 0);
        hasher.write(target.as_str().as_bytes());
        let hashed = hasher.finish128();
        TargetKey { first: hashed.h1, second: hashed.h2 }
    }

    pub(super) fn id(self) -> TargetId {
        TargetId(self.first)
    }

    /// Returns the bits of the target's tokens that find the candidates, below [`PREFIX_VALUES`].
    pub(super) fn prefix(self) -> usize {
        (self.first >> (u64::BITS - (u32::BITS - PROOF_BITS))) as usize
    }

    /// Returns the token for the flows of a service address. The proof is a keyed hash of the address, so that
    /// tokens for some addresses do not reveal those for others. Six bytes are one block of SipHash.
    pub(super) fn token(self, service: SocketAddrV4) -> RoutingToken {
        let mut address = [0; 6];
        address[..4].copy_from_slice(&service.ip().octets());
        address[4..].copy_from_slice(&service.port().to_be_bytes());
        let mut hasher = SipHasher13::new_with_keys(self.first, self.second);
        hasher.write(&address);
        let proof = (hasher.finish() >> (u64::BITS - PROOF_BITS)) as u32;
        let token = (self.prefix() as u32) << PROOF_BITS | proof;
        RoutingToken(NonZeroU32::new(token).unwrap_or(NonZeroU32::MIN))
    }
}
