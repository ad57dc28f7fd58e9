//! Changes of reservations, for records and metrics.
//!
//! Invariant: the number of events that are not read yet is bounded.

use super::QuotaQuery;
use courseshunt_reservations::{RequestRefusal, Reservation};
use courseshunt_types::Millis;
use std::collections::VecDeque;

/// The oldest events are dropped beyond this number. The leader reads them after each message of a
/// router.
const MAX_EVENTS: usize = 16_384;

/// A change of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservationEvent {
    /// Name of the tenant.
    pub tenant: String,
    /// Units of the request.
    pub units: u32,
    /// Priority of the request; 0 is the most urgent.
    pub rank: u8,
    /// The change.
    pub change: ReservationChange,
}

/// Kind of a change of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationChange {
    /// Units are reserved.
    Made {
        /// Time until the start.
        starts_after: Millis,
    },
    /// The request returned and was granted.
    Taken,
    /// The request returned, but use that was reported since leaves too few units.
    Unmet,
    /// The request did not return in time.
    Expired,
    /// The tenant or its quota was removed, or the quota was lowered.
    Dropped,
    /// No reservation was made.
    Refused(RequestRefusal),
}

impl ReservationChange {
    /// Outcome for records and metrics.
    #[must_use]
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Made { .. } => "made",
            Self::Taken => "taken",
            Self::Unmet => "unmet",
            Self::Expired => "expired",
            Self::Dropped => "dropped",
            Self::Refused(_) => "refused",
        }
    }

    /// Reason of a refusal, for records and metrics.
    #[must_use]
    pub fn reason(&self) -> Option<&'static str> {
        match self {
            Self::Refused(reason) => Some(reason.as_str()),
            _ => None,
        }
    }
}

/// Events that were not taken yet.
#[derive(Debug, Default)]
pub(super) struct ReservationEvents(VecDeque<ReservationEvent>);

impl ReservationEvents {
    /// Notes a change of a reservation.
    pub(super) fn note(&mut self, tenant: &str, of: &Reservation, change: ReservationChange) {
        self.push(tenant, of.units, of.rank, change);
    }

    /// Notes whether a query got a reservation.
    pub(super) fn note_reserved(
        &mut self,
        query: &QuotaQuery,
        reserved: Result<Millis, RequestRefusal>,
    ) {
        let change = match reserved {
            Ok(starts_after) => ReservationChange::Made { starts_after },
            Err(reason) => ReservationChange::Refused(reason),
        };
        self.push(&query.tenant, query.units, query.rank, change);
    }

    /// Notes a query for a reservation of a tenant that has no account.
    pub(super) fn note_unknown_tenant(&mut self, query: &QuotaQuery) {
        if query.reservation.is_some() {
            self.note_reserved(query, Err(RequestRefusal::UnknownTenant));
        }
    }

    /// Takes all events.
    pub(super) fn take(&mut self) -> Vec<ReservationEvent> {
        std::mem::take(&mut self.0).into()
    }

    fn push(&mut self, tenant: &str, units: u32, rank: u8, change: ReservationChange) {
        if self.0.len() >= MAX_EVENTS {
            self.0.pop_front();
        }
        self.0.push_back(ReservationEvent {
            tenant: tenant.to_owned(),
            units,
            rank,
            change,
        });
    }
}
