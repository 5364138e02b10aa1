//! Invariants checked at run time.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns how many invariants were violated since the start of the process.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Records a violation. Debug builds, which tests use, panic. A release build continues and exports
/// the count as a metric, and the `measure` binary fails if the count is not zero.
#[track_caller]
pub fn record_violation(text: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    if cfg!(debug_assertions) {
        panic!("invariant violated: {text}");
    }
}

/// Checks an invariant of the system or of a module, and records a violation if the condition is
/// false.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $($text:tt)+) => {
        if !$condition {
            $crate::invariant::record_violation(&format!($($text)+));
        }
    };
}
