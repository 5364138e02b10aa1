//! Evidence that a target does not answer.

use crate::time::Millis;

/// How long one repeated opening counts against a target. Copies follow after 200 ms and 600 ms, so that a
/// target that stays silent is accused again before the first evidence fades.
const OPENING_EVIDENCE: Millis = Millis(1_500);

/// What the flows through this VM say about one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Silence {
    /// Until when the target is avoided because an opening got no answer.
    avoid_until: Millis,
}

impl Silence {
    /// Notes that a client repeated an opening that had been sent to the target.
    pub(super) fn on_repeated_opening(&mut self, now: Millis) {
        self.avoid_until = now + OPENING_EVIDENCE;
    }

    /// Notes that a client acknowledged something that the target sent.
    pub(super) fn on_progress(&mut self) {
        self.avoid_until = Millis::ZERO;
    }

    /// Tells whether new flows should go elsewhere.
    pub(super) fn is_suspect(&self, now: Millis) -> bool {
        now < self.avoid_until
    }
}
