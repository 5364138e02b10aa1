//! Detection of targets that refuse requests, from the length of their responses.
//!
//! An overloaded target refuses at once. A VM sees only what clients send, so that a refusal looks like a very
//! fast response and an overloaded target would attract the retries of the clients it refused. The client's
//! acknowledgements show how long a response was; refusals and failures are much shorter than the other
//! responses of their route. `docs/platform.md`, "Refusing targets", has the figures.

use crate::time::Millis;

/// A response shorter than this fraction of its route's mean counts as a refusal. Refusals have about 150
/// bytes with their header; the route with the shortest responses has 505 on average, and the responses of one
/// route vary in length.
const REFUSAL_RATIO: f64 = 0.35;
/// How many responses of a route have to be seen before one can count as a refusal.
const MIN_RESPONSES: u32 = 8;
/// The load that a refusal adds to its target, in requests, for work that this VM does not see: the target's
/// queue is full. Queues of 8 are usual.
const REFUSAL_LOAD: f64 = 8.0;
/// The time in which the load of a refusal decays to zero. Two slots drain a full queue of requests of 30 to
/// 40 ms in 200 ms, and retries refill it. Values of 200 to 1,500 ms differ little in `measure steering`.
const REFUSAL_DECAY: Millis = Millis(600);

/// Returns whether a response of `bytes` is a refusal on a route whose `samples` responses have `mean` bytes on
/// average.
pub(super) fn is_refusal_size(bytes: u32, mean: f64, samples: u32) -> bool {
    samples >= MIN_RESPONSES && f64::from(bytes) < REFUSAL_RATIO * mean
}

/// The refusals of one target that this VM saw.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Refusals {
    last_segment_at: Option<Millis>,
}

impl Refusals {
    pub(super) fn add(&mut self, now: Millis) {
        self.last_segment_at = Some(now);
    }

    /// Returns the estimated load that this VM does not see, in requests. It decays linearly after a refusal.
    pub(super) fn load(&self, now: Millis) -> f64 {
        let Some(last_segment_at) = self.last_segment_at else { return 0.0 };
        let left = REFUSAL_DECAY - now.since(last_segment_at);
        REFUSAL_LOAD * left.get() as f64 / REFUSAL_DECAY.get() as f64
    }
}
