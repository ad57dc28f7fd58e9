//! A router's side of tenants' quotas.
//!
//! Invariant: every admitted request is counted once: it is either sent to the leader with the
//! next report, or charged by the leader when it was queried. A request that did not run is
//! refunded.

use super::history::History;
use super::{
    LimitedRequest, QuotaQuery, QuotaSettings, ReportedTotal, TenantAccountStatus, TenantUse,
    UseReport,
};
use crate::token_bucket::TokenBucket;
use courseshunt_reservations::RefusedDemand;
use courseshunt_types::{Millis, Timestamp};
use std::collections::HashMap;

/// Debt that a tenant well below its limit may have at one router, as a multiple of the local
/// share of the burst, because requests are distributed unevenly over routers. Without debt, 5 %
/// of the units of a large tenant are refused in simulations with 80 routers while no leader is
/// available for 3.5 s; with a factor of two, less than 1 %.
const MAX_DEBT_FACTOR: f64 = 2.0;

/// Fraction of its local share that a router may use without a leader if the account was near its
/// limit, because most of the quota was already used.
const NEAR_LIMIT_FRACTION: f64 = 0.5;

/// Resolution of the use that a router keeps. A new leader receives earlier use with this
/// resolution, in one message with a few entries per tenant.
const HISTORY_SLOT: Millis = Millis(1_000);

/// Queries per second about requests that may have or get a reservation, for one tenant and over
/// all routers. Beyond it, a router answers by the leader's last refusal. A query takes the leader
/// a few microseconds.
const MAX_RESERVATION_QUERIES_PER_SECOND: f64 = 10_000.0;
/// Part of it that each router has at least, in queries per second.
const MIN_RESERVATION_QUERIES_PER_SECOND: f64 = 10.0;

/// Longest time for which the leader's refusal of a request with terms is applied to other requests.
/// Its time includes the refused demand that returns, so that the quota may have room earlier.
const MAX_RETURNING_REFUSAL: Millis = Millis(200);

/// Next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaStep {
    /// The request is within the quota, and is counted.
    Admit,
    /// The leader has to be queried.
    Query,
    /// The request exceeds the quota.
    Refuse {
        /// Time after which the request would be within the quota.
        fits_after: Millis,
    },
}

/// The leader's last refusal.
#[derive(Debug, Clone, Copy)]
struct Refused {
    /// Time at which the request is expected to fit.
    fits_at: Timestamp,
    /// Time until which the refusal answers other requests.
    until: Timestamp,
    units: u32,
    rank: u8,
}

#[derive(Debug)]
struct Account {
    near_limit: bool,
    /// Units that all routers used in the last window, as published by the leader.
    used_by_all: u64,
    history: History,
    /// Tokens of this router's local share of the quota.
    local_share: Option<TokenBucket>,
    refused: Option<Refused>,
    /// Units that were reported in this epoch.
    reported: i64,
    /// Queries about requests that may have or get a reservation.
    reservation_queries: Option<TokenBucket>,
    /// Requests that were refused recently and return.
    returning: RefusedDemand,
}

/// Quota accounts of one router, by tenant. See the module documentation.
#[derive(Debug)]
pub struct RouterQuotas {
    settings: QuotaSettings,
    /// Identifies this process in reports.
    process: u64,
    epoch: u64,
    /// Whether the next report carries the totals of all tenants.
    reports_all_totals: bool,
    routers: u32,
    accounts: HashMap<String, Account>,
}

impl Account {
    fn new(window: Millis) -> Self {
        Self {
            near_limit: false,
            used_by_all: 0,
            history: History::new(HISTORY_SLOT, window),
            local_share: None,
            refused: None,
            reported: 0,
            reservation_queries: None,
            returning: RefusedDemand::default(),
        }
    }
}

