//! A router's side of tenants' limits.
//!
//! Invariant: every request that is admitted is counted once: told to the leader in
//! the next report, or charged by the leader when it was asked. One that did not run
//! is given back.

use super::history::History;
use super::{LimitedRequest, QuotaQuery, QuotaSettings, TenantAccountStatus, TenantUse};
use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, Timestamp};
use std::collections::HashMap;

/// A router that does not ask lets a tenant that was well below its limit owe so many
/// times its own part of the burst: requests come unevenly to single routers. With
/// none, 5 in 100 units of a large tenant are refused while a leader is missing for
/// 3.5 s, at 80 routers in virtual time; with two, under 1.
const OWN_DEBT: f64 = 2.0;

/// Without a leader, a router has this part of its own part where the account was
/// guarded: most of the limit was used already.
const GUARDED_PART: f64 = 0.5;

/// Exactness of what a router remembers: a new leader learns of earlier use this
/// exactly, in one message of a few entries for each tenant.
const SLOT: Millis = Millis(1_000);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaStep {
    /// It is within the limit, and counted.
    Admit,
    /// The leader has to be asked.
    Query,
    /// It is beyond the limit.
    Refuse {
        /// Time after which it would fit.
        fits_after: Millis,
    },
}

/// The leader's last refusal.
#[derive(Debug, Clone, Copy)]
struct Refused {
    until: Timestamp,
    units: u32,
    rank: u8,
}

#[derive(Debug)]
struct Account {
    guarded: bool,
    /// Units that all routers used in the last window, as told.
    used_by_all: u64,
    history: History,
    /// This router's own part of the limit.
    own: Option<TokenBucket>,
    refused: Option<Refused>,
}

/// See the module.
#[derive(Debug)]
pub struct RouterQuotas {
    settings: QuotaSettings,
    epoch: u64,
    routers: u32,
    accounts: HashMap<String, Account>,
}

impl Account {
    fn new(window: Millis) -> Self {
        Self {
            guarded: false,
            used_by_all: 0,
            history: History::new(SLOT, window),
            own: None,
            refused: None,
        }
    }
}

impl RouterQuotas {
    /// Accounts of a router that has not heard a leader yet.
    #[must_use]
    pub fn new(settings: QuotaSettings, routers: u32) -> Self {
        Self {
            settings,
            epoch: 0,
            routers: routers.max(1),
            accounts: HashMap::new(),
        }
    }

    /// Follows the number of routers that share the limits.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Takes the leader's word on the accounts over. A new leader is told anew what
    /// was used lately.
    pub fn set_account_statuses(
        &mut self,
        epoch: u64,
        standings: Vec<TenantAccountStatus>,
        now: Timestamp,
    ) {
        let window = self.settings.window;
        let is_new = epoch != self.epoch;
        self.epoch = epoch;
        for account in self.accounts.values_mut() {
            account.guarded = false;
            account.used_by_all = 0;
            account.history.sum(now);
            if is_new {
                account.refused = None;
                account.history.mark_all_unreported();
            }
        }
        for standing in standings {
            let account = self.accounts.entry(standing.tenant);
            let account = account.or_insert_with(|| Account::new(window));
            account.guarded = standing.near_limit;
            account.used_by_all = standing.used;
        }
    }

    /// Decides on a request of these units, and counts it where it is admitted.
    /// `led` tells whether a leader was heard lately; `draw` is a number drawn evenly
    /// from 0 up to 1.
    pub fn decide(
        &mut self,
        request: &LimitedRequest<'_>,
        led: bool,
        draw: f64,
        now: Timestamp,
    ) -> QuotaStep {
        if !led || self.epoch == 0 {
            return self.decide_without_leader(request, draw, now);
        }
        let is_free = !self.account(request.tenant).guarded;
        if is_free && self.is_within_part(request, now) {
            self.count_led(request, true, now);
            return QuotaStep::Admit;
        }
        let account = self.account(request.tenant);
        let refused = account.refused.filter(|refused| refused.until > now);
        let asked_in_vain =
            |refused: &Refused| request.units >= refused.units && request.rank >= refused.rank;
        match refused.filter(asked_in_vain) {
            Some(refused) => QuotaStep::Refuse {
                fits_after: refused.until.since(now),
            },
            None => QuotaStep::Query,
        }
    }

