//! Planned times of requests.

use rand::{Rng, RngExt};
use std::time::Duration;

/// When requests go out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivalPlan {
    /// Requests per second, on average.
    pub rate_per_second: f64,
    /// Length of the load.
    pub length: Duration,
    /// Requests that come together, on average; 1 means single ones.
    pub burst_size: f64,
}

/// Longest pause between two bursts, in seconds; guards against a rate near 0.
const MAX_PAUSE_SECONDS: f64 = 86_400.0;

/// Times from the start, in order: bursts of geometric size at exponentially
/// distributed pauses.
pub fn arrival_times(plan: &ArrivalPlan, random: &mut impl Rng) -> Vec<Duration> {
    let burst_size = plan.burst_size.max(1.0);
    let bursts_per_second = plan.rate_per_second / burst_size;
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += exponential(bursts_per_second, random);
        if at >= plan.length.as_secs_f64() {
            return times;
        }
        let size = geometric(burst_size, random);
        times.extend(std::iter::repeat_n(Duration::from_secs_f64(at), size));
    }
}

fn exponential(rate: f64, random: &mut impl Rng) -> f64 {
    let uniform: f64 = random.random();
    let pause = -(1.0 - uniform).ln() / rate.max(f64::MIN_POSITIVE);
    pause.min(MAX_PAUSE_SECONDS)
}

/// A number of 1 or more with this mean.
fn geometric(mean: f64, random: &mut impl Rng) -> usize {
    if mean <= 1.0 {
        return 1;
    }
    let uniform: f64 = random.random();
    let more = (1.0 - uniform).ln() / (1.0 - 1.0 / mean).ln();
    1 + more.floor() as usize
}