impl RouterQuotas {
    /// Creates the accounts of a router that has had no contact with a leader yet. `process`
    /// identifies this process of the router in its reports.
    #[must_use]
    pub fn new(settings: QuotaSettings, routers: u32, process: u64) -> Self {
        Self {
            settings,
            process,
            epoch: 0,
            reports_all_totals: false,
            routers: routers.max(1),
            accounts: HashMap::new(),
        }
    }

    /// Sets the number of routers that share the quotas.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Applies the account statuses that the leader of `epoch` published. If the epoch is new, all
    /// recent use is marked as unreported, and accounts that were near their limits stay so until
    /// the next statuses. Otherwise, tenants without a status count as unused.
    pub fn set_account_statuses(
        &mut self,
        epoch: u64,
        statuses: Vec<TenantAccountStatus>,
        now: Timestamp,
    ) {
        let window = self.settings.window;
        let is_new = epoch != self.epoch;
        self.epoch = epoch;
        for account in self.accounts.values_mut() {
            // A new leader has not received the recent use yet. Without this, routers admit everything
            // until it does, and the window has no units left for returning requests.
            account.near_limit &= is_new;
            account.used_by_all = 0;
            account.history.sum(now);
            if is_new {
                account.refused = None;
                account.reported = 0;
                account.history.mark_all_unreported();
            }
        }
        for status in statuses {
            let account = self.accounts.entry(status.tenant);
            let account = account.or_insert_with(|| Account::new(window));
            account.near_limit |= status.near_limit;
            account.used_by_all = status.used;
        }
    }

    /// Decides on a request, and counts it if it is admitted. `has_leader` states whether the
    /// router had contact with a leader recently; `draw` is a uniformly distributed random number
    /// in [0, 1).
    pub fn decide(
        &mut self,
        request: &LimitedRequest<'_>,
        has_leader: bool,
        draw: f64,
        now: Timestamp,
    ) -> QuotaStep {
        self.decide_for(request, false, has_leader, draw, now)
    }

    /// Decides like [`Self::decide`] on a request that may have a reservation, or get one if it is
    /// refused. The leader's last refusal does not apply to it, so that it is decided by the
    /// leader, up to a number of queries per second.
    pub fn decide_returning(
        &mut self,
        request: &LimitedRequest<'_>,
        has_leader: bool,
        draw: f64,
        now: Timestamp,
    ) -> QuotaStep {
        self.decide_for(request, true, has_leader, draw, now)
    }

    fn decide_for(
        &mut self,
        request: &LimitedRequest<'_>,
        returns: bool,
        has_leader: bool,
        draw: f64,
        now: Timestamp,
    ) -> QuotaStep {
        if !has_leader || self.epoch == 0 {
            return match returns {
                true => self.decide_returning_without_leader(request, draw, now),
                false => self.decide_without_leader(request, draw, now),
            };
        }
        let is_open = !self.account(request.tenant).near_limit;
        if is_open && self.is_within_local_share(request, now) {
            self.count_with_leader(request, true, now);
            return QuotaStep::Admit;
        }
        if returns && self.may_query_reservation(request.tenant, now) {
            return QuotaStep::Query;
        }
        self.refuse_or_query(request, now)
    }

    /// Refuses a request that the leader's last refusal covers; the leader has to be queried about
    /// others.
    fn refuse_or_query(&mut self, request: &LimitedRequest<'_>, now: Timestamp) -> QuotaStep {
        let account = self.account(request.tenant);
        let refused = account.refused.filter(|refused| refused.until > now);
        let covers =
            |refused: &Refused| request.units >= refused.units && request.rank >= refused.rank;
        match refused.filter(covers) {
            Some(refused) => QuotaStep::Refuse {
                fits_after: refused.fits_at.since(now),
            },
            None => QuotaStep::Query,
        }
    }

    /// Whether a query about a reservation is within this router's part of the queries.
    fn may_query_reservation(&mut self, tenant: &str, now: Timestamp) -> bool {
        let part = MAX_RESERVATION_QUERIES_PER_SECOND / f64::from(self.routers);
        let rate = part.max(MIN_RESERVATION_QUERIES_PER_SECOND);
        let queries = self.account(tenant).reservation_queries;
        let mut queries = queries.unwrap_or_else(|| TokenBucket::full(rate, rate, now));
        queries.resize(rate, rate, now);
        let may_query = queries.take(1.0, now);
        self.account(tenant).reservation_queries = Some(queries);
        may_query
    }

