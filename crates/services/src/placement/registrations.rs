//! Registrations of instances, and their ends: by notice, by silence, or by a successor at their
//! address.
//!
//! Invariant: a registration that was delayed does not bring an instance back that has ended, or
//! whose address another one has.

use super::PlacementEngine;
use super::incarnations::Incarnation;
use super::instance::Instance;
use crate::instance::{CachedWeights, InstanceState, InstanceView, Registration};
use crate::relay::RelayedRegistration;
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// How long an instance that left is remembered, so that a delayed registration does not bring it
/// back.
const REMOVED_RETENTION: Millis = Millis(30_000);

/// Minimum time between two searches for silent instances: a small fraction of the silence that
/// counts, which spans several registrations.
const EXPIRY_INTERVAL: Millis = Millis(100);

impl PlacementEngine {
    /// Applies a registration; returns whether it changed anything.
    pub fn register(&mut self, mut registration: Registration, now: Timestamp) -> bool {
        if self.is_of_unseen_end(&registration.id, now) {
            return false;
        }
        match self
            .incarnations
            .observe(&registration.id, registration.sequence)
        {
            Incarnation::Earlier => return false,
            Incarnation::Current(current) => registration.id = current,
            Incarnation::StartKnown { previous } => self.rename(&previous, &registration.id),
            Incarnation::New {
                previous: Some(previous),
            } => self.terminate(&previous, now),
            Incarnation::New { previous: None } => {}
        }
        let id = registration.id.clone();
        if self.leaving.contains(&id) {
            registration.state = InstanceState::Draining;
        }
        if self.terminated.contains_key(&id) || self.is_delayed_registration(&registration, now) {
            return false;
        }
        let configuration = self.configuration.clone();
        let engine = configuration.engine(&registration.service);
        let is_changed = match self.instances.contains(&id) {
            true => {
                let register = |one: &mut Instance| one.register(registration, engine, now);
                self.instances.update(&id, now, register) == Some(true)
            }
            false => {
                self.remove_replaced_instances(&registration, now);
                self.timed_out.remove(&id);
                let instance = Instance::new(registration, now);
                self.instances.insert(instance, now);
                true
            }
        };
        self.waiting_round_needed |= is_changed && self.reserved.contains(&id);
        self.record_finished_load(&id, now);
        if is_changed {
            self.changed.insert(id);
        }
        is_changed
    }

    /// Applies a registration that another controller received; returns whether it changed
    /// anything.
    ///
    /// # Errors
    /// The instance, when the message repeats a registration that is not the last one received
    /// here.
    pub fn register_relayed(
        &mut self,
        relayed: RelayedRegistration,
        now: Timestamp,
    ) -> Result<bool, RunnerId> {
        let registration = match relayed {
            RelayedRegistration::Full(registration) => registration,
            RelayedRegistration::Unchanged {
                id,
                sequence,
                previous_sequence,
            } => match self.registration_with_sequence(&id, previous_sequence) {
                Some(last) => Registration {
                    sequence,
                    ..last.clone()
                },
                None if self.terminated.contains_key(self.incarnations.newest(&id)) => {
                    return Ok(false);
                }
                None => return Err(id),
            },
        };
        let (id, sequence) = (&registration.id, registration.sequence);
        let is_late = self.incarnations.is_earlier(id, sequence);
        if is_late || self.is_of_unseen_end(id, now) {
            return Ok(false);
        }
        if registration.state == InstanceState::Draining {
            self.mark_leaving(&registration.id);
        }
        Ok(self.register(registration, now))
    }

    /// Whether a registration may be a late one of an instance that ended before this leader saw it.
    fn is_of_unseen_end(&self, id: &RunnerId, now: Timestamp) -> bool {
        let has_ended = self.terminated.contains_key(id) || self.unseen_ends.may_concern(id, now);
        !self.incarnations.contains(id) && has_ended
    }

    /// The last registration of an instance, if it stated this identity and has this sequence number.
    fn registration_with_sequence(&self, id: &RunnerId, sequence: u64) -> Option<&Registration> {
        if !self.incarnations.was_stated_last(id) {
            return None;
        }
        let id = self.incarnations.newest(id);
        let last = self.instances.get(id).map(Instance::registration);
        last.filter(|last| last.sequence == sequence)
    }

    /// Adds an instance that an earlier leader recorded; an instance that is already present is
    /// left unchanged.
    pub fn seed(&mut self, view: &InstanceView, now: Timestamp) {
        let is_present = self.instances.contains(&view.id);
        if is_present || self.leaving.contains(&view.id) || view.state == InstanceState::Draining {
            return;
        }
        let registration = Registration {
            id: view.id.clone(),
            service: view.service.clone(),
            address: view.address.clone(),
            zone: view.zone.clone(),
            slots: view.slots,
            state: view.state,
            sequence: 0,
            remaining: None,
            models: view.models.clone(),
            cached_weights: CachedWeights::default(),
        };
        self.unseen_ends.forget(&registration.id);
        self.register(registration, now);
    }

