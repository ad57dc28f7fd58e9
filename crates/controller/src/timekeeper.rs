//! Advances committed time, so that claims, leases and jobs expire.
//!
//! Invariant: only the leader proposes a time, and only when an entry expires or the sessions
//! are due for an expiry check, so an idle group appends nothing to its log.

use crate::ControllerContext;
use courseshunt_state::Command;
use courseshunt_types::{Millis, UnixMillis};
use std::time::Duration;

/// Interval at which the leader checks for due expiries.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two proposals while client sessions exist.
const SESSIONS_INTERVAL: Millis = Millis::from_secs(600);

/// Advances committed time until cancelled.
pub async fn run(context: ControllerContext) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    loop {
        interval.tick().await;
        if !context.replica.status().borrow().leads() || !is_due(&context) {
            continue;
        }
        if let Err(error) = context.replica.submit(Command::AdvanceTime).await {
            log::info!("timekeeper: advancing committed time failed: {error}");
        }
    }
}

fn is_due(context: &ControllerContext) -> bool {
    let now = UnixMillis::now();
    let state = context.replica.state();
    let expires = state.next_expiry().is_some_and(|at| at <= now);
    let stale = state.time + SESSIONS_INTERVAL <= now;
    expires || (stale && !state.sessions.sessions.is_empty())
}
