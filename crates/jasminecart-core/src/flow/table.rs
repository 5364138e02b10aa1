//! Bucket tables that give each target an exact quota by weight.

use std::sync::Arc;

use super::hash::mix;
use crate::invariant;

/// The number of buckets of a service. With 14 targets whose weights differ 4-fold, the lightest
/// has about 58 buckets, so rounding changes its share by less than 1 %.
pub const BUCKETS: usize = 2_048;

/// Marks a bucket without a target.
pub(super) const NO_TARGET: u16 = u16::MAX;

/// The maximum number of targets considered for each bucket in one round. It keeps the sorted list
/// small for services with thousands of targets.
const MAX_CANDIDATES: usize = 16;

/// The index of a target for each bucket, or [`NO_TARGET`].
pub(super) type Table = Arc<[u16]>;

/// Returns the bucket of a flow.
pub fn bucket_of(flow: u64) -> usize {
    (flow % BUCKETS as u64) as usize
}

/// A target's input to the assignment of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Share {
    /// The hash of the target's identity.
    pub(super) key: u64,
    /// The weight; 0 excludes the target.
    pub(super) weight: u32,
}

/// Assigns the buckets to targets in proportion to their weights.
///
/// Each target gets exactly its quota. Pairs of bucket and target are assigned in the order of
/// their weighted rendezvous score, so that a change of the target set moves few buckets beyond
/// those required by the changed quotas.
pub(super) fn assign(shares: &[Share]) -> Table {
    let mut table = vec![NO_TARGET; BUCKETS];
    let mut remaining = quotas(shares);
    let total: usize = remaining.iter().sum();
    let mut assigned = 0;
    while assigned < total {
        let pairs = candidates(shares, &remaining, &table);
        for (_, bucket, target) in pairs {
            let free = table[bucket as usize] == NO_TARGET && remaining[target as usize] > 0;
            if free {
                table[bucket as usize] = target;
                remaining[target as usize] -= 1;
                assigned += 1;
            }
        }
    }
    invariant!(
        total == 0 || table.iter().all(|target| *target != NO_TARGET),
        "bucket table of {} targets has buckets without a target",
        shares.len()
    );
    table.into()
}

fn candidates(shares: &[Share], remaining: &[usize], table: &[u16]) -> Vec<(u64, u16, u16)> {
    let unfilled: Vec<usize> = (0..shares.len()).filter(|target| remaining[*target] > 0).collect();
    let mut pairs = Vec::new();
    let mut scores = Vec::with_capacity(unfilled.len());
    for bucket in (0..BUCKETS).filter(|bucket| table[*bucket] == NO_TARGET) {
        scores.clear();
        let scored = unfilled
            .iter()
            .map(|target| (score(&shares[*target], bucket), bucket as u16, *target as u16));
        scores.extend(scored);
        if scores.len() > MAX_CANDIDATES {
            scores.select_nth_unstable(MAX_CANDIDATES);
            scores.truncate(MAX_CANDIDATES);
        }
        pairs.extend_from_slice(&scores);
    }
    pairs.sort_unstable();
    pairs
}

/// Returns the number of buckets of each target by the largest-remainder method, with ties broken
/// by key.
fn quotas(shares: &[Share]) -> Vec<usize> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return vec![0; shares.len()];
    }
    let buckets = BUCKETS as u64;
    let exact = |share: &Share| u64::from(share.weight) * buckets;
    let mut quotas: Vec<usize> =
        shares.iter().map(|share| (exact(share) / total) as usize).collect();
    let unassigned = BUCKETS - quotas.iter().sum::<usize>();
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by_key(|target| {
        let share = &shares[*target];
        (std::cmp::Reverse(exact(share) % total), share.key)
    });
    for target in order.into_iter().take(unassigned) {
        quotas[target] += 1;
    }
    quotas
}

/// Returns the weighted rendezvous score, of which the lowest wins: -log2(u) / weight for a hash u.
/// It is computed in fixed point, because floating-point logarithms may differ between builds.
fn score(share: &Share, bucket: usize) -> u64 {
    let hash = mix(share.key, bucket as u64);
    minus_log2(hash) / u64::from(share.weight.max(1))
}

/// Returns -log2(hash / 2^64) with 48 fractional bits, of which 24 are significant.
fn minus_log2(hash: u64) -> u64 {
    let hash = hash.max(1);
    let zeros = hash.leading_zeros();
    let mut mantissa = u128::from(hash << zeros);
    let mut fraction = 0u64;
    for _ in 0..24 {
        mantissa = (mantissa * mantissa) >> 63;
        fraction <<= 1;
        if mantissa >> 64 != 0 {
            fraction |= 1;
            mantissa >>= 1;
        }
    }
    ((u64::from(zeros) + 1) << 48) - (fraction << 24)
}
