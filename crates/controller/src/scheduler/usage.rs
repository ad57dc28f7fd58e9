//! When each replica entered its state and when it last had a request. Pure.

use courseshunt_placement::ReplicaView;
use courseshunt_state::{ReplicaPhase, ReplicaRecord};
use courseshunt_types::{Fence, Millis, ReplicaKey, Timestamp, UnixMillis};
use std::collections::BTreeMap;

/// See the module.
#[derive(Debug, Default)]
pub struct ReplicaUsage {
    replicas: BTreeMap<ReplicaKey, Usage>,
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    fence: Fence,
    phase: ReplicaPhase,
    since: Timestamp,
    last_used: Timestamp,
}

/// The present moment, on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// This process's monotonic clock.
    pub now: Timestamp,
    /// The wall clock, as far as replicated records need it.
    pub wall: UnixMillis,
}

impl Moment {
    /// A moment of the wall clock on this process's clock; never in the future.
    #[must_use]
    pub fn of_wall(&self, at: UnixMillis) -> Timestamp {
        self.now - Millis(self.wall.0.saturating_sub(at.0))
    }
}

impl ReplicaUsage {
    /// Takes in what is known about a replica now, and returns its view.
    /// `running` counts requests in its engine; `arrival` is the last request
    /// that only this replica can have served.
    pub fn observe(
        &mut self,
        record: &ReplicaRecord,
        running: u32,
        arrival: Option<Timestamp>,
        moment: Moment,
    ) -> ReplicaView {
        let usage = self
            .replicas
            .entry(record.replica.clone())
            .or_insert_with(|| first_seen(record, moment));
        if usage.fence != record.fence || usage.phase != record.phase {
            *usage = Usage {
                fence: record.fence,
                phase: record.phase,
                since: moment.now,
                last_used: moment.now,
            };
        }
        if running > 0 {
            usage.last_used = moment.now;
        }
        usage.last_used = usage.last_used.max(arrival.unwrap_or_default());
        ReplicaView {
            runner: record.replica.runner.clone(),
            fence: record.fence,
            phase: record.phase,
            since: usage.since,
            last_used: usage.last_used,
            running,
        }
    }

    /// Forgets replicas that are no longer decided.
    pub fn retain(&mut self, decided: impl Fn(&ReplicaKey) -> bool) {
        self.replicas.retain(|key, _| decided(key));
    }
}

/// A new leader knows from the log when a load was decided, and nothing of the
/// use of a ready replica; it counts as used now, so that nothing is unloaded
/// for want of knowledge.
fn first_seen(record: &ReplicaRecord, moment: Moment) -> Usage {
    let placed = moment.of_wall(record.placed_at);
    let since = match record.phase {
        ReplicaPhase::Loading => placed,
        ReplicaPhase::Ready | ReplicaPhase::Withdrawn => moment.now,
    };
    Usage {
        fence: record.fence,
        phase: record.phase,
        since,
        last_used: moment.now,
    }
}
