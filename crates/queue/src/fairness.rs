//! Order of service within one class: the earliest deadline first, among the
//! tenants that are not too far ahead of the others.
//!
//! Invariant: a tenant is served only while its service is at most
//! [`FAIRNESS_WINDOW`] ahead of the least served tenant that waits, so that
//! no tenant starves another with short deadlines. All operations are
//! logarithmic.

use courseshunt_types::{TenantName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Service, in tokens, that a tenant may be ahead of another that waits.
pub const FAIRNESS_WINDOW: u64 = 4096;

/// A ticket's place within its class and tenant: deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryKey {
    pub(crate) deadline: Timestamp,
    pub(crate) number: u64,
}

#[derive(Debug, Default)]
struct TenantQueue {
    entries: BTreeSet<EntryKey>,
    /// Tokens served, in the queue's virtual time.
    served: u64,
}

/// Number of a tenant within its class queue.
type TenantNumber = usize;

/// The tickets of one class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    numbers: BTreeMap<TenantName, TenantNumber>,
    tenants: Vec<TenantQueue>,
    /// Tenants that wait, by service.
    by_service: BTreeSet<(u64, TenantNumber)>,
    /// Tenants that may be served, by their first ticket.
    eligible: BTreeSet<(EntryKey, TenantNumber)>,
    /// Tenants that are too far ahead, by service.
    ahead: BTreeSet<(u64, TenantNumber)>,
    /// Service of the least served tenant that waits, or waited last.
    floor: u64,
    length: u32,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> u32 {
        self.length
    }

    /// Tickets of one tenant.
    pub(crate) fn len_of(&self, tenant: &TenantName) -> u32 {
        let number = self.numbers.get(tenant);
        let entries = number.map_or(0, |number| self.tenants[*number].entries.len());
        u32::try_from(entries).unwrap_or(u32::MAX)
    }

    pub(crate) fn insert(&mut self, tenant: &TenantName, key: EntryKey) {
        let number = self.number_of(tenant);
        self.detach(number);
        let floor = self.floor;
        let queue = &mut self.tenants[number];
        if queue.entries.is_empty() {
            // Time without tickets earns no service for later.
            queue.served = queue.served.max(floor);
        }
        queue.entries.insert(key);
        self.length += 1;
        self.attach(number);
    }

    /// Takes a ticket out and charges `cost` tokens to its tenant; none when
    /// it was not served.
    pub(crate) fn remove(&mut self, tenant: &TenantName, key: EntryKey, cost: u64) {
        let number = self.number_of(tenant);
        self.detach(number);
        let queue = &mut self.tenants[number];
        if queue.entries.remove(&key) {
            queue.served += cost;
            self.length -= 1;
        }
        self.attach(number);
    }

    /// The ticket that is served next.
    pub(crate) fn first(&self) -> Option<EntryKey> {
        self.eligible.first().map(|(key, _)| *key)
    }

    fn number_of(&mut self, tenant: &TenantName) -> TenantNumber {
        if let Some(number) = self.numbers.get(tenant) {
            return *number;
        }
        let number = self.tenants.len();
        self.numbers.insert(tenant.clone(), number);
        self.tenants.push(TenantQueue::default());
        number
    }

    /// Takes a tenant out of the orders before it changes.
    fn detach(&mut self, number: TenantNumber) {
        let queue = &self.tenants[number];
        let Some(first) = queue.entries.first() else {
            return;
        };
        self.by_service.remove(&(queue.served, number));
        self.ahead.remove(&(queue.served, number));
        self.eligible.remove(&(*first, number));
    }

    /// Puts a tenant into the orders after it changed.
    fn attach(&mut self, number: TenantNumber) {
        let queue = &self.tenants[number];
        if !queue.entries.is_empty() {
            self.by_service.insert((queue.served, number));
            self.ahead.insert((queue.served, number));
        }
        if let Some((least, _)) = self.by_service.first() {
            self.floor = *least;
        }
        self.admit();
    }

    /// Moves the tenants that are no longer too far ahead.
    fn admit(&mut self) {
        while let Some((served, number)) = self.ahead.first().copied() {
            if served > self.floor + FAIRNESS_WINDOW {
                return;
            }
            self.ahead.pop_first();
            if let Some(first) = self.tenants[number].entries.first() {
                self.eligible.insert((*first, number));
            }
        }
    }
}
