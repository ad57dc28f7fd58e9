//! Relay of registrations from the controller that received them to the leader.
//!
//! Invariant: a registration that repeats the one before is relayed as its sequence number
//! alone, and a leader accepts it only if it holds the one before. The state that the leader
//! holds for an instance is therefore always one complete registration of that instance.
//!
//! Cost: one entry for each instance that registers with this controller.

use crate::instance::Registration;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Time without a registration after which an instance is dropped: it registers with another
/// controller or has ended.
const RETENTION: Millis = Millis(6_000);

/// Maximum number of registrations in one message.
const MAX_BATCH: usize = 64;

/// A registration as a controller relays it to the leader.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum RelayedRegistration {
    /// The complete registration.
    Full(Registration),
    /// Equal to the registration before, except for its sequence number.
    Unchanged {
        /// The instance.
        id: RunnerId,
        /// Its new sequence number.
        sequence: u64,
        /// Sequence number of the registration that it repeats.
        previous_sequence: u64,
    },
}

/// Last registrations of the instances that register with a controller that does not lead, and
/// the queue of those to send to the leader.
#[derive(Debug, Default)]
pub struct RegistrationOutbox {
    received: BTreeMap<RunnerId, Received>,
    queue: VecDeque<RelayedRegistration>,
    /// Number of queued registrations that are complete, and so new to the leader.
    queued_full: usize,
    pruned_at: Timestamp,
}

#[derive(Debug)]
struct Received {
    registration: Registration,
    received_at: Timestamp,
}

impl RegistrationOutbox {
    /// Adds a registration; one with an old sequence number changes nothing.
    pub fn offer(&mut self, registration: Registration, now: Timestamp) {
        let id = registration.id.clone();
        let before = self.received.get(&id).map(|entry| &entry.registration);
        let relayed = match before {
            Some(before) if registration.sequence <= before.sequence => return,
            Some(before) if is_unchanged(before, &registration) => RelayedRegistration::Unchanged {
                id: id.clone(),
                sequence: registration.sequence,
                previous_sequence: before.sequence,
            },
            _ => RelayedRegistration::Full(registration.clone()),
        };
        self.push(relayed);
        let received = Received {
            registration,
            received_at: now,
        };
        self.received.insert(id, received);
    }

    /// Takes the next message's registrations, in order: a batch of bounded size, so that the
    /// leader handles it quickly.
    pub fn take(&mut self, now: Timestamp) -> Vec<RelayedRegistration> {
        if now.since(self.pruned_at) >= RETENTION {
            self.prune(now);
        }
        let length = self.queue.len().min(MAX_BATCH);
        let taken: Vec<RelayedRegistration> = self.queue.drain(..length).collect();
        self.queued_full -= taken.iter().filter(|one| is_full(one)).count();
        taken
    }

    /// Whether to send now: the queue holds a complete registration, which is new to the leader,
    /// or a full batch. The latter bounds the wait however many instances register here.
    #[must_use]
    pub fn is_due(&self) -> bool {
        self.queued_full > 0 || self.queue.len() >= MAX_BATCH
    }

    fn push(&mut self, relayed: RelayedRegistration) {
        self.queued_full += usize::from(is_full(&relayed));
        self.queue.push_back(relayed);
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues the complete registration of an instance, because the leader lacks the one that a
    /// relayed sequence number refers to. A leader of the previous release names an instance without its
    /// start time.
    pub fn resend(&mut self, id: &RunnerId) {
        let named = self.received.range(id.clone()..);
        let named = named.take_while(|(held, _)| held.name() == id.name());
        let exact = self.received.get(id);
        let entry = exact.or_else(|| match id.started() {
            Some(_) => None,
            None => named.map(|(_, entry)| entry).last(),
        });
        if let Some(entry) = entry {
            let full = RelayedRegistration::Full(entry.registration.clone());
            self.push(full);
        }
    }

    /// Queues all registrations for a leader that has received none yet.
    pub fn restart(&mut self, now: Timestamp) {
        self.prune(now);
        let all = self.received.values();
        let all = all.map(|entry| RelayedRegistration::Full(entry.registration.clone()));
        self.queue = all.collect();
        self.queued_full = self.queue.len();
    }

    /// Empties the queue; [`Self::restart`] queues all registrations again.
    pub fn pause(&mut self) {
        self.queue.clear();
        self.queued_full = 0;
    }

    fn prune(&mut self, now: Timestamp) {
        self.pruned_at = now;
        self.received
            .retain(|_, entry| now.since(entry.received_at) < RETENTION);
    }
}

fn is_full(relayed: &RelayedRegistration) -> bool {
    matches!(relayed, RelayedRegistration::Full(_))
}

/// Whether two registrations differ only in their sequence number.
fn is_unchanged(before: &Registration, after: &Registration) -> bool {
    before.state == after.state
        && before.models == after.models
        && before.cached_weights == after.cached_weights
        && before.remaining == after.remaining
        && before.slots == after.slots
        && before.address == after.address
        && before.service == after.service
        && before.zone == after.zone
}
