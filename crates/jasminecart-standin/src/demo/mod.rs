//! The demo: runs an environment of all components in one process over loopback, through planned changes and
//! failures.

mod entries;
mod figures;
mod scenario;
mod services;
mod world;

use std::fmt;
use std::sync::Arc;
use std::time::Instant;

pub use self::figures::{DemoFigures, DemoReport};
use crate::errors::Result;

type Printer = dyn Fn(&str) + Send + Sync;

/// The options of the demo.
#[derive(Clone)]
pub struct DemoOptions {
    /// The seed of the fabric, the clients and the state machines.
    pub seed: u64,
    /// Whether the environment keeps running after the report until the process receives an interrupt.
    pub hold: bool,
    progress: Arc<Printer>,
}

impl fmt::Debug for DemoOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DemoOptions").field("seed", &self.seed).field("hold", &self.hold).finish()
    }
}

impl DemoOptions {
    /// Creates options for a run without progress output that ends by itself.
    pub fn new(seed: u64) -> DemoOptions {
        DemoOptions { seed, hold: false, progress: Arc::new(|_| {}) }
    }

    /// Sets whether the environment keeps running after the report until the process receives an interrupt.
    pub fn with_hold(mut self, hold: bool) -> DemoOptions {
        self.hold = hold;
        self
    }

    /// Passes each progress line to `print`. With `hold`, this includes the lines of the report.
    pub fn with_progress(mut self, print: impl Fn(&str) + Send + Sync + 'static) -> DemoOptions {
        self.progress = Arc::new(print);
        self
    }
}

/// Prints progress lines with the time since the start.
struct Progress {
    started: Instant,
    print: Arc<Printer>,
}

impl Progress {
    fn print(&self, text: &str) {
        (self.print)(&format!("{:5.1} s  {text}", self.started.elapsed().as_secs_f64()));
    }
}

/// Runs the demo, which takes less than 60 s without `hold`.
///
/// # Errors
///
/// Returns an error when the environment cannot be started. A violated invariant is not an error: see
/// [`DemoReport::invariants_held`].
pub async fn run(options: DemoOptions) -> Result<DemoReport> {
    let progress = Progress { started: Instant::now(), print: options.progress.clone() };
    let mut world = world::World::start(options.seed, &progress).await?;
    let report = scenario::run(&mut world, &progress).await?;
    if options.hold {
        report.lines().iter().for_each(|line| (options.progress)(line));
        world.print_addresses(&progress);
        progress.print("the environment stays up until this process is interrupted");
        // If no signal handler can be installed, the default action of the signal ends the process.
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(report)
}
