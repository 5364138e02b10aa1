//! Keeps what the VM knows of routes and targets up to date.

use std::rc::Rc;
use std::time::Duration;

use jasminecart_core::time::Millis;
use jasminecart_core::version::Revision;
use jasminecart_runtime::backoff::Backoff;
use log::{info, warn};
use tokio::sync::{mpsc, watch};

use crate::edges::{Changes, Directory, DirectoryError, Snapshot};
use crate::metrics::Metrics;

/// Periods of calls to the directory.
#[derive(Clone, Copy, Debug)]
pub struct FeedLimits {
    /// How long the directory holds a watch back. It bounds how long a silent connection goes unnoticed,
    /// and stays below the age at which members that follow a reader read on their own.
    pub watch_wait: Millis,
    /// The first and the longest delay after a failed call. The longest keeps a VM that is back in touch
    /// current within the second that adoption bounds leave.
    pub first_backoff: Duration,
    /// See [`FeedLimits::first_backoff`].
    pub longest_backoff: Duration,
}

impl Default for FeedLimits {
    fn default() -> Self {
        FeedLimits {
            watch_wait: Millis(1_500),
            first_backoff: Duration::from_millis(50),
            longest_backoff: Duration::from_millis(500),
        }
    }
}

/// What the feed has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Peers tell what changes; the directory is not called.
    Rest,
    /// Follow the directory from a revision on, or from a whole read when nothing is known.
    Follow(Revision),
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
        backoff: Backoff::new(limits.first_backoff, limits.longest_backoff),
        failing: false,
        position: None,
    };
    loop {
        let order = *orders.borrow_and_update();
        let ended = match order {
            Order::Rest => orders.changed().await.is_err(),
            Order::Follow(known) => {
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
            let step = match self.position {
                None => directory.read().await.map(Update::Read),
                Some(after) => directory.watch(after, limits.watch_wait).await.map(Update::Changed),
            };
            let there = match step {
                Ok(update) => self.on_answer(update, tx).await,
                Err(error) => self.on_failure(error, metrics, tx).await,
            };
            if !there {
                return;
            }
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

    /// Waits before the next call. Returns whether the daemon is still there.
    async fn on_failure(
        &mut self,
        error: DirectoryError,
        metrics: &Metrics,
        tx: &mpsc::Sender<Update>,
    ) -> bool {
        metrics.directory_failures.inc();
        let cause = error.to_string();
        if matches!(error, DirectoryError::HistoryLost) {
            info!(event = "directory-history-lost"; "the directory is read anew");
            self.position = None;
            return !tx.is_closed();
        }
        if !self.failing {
            warn!(event = "directory-lost", cause = cause.as_str(); "a call to the directory failed");
        }
        self.failing = true;
        if tx.send(Update::Failed).await.is_err() {
            return false;
        }
        tokio::time::sleep(self.backoff.next_delay()).await;
        true
    }
}
