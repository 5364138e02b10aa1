//! Keeps what the VM knows of routes and targets up to date.

use std::rc::Rc;
use std::time::Duration;

use jasminecart_core::time::Millis;
use jasminecart_core::version::Revision;
use jasminecart_runtime::backoff::Backoff;
use log::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::edges::{Changes, Directory, DirectoryError, Snapshot};
use crate::metrics::Metrics;

/// Periods of calls to the directory.
#[derive(Clone, Copy, Debug)]
pub struct FeedLimits {
    /// How long the directory holds a watch back. It bounds how long a silent connection goes unnoticed,
    /// and stays below the age at which members that follow a reader read on their own.
    pub watch_wait: Millis,
    /// The least time from one watch to the next. A watch ends with the first change, so that without a
    /// pause every target that registers costs a call of every reader; 3,000 targets that register at the start of
    /// 300 VMs occupied those for minutes.
    pub watch_spacing: Duration,
    /// The delay after the first failed call; it doubles with each further one.
    pub first_backoff: Duration,
    /// The longest delay of a VM that its data centre relies on to notice the directory's return. It keeps
    /// the others current within the second that adoption bounds leave.
    pub longest_backoff: Duration,
    /// The longest delay of any other VM. It bounds the calls of a large data centre during an outage, and
    /// how late a VM reads that alone reaches the directory.
    pub patient_backoff: Duration,
}

impl Default for FeedLimits {
    fn default() -> Self {
        FeedLimits {
            watch_wait: Millis(1_500),
            watch_spacing: Duration::from_millis(300),
            first_backoff: Duration::from_millis(50),
            longest_backoff: Duration::from_millis(500),
            patient_backoff: Duration::from_secs(2),
        }
    }
}

/// What the feed has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Peers tell what changes; the directory is not called.
    Rest,
    /// Follow the directory.
    Follow {
        /// What is known already; revision 0 asks for a whole read.
        known: Revision,
        /// How eagerly to call while the directory fails.
        patience: Patience,
    },
}

/// How long a VM waits between failing calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Patience {
    /// The data centre relies on this VM to notice the directory's return.
    Probing,
    /// Others notice it and tell.
    Relying,
}

/// What the feed tells the forwarder.
#[derive(Debug)]
pub(crate) enum Update {
    /// The directory was read as a whole.
    Read(Snapshot),
    /// Something changed, or the directory confirmed that nothing did.
    Changed(Changes),
    /// The directory answers again after it failed.
    Regained,
    /// A call to the directory failed.
    Failed,
}

/// Reads the directory and follows its changes as ordered, until the daemon is gone.
pub(crate) async fn follow(
    directory: Rc<impl Directory>,
    limits: FeedLimits,
    metrics: Rc<Metrics>,
    mut orders: watch::Receiver<Order>,
    tx: mpsc::Sender<Update>,
) {
    let mut feed = Feed {
        backoff: Backoff::new(limits.first_backoff, limits.patient_backoff),
        failing: false,
        position: None,
        orders: orders.clone(),
    };
    loop {
        let order = *orders.borrow_and_update();
        let ended = match order {
            Order::Rest => orders.changed().await.is_err(),
            Order::Follow { known, .. } => {
                feed.position = feed.position.max((known > Revision(0)).then_some(known));
                tokio::select! {
                    ended = feed.run(directory.as_ref(), limits, &metrics, &tx) => {
                        let () = ended;
                        true
                    }
                    changed = stop_following(&mut orders) => changed.is_err(),
                }
            }
        };
        if ended {
            return;
        }
    }
}

/// Waits until the feed is told to rest. A newer position does not interrupt a watch.
async fn stop_following(
    orders: &mut watch::Receiver<Order>,
) -> Result<(), watch::error::RecvError> {
    orders.wait_for(|order| *order == Order::Rest).await.map(|_| ())
}

struct Feed {
    backoff: Backoff,
    failing: bool,
    /// Where the next watch continues; absent when everything has to be read first.
    position: Option<Revision>,
    orders: watch::Receiver<Order>,
}

impl Feed {
    /// Follows the directory until the daemon is gone.
    async fn run(
        &mut self,
        directory: &impl Directory,
        limits: FeedLimits,
        metrics: &Metrics,
        tx: &mpsc::Sender<Update>,
    ) {
        loop {
            metrics.directory_calls.inc();
            let began_at = Instant::now();
            let step = match self.position {
                None => directory.read().await.map(Update::Read),
                Some(after) => directory.watch(after, limits.watch_wait).await.map(Update::Changed),
            };
            let (there, next_at) = match step {
                Ok(update) => (self.on_answer(update, tx).await, began_at + limits.watch_spacing),
                Err(error) => {
                    let delay = self.on_failure(&error, limits, metrics, tx).await;
                    (delay.is_some(), Instant::now() + delay.unwrap_or_default())
                }
            };
            if !there {
                return;
            }
            tokio::time::sleep_until(next_at).await;
        }
    }

    /// Passes an answer on. Returns whether the forwarder is still there.
    async fn on_answer(&mut self, update: Update, tx: &mpsc::Sender<Update>) -> bool {
        self.backoff.reset();
        if self.failing {
            self.failing = false;
            info!(event = "directory-regained"; "the directory answers again");
            if tx.send(Update::Regained).await.is_err() {
                return false;
            }
        }
        self.position = match &update {
            Update::Read(snapshot) => Some(snapshot.revision),
            Update::Changed(changes) => self.position.max(Some(changes.revision)),
            Update::Regained | Update::Failed => self.position,
        };
        tx.send(update).await.is_ok()
    }

    /// Returns the delay before the next call, or `None` when the daemon is gone.
    async fn on_failure(
        &mut self,
        error: &DirectoryError,
        limits: FeedLimits,
        metrics: &Metrics,
        tx: &mpsc::Sender<Update>,
    ) -> Option<Duration> {
        metrics.directory_failures.inc();
        if matches!(error, DirectoryError::HistoryLost) {
            info!(event = "directory-history-lost"; "the directory is read anew");
            self.position = None;
            return (!tx.is_closed()).then_some(Duration::ZERO);
        }
        if !self.failing {
            let cause = error.to_string();
            warn!(event = "directory-lost", cause = cause.as_str(); "a call to the directory failed");
        }
        self.failing = true;
        tx.send(Update::Failed).await.ok()?;
        let delay = self.backoff.next_delay();
        let longest = match *self.orders.borrow() {
            Order::Follow { patience: Patience::Relying, .. } => limits.patient_backoff,
            Order::Follow { patience: Patience::Probing, .. } | Order::Rest => {
                limits.longest_backoff
            }
        };
        Some(delay.min(longest))
    }
}
