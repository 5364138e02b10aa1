//! Evidence that a target refuses requests, from the length of its answers.
//!
//! A full target refuses at once. To a VM, which sees only what clients send, that looks like the fastest
//! answer of all, so that a full target would attract the retries of those it refused. The client's
//! acknowledgements tell how long an answer was; refusals and failures are much shorter than
//! the answers of their route. `docs/platform.md`, "Refusing targets", has the figures.

use crate::time::Millis;

/// An answer counts as a refusal below this share of its route's mean. Refusals have about 150 bytes with
/// their header, the shortest route of today 505 on average; answers of one route vary in length.
const SHORT_SHARE: f64 = 0.35;
/// The answers of a route that have to be known before one can be short.
const LEAST_ANSWERS: u32 = 8;
/// What a refusal says about work that this VM does not see, in requests: the queue of a target is full.
/// Queues of 8 are usual.
const LOAD: f64 = 8.0;
/// The span after which a refusal says nothing any more. Two slots work off a full queue of requests of 30 to
/// 40 ms in 200 ms, and retries refill it. Spans of 200 to 1,500 ms differ little in `measure steering`.
const FADING: Millis = Millis(600);

/// Tells whether an answer of `bytes` is a refusal on a route whose answers have `mean` bytes by `samples`.
pub(super) fn is_short(bytes: u32, mean: f64, samples: u32) -> bool {
    samples >= LEAST_ANSWERS && f64::from(bytes) < SHORT_SHARE * mean
}

/// The refusals of one target as far as this VM saw them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Refusals {
    last_at: Option<Millis>,
}

impl Refusals {
    /// Notes a refusal.
    pub(super) fn add(&mut self, now: Millis) {
        self.last_at = Some(now);
    }

    /// Returns the work at the target that this VM does not see, in requests.
    pub(super) fn load(&self, now: Millis) -> f64 {
        let Some(last_at) = self.last_at else { return 0.0 };
        let left = FADING - now.since(last_at);
        LOAD * left.get() as f64 / FADING.get() as f64
    }
}
