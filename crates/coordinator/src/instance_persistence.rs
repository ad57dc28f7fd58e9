//! What a leader takes over of the instances from the leaders before it, and records for
//! those after it.
//!
//! Invariant: no piece of this that is done at once, under a lock or as one entry of the
//! log, grows with the fleet.

use crate::Shared;
use courseshunt_services::InstanceView;
use courseshunt_state::Command;
use courseshunt_types::{RunnerId, Timestamp};
use std::ops::Bound;

/// Recorded instances that are taken over without a turn for other work: some milliseconds.
const SEEDED_AT_ONCE: usize = 256;
/// Instances in one entry of the log: tens of kilobytes, which a follower applies between
/// two heartbeats.
const RECORDED_AT_ONCE: usize = 256;

/// Takes over the recorded instances, some at a time: in between, the process answers those
/// who call, and the state is free for what is committed meanwhile.
pub(crate) async fn seed_instances(shared: &Shared, now: Timestamp) {
    let mut after = None;
    loop {
        let views = recorded_after(shared, after.as_ref());
        let Some(last) = views.last() else {
            return;
        };
        after = Some(last.id.clone());
        seed(shared, &views, now);
        tokio::task::yield_now().await;
    }
}

fn seed(shared: &Shared, views: &[InstanceView], now: Timestamp) {
    let mut engine = shared.engine();
    for view in views {
        engine.seed(view, now);
    }
}

/// The next recorded instances after this one.
fn recorded_after(shared: &Shared, after: Option<&RunnerId>) -> Vec<InstanceView> {
    let from = after.map_or(Bound::Unbounded, Bound::Excluded);
    let state = shared.replica.state();
    let recorded = state.services.instances.range((from, Bound::Unbounded));
    let views = recorded.map(|(_, view)| view.clone());
    views.take(SEEDED_AT_ONCE).collect()
}

/// Records instances for later leaders, some in each entry of the log.
pub(crate) async fn record_all(changed: &[InstanceView], gone: &[RunnerId], shared: &Shared) {
    let changed = changed.chunks(RECORDED_AT_ONCE);
    let changed = changed.map(|part| (part.to_vec(), Vec::new()));
    let gone = gone.chunks(RECORDED_AT_ONCE);
    let gone = gone.map(|part| (Vec::new(), part.to_vec()));
    for (changed, gone) in changed.chain(gone) {
        let command = Command::RecordInstances { changed, gone };
        if shared.replica.submit_as_leader(command).await.is_err() {
            // Another member leads: it learns from the instances themselves.
            return;
        }
    }
}