    /// Removes instances at the address of a new registration that are silent or started before it: an
    /// address belongs to the instance that registered it last.
    fn remove_replaced_instances(&mut self, registration: &Registration, now: Timestamp) {
        let occupants = self.instances.at_address(&registration.address);
        let replaced = occupants.filter(|one| {
            one.may_be_replaced(now) || has_started_before(one.id(), &registration.id)
        });
        let replaced: Vec<RunnerId> = replaced.map(|one| one.id().clone()).collect();
        for id in replaced {
            self.time_out(id, now);
        }
    }

    /// Removes an instance that has been silent for too long.
    fn time_out(&mut self, id: RunnerId, now: Timestamp) {
        self.remove(&id);
        self.incarnations.note_silence(&id);
        self.timed_out.insert(id, now);
    }

    /// Whether a registration was delayed on its way: another instance is active at its address, and the
    /// sender was removed for its silence or started before the other one. The registration is ignored
    /// only while the other instance is active, since either of the two may be the one that was delayed.
    fn is_delayed_registration(&self, registration: &Registration, now: Timestamp) -> bool {
        let id = &registration.id;
        let others = self.instances.at_address(&registration.address);
        let mut active = others.filter(|other| !other.may_be_replaced(now));
        let was_removed = self.timed_out.contains_key(id);
        active.any(|other| was_removed || has_started_before(id, other.id()))
    }

    /// Marks an instance as leaving: it takes no more work.
    pub fn mark_leaving(&mut self, id: &RunnerId) {
        self.learn_start(id);
        let id = &self.incarnations.newest(id).clone();
        self.leaving.insert(id.clone());
        match self.instances.get_mut(id) {
            Some(instance) => {
                if instance.leave() {
                    self.changed.insert(id.clone());
                }
            }
            // Routers may have the instance from an earlier leader.
            None => self.gone.push(id.clone()),
        }
    }

    /// Marks an instance as leaving that announced this in a response; returns whether it was ready
    /// before. This is not committed to the log: the process that received the response reports it to
    /// the next leader again.
    pub fn mark_leaving_if_ready(&mut self, id: &RunnerId) -> bool {
        let instance = self.instances.get(id);
        let was_ready = instance.is_some_and(|one| one.state() == InstanceState::Ready);
        if was_ready {
            self.mark_leaving(id);
        }
        was_ready
    }

    /// Removes an instance that has terminated or is about to.
    pub fn mark_terminated(&mut self, id: &RunnerId, now: Timestamp) {
        if !self.incarnations.contains(id) {
            self.unseen_ends.note(id, now);
        }
        self.learn_start(id);
        let id = self.incarnations.newest(id).clone();
        self.terminate(&id, now);
    }

    /// Removes exactly this incarnation, which has terminated.
    fn terminate(&mut self, id: &RunnerId, now: Timestamp) {
        self.terminated.insert(id.clone(), now);
        self.leaving.insert(id.clone());
        self.remove(id);
    }

    /// Takes the start time of an instance from a notice about it, if it was unknown until now.
    fn learn_start(&mut self, id: &RunnerId) {
        if let Some(previous) = self.incarnations.learn_start(id) {
            self.rename(&previous, id);
        }
    }

    /// Replaces the identity of an instance whose start time was unknown until now. What was recorded
    /// about its end under the previous identity holds for the new one.
    fn rename(&mut self, previous: &RunnerId, id: &RunnerId) {
        if self.leaving.remove(previous) {
            self.leaving.insert(id.clone());
        }
        if let Some(at) = self.terminated.remove(previous) {
            self.terminated.insert(id.clone(), at);
        }
        self.timed_out.remove(previous);
        self.remove(previous);
    }

    /// Removes an instance. Routers are notified even when this leader does not have it, since they
    /// may have it from an earlier leader.
    pub(super) fn remove(&mut self, id: &RunnerId) {
        self.instances.remove(id);
        self.changed.remove(id);
        self.gone.push(id.clone());
    }

    /// Removes instances that are silent for too long. The search over all instances runs at most a
    /// few times per second, however often this is called.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        self.terminated
            .retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        let limit = self.settings.silence_limit;
        let silent = self.instances.values();
        let silent = silent.filter(|instance| instance.silent_for(now) > limit);
        let silent: Vec<RunnerId> = silent.map(|one| one.id().clone()).collect();
        for id in silent {
            self.time_out(id, now);
        }
        self.timed_out
            .retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        self.unseen_ends.expire(now);
        let (instances, terminated, silent) = (&self.instances, &self.terminated, &self.timed_out);
        self.incarnations.retain(|id| {
            instances.contains(id) || terminated.contains_key(id) || silent.contains_key(id)
        });
    }
}

/// Whether both start times are known and the first one is earlier.
fn has_started_before(one: &RunnerId, other: &RunnerId) -> bool {
    let started = one.started().zip(other.started());
    started.is_some_and(|(one, other)| one < other)
}
