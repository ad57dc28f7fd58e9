//! Reports the routers that are connected to this controller to the other controllers, so that
//! each controller has the whole fleet.
//!
//! Invariant: changes are sent within one poll interval, and a full report every few seconds
//! replaces what was lost.

use crate::ControllerContext;
use courseshunt_types::ControllerId;
use courseshunt_wire::Message;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the registry is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between full reports.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(3);

/// Sends reports until shutdown.
pub async fn run(context: ControllerContext) {
    let mut reported = 0;
    let mut next_full_report = Instant::now();
    loop {
        context.routers.expire(context.clock.now());
        let last_change = context.routers.last_change();
        let is_full = Instant::now() >= next_full_report;
        if is_full || last_change > reported {
            let since = (!is_full).then_some(reported);
            let report = context.routers.report(since);
            for member in other_members(&context).await {
                let message = Message::RouterReport(report.clone());
                context.peers.send(member, message);
            }
            reported = last_change;
        }
        if is_full {
            next_full_report = Instant::now() + FULL_REPORT_INTERVAL;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The voters and learners other than this member.
pub async fn other_members(context: &ControllerContext) -> Vec<ControllerId> {
    let membership = context.replica.members().await.membership;
    let members = membership.voters.iter().chain(&membership.learners);
    let others = members.filter(|member| **member != context.settings.id);
    others.copied().collect()
}
