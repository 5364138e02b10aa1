//! The retry budget of a service.

use rand::{Rng, RngExt};

use crate::time::Millis;

/// Credit is counted in hundredths of a retry.
const RETRY: u64 = 100;
/// Saved credit is bounded to this many retries. Over any span the attempts are at most 1.1 times the
/// first attempts plus this. With 10 saved, 3 VMs sent 1.12 times the offered load for 5 s after every
/// target began to refuse.
const MAX_SAVED: u64 = 2 * RETRY;
/// The highest share of retries in percent, whatever a document says.
const MAX_PERCENT: u32 = 10;
const BACKOFF_BASE: u64 = 10;
const BACKOFF_MAX: u64 = 1_000;

/// Allows retries and hedges as a share of first attempts. Credit starts at zero, so at no moment the
/// attempts exceed 1.1 times the requests that were sent at least once.
#[derive(Debug, Default)]
pub(super) struct Budget {
    credit: u64,
    first: u64,
    spent: u64,
}

impl Budget {
    /// Counts a first attempt.
    pub(super) fn earn(&mut self, percent: u32) {
        self.first += 1;
        self.credit = (self.credit + u64::from(percent.min(MAX_PERCENT))).min(MAX_SAVED);
    }

    /// Takes one retry, or returns `false` when the budget is empty.
    pub(super) fn spend(&mut self) -> bool {
        if self.credit < RETRY {
            return false;
        }
        self.credit -= RETRY;
        self.spent += 1;
        let (spent, first) = (self.spent, self.first);
        crate::invariant!(spent * 10 <= first, "{spent} retries for {first} first attempts");
        true
    }

    /// Gives a retry back that was not sent.
    pub(super) fn refund(&mut self) {
        self.spent = self.spent.saturating_sub(1);
        self.credit = (self.credit + RETRY).min(MAX_SAVED);
    }
}

/// Returns the wait before the attempt after `attempts` attempts: it doubles, and half of it is random.
pub(super) fn backoff(attempts: u32, rng: &mut impl Rng) -> Millis {
    let full = (BACKOFF_BASE << attempts.saturating_sub(1).min(8)).min(BACKOFF_MAX);
    Millis(full / 2 + rng.random_range(0..=full / 2))
}
