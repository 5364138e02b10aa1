//! Delays between attempts.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// Doubles a delay after each failure, up to a bound, and spreads it at random so that many VMs do not
/// return to a recovering peer at the same moment.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with the delay after the first failure and the longest delay.
    pub fn new(first: Duration, longest: Duration) -> Backoff {
        Backoff { first, longest, failures: 0 }
    }

    /// Notes a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        jitter(self.first.saturating_mul(factor).min(self.longest))
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Returns a random span between half of `span` and the whole of it. The randomness only spreads load, so
/// the seeded hasher of the standard library is sufficient.
pub fn jitter(span: Duration) -> Duration {
    let random = RandomState::new().hash_one(0u8);
    let share = 0.5 + (random >> 11) as f64 / (1u64 << 53) as f64 / 2.0;
    span.mul_f64(share)
}
