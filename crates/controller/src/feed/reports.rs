//! Controllers tell each other which routers follow them, so that each knows the
//! whole fleet. Changes go out at once, everything every few seconds; what gets
//! lost comes with the next whole report.

use crate::ControllerContext;
use courseshunt_types::ControllerId;
use courseshunt_wire::Message;
use std::time::Duration;
use tokio::time::Instant;

/// Time between looks for changes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between whole reports.
const WHOLE_INTERVAL: Duration = Duration::from_secs(3);

/// Reports until the planned stop.
pub async fn run(context: ControllerContext) {
    let mut reported = 0;
    let mut whole_at = Instant::now();
    loop {
        context.routers.expire(context.clock.now());
        let last_change = context.routers.last_change();
        let whole = Instant::now() >= whole_at;
        if whole || last_change > reported {
            let since = (!whole).then_some(reported);
            let report = context.routers.report(since);
            for member in other_members(&context).await {
                let message = Message::RouterReport(report.clone());
                context.peers.send(member, message);
            }
            reported = last_change;
        }
        if whole {
            whole_at = Instant::now() + WHOLE_INTERVAL;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// The other voters and learners.
pub async fn other_members(context: &ControllerContext) -> Vec<ControllerId> {
    let membership = context.replica.members().await.membership;
    let members = membership.voters.iter().chain(&membership.learners);
    let others = members.filter(|member| **member != context.settings.id);
    others.copied().collect()
}