    /// Decides without a leader, by this router's local share of the quota.
    ///
    /// A local share may be smaller than any request. For a tenant that was well below its limit,
    /// a request may then go into debt. For a tenant that was near its limit, all routers together
    /// would admit a multiple of the quota in this way; instead, requests are admitted at random,
    /// with a probability at which the admitted units match the sum of the shares.
    pub fn decide_without_leader(
        &mut self,
        request: &LimitedRequest<'_>,
        draw: f64,
        now: Timestamp,
    ) -> QuotaStep {
        let amount = f64::from(request.units);
        let near_limit = self.account(request.tenant).near_limit;
        let level = self.local_bucket(request, now).level(now);
        let admitted = match near_limit {
            true => draw * amount < level,
            false => self.is_within_local_share(request, now),
        };
        let local_share = self.local_bucket(request, now);
        if !admitted {
            let fits_after = local_share.time_until(amount, now);
            if near_limit {
                local_share.charge(level.max(0.0), now);
            }
            return QuotaStep::Refuse { fits_after };
        }
        local_share.charge(amount, now);
        if near_limit {
            local_share.raise_level_to(0.0);
        }
        self.count(request, true, now);
        QuotaStep::Admit
    }

    /// Decides like [`Self::decide_without_leader`] on a request that returns if it is refused. The
    /// time given includes the demand that was refused here recently and returns as well: a router
    /// without a leader makes no reservations, and the local share serves all of it later.
    pub fn decide_returning_without_leader(
        &mut self,
        request: &LimitedRequest<'_>,
        draw: f64,
        now: Timestamp,
    ) -> QuotaStep {
        let step = self.decide_without_leader(request, draw, now);
        let QuotaStep::Refuse { fits_after } = step else {
            return step;
        };
        let rate = self.local_bucket(request, now).rate();
        let returning = &mut self.account(request.tenant).returning;
        let others = returning.time_to_serve(rate, now);
        returning.add(f64::from(request.units), false, now);
        QuotaStep::Refuse {
            fits_after: fits_after + others,
        }
    }

    /// Counts a request that the leader granted.
    pub fn granted(&mut self, request: &LimitedRequest<'_>, now: Timestamp) {
        self.count_with_leader(request, false, now);
    }

    /// Records that the leader refused a request.
    pub fn refused(&mut self, ask: &QuotaQuery, fits_after: Millis, now: Timestamp) {
        let valid_for = match ask.reservation {
            Some(_) => fits_after.min(MAX_RETURNING_REFUSAL),
            None => fits_after,
        };
        let refused = Refused {
            fits_at: now + fits_after,
            until: now + valid_for,
            units: ask.units,
            rank: ask.rank,
        };
        let account = self.account(&ask.tenant);
        account.refused = Some(refused);
        if ask.reservation.is_some() {
            account.returning.add(f64::from(ask.units), false, now);
        }
    }

    /// Starts a leader's feed: reports may have been lost before it, so the next one carries the
    /// totals of all tenants.
    pub fn start_leader_feed(&mut self) {
        self.reports_all_totals = true;
    }

    /// Counts a request that was counted at `counted_at` and is sent now, after it waited, at the
    /// present time: the quota bounds the units of the requests that run in a window.
    pub fn recount(&mut self, tenant: &str, units: u32, counted_at: Timestamp, now: Timestamp) {
        let units = i64::from(units);
        let history = &mut self.account(tenant).history;
        history.add(-units, -units, counted_at);
        history.add(units, units, now);
    }

