//! Slots of the replicas that a queue may use.
//!
//! Invariant: no more grants are out for a replica than it has slots. A grant
//! that is neither started nor returned in time gives its slot back.

use crate::ticket::{GrantId, RunningGrant};
use courseshunt_types::{Millis, RouterId, RunnerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How long the slots of running requests stay taken after their holder was
/// lost; a holder that lives reports them again within this time.
pub const HOLDER_GRACE: Millis = Millis::from_secs(10);

/// Slots of one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSlots {
    /// Runner that holds the replica.
    pub runner: RunnerId,
    /// Requests that it runs together.
    pub slots: u32,
    /// Slots taken.
    pub in_use: u32,
}

impl ReplicaSlots {
    /// Slots that are not taken.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.slots.saturating_sub(self.in_use)
    }
}

/// Use of one slot.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SlotUse {
    runner: RunnerId,
    holder: RouterId,
    /// Ends here unless the holder confirms the start.
    expires: Option<Timestamp>,
    /// When it was granted; `None` when another owner did.
    since: Option<Timestamp>,
}

/// Slots of all replicas of one deployment.
#[derive(Debug, Clone, Default)]
pub struct SlotTable {
    replicas: BTreeMap<RunnerId, ReplicaSlots>,
    uses: BTreeMap<GrantId, SlotUse>,
    expiries: BTreeSet<(Timestamp, GrantId)>,
    last_grant: u64,
}

impl SlotTable {
    /// Sets the replicas that serve now. Uses of others stay until they end.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = (RunnerId, u32)>) {
        let mut uses: BTreeMap<&RunnerId, u32> = BTreeMap::new();
        for one in self.uses.values() {
            *uses.entry(&one.runner).or_default() += 1;
        }
        self.replicas = replicas
            .into_iter()
            .map(|(runner, slots)| {
                let in_use = uses.get(&runner).copied().unwrap_or(0);
                let entry = ReplicaSlots {
                    runner: runner.clone(),
                    slots,
                    in_use,
                };
                (runner, entry)
            })
            .collect();
    }

    /// The replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaSlots> {
        self.replicas.values()
    }

    /// Grants that are out.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        u32::try_from(self.uses.len()).unwrap_or(u32::MAX)
    }

    /// Slots of all replicas.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.replicas.values().map(|one| one.slots).sum()
    }

    /// Free slots of all replicas.
    #[must_use]
    pub fn free(&self) -> u32 {
        let free = self.replicas.values().map(ReplicaSlots::free);
        free.sum()
    }

    /// The replica with the most free slots, runners in `avoid` last.
    #[must_use]
    pub fn freest(&self, avoid: &[RunnerId]) -> Option<RunnerId> {
        let free = self.replicas.values().filter(|one| one.in_use < one.slots);
        let best = free.max_by_key(|one| (!avoid.contains(&one.runner), one.slots - one.in_use));
        best.map(|one| one.runner.clone())
    }

    /// Numbers the next grants from here on.
    pub fn number_from(&mut self, first: GrantId) {
        self.last_grant = first.0;
    }

    /// Takes a slot on `runner` for a request of `holder`; it is free again
    /// after `lifetime` unless the request has started.
    pub fn take(
        &mut self,
        runner: &RunnerId,
        holder: &RouterId,
        now: Timestamp,
        lifetime: Millis,
    ) -> GrantId {
        self.last_grant = self.last_grant.wrapping_add(1);
        let grant = GrantId(self.last_grant);
        self.insert(grant, runner, holder);
        self.set_expiry(grant, Some(now + lifetime));
        if let Some(one) = self.uses.get_mut(&grant) {
            one.since = Some(now);
        }
        grant
    }

    fn insert(&mut self, grant: GrantId, runner: &RunnerId, holder: &RouterId) {
        let one = SlotUse {
            runner: runner.clone(),
            holder: holder.clone(),
            expires: None,
            since: None,
        };
        self.uses.insert(grant, one);
        if let Some(replica) = self.replicas.get_mut(runner) {
            replica.in_use += 1;
        }
    }

    /// Takes in which grants run at `holder`, and no others: after a change of
    /// owners or a new connection.
    pub fn adopt(&mut self, holder: &RouterId, running: &[RunningGrant]) {
        let of_holder = self.grants_of(holder);
        for grant in of_holder {
            self.release(grant);
        }
        for one in running {
            self.release(one.grant);
            self.insert(one.grant, &one.runner, holder);
        }
    }

    /// Frees the unused grants of a holder that was lost; the used ones follow
    /// after [`HOLDER_GRACE`].
    pub fn holder_lost(&mut self, holder: &RouterId, now: Timestamp) {
        for grant in self.grants_of(holder) {
            let unused = self
                .uses
                .get(&grant)
                .is_some_and(|one| one.expires.is_some());
            match unused {
                true => self.release(grant),
                false => self.set_expiry(grant, Some(now + HOLDER_GRACE)),
            }
        }
    }

    fn grants_of(&self, holder: &RouterId) -> Vec<GrantId> {
        let uses = self.uses.iter().filter(|(_, one)| one.holder == *holder);
        uses.map(|(grant, _)| *grant).collect()
    }

    /// How long a grant of this owner has taken its slot.
    #[must_use]
    pub fn held_for(&self, grant: GrantId, now: Timestamp) -> Option<Millis> {
        let since = self.uses.get(&grant)?.since?;
        Some(now.since(since))
    }

    /// Runner of a grant that is out.
    #[must_use]
    pub fn runner_of(&self, grant: GrantId) -> Option<&RunnerId> {
        self.uses.get(&grant).map(|one| &one.runner)
    }

    /// Notes that a granted request has started; its slot no longer expires.
    pub fn started(&mut self, grant: GrantId) {
        self.set_expiry(grant, None);
    }

    fn set_expiry(&mut self, grant: GrantId, expires: Option<Timestamp>) {
        let Some(one) = self.uses.get_mut(&grant) else {
            return;
        };
        if let Some(before) = std::mem::replace(&mut one.expires, expires) {
            self.expiries.remove(&(before, grant));
        }
        if let Some(expires) = expires {
            self.expiries.insert((expires, grant));
        }
    }

    /// Gives a slot back.
    pub fn release(&mut self, grant: GrantId) {
        self.set_expiry(grant, None);
        let Some(one) = self.uses.remove(&grant) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(&one.runner) {
            replica.in_use = replica.in_use.saturating_sub(1);
        }
    }

    /// Gives back the slots of grants that were not started in time.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((expires, grant)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.release(grant);
        }
    }
}
