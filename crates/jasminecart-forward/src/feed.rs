//! Keeps what the VM knows of routes and targets up to date.

use std::rc::Rc;
use std::time::Duration;

use jasminecart_core::time::Millis;
use jasminecart_core::version::Revision;
use jasminecart_runtime::backoff::Backoff;
use log::{info, warn};
use tokio::sync::mpsc;

use crate::edges::{Changes, Directory, DirectoryError, Snapshot};
use crate::metrics::Metrics;

/// Periods of calls to the directory.
#[derive(Clone, Copy, Debug)]
pub struct FeedLimits {
    /// How long the directory holds a watch back. It bounds how long a silent connection goes unnoticed.
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
            watch_wait: Millis(2_000),
            first_backoff: Duration::from_millis(50),
            longest_backoff: Duration::from_millis(500),
        }
    }
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
}

/// Reads the directory and follows its changes until the forwarder is gone.
pub(crate) async fn follow(
    directory: Rc<impl Directory>,
    limits: FeedLimits,
    metrics: Rc<Metrics>,
    tx: mpsc::Sender<Update>,
) {
    let mut feed = Feed {
        backoff: Backoff::new(limits.first_backoff, limits.longest_backoff),
        failing: false,
        position: None,
    };
    loop {
        metrics.directory_calls.inc();
        let step = match feed.position {
            None => directory.read().await.map(Update::Read),
            Some(after) => directory.watch(after, limits.watch_wait).await.map(Update::Changed),
        };
        let sent = match step {
            Ok(update) => feed.on_answer(update, &tx).await,
            Err(error) => {
                feed.on_failure(error, &metrics).await;
                !tx.is_closed()
            }
        };
        if !sent {
            return;
        }
    }
}

struct Feed {
    backoff: Backoff,
    failing: bool,
    /// Where the next watch continues; absent when everything has to be read first.
    position: Option<Revision>,
}

impl Feed {
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
            Update::Regained => self.position,
        };
        tx.send(update).await.is_ok()
    }

    async fn on_failure(&mut self, error: DirectoryError, metrics: &Metrics) {
        metrics.directory_failures.inc();
        let cause = error.to_string();
        if matches!(error, DirectoryError::HistoryLost) {
            info!(event = "directory-history-lost"; "the directory is read anew");
            self.position = None;
            return;
        }
        if !self.failing {
            warn!(event = "directory-lost", cause = cause.as_str(); "a call to the directory failed");
        }
        self.failing = true;
        tokio::time::sleep(self.backoff.next_delay()).await;
    }
}
