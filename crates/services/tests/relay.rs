//! Registrations that pass through other controllers leave the leader with the
//! same belief as those that it takes itself, whatever is lost on the way.

use courseshunt_services::{
    CachedWeights, InstanceState, PlacementEngine, PlacementSettings, Registration,
    RegistrationOutbox, RelayedRegistration, ResidentModel,
};
use courseshunt_types::{ModelName, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

fn registration(instance: u32, sequence: u64, model: u32) -> Registration {
    Registration {
        id: RunnerId::from(format!("r{instance}")),
        service: "s".to_owned(),
        address: format!("r{instance}:1"),
        zone: Zone::from("z"),
        slots: 8,
        state: InstanceState::Ready,
        sequence,
        remaining: None,
        models: vec![ResidentModel {
            name: ModelName::from(format!("m{model}")),
            version: 1,
            adapters: Vec::new(),
        }],
        cached_weights: CachedWeights::default(),
    }
}

fn engine() -> PlacementEngine {
    PlacementEngine::new(PlacementSettings::default())
}

/// Sends what waits; the engine's wishes come back.
fn pass_on(outbox: &mut RegistrationOutbox, engine: &mut PlacementEngine, now: Timestamp) {
    for _ in 0..2 {
        for one in outbox.take(now) {
            if let Err(lacked) = engine.register_relayed(one, now) {
                outbox.resend(&lacked);
            }
        }
    }
}

#[test]
fn a_repeated_registration_is_relayed_as_its_number() {
    let mut outbox = RegistrationOutbox::default();
    let now = Timestamp(1_000);
    outbox.restart(now);
    outbox.offer(registration(1, 1, 5), now);
    assert!(outbox.is_due());
    assert!(matches!(
        outbox.take(now)[..],
        [RelayedRegistration::Full(_)]
    ));
    outbox.offer(registration(1, 2, 5), now);
    assert!(!outbox.is_due());
    let again = RelayedRegistration::Unchanged {
        id: RunnerId::from("r1"),
        sequence: 2,
        previous_sequence: 1,
    };
    assert_eq!(outbox.take(now), [again]);
    outbox.offer(registration(1, 2, 6), now);
    assert!(outbox.is_empty(), "a late registration changes nothing");
    outbox.offer(registration(1, 3, 6), now);
    assert!(outbox.is_due());
}

#[test]
fn a_leader_that_lacks_the_registration_before_gets_it_whole() {
    let mut outbox = RegistrationOutbox::default();
    let mut leader = engine();
    let now = Timestamp(1_000);
    outbox.offer(registration(1, 1, 5), now);
    let lost = outbox.take(now);
    assert_eq!(lost.len(), 1);
    outbox.offer(registration(1, 2, 5), now);
    pass_on(&mut outbox, &mut leader, now);
    assert_eq!(leader.views(now).len(), 1);
}

#[test]
fn a_change_told_elsewhere_is_not_undone_by_a_repetition() {
    let mut here = RegistrationOutbox::default();
    let mut leader = engine();
    let now = Timestamp(1_000);
    here.offer(registration(1, 1, 5), now);
    pass_on(&mut here, &mut leader, now);
    leader.register(registration(1, 2, 6), now);
    here.offer(registration(1, 3, 5), now);
    pass_on(&mut here, &mut leader, now);
    let views = leader.views(now);
    assert_eq!(views[0].models[0].name.as_str(), "m5", "{views:?}");
}

#[test]
fn silent_instances_are_forgotten_and_known_ones_sent_whole_to_a_new_leader() {
    let mut outbox = RegistrationOutbox::default();
    outbox.offer(registration(1, 1, 5), Timestamp(0));
    outbox.offer(registration(2, 1, 5), Timestamp(5_000));
    outbox.restart(Timestamp(7_000));
    let sent = outbox.take(Timestamp(7_000));
    assert_eq!(
        sent,
        [RelayedRegistration::Full(registration(2, 1, 5))],
        "the other was silent for too long"
    );
}

/// Three controllers, lost batches, changed leaders: after one last round of
/// registrations the leader believes what each instance said last.
#[test]
fn whatever_is_lost_the_leader_believes_the_last_registration() {
    for seed in 0..200 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut draw = |below: u32| random.next_u32() % below;
        let mut outboxes: Vec<RegistrationOutbox> = (0..3).map(|_| Default::default()).collect();
        let mut leader = engine();
        let mut models = [0_u32; 5];
        let mut now = Timestamp(0);
        for sequence in 1..60 {
            now = Timestamp::at(sequence * 100);
            for (instance, model) in (0_u32..).zip(&mut models) {
                if draw(4) == 0 {
                    *model = draw(3);
                }
                let told = registration(instance, sequence, *model);
                match draw(4) as usize {
                    3 => drop(leader.register(told, now)),
                    controller => outboxes[controller].offer(told, now),
                }
            }
            for outbox in &mut outboxes {
                match draw(5) {
                    0 => drop(outbox.take(now)),
                    1 => outbox.restart(now),
                    _ => pass_on(outbox, &mut leader, now),
                }
            }
            if draw(20) == 0 {
                leader = engine();
            }
        }
        for (instance, model) in (0_u32..).zip(models) {
            let told = registration(instance, 100, model);
            outboxes[draw(3) as usize].offer(told, now);
        }
        for outbox in &mut outboxes {
            pass_on(outbox, &mut leader, now);
        }
        for (view, model) in leader.views(now).iter().zip(models) {
            let believed = view.models[0].name.as_str();
            assert_eq!(believed, format!("m{model}"), "seed {seed}: {view:?}");
        }
        assert_eq!(leader.count(), 5, "seed {seed}");
    }
}

/// A controller that takes the registrations of twice as many instances as planned for
/// sends a full message at once: gathering must not bound how many it passes on.
#[test]
fn a_full_message_of_repeated_registrations_is_due_at_once() {
    let mut outbox = RegistrationOutbox::default();
    let now = Timestamp::default();
    for number in 0..1_400 {
        outbox.offer(registration(number, 1, 1), now);
    }
    while !outbox.is_empty() {
        outbox.take(now);
    }
    for number in 0..1_400 {
        outbox.offer(registration(number, 2, 1), now);
    }
    let mut messages = 0;
    while outbox.is_due() {
        assert!(!outbox.take(now).is_empty());
        messages += 1;
    }
    assert_eq!(messages, 1_400 / 64, "all but the last part go at once");
    assert!(!outbox.is_empty(), "the rest is gathered");
}
