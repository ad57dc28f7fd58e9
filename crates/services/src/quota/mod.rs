//! Limits of tenants over the whole fleet.
//!
//! A limit bounds what is used in any window: the rate times the window, and the
//! burst. The leader keeps one account for each tenant: what was used in the last
//! window. While much of the limit is left, routers admit the tenant's requests at once
//! and report what they used; once the account is guarded, they ask the leader for each
//! request. A router without a leader spends its own part of the limit: the part that it
//! had of what was used lately. See [`ledger`] for the leader's side and [`local`] for a router's.
//!
//! Invariant: what all routers admit in a window stays below rate times window and
//! burst, with the margins of [`QuotaSettings`].

pub mod history;
pub mod ledger;
pub mod local;

use crate::tenants::Quota;
use courseshunt_types::Millis;

/// How exactly limits have to be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Time over which use is judged.
    pub window: Millis,
    /// Units that may be used beyond a limit in a window, whatever the limit.
    pub slack: f64,
    /// Part of a limit that may be used beyond it.
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

/// Part of the overshoot that the leader grants; the rest covers what routers admit
/// before they learn that an account is guarded, and without a leader: up to 4 in 100
/// of a limit in virtual time.
const GRANTED_OVERSHOOT: f64 = 0.5;
/// Part of the slack that the leader grants, for the same reason.
const GRANTED_SLACK: f64 = 0.5;

/// What lasts so long may be used at once, in seconds, of a limit with a burst that is
/// many times its rate.
const PACE_SPAN_S: f64 = 1.0;

impl QuotaSettings {
    /// Settings with a window in seconds.
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
        limit * (1.0 + GRANTED_OVERSHOOT * self.overshoot) + GRANTED_SLACK * self.slack
    }

    /// How the allowance is spread over a window: units a second, and at once.
    pub(crate) fn pace(&self, quota: &Quota) -> (f64, f64) {
        let rate = self.allowance(quota) / self.window.as_secs_f64();
        let at_once = quota.burst.min(rate * PACE_SPAN_S);
        (rate, at_once + GRANTED_SLACK * self.slack)
    }
}

/// A request of a tenant with a limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitedRequest<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Its limit.
    pub quota: &'a Quota,
    /// Units that the request counts.
    pub units: u32,
    /// Rank among the tenant's requests, 0 first.
    pub rank: u8,
}

/// What a router used of a tenant's limit.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: String,
    /// Units; below 0 when more was given back than used.
    pub units: i64,
    /// How long ago.
    pub age: Millis,
}

/// How a tenant's account stands.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TenantAccountStatus {
    /// The tenant.
    pub tenant: String,
    /// Whether the leader has to be asked for each request.
    pub near_limit: bool,
    /// Units that all routers used in the last window.
    pub used: u64,
}

/// A router asks for one request.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QuotaQuery {
    /// Number of the question, unique at the router.
    pub number: u64,
    /// The tenant.
    pub tenant: String,
    /// Units of the request.
    pub units: u32,
    /// Rank of the request among its tenant's, 0 first.
    pub rank: u8,
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QuotaAnswer {
    /// Number of the question.
    pub number: u64,
    /// What was decided.
    pub verdict: QuotaVerdict,
}

/// A decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum QuotaVerdict {
    /// It is within the limit, and counted.
    Granted,
    /// It is beyond the limit.
    Refused {
        /// Time after which it would fit.
        fits_after: Millis,
    },
    /// This leader can't tell.
    Unknown,
}
