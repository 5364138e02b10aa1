//! The tasks of one entry process.

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Spawns tasks that all end at once when the entry process is killed. A task of the process must be
/// spawned through this type, or it would outlive [`crate::EntryHandle::kill`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    killed: CancellationToken,
    running: TaskTracker,
}

impl Tasks {
    /// Spawns a task. Its future is dropped when the process is killed.
    pub(crate) fn spawn<F>(&self, future: F) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let killed = self.killed.clone();
        self.running.spawn(async move {
            killed.run_until_cancelled(future).await;
        })
    }

    /// Drops the futures of all tasks.
    pub(crate) fn kill(&self) {
        self.killed.cancel();
    }

    /// Waits until no task is left.
    pub(crate) async fn wait(&self) {
        self.running.close();
        self.running.wait().await;
    }
}

/// Lets hyper spawn the background tasks of HTTP/2 connections.
impl<F> hyper::rt::Executor<F> for Tasks
where
    F: Future + Send + 'static,
{
    fn execute(&self, future: F) {
        self.spawn(async move {
            future.await;
        });
    }
}
