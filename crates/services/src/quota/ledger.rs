//! The leader's accounts of tenants.
//!
//! Invariant: in no window does an account grant more than its allowance, counted with
//! all use that was told and with what routers that aren't heard may use; a grant is
//! counted before it is told; use that is told is counted once in each epoch (a
//! leadership), at the moment at which it happened.

use super::history::History;
use super::{QuotaQuery, QuotaSettings, QuotaVerdict, TenantAccountStatus, TenantUse};
use crate::tenants::{Quota, Tenant};
use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// An account is guarded when less than this part of its allowance is left: a tenant
/// that sends at six times its usual from one moment to the next is guarded before
/// nothing is left, with the time that reports take.
const GUARDED_BELOW: f64 = 0.3;
/// A guarded account is free again when more than this part is left.
const FREE_ABOVE: f64 = 0.4;

/// Exactness of an account.
const ACCOUNT_SLOT: Millis = Millis(100);
/// Use that lies further back doesn't slow a tenant down: it has made up for it.
const PACED: Millis = Millis(1_000);
/// Part of what goes at once that a request leaves free for each rank before its own: of
/// a tenant that sends too much, the least urgent requests are refused first.
const KEPT_FREE_PER_RANK: f64 = 0.2;
/// Ranks after this are treated alike.
const RANKS_TOLD_APART: u8 = 3;
/// Exactness of what a single router used.
const ROUTER_SLOT: Millis = Millis(1_000);

/// One tenant's account. What was used in the last window bounds what is granted; a
/// bucket that fills as fast as the allowance lasts spreads it over the window. Without
/// that a tenant that sends too much gets all at a window's begin and nothing after:
/// 1,400 units in a millisecond for two seconds, then 60, where 860 are granted.
#[derive(Debug)]
struct Account {
    quota: Quota,
    /// Units that may be used in a window.
    allowance: f64,
    history: History,
    pace: TokenBucket,
    guarded: bool,
}

/// A router that is not heard, and what it is taken to use meanwhile.
#[derive(Debug)]
struct LostRouter {
    since: Timestamp,
    /// Units a second, by tenant.
    rates: BTreeMap<String, f64>,
}

/// See the module.
#[derive(Debug)]
pub struct QuotaLedger {
    epoch: u64,
    settings: QuotaSettings,
    accounts: BTreeMap<String, Account>,
    /// What each router used lately, by tenant.
    routers: BTreeMap<String, BTreeMap<String, History>>,
    lost: BTreeMap<String, LostRouter>,
    turned: bool,
}

impl QuotaLedger {
    /// Accounts of which nothing was used; what was used under earlier leaders is
    /// learnt from the routers' reports.
    #[must_use]
    pub fn new(epoch: u64, settings: QuotaSettings) -> Self {
        Self {
            epoch,
            settings,
            accounts: BTreeMap::new(),
            routers: BTreeMap::new(),
            lost: BTreeMap::new(),
            turned: false,
        }
    }

    /// The leadership that these accounts belong to.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether any tenant has a limit.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Follows the declared limits. What was used stays counted; under a lower limit as
    /// the same part of it, so that use that was allowed is not held against anybody.
    pub fn configure(&mut self, tenants: &[Tenant], now: Timestamp) {
        let settings = self.settings;
        let mut before = std::mem::take(&mut self.accounts);
        for tenant in tenants {
            let Some(quota) = tenant.quota else { continue };
            let account = match before.remove(&tenant.name) {
                Some(known) => known.with_quota(quota, &settings, now),
                None => Account::new(quota, &settings, now),
            };
            self.accounts.insert(tenant.name.clone(), account);
        }
        self.look(now);
    }

    /// Takes a router's report for an epoch; one for another epoch is told anew.
    /// Returns whether an account turned guarded or free and that is untold yet.
    pub fn report(&mut self, router: &str, epoch: u64, uses: &[TenantUse], now: Timestamp) -> bool {
        self.router_contacted(router);
        if epoch != self.epoch {
            return false;
        }
        for one in uses {
            let at = now - one.age;
            self.note(router, &one.tenant, one.units, at);
            if let Some(account) = self.accounts.get_mut(&one.tenant) {
                account.count(one.units, at, now);
                self.look_at(&one.tenant, now);
            }
        }
        self.turned
    }

