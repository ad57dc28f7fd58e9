//! Replaces a leader of the previous release as [`take_over`](crate::take_over) decides.

use crate::Shared;
use crate::records::ControllerRecord;
use crate::take_over::{TakeOverDecision, TakeOverView, decide};
use courseshunt_consensus::Role;
use courseshunt_records::emit;
use courseshunt_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the checks whether to take over.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The attempts of this process.
#[derive(Debug, Default)]
struct Attempts {
    count: u32,
    last_at: Option<Timestamp>,
}

/// Takes over when it is due, until this process has no attempt left.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut attempts = Attempts::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        match decide(&view(&shared, &attempts)) {
            TakeOverDecision::Never => return,
            TakeOverDecision::Wait => {}
            TakeOverDecision::TakeOver => {
                attempts.count += 1;
                attempts.last_at = Some(shared.clock.now());
                take_over(&shared).await;
            }
        }
    }
}

fn view(shared: &Shared, attempts: &Attempts) -> TakeOverView {
    let now = shared.clock.now();
    let role = shared.replica.status().borrow().role;
    TakeOverView {
        leader_is_previous_release: shared.upstream.leader_is_previous_release(),
        is_following_voter: role == Role::Follower,
        uptime: now.since(Timestamp::default()),
        attempts: attempts.count,
        since_attempt: attempts.last_at.map(|at| now.since(at)),
    }
}

/// Waits until everything committed is applied here, replaces the leader, and records the outcome.
async fn take_over(shared: &Shared) {
    let before = shared.replica.status().borrow().leader;
    let address = shared.leader_address().map(|address| address.to_string());
    let outcome = match shared.replica.read_barrier().await {
        Err(_) => "not_caught_up",
        Ok(_) if !shared.upstream.leader_is_previous_release() => "leader_replaced",
        Ok(_) => match shared.replica.take_over().await {
            Some(leader) if leader == shared.id => "leads",
            Some(leader) if Some(leader) == before => "refused",
            Some(_) => "other_leader",
            None => "no_leader",
        },
    };
    emit(&ControllerRecord::TakesOver {
        leader: address.as_deref(),
        outcome,
    });
}
