//! One node of a fleet: a part with a runtime and a thread of its own, so that
//! it can be ended at once, without any clean-up, like a process that dies.

use crate::error::LabError;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

/// Longest wait for the blocking work (file writes) of an ended node.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// A running part.
#[derive(Debug)]
pub struct Node<T> {
    /// The part.
    pub part: T,
    runtime: NodeRuntime,
}

/// A runtime that ends without waiting when it is dropped, which the library
/// allows nowhere else within asynchronous work.
#[derive(Debug)]
struct NodeRuntime(Option<Runtime>);

impl NodeRuntime {
    fn spawn<F>(&self, work: F) -> Option<JoinHandle<F::Output>>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.0.as_ref().map(|runtime| runtime.spawn(work))
    }

    /// Ends all work and waits for file writes.
    async fn end(mut self) {
        if let Some(runtime) = self.0.take() {
            let ending = move || runtime.shutdown_timeout(END_TIMEOUT);
            let _ = tokio::task::spawn_blocking(ending).await;
        }
    }
}

impl Drop for NodeRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl<T: Send + 'static> Node<T> {
    /// Starts a part on a runtime of its own.
    ///
    /// # Errors
    /// When the part can't start.
    pub async fn start<E>(
        name: &str,
        work: impl Future<Output = Result<T, E>> + Send + 'static,
    ) -> Result<Self, LabError>
    where
        E: Send + 'static,
        LabError: From<E>,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(name)
            .enable_all()
            .build()?;
        let runtime = NodeRuntime(Some(runtime));
        let Some(starting) = runtime.spawn(work) else {
            return Err(LabError::violation(format!("{name} has no runtime")));
        };
        match starting.await {
            Ok(started) => Ok(Self {
                part: started?,
                runtime,
            }),
            Err(error) => Err(LabError::violation(format!(
                "{name} did not start: {error}"
            ))),
        }
    }

    /// Ends it as a crash does: all work stops where it is, all sockets close.
    pub async fn crash(self) {
        let Self { part, runtime } = self;
        runtime.end().await;
        // Only now, so that nothing of the part's own clean-up can run.
        drop(part);
    }

    /// Stops it as planned, then ends its runtime.
    pub async fn stop<F>(self, stop: impl FnOnce(T) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let Self { part, runtime } = self;
        if let Some(stopping) = runtime.spawn(stop(part)) {
            let _ = stopping.await;
        }
        runtime.end().await;
    }

    /// Makes the whole node stand still, like a process that is not scheduled.
    pub fn freeze(&self, length: Duration) {
        // The only worker thread sleeps, and with it every task and timer.
        let _ = self
            .runtime
            .spawn(async move { std::thread::sleep(length) });
    }
}
