//! Rate limits that instances report in their responses: the requests per second that one instance
//! accepts from all routers together, until it reports another limit or none.
//!
//! The leader keeps one account for each instance that reports a limit. A router queries the
//! leader for each request to such an instance and states how long the request may wait. The
//! limit is thus divided by demand, and waiting requests get their time slots in the order of
//! their queries. See [`ledger`] for the leader's side and [`local`] for a router's.
//!
//! Invariant: in any time `t`, all routers that have received a limit send at most the rate times
//! `t` plus the capacity of the account; routers without contact to the leader send at most half
//! of their equal shares beyond that.

pub mod ledger;
pub mod local;

use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Capacity of an account, as the time in which it fills, in seconds.
pub const BURST_S: f64 = 0.25;
/// Smallest capacity of the leader's account, in requests: with a capacity of one request, a
/// quarter of a small limit is lost between requests that can't wait.
pub(crate) const MIN_BURST: f64 = 2.0;
/// Smallest capacity of a router's local account, in requests.
pub(crate) const MIN_LOCAL_BURST: f64 = 1.0;
/// Requests per second that are sent to an instance even if its limit is lower or zero:
/// without responses, routers could not detect that the limit has ended.
pub const MIN_PER_SECOND: f64 = 0.1;
/// Time for which the removal of a limit is remembered: an older report of the limit may still
/// be in transit.
pub(crate) const REMOVAL_RETENTION: Millis = Millis(10_000);

/// A rate in requests per 1,000 seconds.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Converts from requests per second; `None` if `rate` is negative, infinite or not a number.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self((rate * 1_000.0) as u64))
    }

    /// Requests per second that are sent under this limit, at least [`MIN_PER_SECOND`].
    #[must_use]
    pub fn granted_per_second(self) -> f64 {
        (self.0 as f64 / 1_000.0).max(MIN_PER_SECOND)
    }

    /// A full account with this rate, for the leader.
    pub(crate) fn account(self, now: Timestamp) -> TokenBucket {
        account(self.granted_per_second(), MIN_BURST, now)
    }
}

/// A full account of `per_second` requests per second, with a capacity of `min_burst` at least.
pub(crate) fn account(per_second: f64, min_burst: f64, now: Timestamp) -> TokenBucket {
    TokenBucket::full(per_second, (per_second * BURST_S).max(min_burst), now)
}

/// The rate limit in a response of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedLimit {
    /// The response contains no limit.
    #[default]
    None,
    /// The response contains a limit that is not a valid rate.
    Unreadable,
    /// The instance accepts this rate from all routers together.
    Rate(RequestRate),
}

/// Report of an instance's rate limit, taken from a response of the instance.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LimitReport {
    /// The instance.
    pub instance: RunnerId,
    /// Limit for all routers together; `None` if the instance reports no limit any more.
    pub rate: Option<RequestRate>,
    /// Time since the response.
    pub age: Millis,
}

/// Query of a router to the leader whether it may send one request.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LimitQuery {
    /// Number of the query, unique at the router.
    pub number: u64,
    /// The instance, and its limit as this router received it: a new leader starts without any
    /// limits.
    pub report: LimitReport,
    /// Longest time that the request may wait for its time slot.
    pub max_wait: Millis,
}

/// The leader's answer to a [`LimitQuery`].
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LimitAnswer {
    /// Number of the query.
    pub number: u64,
    /// The leader's decision.
    pub verdict: LimitVerdict,
}

/// A decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum LimitVerdict {
    /// The request is within the limit, and is counted.
    Granted {
        /// Time until its time slot.
        after: Millis,
    },
    /// The request exceeds the limit, and is not counted.
    Refused {
        /// Time after which a request would be within the limit.
        fits_after: Millis,
    },
    /// This process can't decide: it is not in contact with a quorum, or has no account.
    Unknown,
}
