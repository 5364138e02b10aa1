//! The number of requests that a target accepts at a time, learned from its refusals.

use crate::time::Millis;

const MIN_RAISE_INTERVAL: Millis = Millis(100);
/// The longest interval between raises. It bounds how late the return of lost slots is noticed.
const MAX_RAISE_INTERVAL: Millis = Millis(4_000);

/// Lowers the number of slots in use when the target refuses work, and raises it again step by
/// step. The document's slot count is the upper bound. The limit corrects for a home that lost
/// track of its grants and for a target that lost slots, neither of which is visible otherwise.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    limit: u32,
    blocked_until: Millis,
    raise_at: Millis,
    raise_interval: Millis,
    refused_at: Option<Millis>,
}

impl ConcurrencyLimit {
    /// Starts with `limit` concurrent requests.
    pub(super) fn new(limit: u32) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            blocked_until: Millis::ZERO,
            raise_at: Millis::ZERO,
            raise_interval: MIN_RAISE_INTERVAL,
            refused_at: None,
        }
    }

    /// Returns how many requests may run now, at most `slots`.
    pub(super) fn allowed(&mut self, now: Millis, slots: u32) -> u32 {
        if now < self.blocked_until {
            return 0;
        }
        if self.limit < slots && now >= self.raise_at {
            self.limit += 1;
            self.raise_at = now + self.raise_interval;
        }
        self.limit = self.limit.clamp(1, slots.max(1));
        self.limit
    }

    /// Lowers the limit after a refusal by the target, which had `in_use` requests including the
    /// refused one.
    pub(super) fn on_refusal(&mut self, now: Millis, in_use: u32) {
        let is_old = |at: Millis| now.since(at).get() > 4 * self.raise_interval.get();
        if self.refused_at.is_some_and(is_old) {
            self.raise_interval = MIN_RAISE_INTERVAL;
        }
        self.refused_at = Some(now);
        self.limit = in_use.saturating_sub(1).max(1);
        self.raise_at = now + self.raise_interval;
        if in_use <= 1 {
            self.blocked_until = now + self.raise_interval;
        }
        self.raise_interval = Millis(self.raise_interval.get() * 2).min(MAX_RAISE_INTERVAL);
    }
}
