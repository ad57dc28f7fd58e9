//! Quotas of tenants over the whole fleet.
//!
//! A quota bounds the use in any window: the rate times the window, plus the burst. The leader
//! keeps one account for each tenant with the use of the last window. While much of the quota is
//! left, routers admit the tenant's requests at once and report the use afterwards; once the
//! account is near its limit, they query the leader for each request. A router without a leader
//! spends its local share of the quota, which is its share of the recent use. See [`ledger`] for
//! the leader's side and [`local`] for a router's. For a request that exceeds the quota and whose
//! client returns, the leader reserves units at a later time (`courseshunt_reservations`).
//!
//! Invariant: the use that all routers admit in a window stays below the rate times the window
//! plus the burst, with the margins of [`QuotaSettings`].

pub mod history;
pub mod ledger;
pub mod local;
mod reconciliation;
mod reservation_events;
mod reserving;
mod small_requests;

pub use reservation_events::{ReservationChange, ReservationEvent};

use crate::tenants::Quota;
use courseshunt_types::Millis;

/// Precision with which quotas are enforced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Length of the window over which use is summed.
    pub window: Millis,
    /// Units that may be used beyond a quota in a window, independent of the quota.
    pub slack: f64,
    /// Fraction of a quota that may be used beyond it in a window.
    pub overshoot: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Millis(8_000),
            slack: 0.0,
            overshoot: 0.0,
        }
    }
}

/// Fraction of the overshoot that the leader grants. The rest covers the requests that routers
/// admit before they are notified that an account is near its limit, and without a leader: up to
/// 4 % of a quota in simulations.
const GRANTED_OVERSHOOT_FRACTION: f64 = 0.5;
/// Fraction of the slack that the leader grants, for the same reason.
const GRANTED_SLACK_FRACTION: f64 = 0.5;

/// Bounds the units that may be used at once to the allowance of this time, in seconds, for
/// quotas with a burst that is many times their rate.
const MAX_BURST_S: f64 = 1.0;

impl QuotaSettings {
    /// Creates settings with a window in seconds. See the fields for `overshoot` and `slack`.
    #[must_use]
    pub fn new(window_s: f64, overshoot: f64, slack: f64) -> Self {
        Self {
            window: Millis((window_s * 1_000.0) as u64),
            slack,
            overshoot,
        }
    }

    /// Units that the leader grants in a window.
    #[must_use]
    pub fn allowance(&self, quota: &Quota) -> f64 {
        let limit = quota.rate_per_second * self.window.as_secs_f64() + quota.burst;
        limit * (1.0 + GRANTED_OVERSHOOT_FRACTION * self.overshoot)
            + GRANTED_SLACK_FRACTION * self.slack
    }

    /// Pacing of the allowance over a window: units per second, and units at once.
    pub(crate) fn pace(&self, quota: &Quota) -> (f64, f64) {
        let rate = self.allowance(quota) / self.window.as_secs_f64();
        let at_once = quota.burst.min(rate * MAX_BURST_S);
        (rate, at_once + GRANTED_SLACK_FRACTION * self.slack)
    }
}

/// A request of a tenant that has a quota.
#[derive(Debug, Clone, Copy)]
pub struct LimitedRequest<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Quota of the tenant.
    pub quota: &'a Quota,
    /// Units that are charged for the request.
    pub units: u32,
    /// Priority among the tenant's requests; 0 is the most urgent.
    pub rank: u8,
}

/// Use of a tenant's quota at one router.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TenantUse {
    /// Name of the tenant.
    pub tenant: String,
    /// Units used; negative if more units were refunded than used.
    pub units: i64,
    /// Time since the use.
    pub age: Millis,
}

/// Units of one tenant that a router has reported since the epoch began.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ReportedTotal {
    /// Name of the tenant.
    pub tenant: String,
    /// Units, refunds subtracted, including those of the report that carries this total.
    pub units: i64,
}

/// A router's report of the use that it has not reported yet.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct UseReport {
    /// Epoch (leadership) that the use is reported to.
    pub epoch: u64,
    /// Identifies the router's process.
    pub process: u64,
    /// Use by tenant and time.
    pub uses: Vec<TenantUse>,
    /// Totals of the tenants in `uses`; of all tenants in the first report to a leader's feed.
    pub totals: Vec<ReportedTotal>,
}

/// Status of a tenant's account, published by the leader.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TenantAccountStatus {
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the leader has to be queried for each request.
    pub near_limit: bool,
    /// Units that all routers used in the last window.
    pub used: u64,
}

/// Query of a router to the leader whether it may admit one request.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QuotaQuery {
    /// Number of the query, unique at the router.
    pub number: u64,
    /// Name of the tenant.
    pub tenant: String,
    /// Units of the request.
    pub units: u32,
    /// Priority among the tenant's requests; 0 is the most urgent.
    pub rank: u8,
    /// Reservation to make if the request exceeds the quota, or to take if it was made before;
    /// `None` if the client does not return.
    pub reservation: Option<ReservationTerms>,
}

/// Terms of the reservation for a request that exceeds its tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ReservationTerms {
    /// Identifies the request; the client's retry has the same key.
    pub key: u64,
    /// Latency objective of the request.
    pub objective: Millis,
    /// Longest time after which the client may return.
    pub latest_return: Millis,
}

/// The leader's answer to a [`QuotaQuery`].
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QuotaAnswer {
    /// Number of the query.
    pub number: u64,
    /// The leader's decision.
    pub verdict: QuotaVerdict,
}

/// A decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum QuotaVerdict {
    /// The request is within the quota, and is counted.
    Granted,
    /// The request exceeds the quota, and is not counted.
    Refused {
        /// Time after which the request would be within the quota.
        fits_after: Millis,
    },
    /// This process can't decide: it is not in contact with a quorum, or has no account of the
    /// tenant.
    Unknown,
    /// The request exceeds the quota now, and units are reserved for its retry.
    Reserved {
        /// Time after which the reservation starts.
        starts_after: Millis,
    },
}
