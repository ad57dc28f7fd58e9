//! The number of routers, as leaders report it, for the division of common limits into shares.
//!
//! A reported number is too low for a while after a leader change, until all routers have
//! subscribed, and as long as routers that are cut off from the leader go on serving. Shares
//! therefore shrink at once and grow late: they are divided by the largest recent number.
//!
//! Invariant: a router has contact only while it receives a report at least once in a lease, and
//! the number by which it divides is never below one that it received in the last two leases.

use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;

#[derive(Debug, Clone, Copy)]
struct Report {
    /// When this number was reported last.
    at: Timestamp,
    routers: u32,
}

/// Number of routers of a fleet, as seen by one of them.
#[derive(Debug)]
pub struct FleetSize {
    lease: Millis,
    /// Start of the contact with leaders that was never interrupted for longer than a lease.
    contact_since: Option<Timestamp>,
    /// Recent reports in order of time; each number is larger than all later ones.
    reports: VecDeque<Report>,
}

impl FleetSize {
    /// Creates the state of a router that no leader has reported to. Contact is lost without a
    /// report for `lease`.
    #[must_use]
    pub fn new(lease: Millis) -> Self {
        Self {
            lease,
            contact_since: None,
            reports: VecDeque::new(),
        }
    }

    /// Records a report of a leader. The number includes this router.
    pub fn record(&mut self, routers: u32, now: Timestamp) {
        if self.contact(now).is_none() {
            self.contact_since = Some(now);
        }
        let routers = routers.max(1);
        while self
            .reports
            .back()
            .is_some_and(|one| one.routers <= routers)
        {
            self.reports.pop_back();
        }
        self.reports.push_back(Report { at: now, routers });
        let oldest = self.oldest_counted(now);
        while self.reports.front().is_some_and(|one| one.at < oldest) {
            self.reports.pop_front();
        }
    }

    /// The last reported number; `None` if there was no report.
    #[must_use]
    pub fn current(&self) -> Option<u32> {
        self.reports.back().map(|report| report.routers)
    }

    /// Time since the last report; `None` if there was none.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Millis> {
        self.reports.back().map(|report| now.since(report.at))
    }

    /// Length of the uninterrupted contact with leaders; `None` without contact.
    #[must_use]
    pub fn contact(&self, now: Timestamp) -> Option<Millis> {
        let age = self.age(now)?;
        let since = self.contact_since.filter(|_| age <= self.lease)?;
        Some(now.since(since))
    }

    /// The largest number of the last two leases, or the last reported one if that is older;
    /// `None` if there was no report.
    #[must_use]
    pub fn largest_recent(&self, now: Timestamp) -> Option<u32> {
        let oldest = self.oldest_counted(now);
        let recent = self.reports.iter().find(|report| report.at >= oldest);
        recent.map(|report| report.routers).or(self.current())
    }

    /// A router that was cut off uses its share for one lease, and what it sent then counts for
    /// one more.
    fn oldest_counted(&self, now: Timestamp) -> Timestamp {
        now - self.lease - self.lease
    }
}
