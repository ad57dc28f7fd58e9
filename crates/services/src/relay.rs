//! Registrations on their way from the controller that took them to the leader.
//!
//! Invariant: a registration that repeats the one before is relayed as its
//! number alone, and only the holder of the one before it takes it; so what the
//! leader believes of an instance is always one of the instance's own
//! registrations, whole.
//!
//! Cost: one entry for each instance that registers here.

use crate::instance::Registration;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// An instance that was not heard here for so long registers elsewhere, or is
/// gone.
const KEPT: Millis = Millis(6_000);

/// Registrations that are sent at once at the most.
const BATCH: usize = 64;

/// A registration as one controller passes it to another.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum RelayedRegistration {
    /// All of it.
    Full(Registration),
    /// The same as the one before, under a new number.
    Unchanged {
        /// The instance.
        id: RunnerId,
        /// Its number.
        sequence: u64,
        /// Number of the registration that it repeats.
        previous_sequence: u64,
    },
}

/// What a controller that does not lead keeps of the instances that register
/// there, and what of it the leader has yet to be sent.
#[derive(Debug, Default)]
pub struct RegistrationOutbox {
    heard: BTreeMap<RunnerId, Heard>,
    queue: VecDeque<RelayedRegistration>,
    /// Of these, the ones that the leader does not know yet.
    news: usize,
    pruned_at: Timestamp,
}

#[derive(Debug)]
struct Heard {
    registration: Registration,
    at: Timestamp,
}

impl RegistrationOutbox {
    /// Takes a registration; a late one changes nothing.
    pub fn offer(&mut self, registration: Registration, now: Timestamp) {
        let id = registration.id.clone();
        let before = self.heard.get(&id).map(|heard| &heard.registration);
        let relayed = match before {
            Some(before) if registration.sequence <= before.sequence => return,
            Some(before) if repeats(before, &registration) => RelayedRegistration::Unchanged {
                id: id.clone(),
                sequence: registration.sequence,
                previous_sequence: before.sequence,
            },
            _ => RelayedRegistration::Full(registration.clone()),
        };
        self.push(relayed);
        let heard = Heard {
            registration,
            at: now,
        };
        self.heard.insert(id, heard);
    }

    /// What is to be sent next, in order: a part that is soon dealt with.
    pub fn take(&mut self, now: Timestamp) -> Vec<RelayedRegistration> {
        if now.since(self.pruned_at) >= KEPT {
            self.prune(now);
        }
        let length = self.queue.len().min(BATCH);
        let taken: Vec<RelayedRegistration> = self.queue.drain(..length).collect();
        self.news -= taken.iter().filter(|one| is_news(one)).count();
        taken
    }

    /// Whether it is time to send: there is something that the leader does not know yet, or
    /// a whole message, so that however many instances register here none waits for long.
    #[must_use]
    pub fn is_due(&self) -> bool {
        self.news > 0 || self.queue.len() >= BATCH
    }

    fn push(&mut self, relayed: RelayedRegistration) {
        self.news += usize::from(is_news(&relayed));
        self.queue.push_back(relayed);
    }

    /// Whether nothing is to be sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The leader lacks what an instance repeated: it is sent whole.
    pub fn resend(&mut self, id: &RunnerId) {
        if let Some(heard) = self.heard.get(id) {
            let whole = RelayedRegistration::Full(heard.registration.clone());
            self.push(whole);
        }
    }

    /// Begins anew for a leader that was sent nothing yet.
    pub fn restart(&mut self, now: Timestamp) {
        self.prune(now);
        let all = self.heard.values();
        let all = all.map(|heard| RelayedRegistration::Full(heard.registration.clone()));
        self.queue = all.collect();
        self.news = self.queue.len();
    }

    /// Sends nothing for now; what is heard meanwhile is sent after a restart.
    pub fn pause(&mut self) {
        self.queue.clear();
        self.news = 0;
    }

    fn prune(&mut self, now: Timestamp) {
        self.pruned_at = now;
        self.heard.retain(|_, heard| now.since(heard.at) < KEPT);
    }
}

fn is_news(relayed: &RelayedRegistration) -> bool {
    matches!(relayed, RelayedRegistration::Full(_))
}

/// Whether two registrations differ by their number alone.
fn repeats(before: &Registration, after: &Registration) -> bool {
    before.state == after.state
        && before.models == after.models
        && before.cached_weights == after.cached_weights
        && before.remaining == after.remaining
        && before.slots == after.slots
        && before.address == after.address
        && before.service == after.service
        && before.zone == after.zone
}
