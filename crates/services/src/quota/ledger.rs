//! The leader's quota accounts of tenants.
//!
//! Invariant: an account never grants more than its allowance in a window, including all reported
//! use and the assumed use of disconnected routers; a grant is counted before it is sent;
//! reported use is counted once in each epoch (a leadership), at the time at which it occurred.

use super::history::History;
use super::reconciliation::ReceivedTotals;
use super::reservation_events::{ReservationEvent, ReservationEvents};
use super::reserving::TenantReservations;
use super::small_requests::SmallRequests;
use super::{QuotaQuery, QuotaSettings, QuotaVerdict, TenantAccountStatus, UseReport};
use crate::tenants::{Quota, Tenant};
use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// An account is near its limit when less than this fraction of its allowance is left. A tenant
/// whose load jumps to six times its usual is then detected before the allowance is used up, in
/// spite of the delay of reports.
const NEAR_LIMIT_BELOW: f64 = 0.3;
/// An account is no longer near its limit when more than this fraction is left.
const NOT_NEAR_LIMIT_ABOVE: f64 = 0.4;

/// Resolution of an account's history.
const ACCOUNT_SLOT: Millis = Millis(100);
/// Reported use that is older than this is not charged to the pace: the bucket would have refilled
/// meanwhile. Refunds of any age are returned to it, because a request that waited and is sent now
/// is charged again.
const MAX_PACED_AGE: Millis = Millis(1_000);
/// Fraction of the pace's capacity that a request leaves free for each more urgent rank, so that
/// the least urgent requests of a tenant over its quota are refused first.
const LEFT_PER_RANK: f64 = 0.2;
/// Higher ranks are treated like this one.
const MAX_RANK: u8 = 3;
/// Resolution of a single router's history.
const ROUTER_SLOT: Millis = Millis(1_000);

/// One tenant's account. Grants are bounded by the use in the last window; in addition, a token
/// bucket that fills at the rate of the allowance paces them over the window. Without the pace, a
/// tenant over its quota gets the whole allowance at the start of a window and nothing
/// afterwards: 1,400 units per millisecond for two seconds, then 60, where 860 are granted.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) quota: Quota,
    /// Units that may be used in a window.
    allowance: f64,
    pub(super) history: History,
    pub(super) pace: TokenBucket,
    near_limit: bool,
    pub(super) reservations: TenantReservations,
    pub(super) small_requests: SmallRequests,
}

/// A disconnected router, and the use that is assumed for it meanwhile.
#[derive(Debug)]
struct DisconnectedRouter {
    since: Timestamp,
    /// Assumed use by tenant, in units per second.
    rates: BTreeMap<String, f64>,
}

/// Quota accounts of all tenants. See the module documentation.
#[derive(Debug)]
pub struct QuotaLedger {
    epoch: u64,
    settings: QuotaSettings,
    accounts: BTreeMap<String, Account>,
    received: ReceivedTotals,
    /// Recent use of each router, by tenant.
    routers: BTreeMap<String, BTreeMap<String, History>>,
    disconnected: BTreeMap<String, DisconnectedRouter>,
    status_changed: bool,
    reservation_events: ReservationEvents,
}

impl QuotaLedger {
    /// Creates accounts without any use; the use under earlier leaders is received with the
    /// routers' reports.
    #[must_use]
    pub fn new(epoch: u64, settings: QuotaSettings) -> Self {
        Self {
            epoch,
            settings,
            accounts: BTreeMap::new(),
            received: ReceivedTotals::default(),
            routers: BTreeMap::new(),
            disconnected: BTreeMap::new(),
            status_changed: false,
            reservation_events: ReservationEvents::default(),
        }
    }

    /// The leadership (epoch) to which these accounts belong.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether any tenant has a quota.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Applies the configured quotas. Earlier use stays counted; under a lower quota it is scaled
    /// to the same fraction, so that use that was allowed before does not exceed the new quota.
    pub fn configure(&mut self, tenants: &[Tenant], now: Timestamp) {
        let settings = self.settings;
        let mut previous = std::mem::take(&mut self.accounts);
        for tenant in tenants {
            let Some(quota) = tenant.quota else { continue };
            let account = match previous.remove(&tenant.name) {
                Some(account) => {
                    let (unit, allowance) = (account.quota.unit, account.allowance);
                    let capacity = account.pace.capacity();
                    let mut account = account.with_quota(quota, &settings, now);
                    let events = &mut self.reservation_events;
                    if quota.unit != unit {
                        account.drop_reservations(&tenant.name, events);
                    } else if account.allowance < allowance || account.pace.capacity() < capacity {
                        account.refit_reservations(&tenant.name, events, now);
                    }
                    account
                }
                None => Account::new(quota, &settings, now),
            };
            self.accounts.insert(tenant.name.clone(), account);
        }
        for (tenant, mut account) in previous {
            account.drop_reservations(&tenant, &mut self.reservation_events);
        }
        self.update_statuses(now);
    }

