//! Reads routes and targets from the store, through the directory, and watches it for changes.

use std::rc::Rc;
use std::time::Duration;

use jasminecart_core::time::Millis;
use jasminecart_core::version::StoreRevision;
use jasminecart_runtime::backoff::Backoff;
use log::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::edges::{Changes, Directory, DirectoryError, Snapshot};
use crate::metrics::Metrics;

/// Timing of calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct FeedLimits {
    /// How long the store may wait before it responds to a watch without changes. It bounds how long a
    /// silent connection goes unnoticed, and stays below the age at which members that follow a reader start to
    /// read the store themselves.
    pub watch_wait: Millis,
    /// The minimum time from one watch to the next. A watch ends with the first change, so that without this
    /// limit every target that registers causes a call of every reader: 3,000 targets that registered at the
    /// start of 300 VMs kept those busy for minutes.
    pub watch_spacing: Duration,
    /// The delay after the first failed call. It doubles with each further failure.
    pub initial_backoff: Duration,
    /// The maximum delay of a VM on which its data centre relies to detect that the store has recovered. It
    /// is short enough that the other VMs get changes within the second that the bounds on adoption leave.
    pub fast_max_backoff: Duration,
    /// The maximum delay of any other VM. It limits the calls of a large data centre during an outage, and bounds
    /// the delay until a VM starts to read if it is the only one that can reach the store.
    pub slow_max_backoff: Duration,
}

impl Default for FeedLimits {
    fn default() -> Self {
        FeedLimits {
            watch_wait: Millis(1_500),
            watch_spacing: Duration::from_millis(300),
            initial_backoff: Duration::from_millis(50),
            fast_max_backoff: Duration::from_millis(500),
            slow_max_backoff: Duration::from_secs(2),
        }
    }
}

/// What the feed does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FeedMode {
    /// Peers send changes; the store is not called.
    Idle,
    /// Read the store and watch it.
    Follow {
        /// The revision of the current view; 0 requests a full read.
        known: StoreRevision,
        /// How often to retry while calls fail.
        retry: RetryPace,
    },
}

/// How often a VM retries while calls to the store fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryPace {
    /// The data centre relies on this VM to detect that the store has recovered.
    Fast,
    /// Another VM detects it and announces it.
    Slow,
}

/// An event that the feed sends to the main loop.
#[derive(Debug)]
pub(crate) enum Update {
    /// The store was read in full.
    Read(Snapshot),
    /// A watch returned changes, or confirmed that there are none.
    Changed(Changes),
    /// A call to the store succeeded after failed ones.
    Recovered,
    /// A call to the store failed.
    Failed,
}

/// Reads and watches the store as `modes` requires, until the main loop has ended.
pub(crate) async fn follow(
    directory: Rc<impl Directory>,
    limits: FeedLimits,
    metrics: Rc<Metrics>,
    mut modes: watch::Receiver<FeedMode>,
    tx: mpsc::Sender<Update>,
) {
    let mut feed = Feed {
        backoff: Backoff::new(limits.initial_backoff, limits.slow_max_backoff),
        failing: false,
        position: None,
        epoch: 0,
        modes: modes.clone(),
    };
    loop {
        let mode = *modes.borrow_and_update();
        let ended = match mode {
            FeedMode::Idle => modes.changed().await.is_err(),
            FeedMode::Follow { known, .. } => {
                feed.position = feed.position.max((known > StoreRevision::NONE).then_some(known));
                tokio::select! {
                    ended = feed.run(directory.as_ref(), limits, &metrics, &tx) => {
                        let () = ended;
                        true
                    }
                    changed = stop_following(&mut modes) => changed.is_err(),
                }
            }
        };
        if ended {
            return;
        }
    }
}

/// Waits until the mode becomes idle. A newer position does not interrupt a watch.
async fn stop_following(
    modes: &mut watch::Receiver<FeedMode>,
) -> Result<(), watch::error::RecvError> {
    modes.wait_for(|mode| *mode == FeedMode::Idle).await.map(|_| ())
}

