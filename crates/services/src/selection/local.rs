//! State that a router keeps for one instance from the requests it has sent there, and whether
//! the instance is eligible by that state.
//!
//! Memory: bounded by the instances and the requests in flight there.

use super::absence::Absences;
use super::health::Health;
use super::prefixes::CachedPrefixes;
use super::prompt::PromptShape;
use crate::instance::InstanceView;
use courseshunt_types::Timestamp;

/// State that a router keeps for one instance.
#[derive(Debug, Default)]
pub(super) struct LocalState {
    /// Requests of this router in flight.
    pub(super) in_flight: u32,
    /// Prompt tokens of this router's requests that the instance has not processed yet.
    pub(super) pending_tokens: u32,
    pub(super) others_in_flight: u32,
    pub(super) others_pending_tokens: u32,
    pub(super) prefixes: CachedPrefixes,
    pub(super) absences: Absences,
    /// Moving ratio of measured to predicted time to the first answer; `None` before the first
    /// measurement.
    pub(super) slowness: Option<f64>,
    /// Until this time the instance is selected only if no other one is eligible.
    pub(super) suspect_until: Timestamp,
    /// Until this time the instance is excluded.
    pub(super) unreachable_until: Timestamp,
    /// Consecutive failed connections.
    pub(super) failures: u32,
    /// Ticket of the last selection of this instance.
    pub(super) last_chosen: u64,
    pub(super) health: Health,
}

impl LocalState {
    /// Whether the instance is excluded because it could not be reached.
    pub(super) fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }
}

/// An instance that may be selected, with the state that this router keeps for it.
pub(super) struct InstanceOption<'a> {
    pub(super) view: &'a InstanceView,
    pub(super) local: Option<&'a LocalState>,
}

impl InstanceOption<'_> {
    pub(super) fn lacks(&self, shape: &PromptShape, now: Timestamp) -> bool {
        self.local
            .is_some_and(|local| local.absences.remaining(shape, now).is_some())
    }

    pub(super) fn is_reachable(&self, now: Timestamp) -> bool {
        self.local.is_none_or(|local| !local.is_unreachable(now))
    }

    pub(super) fn has_room(&self, own_limit: u32) -> bool {
        let Some(local) = self.local else {
            return true;
        };
        let total = local.in_flight + local.others_in_flight;
        local.in_flight < own_limit && total < self.view.slots * 2
    }
}
