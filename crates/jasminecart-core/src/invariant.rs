//! Invariants asserted inside the program.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns how many invariants were violated since the start of the process.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Records a violation. Panics in debug builds, which tests use; the release daemon goes on and
/// exports the count, and the `measure` binary fails when it is not zero.
#[track_caller]
pub fn violated(text: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    if cfg!(debug_assertions) {
        panic!("invariant violated: {text}");
    }
}

/// Checks an invariant of the brief or of a module, and records a violation when it does not hold.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($text:tt)+) => {
        if !$holds {
            $crate::invariant::violated(&format!($($text)+));
        }
    };
}
