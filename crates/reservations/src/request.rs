//! Requests for reservations, and reservations.

use crate::limits::{NEAR_TIME, latest_within};
use courseshunt_types::{Millis, Timestamp};

/// A request that does not fit into its account now and whose client returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request when it returns; several requests may have the same key.
    pub key: u64,
    /// Units of the request.
    pub units: u32,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Latency objective.
    pub objective: Millis,
    /// Longest time after which the client may return.
    pub latest_return: Millis,
}

impl Request {
    /// Latest time until a start at which the response is expected within the objective.
    #[must_use]
    pub fn latest_within_objective(&self) -> Millis {
        latest_within(self.objective).min(self.latest_return)
    }

    /// Whether the request may start after the near time and still meet its objective.
    #[must_use]
    pub fn can_wait(&self) -> bool {
        self.latest_within_objective() >= NEAR_TIME
    }
}

/// Why no reservation was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestRefusal {
    /// The tenant is unknown, or has no quota.
    UnknownTenant,
    /// The latest return is not in the future.
    InvalidTerms,
    /// The units can't be kept at any time until the latest return.
    NoRoom,
    /// The request would miss its objective by waiting for a reservation.
    CannotWait,
    /// The account has as many reservations as it may have.
    TooMany,
}

impl RequestRefusal {
    /// Value for records and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownTenant => "unknown_tenant",
            Self::InvalidTerms => "invalid_terms",
            Self::NoRoom => "no_room",
            Self::CannotWait => "cannot_wait",
            Self::TooMany => "too_many",
        }
    }
}

/// Units that are kept for the return of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// Key of the request.
    pub key: u64,
    /// Reserved units.
    pub units: u32,
    /// Priority of the request; 0 is the most urgent.
    pub rank: u8,
    /// Latency objective of the request.
    pub objective: Millis,
    /// Start. The reservation ends by itself [`crate::GRACE`] later.
    pub start: Timestamp,
}
