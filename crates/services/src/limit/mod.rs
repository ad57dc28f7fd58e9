//! Limits that instances name in their answers: the requests a second that one takes from
//! all routers together, for as long as it says so.
//!
//! The leader keeps one account for each instance that names a limit, and routers ask it for
//! each request that they would send there, naming how long the request may wait. So the
//! limit is divided by who needs it, and requests that wait have their turns in the order in
//! which they asked. See [`ledger`] for the leader's side and [`local`] for a router's.
//!
//! Invariant: in any time `t`, what all routers that know of a limit send sums up to at most
//! the rate times `t` and what the account holds; routers that don't reach the leader send
//! at most half of their equal parts beyond that.

pub mod ledger;
pub mod local;

use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// An account holds what flows in in so many seconds.
pub const BURST_S: f64 = 0.25;
/// The leader's account holds so many requests at least: with one alone, a quarter of a small
/// limit is lost between requests that can't wait.
pub(crate) const LEAST_BURST: f64 = 2.0;
/// A router's own account holds so many at least.
pub(crate) const LEAST_OWN_BURST: f64 = 1.0;
/// An instance that names a smaller limit, or none at all, is sent so many requests a second
/// all the same: nothing else would show that the limit has ended.
pub const LEAST_PER_SECOND: f64 = 0.1;
/// That an instance names no limit any more is remembered for so long: an older word of the
/// limit may still be on its way.
pub(crate) const LIFTED_KEPT: Millis = Millis(10_000);

/// Requests in a thousand seconds.
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
    /// A rate in requests a second; none for what is no rate: negative, endless, no number.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self((rate * 1_000.0) as u64))
    }

    /// Requests a second that are sent.
    #[must_use]
    pub fn granted_per_second(self) -> f64 {
        (self.0 as f64 / 1_000.0).max(LEAST_PER_SECOND)
    }

    /// A full account of this rate.
    pub(crate) fn account(self, now: Timestamp) -> TokenBucket {
        account(self.granted_per_second(), LEAST_BURST, now)
    }
}

/// A full account of so many requests a second.
pub(crate) fn account(per_second: f64, least_burst: f64, now: Timestamp) -> TokenBucket {
    TokenBucket::full(per_second, (per_second * BURST_S).max(least_burst), now)
}

/// What an answer names as the requests a second that its instance takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedLimit {
    /// Nothing.
    #[default]
    None,
    /// What is no rate.
    Unreadable,
    /// This, from all routers together.
    Rate(RequestRate),
}

/// What an instance said in an answer of the requests that it takes.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LimitReport {
    /// The instance.
    pub instance: RunnerId,
    /// From all routers together; none: it names no limit any more.
    pub rate: Option<RequestRate>,
    /// How long ago.
    pub age: Millis,
}

/// A router asks whether it may send one request.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LimitQuery {
    /// Number of the question, unique at the router.
    pub number: u64,
    /// Where to, and what the router knows of it: a new leader knows nothing.
    pub report: LimitReport,
    /// How long the request may wait for its turn.
    pub max_wait: Millis,
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LimitAnswer {
    /// Number of the question.
    pub number: u64,
    /// What was decided.
    pub verdict: LimitVerdict,
}

/// A decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum LimitVerdict {
    /// It is within the limit, and counted.
    Granted {
        /// Its turn comes after so long.
        after: Millis,
    },
    /// It is beyond the limit, and was not counted.
    Refused {
        /// Time after which a request would fit.
        fits_after: Millis,
    },
    /// This leader can't tell.
    Unknown,
}
