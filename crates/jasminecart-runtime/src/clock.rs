//! The monotonic clock of a process.

use std::time::Duration;

use jasminecart_core::time::Millis;
use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that counts from its creation. All components of a process hold copies of the
/// same clock, so that their instants can be compared.
///
/// It goes on while the VM is suspended, unlike [`std::time::Instant`]: a VM that resumes has to know
/// that its view of targets and routes is old, and must not send it to its peers as a recent one.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Duration);

impl Clock {
    /// Starts a clock at zero.
    #[allow(clippy::new_without_default)] // Instants of two clocks can't be compared.
    pub fn new() -> Clock {
        Clock(since_boot())
    }

    /// Returns the time since the start of the clock.
    pub fn now(self) -> Millis {
        let millis = since_boot().saturating_sub(self.0).as_millis();
        Millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Returns the time since the VM was booted, including the time for which it was suspended.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    now.map(Duration::from).unwrap_or_else(|_| unreachable!("Linux has a boot-time clock"))
}
