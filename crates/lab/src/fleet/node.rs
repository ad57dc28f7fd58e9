//! One node of a fleet: a part with a runtime and a thread of its own, so that
//! it can be ended at once, without any clean-up, like a process that dies.

use crate::error::LabError;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};

/// Longest wait for the blocking work (file writes) of an ended node.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// A running part.
#[derive(Debug)]
pub struct Node<T> {
    /// The part.
    pub part: T,
    runtime: Runtime,
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
        let started = runtime.spawn(work).await;
        match started {
            Ok(Ok(part)) => Ok(Self { part, runtime }),
            Ok(Err(error)) => {
                runtime.shutdown_background();
                Err(error.into())
            }
            Err(error) => {
                runtime.shutdown_background();
                Err(LabError::violation(format!(
                    "{name} did not start: {error}"
                )))
            }
        }
    }

    /// Ends it as a crash does: all work stops where it is, all sockets close.
    pub async fn crash(self) {
        let Self { part, runtime } = self;
        end(runtime).await;
        // Only now, so that nothing of the part's own clean-up can run.
        drop(part);
    }

    /// Stops it as planned, then ends its runtime.
    pub async fn stop<F>(self, stop: impl FnOnce(T) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let Self { part, runtime } = self;
        let _ = runtime.spawn(stop(part)).await;
        end(runtime).await;
    }

    /// Makes the whole node stand still, like a process that is not scheduled.
    pub fn freeze(&self, length: Duration) {
        // The only worker thread sleeps, and with it every task and timer.
        self.runtime
            .spawn(async move { std::thread::sleep(length) });
    }
}

async fn end(runtime: Runtime) {
    let ended = tokio::task::spawn_blocking(move || runtime.shutdown_timeout(END_TIMEOUT));
    let _ = ended.await;
}