struct Feed {
    backoff: Backoff,
    failing: bool,
    /// The revision from which the next watch continues; `None` if a full read is needed first.
    position: Option<StoreRevision>,
    /// The latest known epoch of the store.
    epoch: u64,
    modes: watch::Receiver<FeedMode>,
}

impl Feed {
    /// Reads and watches the store until the main loop has ended.
    async fn run(
        &mut self,
        directory: &impl Directory,
        limits: FeedLimits,
        metrics: &Metrics,
        tx: &mpsc::Sender<Update>,
    ) {
        loop {
            metrics.directory_calls.inc();
            let started_at = Instant::now();
            self.epoch = self.epoch.max(self.position.map_or(0, |position| position.epoch));
            let step = match self.position {
                None => directory.read().await.map(Update::Read),
                Some(after) => directory.watch(after, limits.watch_wait).await.map(Update::Changed),
            };
            let step = step.and_then(|update| self.check_epoch(update));
            let (running, next_at) = match step {
                Ok(update) => (self.on_update(update, tx).await, started_at + limits.watch_spacing),
                Err(error) => {
                    let delay = self.on_failure(&error, limits, metrics, tx).await;
                    (delay.is_some(), Instant::now() + delay.unwrap_or_default())
                }
            };
            if !running {
                return;
            }
            tokio::time::sleep_until(next_at).await;
        }
    }

    /// Refuses a response of another epoch than the latest known one. The changes that a watch returns after the store
    /// was restored are not complete: they begin at a revision that was given out twice.
    fn check_epoch(&self, update: Update) -> Result<Update, DirectoryError> {
        let epoch = match &update {
            Update::Read(snapshot) => snapshot.revision.epoch,
            Update::Changed(changes) if changes.revision.epoch > self.epoch => {
                return Err(DirectoryError::Restored);
            }
            Update::Changed(changes) => changes.revision.epoch,
            Update::Recovered | Update::Failed => return Ok(update),
        };
        if epoch < self.epoch { Err(DirectoryError::OldEpoch) } else { Ok(update) }
    }

    /// Sends an update to the main loop. Returns whether the main loop is still running.
    async fn on_update(&mut self, update: Update, tx: &mpsc::Sender<Update>) -> bool {
        self.backoff.reset();
        if self.failing {
            self.failing = false;
            info!(event = "directory-regained"; "the directory responds again");
            if tx.send(Update::Recovered).await.is_err() {
                return false;
            }
        }
        self.position = match &update {
            Update::Read(snapshot) => Some(snapshot.revision),
            Update::Changed(changes) => self.position.max(Some(changes.revision)),
            Update::Recovered | Update::Failed => self.position,
        };
        tx.send(update).await.is_ok()
    }

    /// Handles a failed call. Returns the delay before the next one, or `None` if the main loop has ended.
    async fn on_failure(
        &mut self,
        error: &DirectoryError,
        limits: FeedLimits,
        metrics: &Metrics,
        tx: &mpsc::Sender<Update>,
    ) -> Option<Duration> {
        metrics.directory_failures.inc();
        if matches!(error, DirectoryError::HistoryLost | DirectoryError::Restored) {
            let cause = error.to_string();
            info!(
                event = "directory-history-lost", cause = cause.as_str();
                "the directory no longer has the requested history; reading it in full"
            );
            self.position = None;
            return (!tx.is_closed()).then_some(Duration::ZERO);
        }
        if !self.failing {
            let cause = error.to_string();
            warn!(
                event = "directory-lost", cause = cause.as_str();
                "a call to the directory failed; retrying with backoff"
            );
        }
        self.failing = true;
        tx.send(Update::Failed).await.ok()?;
        let delay = self.backoff.next_delay();
        let max_backoff = match *self.modes.borrow() {
            FeedMode::Follow { retry: RetryPace::Slow, .. } => limits.slow_max_backoff,
            FeedMode::Follow { retry: RetryPace::Fast, .. } | FeedMode::Idle => {
                limits.fast_max_backoff
            }
        };
        Some(delay.min(max_backoff))
    }
}
