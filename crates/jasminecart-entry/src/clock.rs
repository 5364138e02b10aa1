//! The clock of a process.

use std::time::Instant;

use jasminecart_core::Millis;

/// The monotonic clock of one process, which the core receives as [`Millis`].
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts at zero.
    #[allow(clippy::new_without_default, reason = "a default value must not depend on the time")]
    pub fn new() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(self) -> Millis {
        Millis(u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
