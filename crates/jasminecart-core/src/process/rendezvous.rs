//! Rendezvous hashing over VMs, and the ring of members that decides who probes whom.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use crate::names::VmId;

/// Hashes a value with a fixed key, so that every VM computes the same result.
pub(crate) fn hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the VMs in descending order of their rendezvous scores. `purpose` gives each use its own
/// order.
pub(crate) fn ranked<'a>(purpose: &str, vms: impl IntoIterator<Item = &'a VmId>) -> Vec<&'a VmId> {
    let mut ranked: Vec<&VmId> = vms.into_iter().collect();
    ranked.sort_by_cached_key(|vm| std::cmp::Reverse(hash((purpose, vm))));
    ranked
}

/// Returns the VM `distance` places after `me` on a ring ordered by hash. An order by name would
/// make neighbours of VMs that often share a rack and fail together.
pub(super) fn successor<'a>(
    me: &VmId,
    others: impl IntoIterator<Item = &'a VmId>,
    distance: usize,
) -> Option<&'a VmId> {
    let mut ring: Vec<(u64, &VmId)> = others.into_iter().map(|vm| (hash(vm), vm)).collect();
    ring.sort();
    let next = ring.partition_point(|(position, vm)| (*position, *vm) < (hash(me), me));
    (distance <= ring.len()).then(|| ring[(next + distance - 1) % ring.len()].1)
}
