//! The type of instants and durations in the core.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// An instant or a duration in milliseconds.
///
/// Instants are read from a monotonic clock with an arbitrary origin in each process. The core
/// never reads a clock itself, so that a test can run it at any speed. Arithmetic saturates,
/// because a process that resumes after a long pause must not panic on an unexpected order of
/// instants.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of the clock, and the zero duration.
    pub const ZERO: Millis = Millis(0);
    /// An instant that is never reached.
    pub const MAX: Millis = Millis(u64::MAX);

    /// Creates a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs.saturating_mul(1000))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the value as seconds, for metrics.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Millis) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl From<Millis> for std::time::Duration {
    fn from(duration: Millis) -> Self {
        std::time::Duration::from_millis(duration.0)
    }
}
