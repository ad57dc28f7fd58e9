//! Histogram of the duration of disk syncs, for the whole process.

use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use std::sync::LazyLock;
use std::time::Instant;

/// Upper bound of the first bucket, in seconds; each further bound is twice the previous one.
const FIRST_BUCKET_SECONDS: f64 = 0.000_1;
/// Number of buckets of the histogram.
const BUCKETS: u16 = 16;

static SYNC_TIMES: LazyLock<Histogram> = LazyLock::new(|| {
    let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS);
    Histogram::new(buckets)
});

/// Histogram of the duration of all syncs, in seconds.
#[must_use]
pub fn sync_times() -> Histogram {
    SYNC_TIMES.clone()
}

/// Runs a sync and records its duration.
pub(crate) fn observe_sync<T>(sync: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = sync();
    SYNC_TIMES.observe(started.elapsed().as_secs_f64());
    result
}
