//! The leader's accounts of limits that instances name.
//!
//! Invariant: the newest word on an instance holds, whoever heard it; a grant is counted
//! before it is told.

use super::{LIFTED_KEPT, LimitQuery, LimitReport, LimitVerdict, RequestRate};
use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

#[derive(Debug)]
struct Account {
    /// None once the instance names no limit any more.
    rate: Option<RequestRate>,
    named_at: Timestamp,
    grants: TokenBucket,
}

impl Account {
    fn is_over(&self, now: Timestamp) -> bool {
        self.rate.is_none() && now.since(self.named_at) > LIFTED_KEPT
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct LimitLedger {
    accounts: BTreeMap<RunnerId, Account>,
    has_news: bool,
}

impl LimitLedger {
    /// Takes a word over that a router heard, unless a newer one is known; returns whether
    /// it changes anything.
    pub fn note(&mut self, word: &LimitReport, now: Timestamp) -> bool {
        let named_at = now - word.age;
        let Some(account) = self.accounts.get_mut(&word.instance) else {
            self.open(word, named_at, now);
            return true;
        };
        if named_at < account.named_at {
            return false;
        }
        account.named_at = named_at;
        let before = std::mem::replace(&mut account.rate, word.rate);
        if before == word.rate {
            return false;
        }
        if let Some(rate) = word.rate {
            let full = rate.account(now);
            account.grants.resize(full.rate(), full.capacity(), now);
        }
        self.has_news = true;
        true
    }

    fn open(&mut self, word: &LimitReport, named_at: Timestamp, now: Timestamp) {
        let rate = word.rate.unwrap_or(RequestRate(0));
        let account = Account {
            rate: word.rate,
            named_at,
            grants: rate.account(now),
        };
        self.accounts.insert(word.instance.clone(), account);
        self.has_news = true;
    }

    /// Decides on one request of a router.
    pub fn decide(&mut self, ask: &LimitQuery, now: Timestamp) -> LimitVerdict {
        self.note(&ask.report, now);
        let Some(account) = self.accounts.get_mut(&ask.report.instance) else {
            return LimitVerdict::Unknown;
        };
        if account.rate.is_none() {
            return LimitVerdict::Granted { after: Millis(0) };
        }
        let wait = account.grants.time_until(1.0, now);
        if wait > ask.max_wait {
            return LimitVerdict::Refused { fits_after: wait };
        }
        account.grants.charge(1.0, now);
        LimitVerdict::Granted { after: wait }
    }

    /// Whether there is a word that was not told yet.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.has_news
    }

    /// Whether a word is new since the last call.
    pub fn take_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// All words that hold, and those that ended a limit a moment ago.
    #[must_use]
    pub fn reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let words = self.accounts.iter().map(|(instance, account)| LimitReport {
            instance: instance.clone(),
            rate: account.rate,
            age: now.since(account.named_at),
        });
        words.collect()
    }

    /// The limits that hold, in requests a second.
    #[must_use]
    pub fn rates(&self) -> BTreeMap<RunnerId, f64> {
        let accounts = self.accounts.iter();
        let rates = accounts.filter_map(|(instance, account)| {
            let rate = account.rate?.granted_per_second();
            Some((instance.clone(), rate))
        });
        rates.collect()
    }

    /// Forgets instances that are gone, and limits that ended long ago.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool, now: Timestamp) {
        self.accounts
            .retain(|instance, account| exists(instance) && !account.is_over(now));
    }
}
