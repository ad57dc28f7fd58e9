//! Tracks when each replica entered its phase and when it last served a request. Pure.

use courseshunt_placement::ReplicaView;
use courseshunt_state::{ReplicaPhase, ReplicaRecord};
use courseshunt_types::{Fence, Millis, ReplicaKey, Timestamp, UnixMillis};
use std::collections::BTreeMap;

/// Phase and last use of each replica.
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

/// A point in time on the monotonic and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// This process's monotonic clock.
    pub now: Timestamp,
    /// The wall clock, in which replicated records are stamped.
    pub wall: UnixMillis,
}

impl Moment {
    /// Converts a wall-clock time to this process's clock; the result is never in the future.
    #[must_use]
    pub fn of_wall(&self, at: UnixMillis) -> Timestamp {
        self.now - Millis(self.wall.0.saturating_sub(at.0))
    }
}

impl ReplicaUsage {
    /// Updates the usage of a replica and returns its view. `running` counts the requests in its
    /// engine; `arrival` is the latest request that only this replica can have served.
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
            .or_insert_with(|| initial_usage(record, moment));
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

    /// Removes replicas that are no longer decided.
    pub fn retain(&mut self, decided: impl Fn(&ReplicaKey) -> bool) {
        self.replicas.retain(|key, _| decided(key));
    }
}

/// Initial usage at a new leader. The log holds the time at which a load was decided, but not the
/// use of a ready replica; it counts as used now, so that no replica is unloaded because its use
/// is unknown.
fn initial_usage(record: &ReplicaRecord, moment: Moment) -> Usage {
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