    /// Applies a router's report. A report for another epoch is ignored, because the router sends
    /// the use again for this epoch. Use of earlier reports that were lost is counted now: when it
    /// occurred is unknown, and a later time keeps the window's bound. Returns whether the
    /// near-limit status of an account has changed and is not published yet.
    pub fn report(&mut self, router: &str, report: &UseReport, now: Timestamp) -> bool {
        if report.epoch != self.epoch {
            return false;
        }
        // From here on the reported use replaces the assumed one.
        self.disconnected.remove(router);
        for (tenant, units) in self.received.note(router, report) {
            self.count_use(router, &tenant, units, now, now);
        }
        for one in &report.uses {
            self.count_use(router, &one.tenant, one.units, now - one.age, now);
        }
        self.status_changed
    }

    /// Counts use of a router at a time.
    fn count_use(&mut self, router: &str, tenant: &str, units: i64, at: Timestamp, now: Timestamp) {
        self.record(router, tenant, units, at);
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.count(units, at, now);
            self.update_status(tenant, now);
        }
    }

    /// Decides on one request of a router, and counts it if it is granted.
    pub fn decide(&mut self, router: &str, query: &QuotaQuery, now: Timestamp) -> QuotaVerdict {
        let tenant = query.tenant.as_str();
        let assumed = self.assumed(tenant, now);
        let events = &mut self.reservation_events;
        let Some(account) = self.accounts.get_mut(tenant) else {
            events.note_unknown_tenant(query);
            return QuotaVerdict::Unknown;
        };
        let verdict = account.decide(query, assumed, events, now);
        if verdict == QuotaVerdict::Granted {
            let units = i64::from(query.units);
            account.count(units, now, now);
            self.record(router, tenant, units, now);
        }
        if matches!(verdict, QuotaVerdict::Reserved { .. }) {
            self.update_status(tenant, now);
        }
        verdict
    }

    /// Takes the changes of reservations since the last call, for records and metrics.
    pub fn take_reservation_events(&mut self) -> Vec<ReservationEvent> {
        self.reservation_events.take()
    }

    /// Records that a router is disconnected. It may continue to admit requests without a leader,
    /// so use at its recent rate is assumed until it reports its use again.
    pub fn router_lost(&mut self, router: &str, now: Timestamp) {
        let Some(used) = self.routers.remove(router) else {
            return;
        };
        let window = self.settings.window.as_secs_f64();
        let rate = |mut history: History| history.sum(now).max(0) as f64 / window;
        let rates = used
            .into_iter()
            .map(|(tenant, history)| (tenant, rate(history)));
        let disconnected = DisconnectedRouter {
            since: now,
            rates: rates.collect(),
        };
        self.disconnected.insert(router.to_owned(), disconnected);
    }

    /// Whether the near-limit status of an account has changed and is not published yet.
    #[must_use]
    pub fn is_status_changed(&self) -> bool {
        self.status_changed
    }

    /// Whether the near-limit status of an account has changed since the last call.
    pub fn take_status_changed(&mut self) -> bool {
        std::mem::take(&mut self.status_changed)
    }

    /// Statuses of the accounts with recent use.
    pub fn account_statuses(&mut self, now: Timestamp) -> Vec<TenantAccountStatus> {
        self.update_statuses(now);
        let accounts = self.accounts.iter_mut();
        let statuses = accounts.filter_map(|(tenant, account)| {
            let used = u64::try_from(account.history.sum(now)).unwrap_or(0);
            let near_limit = account.near_limit;
            (used > 0 || near_limit).then(|| TenantAccountStatus {
                tenant: tenant.clone(),
                near_limit,
                used,
            })
        });
        statuses.collect()
    }

    fn record(&mut self, router: &str, tenant: &str, units: i64, at: Timestamp) {
        let window = self.settings.window;
        if !self.routers.contains_key(router) {
            self.routers.insert(router.to_owned(), BTreeMap::new());
        }
        let Some(tenants) = self.routers.get_mut(router) else {
            return;
        };
        match tenants.get_mut(tenant) {
            Some(history) => history.add(units, 0, at),
            None => {
                let mut history = History::new(ROUTER_SLOT, window);
                history.add(units, 0, at);
                tenants.insert(tenant.to_owned(), history);
            }
        }
    }

    /// Assumed use of disconnected routers in the last window, in units.
    fn assumed(&self, tenant: &str, now: Timestamp) -> f64 {
        let window = self.settings.window;
        let disconnected = self.disconnected.values();
        let used = disconnected.filter_map(|disconnected| {
            let rate = disconnected.rates.get(tenant)?;
            let end = now.min(disconnected.since + window);
            let start = disconnected.since.max(now - window);
            Some(rate * end.since(start).as_secs_f64())
        });
        used.sum()
    }

    /// Updates the near-limit status of all accounts, and removes expired entries.
    fn update_statuses(&mut self, now: Timestamp) {
        let window = self.settings.window;
        let is_recent =
            |disconnected: &DisconnectedRouter| now.since(disconnected.since) <= window + window;
        self.disconnected
            .retain(|_, disconnected| is_recent(disconnected));
        for tenants in self.routers.values_mut() {
            tenants.retain(|_, history| history.sum(now) != 0);
        }
        let tenants: Vec<String> = self.accounts.keys().cloned().collect();
        for tenant in tenants {
            self.update_status(&tenant, now);
        }
    }

    /// Updates the near-limit status of one account.
    fn update_status(&mut self, tenant: &str, now: Timestamp) {
        let assumed = self.assumed(tenant, now);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let threshold = match account.near_limit {
            true => NOT_NEAR_LIMIT_ABOVE,
            false => NEAR_LIMIT_BELOW,
        };
        let is_paced = account.pace.level(now) < threshold * account.pace.capacity();
        account.expire_reservations(tenant, &mut self.reservation_events, now);
        // While there are reservations, routers query the leader, so that returning requests take
        // theirs and no others use the reserved units.
        let near_limit = is_paced
            || account.left(assumed, now) < threshold * account.allowance
            || !account.reservations.is_empty();
        self.status_changed |= near_limit != account.near_limit;
        account.near_limit = near_limit;
    }
}