    /// Decides without a leader, by this router's own part of the limit.
    ///
    /// A part may be smaller than any request. Of a tenant that was well below its
    /// limit, a request may then owe the rest. Of one that was near it, all routers
    /// together would so admit a multiple: there chance lets through as many as the
    /// parts add up to.
    pub fn decide_without_leader(
        &mut self,
        request: &LimitedRequest<'_>,
        draw: f64,
        now: Timestamp,
    ) -> QuotaStep {
        let amount = f64::from(request.units);
        let guarded = self.account(request.tenant).guarded;
        let level = self.own_bucket(request, now).level(now);
        let admitted = match guarded {
            true => draw * amount < level,
            false => self.is_within_part(request, now),
        };
        let own = self.own_bucket(request, now);
        if !admitted {
            let fits_after = own.time_until(amount, now);
            if guarded {
                own.charge(level.max(0.0), now);
            }
            return QuotaStep::Refuse { fits_after };
        }
        own.charge(amount, now);
        if guarded {
            own.forgive_below(0.0);
        }
        self.count(request, true, now);
        QuotaStep::Admit
    }

    /// Counts a request that the leader granted.
    pub fn granted(&mut self, request: &LimitedRequest<'_>, now: Timestamp) {
        self.count_led(request, false, now);
    }

    /// Notes that the leader refused a request.
    pub fn refused(&mut self, ask: &QuotaQuery, fits_after: Millis, now: Timestamp) {
        let refused = Refused {
            until: now + fits_after,
            units: ask.units,
            rank: ask.rank,
        };
        self.account(&ask.tenant).refused = Some(refused);
    }

    /// Gives back what a request did not use that was counted at `counted_at`.
    pub fn refund(&mut self, tenant: &str, units: u32, counted_at: Timestamp, now: Timestamp) {
        let account = self.account(tenant);
        let units = i64::from(units);
        account.history.add(-units, -units, counted_at);
        if let Some(own) = &mut account.own {
            own.charge(-(units as f64), now);
        }
    }

    /// What to tell the leader of this epoch.
    pub fn take_report(&mut self, now: Timestamp) -> (u64, Vec<TenantUse>) {
        let mut uses = Vec::new();
        for (tenant, account) in &mut self.accounts {
            account.history.sum(now);
            let untold = account.history.take_unreported(now).into_iter();
            uses.extend(untold.map(|(units, age)| TenantUse {
                tenant: tenant.clone(),
                units,
                age,
            }));
        }
        (self.epoch, uses)
    }

    /// Whether a request is within this router's own part, and what it may owe.
    fn is_within_part(&mut self, request: &LimitedRequest<'_>, now: Timestamp) -> bool {
        let own = self.own_bucket(request, now);
        let needed = f64::from(request.units).min(own.capacity()) - OWN_DEBT * own.capacity();
        own.level(now) >= needed
    }

    fn account(&mut self, tenant: &str) -> &mut Account {
        let window = self.settings.window;
        let account = self.accounts.entry(tenant.to_owned());
        account.or_insert_with(|| Account::new(window))
    }

    /// Counts what was admitted under a leader, also in this router's own part.
    fn count_led(&mut self, request: &LimitedRequest<'_>, untold: bool, now: Timestamp) {
        let own = self.own_bucket(request, now);
        own.charge(f64::from(request.units), now);
        // Requests larger than the part would shut it for long.
        own.forgive_below(-(1.0 + OWN_DEBT) * own.capacity());
        self.count(request, untold, now);
    }

    fn count(&mut self, request: &LimitedRequest<'_>, untold: bool, now: Timestamp) {
        let units = i64::from(request.units);
        let untold = if untold { units } else { 0 };
        let account = self.account(request.tenant);
        account.history.add(units, untold, now);
    }

    /// This router's own part of the limit: what it had of all that was used lately,
    /// or an equal part where it had nothing.
    fn own_bucket(&mut self, request: &LimitedRequest<'_>, now: Timestamp) -> &mut TokenBucket {
        let LimitedRequest { tenant, quota, .. } = *request;
        let routers = f64::from(self.routers);
        let account = self.account(tenant);
        let open = if account.guarded { GUARDED_PART } else { 1.0 };
        let own_use = account.history.sum(now) as f64;
        let all = account.used_by_all as f64;
        let part = match own_use > 0.0 && all > 0.0 {
            true => (own_use / all).min(1.0),
            false => 1.0 / routers,
        };
        let rate = quota.rate_per_second * part * open;
        let capacity = quota.burst * part * open;
        let own = account
            .own
            .get_or_insert_with(|| TokenBucket::full(rate, capacity, now));
        own.resize(rate, capacity, now);
        own
    }
}
