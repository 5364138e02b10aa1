//! The number of requests that a target is known to take at a time.

use crate::time::Millis;

const STEP_MIN: Millis = Millis(100);
/// A target that lost slots is probed this often at least, so that returning slots are found.
const STEP_MAX: Millis = Millis(4_000);

/// Lowers the number of slots in use when the target refuses work, and raises it again step by step.
/// The document's slot count is the upper bound. It is the way in which a home that lost track of its
/// grants, or a target that lost slots, becomes visible.
#[derive(Debug)]
pub(super) struct Ceiling {
    limit: u32,
    blocked_until: Millis,
    raise_at: Millis,
    step: Millis,
    refused_at: Option<Millis>,
}

impl Ceiling {
    /// Starts with `limit` requests at a time.
    pub(super) fn new(limit: u32) -> Ceiling {
        Ceiling {
            limit,
            blocked_until: Millis::ZERO,
            raise_at: Millis::ZERO,
            step: STEP_MIN,
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
            self.raise_at = now + self.step;
        }
        self.limit = self.limit.clamp(1, slots.max(1));
        self.limit
    }

    /// Takes a refusal by the target while `in_use` requests, the refused one included, were with it.
    pub(super) fn refuse(&mut self, now: Millis, in_use: u32) {
        let quiet = |at: Millis| now.since(at).get() > 4 * self.step.get();
        if self.refused_at.is_some_and(quiet) {
            self.step = STEP_MIN;
        }
        self.refused_at = Some(now);
        self.limit = in_use.saturating_sub(1).max(1);
        self.raise_at = now + self.step;
        if in_use <= 1 {
            self.blocked_until = now + self.step;
        }
        self.step = Millis(self.step.get() * 2).min(STEP_MAX);
    }
}