impl Account {
    fn new(quota: Quota, settings: &QuotaSettings, now: Timestamp) -> Self {
        let (rate, capacity) = settings.pace(&quota);
        let pace = TokenBucket::full(rate, capacity, now);
        Self {
            reservations: TenantReservations::default(),
            small_requests: SmallRequests::new(&quota, settings, now),
            pace,
            quota,
            allowance: settings.allowance(&quota),
            history: History::new(ACCOUNT_SLOT, settings.window),
            near_limit: false,
        }
    }

    fn with_quota(mut self, quota: Quota, settings: &QuotaSettings, now: Timestamp) -> Self {
        let (rate, capacity) = settings.pace(&quota);
        self.pace.resize(rate, capacity, now);
        self.small_requests.resize(&quota, settings, now);
        let previous = std::mem::replace(&mut self.allowance, settings.allowance(&quota));
        self.quota = quota;
        if self.allowance < previous {
            self.history.scale(self.allowance / previous);
        }
        self
    }

    /// Time after which a request of `needed` units would be within the quota; `None` if it is
    /// within it now. It leaves `left_in_bucket` units in the token bucket and `left_in_window` units
    /// of the window.
    pub(super) fn time_until_admitted(
        &mut self,
        needed: f64,
        left_in_bucket: f64,
        left_in_window: f64,
        now: Timestamp,
    ) -> Option<Millis> {
        let missing = needed - self.left(left_in_window, now);
        let pace_wait = self.pace.time_until(needed + left_in_bucket, now);
        if missing <= 0.0 {
            return (pace_wait > Millis(0)).then_some(pace_wait);
        }
        let expired = self.history.expires_after(missing, now);
        Some(pace_wait.max(expired.unwrap_or(ACCOUNT_SLOT)))
    }

    /// Units that a request of this rank leaves free for more urgent ones.
    pub(super) fn left_for_more_urgent(&self, rank: u8) -> f64 {
        let ranks = f64::from(rank.min(MAX_RANK));
        self.pace.capacity() * LEFT_PER_RANK * ranks
    }

    /// Counts use at a time.
    fn count(&mut self, units: i64, at: Timestamp, now: Timestamp) {
        self.history.add(units, 0, at);
        if units < 0 || now.since(at) <= MAX_PACED_AGE {
            self.pace.charge(units as f64, now);
            self.pace.raise_level_to(-self.pace.capacity());
        }
    }

    /// Units that are left in the current window.
    pub(super) fn left(&mut self, assumed: f64, now: Timestamp) -> f64 {
        self.allowance - self.history.sum(now) as f64 - assumed
    }
}
