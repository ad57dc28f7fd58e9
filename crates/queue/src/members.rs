//! The routers that may own queues, as one router sees them.
//!
//! Invariant: every queue has a site at any time; when its owner can't be
//! reached, that is the router's own fallback queue.

use crate::ownership::{QueueKey, owner_of};
use courseshunt_types::{Epoch, Incarnation, RouterId};
use std::collections::{BTreeMap, BTreeSet};

/// Where a ticket waits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueSite {
    /// At the queue's owner.
    Owner(RouterId),
    /// At the holding router itself, with a bounded share of the slots, while
    /// the owner can't be reached.
    Fallback,
}

/// A router that may own queues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The router.
    pub router: RouterId,
    /// Its incarnation; a new one is reachable and stays.
    pub incarnation: Incarnation,
    /// Whether it stops and owns no queues any more.
    pub leaving: bool,
}

/// See the module.
#[derive(Debug)]
pub struct Members {
    me: RouterId,
    epoch: Epoch,
    live: BTreeMap<RouterId, Member>,
    unreachable: BTreeSet<RouterId>,
    stopping: bool,
    owners: BTreeMap<QueueKey, RouterId>,
}

impl Members {
    /// Knows `me` alone.
    #[must_use]
    pub fn new(me: RouterId) -> Self {
        Self {
            me,
            epoch: Epoch(0),
            live: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            stopping: false,
            owners: BTreeMap::new(),
        }
    }

    /// This router.
    #[must_use]
    pub fn me(&self) -> &RouterId {
        &self.me
    }

    /// Generation of the view.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes the live routers in. What was learnt about an incarnation stays.
    pub fn set_live(&mut self, epoch: Epoch, members: impl IntoIterator<Item = Member>) {
        let mut live = BTreeMap::new();
        for mut member in members {
            match self.live.get(&member.router) {
                Some(known) if known.incarnation == member.incarnation => {
                    member.leaving |= known.leaving;
                }
                _ => {
                    self.unreachable.remove(&member.router);
                }
            }
            live.insert(member.router.clone(), member);
        }
        self.unreachable.retain(|router| live.contains_key(router));
        self.live = live;
        self.epoch = epoch;
        self.owners.clear();
    }

    /// Notes whether a router can be reached. Returns whether that is news.
    pub fn set_reachable(&mut self, router: &RouterId, reachable: bool) -> bool {
        match reachable {
            true => self.unreachable.remove(router),
            false => self.unreachable.insert(router.clone()),
        }
    }

    /// Whether a router can't be reached.
    #[must_use]
    pub fn is_unreachable(&self, router: &RouterId) -> bool {
        self.unreachable.contains(router)
    }

    /// Notes that a router stops. Returns whether that is news.
    pub fn set_leaving(&mut self, router: &RouterId) -> bool {
        if *router == self.me {
            self.owners.clear();
            return !std::mem::replace(&mut self.stopping, true);
        }
        let Some(member) = self.live.get_mut(router) else {
            return false;
        };
        self.owners.clear();
        !std::mem::replace(&mut member.leaving, true)
    }

    /// Where the tickets of a queue wait now.
    pub fn site_of(&mut self, queue: &QueueKey) -> QueueSite {
        let owner = match self.owners.get(queue) {
            Some(owner) => owner.clone(),
            None => {
                let owner = self.owner(queue);
                self.owners.insert(queue.clone(), owner.clone());
                owner
            }
        };
        match self.unreachable.contains(&owner) && owner != self.me {
            true => QueueSite::Fallback,
            false => QueueSite::Owner(owner),
        }
    }

    fn owner(&self, queue: &QueueKey) -> RouterId {
        let stays = |member: &&Member| !member.leaving && !self.is_stopping_me(&member.router);
        let candidates = self.live.values().filter(stays);
        let owner = owner_of(queue, candidates.map(|member| &member.router));
        owner.unwrap_or(&self.me).clone()
    }

    fn is_stopping_me(&self, router: &RouterId) -> bool {
        self.stopping && *router == self.me
    }
}
