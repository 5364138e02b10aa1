//! The demo: a whole environment on loopback in one process, through planned changes and failures.

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

/// How the demo runs.
#[derive(Clone)]
pub struct DemoOptions {
    /// The seed of the fabric, the clients and the state machines.
    pub seed: u64,
    /// Whether the environment stays up after the report until the process is interrupted.
    pub hold: bool,
    progress: Arc<Printer>,
}

impl fmt::Debug for DemoOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DemoOptions").field("seed", &self.seed).field("hold", &self.hold).finish()
    }
}

impl DemoOptions {
    /// Creates options for a silent run that ends by itself.
    pub fn new(seed: u64) -> DemoOptions {
        DemoOptions { seed, hold: false, progress: Arc::new(|_| {}) }
    }

    /// Keeps the environment up after the report until the process receives an interrupt.
    pub fn with_hold(mut self, hold: bool) -> DemoOptions {
        self.hold = hold;
        self
    }

    /// Passes each line of progress to `print`. With hold, the lines of the report are among them.
    pub fn with_progress(mut self, print: impl Fn(&str) + Send + Sync + 'static) -> DemoOptions {
        self.progress = Arc::new(print);
        self
    }
}

/// The lines of progress with the time since the start.
struct Progress {
    started: Instant,
    print: Arc<Printer>,
}

impl Progress {
    fn say(&self, text: &str) {
        (self.print)(&format!("{:5.1} s  {text}", self.started.elapsed().as_secs_f64()));
    }
}

/// Runs the demo, which takes less than 60 s without hold.
///
/// # Errors
///
/// Returns an error when the environment cannot be started. A broken promise is no error: see
/// [`DemoReport::is_kept`].
pub async fn run(options: DemoOptions) -> Result<DemoReport> {
    let progress = Progress { started: Instant::now(), print: options.progress.clone() };
    let mut world = world::World::start(options.seed, &progress).await?;
    let report = scenario::run(&mut world, &progress).await?;
    if options.hold {
        report.lines().iter().for_each(|line| (options.progress)(line));
        world.describe(&progress);
        progress.say("the environment stays up until this process is interrupted");
        // Without a handler for the signal, the process ends by the signal itself.
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(report)
}
