//! The background tasks of one entry VM.

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Spawns tasks and cancels all of them when the entry VM is killed. Every task of the VM must be spawned
/// through this type, or it would outlive [`crate::EntryHandle::kill`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    killed: CancellationToken,
    running: TaskTracker,
}

impl Tasks {
    /// Spawns a task. Its future is dropped when the VM is killed.
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

    /// Waits until all tasks have ended.
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
