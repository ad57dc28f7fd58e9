//! What a router keeps of one instance by what it has sent there, and whether the instance
//! may be chosen by it.
//!
//! Cost: bounded by the instances and the requests under way there.

use super::absence::Absences;
use super::health::Health;
use super::prefixes::KeptPrefixes;
use super::prompt::PromptShape;
use crate::instance::InstanceView;
use courseshunt_types::Timestamp;

/// What a router keeps of one instance.
#[derive(Debug, Default)]
pub(super) struct Local {
    pub(super) in_flight: u32,
    pub(super) unread_tokens: u32,
    pub(super) others_in_flight: u32,
    pub(super) others_unread: u32,
    pub(super) prefixes: KeptPrefixes,
    pub(super) absences: Absences,
    pub(super) slowness: Option<f64>,
    pub(super) suspect_until: Timestamp,
    /// Until then it is not chosen at all.
    pub(super) unreachable_until: Timestamp,
    pub(super) failures: u32,
    pub(super) last_chosen: u64,
    pub(super) health: Health,
}

impl Local {
    /// Whether the instance is left out since it could not be reached.
    pub(super) fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }
}

/// An instance that may be chosen, with what is known of it.
pub(super) struct Choice<'a> {
    pub(super) view: &'a InstanceView,
    pub(super) local: Option<&'a Local>,
}

impl Choice<'_> {
    pub(super) fn lacks(&self, shape: &PromptShape, now: Timestamp) -> bool {
        self.local
            .is_some_and(|local| local.absences.lacks_for(shape, now).is_some())
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
