//! Tests of the clock against the boot-time clock of the system.

use std::time::Duration;

use jasminecart_core::Millis;
use jasminecart_runtime::clock::Clock;
use nix::time::{ClockId, clock_gettime};

fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("a boot-time clock").into()
}

/// Guards against a clock that stands while the VM is suspended: it has to count what the boot-time clock counts.
/// The bounds hold however long the test is interrupted.
#[test]
fn the_clock_counts_boot_time() {
    let before = since_boot();
    let clock = Clock::new();
    let started = since_boot();
    std::thread::sleep(Duration::from_millis(20));
    let least = since_boot() - started;
    let now = clock.now();
    let most = since_boot() - before;
    let millis = |duration: Duration| Millis(duration.as_millis() as u64);
    assert!(millis(least) <= now + Millis(1) && now <= millis(most), "{least:?} {now:?} {most:?}");
}
