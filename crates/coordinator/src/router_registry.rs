//! The routers of the whole fleet as the leader knows them: which connection of which
//! controller each follows by, and which configuration is in force there. Pure.
//!
//! Invariant: what a connection that has been replaced says or fails to say changes
//! nothing. Cost of a report: one look-up, however many routers there are.

use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// How a router's reports come to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// It follows the leader itself.
    Here,
    /// Through another controller, by that controller's connection of this number.
    Through(u64),
}

#[derive(Debug, Clone, Copy)]
struct Following {
    /// Number of the router's connection.
    session: u64,
    way: Way,
    /// Configuration in force there.
    in_force: u64,
}

/// A configuration on its way to the routers.
#[derive(Debug, Clone, Copy)]
struct Spreading {
    number: u64,
    since: Timestamp,
}

/// A configuration that is in force at all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Its number.
    pub number: u64,
    /// Routers.
    pub routers: usize,
    /// Time since the leader knew that it is committed.
    pub after: Millis,
}

/// See the module.
#[derive(Debug, Default)]
pub struct RouterBook {
    routers: BTreeMap<String, Following>,
    spreading: Option<Spreading>,
    /// Routers where an older configuration than that is in force.
    behind: usize,
}

impl RouterBook {
    /// Routers that follow.
    #[must_use]
    pub fn count(&self) -> usize {
        self.routers.len()
    }

    /// Notes that a router follows, by its newest connection.
    pub fn follows(&mut self, router: &str, session: u64, way: Way, in_force: u64) {
        let following = Following {
            session,
            way,
            in_force,
        };
        let before = self.routers.insert(router.to_owned(), following);
        if before.is_some_and(|before| self.is_behind(before.in_force)) {
            self.behind -= 1;
        }
        if self.is_behind(in_force) {
            self.behind += 1;
        }
    }

    /// Notes that a connection of a router has ended; returns whether it followed by that.
    pub fn lost(&mut self, router: &str, session: u64) -> bool {
        let known = self.routers.get(router);
        let ended = known.is_some_and(|known| known.session == session);
        if ended {
            self.forget(router);
        }
        ended
    }

    /// Notes that a controller's connection has ended; returns the routers that followed
    /// through it and have not come another way since.
    pub fn relay_lost(&mut self, connection: u64) -> Vec<String> {
        let through = self.routers.iter();
        let through = through.filter(|(_, known)| known.way == Way::Through(connection));
        let lost: Vec<String> = through.map(|(router, _)| router.clone()).collect();
        for router in &lost {
            self.forget(router);
        }
        lost
    }

    /// Whether a report comes by the connection that the router follows by.
    #[must_use]
    pub fn is_present(&self, router: &str, session: u64) -> bool {
        let known = self.routers.get(router);
        known.is_some_and(|known| known.session == session)
    }

    /// Notes that a configuration is on its way to all.
    pub fn spread(&mut self, number: u64, now: Timestamp) {
        self.spreading = Some(Spreading { number, since: now });
        let routers = self.routers.values();
        self.behind = routers.filter(|known| known.in_force < number).count();
    }

    /// Notes which configuration is in force at a router; tells when the newest one is in
    /// force at all, once.
    pub fn confirm(&mut self, router: &str, in_force: u64, now: Timestamp) -> Option<Spread> {
        let known = self.routers.get_mut(router)?;
        let before = std::mem::replace(&mut known.in_force, in_force);
        if self.is_behind(before) {
            self.behind -= 1;
        }
        if self.is_behind(in_force) {
            self.behind += 1;
        }
        let Spreading { number, since } = self.spreading.filter(|_| self.behind == 0)?;
        self.spreading = None;
        Some(Spread {
            number,
            routers: self.routers.len(),
            after: now.since(since),
        })
    }

    /// Forgets everything: another member leads.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn forget(&mut self, router: &str) {
        let known = self.routers.remove(router);
        if known.is_some_and(|known| self.is_behind(known.in_force)) {
            self.behind -= 1;
        }
    }

    fn is_behind(&self, in_force: u64) -> bool {
        self.spreading.is_some_and(|one| in_force < one.number)
    }
}
