//! The leader's registry of all routers of the fleet: the connection by which each router
//! subscribes, through which controller, and the configuration that is in force there. Pure.
//!
//! Invariant: reports of a replaced connection, and its end, have no effect. Cost of a report:
//! one look-up, whatever the number of routers.

use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// The path by which a router's reports reach the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedPath {
    /// The router subscribes to the leader itself.
    Direct,
    /// Another controller relays them, by its connection of this number.
    Relayed(u64),
}

#[derive(Debug, Clone, Copy)]
struct Subscription {
    /// Number of the router's connection.
    session: u64,
    path: FeedPath,
    /// Number of the configuration that is in force at the router.
    in_force: u64,
}

/// The rollout of a configuration that is not yet in force at all routers.
#[derive(Debug, Clone, Copy)]
struct PendingRollout {
    number: u64,
    since: Timestamp,
}

/// A completed rollout: the configuration is in force at all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rollout {
    /// Number of the configuration.
    pub number: u64,
    /// Number of routers.
    pub routers: usize,
    /// Time since the leader applied the committed configuration.
    pub after: Millis,
}

/// The routers that subscribe anywhere in the group, and the current rollout.
#[derive(Debug, Default)]
pub struct RouterRegistry {
    routers: BTreeMap<String, Subscription>,
    pending: Option<PendingRollout>,
    /// Number of stale routers: an older configuration than that of `pending` is in force there.
    stale: usize,
}

impl RouterRegistry {
    /// Number of routers that subscribe.
    #[must_use]
    pub fn count(&self) -> usize {
        self.routers.len()
    }

    /// Notes that a router subscribes by a new connection, which replaces any earlier one.
    pub fn subscribe(&mut self, router: &str, session: u64, path: FeedPath, in_force: u64) {
        let subscription = Subscription {
            session,
            path,
            in_force,
        };
        let before = self.routers.insert(router.to_owned(), subscription);
        if before.is_some_and(|before| self.is_stale(before.in_force)) {
            self.stale -= 1;
        }
        if self.is_stale(in_force) {
            self.stale += 1;
        }
    }

    /// Notes that a connection of a router has ended; returns whether it was the router's current
    /// one.
    pub fn disconnect(&mut self, router: &str, session: u64) -> bool {
        let subscription = self.routers.get(router);
        let ended = subscription.is_some_and(|subscription| subscription.session == session);
        if ended {
            self.remove(router);
        }
        ended
    }

    /// Notes that a controller's connection has ended; returns the routers that it relayed and
    /// that have not subscribed by another path since.
    pub fn disconnect_relay(&mut self, connection: u64) -> Vec<String> {
        let relayed = self.routers.iter();
        let relayed =
            relayed.filter(|(_, subscription)| subscription.path == FeedPath::Relayed(connection));
        let lost: Vec<String> = relayed.map(|(router, _)| router.clone()).collect();
        for router in &lost {
            self.remove(router);
        }
        lost
    }

    /// Whether this is the current connection of the router.
    #[must_use]
    pub fn is_current(&self, router: &str, session: u64) -> bool {
        let subscription = self.routers.get(router);
        subscription.is_some_and(|subscription| subscription.session == session)
    }

    /// Begins the rollout of a configuration.
    pub fn begin_rollout(&mut self, number: u64, now: Timestamp) {
        self.pending = Some(PendingRollout { number, since: now });
        let routers = self.routers.values();
        self.stale = routers
            .filter(|subscription| subscription.in_force < number)
            .count();
    }

    /// Notes the configuration that is in force at a router. Returns the rollout once, when it is
    /// in force at all routers.
    pub fn confirm(&mut self, router: &str, in_force: u64, now: Timestamp) -> Option<Rollout> {
        let subscription = self.routers.get_mut(router)?;
        let before = std::mem::replace(&mut subscription.in_force, in_force);
        if self.is_stale(before) {
            self.stale -= 1;
        }
        if self.is_stale(in_force) {
            self.stale += 1;
        }
        let PendingRollout { number, since } = self.pending.filter(|_| self.stale == 0)?;
        self.pending = None;
        Some(Rollout {
            number,
            routers: self.routers.len(),
            after: now.since(since),
        })
    }

    /// Removes everything, since another member leads.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn remove(&mut self, router: &str) {
        let subscription = self.routers.remove(router);
        if subscription.is_some_and(|subscription| self.is_stale(subscription.in_force)) {
            self.stale -= 1;
        }
    }

    fn is_stale(&self, in_force: u64) -> bool {
        self.pending.is_some_and(|one| in_force < one.number)
    }
}
