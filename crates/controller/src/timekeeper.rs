//! Moves committed time on, so that claims, leases and jobs expire.
//!
//! Invariant: only the leader proposes a time, and only when something expires
//! by it or sessions are due for a look; an idle log stays idle.

use crate::ControllerContext;
use courseshunt_state::Command;
use courseshunt_types::{Millis, UnixMillis};
use std::time::Duration;

/// Time between looks.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two proposals while sessions are kept.
const SESSIONS_INTERVAL: Millis = Millis::from_secs(600);

/// Keeps committed time until cancelled.
pub async fn run(context: ControllerContext) {
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        if !context.replica.status().borrow().leads() || !is_due(&context) {
            continue;
        }
        if let Err(error) = context.replica.submit(Command::AdvanceTime).await {
            log::info!("timekeeper: {error}");
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
