//! Hashes that must be equal on every entry VM.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use super::packet::{FlowKey, FragmentKey};
use crate::names::VmId;

/// Returns the hash that identifies a VM in a [`super::ForwardHeader`].
pub fn vm_hash(vm: &VmId) -> u64 {
    hash(vm)
}

/// Returns the hash that identifies a flow in tables and messages.
pub fn flow_hash(key: &FlowKey) -> u64 {
    hash(key)
}

pub(super) fn fragment_hash(key: &FragmentKey) -> u64 {
    hash(key)
}

/// Hashes a value with a fixed key, because all VMs of a data centre have to compute the same hash.
pub(super) fn hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Combines two hashes. The finaliser of SplitMix64 makes every input bit affect every output bit.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
