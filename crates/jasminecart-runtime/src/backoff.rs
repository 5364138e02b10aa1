//! Exponential backoff with jitter.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// A delay that doubles with each failure up to a bound. Jitter keeps many VMs from retrying at the
/// same moment when a peer recovers.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with the delay after the first failure and the bound on the delay, both
    /// before jitter.
    pub fn new(initial: Duration, max: Duration) -> Backoff {
        Backoff { initial, max, failures: 0 }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        jitter(self.initial.saturating_mul(factor).min(self.max))
    }

    /// Records a success, so that the next failure gets the initial delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Returns a random duration between half of `duration` and all of it. The randomness only spreads
/// load, so the randomly keyed hasher of the standard library is sufficient.
pub fn jitter(duration: Duration) -> Duration {
    let random = RandomState::new().hash_one(0u8);
    let fraction = 0.5 + (random >> 11) as f64 / (1u64 << 53) as f64 / 2.0;
    duration.mul_f64(fraction)
}
