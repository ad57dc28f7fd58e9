//! Relayed registrations give the leader the same state as registrations that it receives itself,
//! even if messages are lost.

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

/// Relays what is queued, and once more the registrations that the engine lacks.
fn relay_queued(outbox: &mut RegistrationOutbox, engine: &mut PlacementEngine, now: Timestamp) {
    for _ in 0..2 {
        for one in outbox.take(now) {
            if let Err(lacked) = engine.register_relayed(one, now) {
                outbox.resend(&lacked);
            }
        }
    }
}

#[test]
fn repeated_registration_is_relayed_as_its_sequence_number() {
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
    let unchanged = RelayedRegistration::Unchanged {
        id: RunnerId::from("r1"),
        sequence: 2,
        previous_sequence: 1,
    };
    assert_eq!(outbox.take(now), [unchanged]);
    outbox.offer(registration(1, 2, 6), now);
    assert!(
        outbox.is_empty(),
        "a registration with an old sequence number was queued"
    );
    outbox.offer(registration(1, 3, 6), now);
    assert!(outbox.is_due());
}

#[test]
fn leader_without_the_previous_registration_receives_the_complete_one() {
    let mut outbox = RegistrationOutbox::default();
    let mut leader = engine();
    let now = Timestamp(1_000);
    outbox.offer(registration(1, 1, 5), now);
    let lost = outbox.take(now);
    assert_eq!(lost.len(), 1);
    outbox.offer(registration(1, 2, 5), now);
    relay_queued(&mut outbox, &mut leader, now);
    assert_eq!(leader.views(now).len(), 1);
}

#[test]
fn repetition_does_not_restore_a_state_that_another_controller_replaced() {
    let mut outbox = RegistrationOutbox::default();
    let mut leader = engine();
    let now = Timestamp(1_000);
    outbox.offer(registration(1, 1, 5), now);
    relay_queued(&mut outbox, &mut leader, now);
    leader.register(registration(1, 2, 6), now);
    outbox.offer(registration(1, 3, 5), now);
    relay_queued(&mut outbox, &mut leader, now);
    let views = leader.views(now);
    assert_eq!(views[0].models[0].name.as_str(), "m5", "{views:?}");
}

#[test]
fn new_leader_receives_complete_registrations_of_instances_that_still_register() {
    let mut outbox = RegistrationOutbox::default();
    outbox.offer(registration(1, 1, 5), Timestamp(0));
    outbox.offer(registration(2, 1, 5), Timestamp(5_000));
    outbox.restart(Timestamp(7_000));
    let sent = outbox.take(Timestamp(7_000));
    assert_eq!(
        sent,
        [RelayedRegistration::Full(registration(2, 1, 5))],
        "a silent instance was not dropped"
    );
}

/// Guards against a leader that holds an outdated registration. Three controllers relay to
/// leaders that change, and batches are lost; after a last registration of each instance, the
/// leader holds exactly those.
#[test]
fn leader_holds_the_last_registration_after_lost_batches() {
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
                let sent = registration(instance, sequence, *model);
                match draw(4) as usize {
                    3 => drop(leader.register(sent, now)),
                    controller => outboxes[controller].offer(sent, now),
                }
            }
            for outbox in &mut outboxes {
                match draw(5) {
                    0 => drop(outbox.take(now)),
                    1 => outbox.restart(now),
                    _ => relay_queued(outbox, &mut leader, now),
                }
            }
            if draw(20) == 0 {
                leader = engine();
            }
        }
        for (instance, model) in (0_u32..).zip(models) {
            let sent = registration(instance, 100, model);
            outboxes[draw(3) as usize].offer(sent, now);
        }
        for outbox in &mut outboxes {
            relay_queued(outbox, &mut leader, now);
        }
        for (view, model) in leader.views(now).iter().zip(models) {
            let held = view.models[0].name.as_str();
            assert_eq!(held, format!("m{model}"), "seed {seed}: {view:?}");
        }
        assert_eq!(leader.count(), 5, "seed {seed}");
    }
}

/// Guards against a controller that falls behind with registrations: with twice the planned
/// number of instances, waiting to fill a batch limited the number of relayed registrations. A
/// full batch is due at once.
#[test]
fn full_batch_of_repeated_registrations_is_due_at_once() {
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
    let mut batches = 0;
    while outbox.is_due() {
        assert!(!outbox.take(now).is_empty());
        batches += 1;
    }
    assert_eq!(batches, 1_400 / 64, "number of full batches due at once");
    assert!(!outbox.is_empty(), "a partial batch was due at once");
}
