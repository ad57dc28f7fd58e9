//! The leader's accounts of rate limits that instances report.
//!
//! Invariant: the newest report about an instance is in force, whichever router received it; a
//! grant is counted before it is sent. In any time `t`, successive leaders grant together at most
//! the rate times `t` plus the capacity of one account, beside time slots that an earlier leader
//! granted for later.

use super::{LimitQuery, LimitReport, LimitVerdict, REMOVAL_RETENTION, RequestRate};
use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

#[derive(Debug)]
struct Account {
    /// `None` once the instance reports no limit any more.
    rate: Option<RequestRate>,
    reported_at: Timestamp,
    grants: TokenBucket,
}

impl Account {
    fn is_expired(&self, now: Timestamp) -> bool {
        self.rate.is_none() && now.since(self.reported_at) > REMOVAL_RETENTION
    }
}

/// Accounts by instance. See the module documentation.
#[derive(Debug, Default)]
pub struct LimitLedger {
    /// When the leadership began; `None` if no earlier leader can have granted requests.
    leads_since: Option<Timestamp>,
    accounts: BTreeMap<RunnerId, Account>,
    has_changed_limits: bool,
}

impl LimitLedger {
    /// The ledger of a leader that was elected at `leads_since`.
    #[must_use]
    pub fn of_elected(leads_since: Timestamp) -> Self {
        Self {
            leads_since: Some(leads_since),
            ..Self::default()
        }
    }

    /// Applies a report that a router received, unless a newer one is in force; returns whether it
    /// changes a limit.
    pub fn note(&mut self, report: &LimitReport, now: Timestamp) -> bool {
        let reported_at = now - report.age;
        let Some(account) = self.accounts.get_mut(&report.instance) else {
            self.open(report, reported_at, now);
            return true;
        };
        if reported_at < account.reported_at {
            return false;
        }
        account.reported_at = reported_at;
        let previous = std::mem::replace(&mut account.rate, report.rate);
        if previous == report.rate {
            return false;
        }
        if let Some(rate) = report.rate {
            let full = rate.account(now);
            account.grants.resize(full.rate(), full.capacity(), now);
        }
        self.has_changed_limits = true;
        true
    }

    fn open(&mut self, report: &LimitReport, reported_at: Timestamp, now: Timestamp) {
        let rate = report.rate.unwrap_or(RequestRate(0));
        let account = Account {
            rate: report.rate,
            reported_at,
            grants: self.new_account(rate, now),
        };
        self.accounts.insert(report.instance.clone(), account);
        self.has_changed_limits = true;
    }

    /// The first account of an instance under this leader. An earlier leader may have granted all
    /// of the content until this leadership began, so the account is empty at that time. The age
    /// of a report does not show when the limit began: each response with the limit renews it.
    fn new_account(&self, rate: RequestRate, now: Timestamp) -> TokenBucket {
        let full = rate.account(now);
        self.leads_since.map_or(full, |leads_since| {
            TokenBucket::empty(full.rate(), full.capacity(), leads_since)
        })
    }

    /// Decides on one request of a router, and counts it if it is granted.
    pub fn decide(&mut self, query: &LimitQuery, now: Timestamp) -> LimitVerdict {
        self.note(&query.report, now);
        let Some(account) = self.accounts.get_mut(&query.report.instance) else {
            return LimitVerdict::Unknown;
        };
        if account.rate.is_none() {
            return LimitVerdict::Granted { after: Millis(0) };
        }
        let wait = account.grants.time_until(1.0, now);
        if wait > query.max_wait {
            return LimitVerdict::Refused { fits_after: wait };
        }
        account.grants.charge(1.0, now);
        LimitVerdict::Granted { after: wait }
    }

    /// Whether a limit has changed since the last [`Self::take_changes`].
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.has_changed_limits
    }

    /// Whether a limit has changed since the last call; clears the mark.
    pub fn take_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_changed_limits)
    }

    /// Reports of all limits in force, and of limits that were removed recently.
    #[must_use]
    pub fn reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let reports = self.accounts.iter().map(|(instance, account)| LimitReport {
            instance: instance.clone(),
            rate: account.rate,
            age: now.since(account.reported_at),
        });
        reports.collect()
    }

    /// The limits in force, in requests per second.
    #[must_use]
    pub fn rates(&self) -> BTreeMap<RunnerId, f64> {
        let accounts = self.accounts.iter();
        let rates = accounts.filter_map(|(instance, account)| {
            let rate = account.rate?.granted_per_second();
            Some((instance.clone(), rate))
        });
        rates.collect()
    }

    /// Removes instances that no longer exist, and limits whose removal is older than
    /// `REMOVAL_RETENTION`.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool, now: Timestamp) {
        self.accounts
            .retain(|instance, account| exists(instance) && !account.is_expired(now));
    }
}