    /// Counts a request again that is sent although an earlier attempt may have run. This is not
    /// refunded if the attempt is rejected, which keeps the bound.
    pub fn count_repeated(&mut self, tenant: &str, units: u32, now: Timestamp) {
        let units = i64::from(units);
        self.account(tenant).history.add(units, units, now);
    }

    /// Refunds units that a request counted at `counted_at` did not use.
    pub fn refund(&mut self, tenant: &str, units: u32, counted_at: Timestamp, now: Timestamp) {
        let account = self.account(tenant);
        let units = i64::from(units);
        account.history.add(-units, -units, counted_at);
        if let Some(local_share) = &mut account.local_share {
            local_share.charge(-(units as f64), now);
        }
    }

    /// Takes the report to send; `None` if there is nothing to report.
    pub fn take_report(&mut self, now: Timestamp) -> Option<UseReport> {
        let mut report = UseReport {
            epoch: self.epoch,
            process: self.process,
            ..UseReport::default()
        };
        let is_first = std::mem::take(&mut self.reports_all_totals);
        for (tenant, account) in &mut self.accounts {
            account.history.sum(now);
            let unreported = account.history.take_unreported(now);
            if unreported.is_empty() && !is_first {
                continue;
            }
            account.reported += unreported.iter().map(|(units, _)| units).sum::<i64>();
            report.totals.push(ReportedTotal {
                tenant: tenant.clone(),
                units: account.reported,
            });
            let uses = unreported.into_iter().map(|(units, age)| TenantUse {
                tenant: tenant.clone(),
                units,
                age,
            });
            report.uses.extend(uses);
        }
        (is_first || !report.uses.is_empty()).then_some(report)
    }

    /// Whether a request is within this router's local share and the allowed debt.
    fn is_within_local_share(&mut self, request: &LimitedRequest<'_>, now: Timestamp) -> bool {
        let local_share = self.local_bucket(request, now);
        let needed = f64::from(request.units).min(local_share.capacity())
            - MAX_DEBT_FACTOR * local_share.capacity();
        local_share.level(now) >= needed
    }

    fn account(&mut self, tenant: &str) -> &mut Account {
        let window = self.settings.window;
        let account = self.accounts.entry(tenant.to_owned());
        account.or_insert_with(|| Account::new(window))
    }

    /// Counts a request that was admitted with a leader, also in the local share.
    fn count_with_leader(
        &mut self,
        request: &LimitedRequest<'_>,
        unreported: bool,
        now: Timestamp,
    ) {
        let local_share = self.local_bucket(request, now);
        local_share.charge(f64::from(request.units), now);
        // Without this, requests larger than the share would block it for a long time.
        local_share.raise_level_to(-(1.0 + MAX_DEBT_FACTOR) * local_share.capacity());
        self.count(request, unreported, now);
    }

    fn count(&mut self, request: &LimitedRequest<'_>, unreported: bool, now: Timestamp) {
        let units = i64::from(request.units);
        let unreported = if unreported { units } else { 0 };
        let account = self.account(request.tenant);
        account.history.add(units, unreported, now);
    }

    /// Token bucket of this router's local share of the quota: its share of the recent use of all
    /// routers, or an equal share if there was none.
    fn local_bucket(&mut self, request: &LimitedRequest<'_>, now: Timestamp) -> &mut TokenBucket {
        let LimitedRequest { tenant, quota, .. } = *request;
        let routers = f64::from(self.routers);
        let account = self.account(tenant);
        let usable = if account.near_limit {
            NEAR_LIMIT_FRACTION
        } else {
            1.0
        };
        let local_use = account.history.sum(now) as f64;
        let total = account.used_by_all as f64;
        let share = match local_use > 0.0 && total > 0.0 {
            true => (local_use / total).min(1.0),
            false => 1.0 / routers,
        };
        let rate = quota.rate_per_second * share * usable;
        let capacity = quota.burst * share * usable;
        let local_share = account
            .local_share
            .get_or_insert_with(|| TokenBucket::full(rate, capacity, now));
        local_share.resize(rate, capacity, now);
        local_share
    }
}
