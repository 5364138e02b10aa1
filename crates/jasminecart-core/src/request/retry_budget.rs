//! The retry budget of a service.

use rand::{Rng, RngExt};

use crate::time::Millis;

/// Credit is counted in hundredths of a retry.
const CREDIT_PER_RETRY: u64 = 100;
/// Credit is capped at two retries. Over any period, attempts are at most 1.1 times the first
/// attempts plus this. With a cap of 10 retries, 3 VMs sent 1.12 times the offered load for 5 s
/// after all targets began to refuse.
const MAX_CREDIT: u64 = 2 * CREDIT_PER_RETRY;
/// The highest share of retries in percent, regardless of the document.
const MAX_PERCENT: u32 = 10;
const BACKOFF_BASE_MS: u64 = 10;
const BACKOFF_MAX_MS: u64 = 1_000;

/// Limits retries and hedges to a share of first attempts. Credit starts at zero, so attempts never
/// exceed 1.1 times the number of requests that were sent at least once.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    credit: u64,
    first_attempts: u64,
    spent: u64,
}

impl RetryBudget {
    /// Adds the credit for a first attempt.
    pub(super) fn record_first_attempt(&mut self, percent: u32) {
        self.first_attempts += 1;
        self.credit = (self.credit + u64::from(percent.min(MAX_PERCENT))).min(MAX_CREDIT);
    }

    /// Spends one retry, or returns `false` if the budget is exhausted.
    pub(super) fn spend(&mut self) -> bool {
        if self.credit < CREDIT_PER_RETRY {
            return false;
        }
        self.credit -= CREDIT_PER_RETRY;
        self.spent += 1;
        let (spent, first_attempts) = (self.spent, self.first_attempts);
        crate::invariant!(
            spent * 10 <= first_attempts,
            "{spent} retries exceed 10 % of {first_attempts} first attempts"
        );
        true
    }

    /// Refunds a retry that was not sent.
    pub(super) fn refund(&mut self) {
        self.spent = self.spent.saturating_sub(1);
        self.credit = (self.credit + CREDIT_PER_RETRY).min(MAX_CREDIT);
    }
}

/// Returns the delay before the next attempt after `attempts` attempts. It doubles with each
/// attempt, and half of it is random.
pub(super) fn backoff(attempts: u32, rng: &mut impl Rng) -> Millis {
    let full = (BACKOFF_BASE_MS << attempts.saturating_sub(1).min(8)).min(BACKOFF_MAX_MS);
    Millis(full / 2 + rng.random_range(0..=full / 2))
}
