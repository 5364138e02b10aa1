//! The monotonic clock of a process.

use std::time::Instant;

use jasminecart_core::time::Millis;

/// A monotonic clock that counts from its creation. All components of a process hold copies of the
/// same clock, so that their instants can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    #[allow(clippy::new_without_default)] // Instants of two clocks can't be compared.
    pub fn new() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the time since the start of the clock.
    pub fn now(self) -> Millis {
        let millis = self.0.elapsed().as_millis();
        Millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}
