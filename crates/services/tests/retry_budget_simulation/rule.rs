//! The users' rule for retries: in each window, the arrivals of a service beyond the first of
//! their request are at most `ratio` times the requests for it, plus `slack`. The requests are
//! counted in that window, in the one before it, or in the one half a window before it, whichever
//! has most.

use courseshunt_services::RetryBudgetSettings;
use courseshunt_types::{Millis, Timestamp};

/// Largest fraction of the allowed retries that a window has. Both lists are in order of time.
pub fn max_used(
    settings: RetryBudgetSettings,
    requests: &[Timestamp],
    retries: &[Timestamp],
) -> f64 {
    let window = settings.window;
    let used = retries.iter().map(|start| {
        let starts = [*start, *start - Millis(window.0 / 2), *start - window];
        let requests = starts.map(|start| count(requests, start, window));
        let most = requests.into_iter().max().unwrap_or_default();
        let allowed = settings.ratio * most as f64 + settings.slack;
        count(retries, *start, window) as f64 / allowed
    });
    used.fold(0.0, f64::max)
}

/// Number of times in the window that begins at `start`, both ends included.
fn count(times: &[Timestamp], start: Timestamp, window: Millis) -> usize {
    let first = times.partition_point(|at| *at < start);
    let end = times.partition_point(|at| *at <= start + window);
    end - first
}