    /// Decides on one request of a router.
    pub fn decide(&mut self, router: &str, ask: &QuotaQuery, now: Timestamp) -> QuotaVerdict {
        let QuotaQuery {
            tenant,
            units,
            rank,
            ..
        } = ask;
        let (tenant, units) = (tenant.as_str(), *units);
        let assumed = self.assumed(tenant, now);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return QuotaVerdict::Unknown;
        };
        // A request larger than the burst needs no more than that.
        let needed = f64::from(units).min(account.quota.burst);
        let kept_free = account.kept_free(*rank);
        if let Some(fits_after) = account.refuses(needed, kept_free, assumed, now) {
            return QuotaVerdict::Refused { fits_after };
        }
        account.count(i64::from(units), now, now);
        self.note(router, tenant, i64::from(units), now);
        QuotaVerdict::Granted
    }

    /// Notes that a router is not heard any more: it may go on without a leader, until
    /// it is heard again and tells what it used.
    pub fn router_lost(&mut self, router: &str, now: Timestamp) {
        let Some(used) = self.routers.remove(router) else {
            return;
        };
        let window = self.settings.window.as_secs_f64();
        let rate = |mut history: History| history.sum(now).max(0) as f64 / window;
        let rates = used
            .into_iter()
            .map(|(tenant, history)| (tenant, rate(history)));
        let lost = LostRouter {
            since: now,
            rates: rates.collect(),
        };
        self.lost.insert(router.to_owned(), lost);
    }

    /// Notes that a router is heard again.
    pub fn router_contacted(&mut self, router: &str) {
        self.lost.remove(router);
    }

    /// Whether an account turned guarded or free since the last call.
    pub fn take_status_changed(&mut self) -> bool {
        std::mem::take(&mut self.turned)
    }

    /// How the accounts stand that were used lately.
    pub fn account_statuses(&mut self, now: Timestamp) -> Vec<TenantAccountStatus> {
        self.look(now);
        let accounts = self.accounts.iter_mut();
        let standings = accounts.filter_map(|(tenant, account)| {
            let used = u64::try_from(account.history.sum(now)).unwrap_or(0);
            let guarded = account.guarded;
            (used > 0 || guarded).then(|| TenantAccountStatus {
                tenant: tenant.clone(),
                near_limit: guarded,
                used,
            })
        });
        standings.collect()
    }

    fn note(&mut self, router: &str, tenant: &str, units: i64, at: Timestamp) {
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

    /// What lost routers are taken to have used in the last window.
    fn assumed(&self, tenant: &str, now: Timestamp) -> f64 {
        let window = self.settings.window;
        let lost = self.lost.values();
        let used = lost.filter_map(|lost| {
            let rate = lost.rates.get(tenant)?;
            let end = now.min(lost.since + window);
            let begin = lost.since.max(now - window);
            Some(rate * end.since(begin).as_secs_f64())
        });
        used.sum()
    }

    /// Decides which accounts are guarded, and forgets what is long gone.
    fn look(&mut self, now: Timestamp) {
        let window = self.settings.window;
        let kept = |lost: &LostRouter| now.since(lost.since) <= window + window;
        self.lost.retain(|_, lost| kept(lost));
        for tenants in self.routers.values_mut() {
            tenants.retain(|_, history| history.sum(now) != 0);
        }
        let tenants: Vec<String> = self.accounts.keys().cloned().collect();
        for tenant in tenants {
            self.look_at(&tenant, now);
        }
    }

    /// Decides whether an account is guarded.
    fn look_at(&mut self, tenant: &str, now: Timestamp) {
        let assumed = self.assumed(tenant, now);
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let bound = match account.guarded {
            true => FREE_ABOVE,
            false => GUARDED_BELOW,
        };
        let paced = account.pace.level(now) < bound * account.pace.capacity();
        let guarded = paced || account.left(assumed, now) < bound * account.allowance;
        self.turned |= guarded != account.guarded;
        account.guarded = guarded;
    }
}

impl Account {
    fn new(quota: Quota, settings: &QuotaSettings, now: Timestamp) -> Self {
        let (rate, capacity) = settings.pace(&quota);
        Self {
            pace: TokenBucket::full(rate, capacity, now),
            quota,
            allowance: settings.allowance(&quota),
            history: History::new(ACCOUNT_SLOT, settings.window),
            guarded: false,
        }
    }

    fn with_quota(mut self, quota: Quota, settings: &QuotaSettings, now: Timestamp) -> Self {
        let (rate, capacity) = settings.pace(&quota);
        self.pace.resize(rate, capacity, now);
        let before = std::mem::replace(&mut self.allowance, settings.allowance(&quota));
        self.quota = quota;
        if self.allowance < before {
            self.history.scale(self.allowance / before);
        }
        self
    }

    /// Why a request that needs so much does not fit: the time after which it would.
    fn refuses(
        &mut self,
        needed: f64,
        kept_free: f64,
        assumed: f64,
        now: Timestamp,
    ) -> Option<Millis> {
        let missing = needed - self.left(assumed, now);
        let unpaced = self.pace.time_until(needed + kept_free, now);
        if missing <= 0.0 {
            return (unpaced > Millis(0)).then_some(unpaced);
        }
        let forgotten = self.history.expires_after(missing, now);
        Some(unpaced.max(forgotten.unwrap_or(ACCOUNT_SLOT)))
    }

    /// What a request of this rank leaves for more urgent ones.
    fn kept_free(&self, rank: u8) -> f64 {
        let ranks = f64::from(rank.min(RANKS_TOLD_APART));
        self.pace.capacity() * KEPT_FREE_PER_RANK * ranks
    }

    /// Counts use at a moment.
    fn count(&mut self, units: i64, at: Timestamp, now: Timestamp) {
        self.history.add(units, 0, at);
        if now.since(at) <= PACED {
            self.pace.charge(units as f64, now);
            self.pace.forgive_below(-self.pace.capacity());
        }
    }

    /// Units that are left in the present window.
    fn left(&mut self, assumed: f64, now: Timestamp) -> f64 {
        self.allowance - self.history.sum(now) as f64 - assumed
    }
}
