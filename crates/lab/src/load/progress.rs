//! The progress line on standard error.

use super::record::{RequestRecord, RequestResult};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts of a running load.
#[derive(Debug)]
pub struct Progress {
    start: Instant,
    length: Duration,
    sent: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

impl Progress {
    /// Counts of a load of this length.
    pub fn new(length: Duration) -> Self {
        Self {
            start: Instant::now(),
            length,
            sent: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    /// Counts a request that goes out.
    pub fn sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that ended.
    pub fn ended(&self, record: &RequestRecord) {
        let count = match record.result {
            RequestResult::Answered => &self.answered,
            RequestResult::Refused { .. } => &self.refused,
            _ => &self.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Prints a line each second until dropped.
    pub async fn print(self: Arc<Self>) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            eprint!("\r{}", self.line());
        }
    }

    /// Ends the line.
    pub fn finish(&self) {
        eprintln!("\r{}", self.line());
    }

    fn line(&self) -> String {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let (sent, answered) = (count(&self.sent), count(&self.answered));
        let (refused, failed) = (count(&self.refused), count(&self.failed));
        let running = sent.saturating_sub(answered + refused + failed);
        format!(
            "load: {} of {} s, sent {sent}, running {running}, answered {answered}, refused {refused}, failed {failed} ",
            self.start.elapsed().as_secs(),
            self.length.as_secs(),
        )
    }
}
