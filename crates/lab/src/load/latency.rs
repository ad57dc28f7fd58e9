//! Latency histograms.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Longest latency told apart, in milliseconds: a day.
const MAX_MILLIS: u64 = 86_400_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies in milliseconds.
#[derive(Debug, Clone)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

/// Usual percentiles, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, serde::Serialize)]
pub struct LatencySummary {
    /// Values.
    pub count: u64,
    /// Half are no longer.
    pub p50_ms: u64,
    /// 95 in 100 are no longer.
    pub p95_ms: u64,
    /// 99 in 100 are no longer.
    pub p99_ms: u64,
    /// 999 in 1000 are no longer.
    pub p999_ms: u64,
    /// The longest.
    pub max_ms: u64,
}

impl Default for Latencies {
    fn default() -> Self {
        let mut histogram =
            Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is allowed");
        histogram.auto(true);
        Self { histogram }
    }
}

impl Latencies {
    /// Adds one; longer than a day counts as a day.
    pub fn record(&mut self, length: Duration) {
        let millis = u64::try_from(length.as_millis()).unwrap_or(MAX_MILLIS);
        // The histogram grows with its values, so that none is out of range.
        let recorded = self.histogram.record(millis.min(MAX_MILLIS));
        debug_assert!(recorded.is_ok());
    }

    /// The value that this share (0 to 1) of all does not exceed, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> u64 {
        self.histogram.value_at_quantile(share)
    }

    /// Usual percentiles.
    #[must_use]
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            count: self.histogram.len(),
            p50_ms: self.quantile_ms(0.5),
            p95_ms: self.quantile_ms(0.95),
            p99_ms: self.quantile_ms(0.99),
            p999_ms: self.quantile_ms(0.999),
            max_ms: self.histogram.max(),
        }
    }
}
