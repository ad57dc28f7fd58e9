//! An instance restarts under its name. Messages of both incarnations arrive in any order, through
//! this controller, through others and through a new leader: the state of the later incarnation
//! wins.

mod two_releases;

use courseshunt_services::*;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use proptest::prelude::*;

const FIRST: u64 = 1_000;
const SECOND: u64 = 2_000;

fn registration(started: Option<u64>, sequence: u64, model: &str) -> Registration {
    let id = match started {
        Some(started) => RunnerId::of_incarnation("i-1", started),
        None => RunnerId::from("i-1"),
    };
    Registration {
        id,
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: Zone::from("z"),
        slots: 4,
        state: InstanceState::Ready,
        sequence,
        remaining: None,
        models: vec![ResidentModel {
            name: ModelName::from(model),
            version: 1,
            adapters: Vec::new(),
        }],
        cached_weights: CachedWeights::default(),
    }
}

fn engine() -> PlacementEngine {
    PlacementEngine::new(PlacementSettings {
        silence_limit: Millis(5_000),
        ..PlacementSettings::default()
    })
}

fn models(engine: &PlacementEngine, now: Timestamp) -> Vec<(RunnerId, String)> {
    let views = engine.views(now).into_iter();
    let held = views.flat_map(|view| {
        let id = view.id.clone();
        let models = view.models.into_iter();
        models.map(move |model| (id.clone(), model.name.0))
    });
    held.collect()
}

#[test]
fn a_later_incarnation_starts_with_new_sequence_numbers_and_models() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    assert!(engine.register(registration(Some(FIRST), 90, "old"), now));
    // Its sequence number is far below that of the previous incarnation.
    assert!(engine.register(registration(Some(SECOND), 1, "new"), now));
    let later = vec![(RunnerId::of_incarnation("i-1", SECOND), "new".to_owned())];
    assert_eq!(models(&engine, now), later);
    assert!(!engine.register(registration(Some(FIRST), 91, "old"), now));
    engine.mark_terminated(&RunnerId::of_incarnation("i-1", FIRST), now);
    assert_eq!(models(&engine, now), later);
    let (_, gone) = engine.take_changes(now);
    assert!(
        gone.contains(&RunnerId::of_incarnation("i-1", FIRST)),
        "routers are notified"
    );
}

#[test]
fn a_name_without_a_start_time_refers_to_the_newest_incarnation() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.register(registration(Some(FIRST), 1, "m"), now);
    engine.mark_terminated(&RunnerId::from("i-1"), now);
    assert!(models(&engine, now).is_empty());
    assert!(!engine.register(registration(Some(FIRST), 2, "m"), now));
    assert!(engine.register(registration(Some(SECOND), 1, "m"), now));
}

#[test]
fn a_report_of_another_incarnation_is_ignored() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.register(registration(Some(SECOND), 1, "new"), now);
    let report = InstanceReport {
        started: Some(FIRST),
        sequence: 9,
        ..InstanceReport::default()
    };
    engine.on_report(&RunnerId::of_incarnation("i-1", SECOND), Some(report), now);
    let held = models(&engine, now);
    assert_eq!(
        held,
        [(RunnerId::of_incarnation("i-1", SECOND), "new".to_owned())]
    );
}

#[test]
fn instances_without_start_times_have_one_incarnation() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    assert!(engine.register(registration(None, 1, "a"), now));
    assert!(!engine.register(registration(None, 1, "b"), now));
    let held = vec![(RunnerId::from("i-1"), "a".to_owned())];
    assert_eq!(models(&engine, now), held);
}

/// A leader that knew an instance without its start time, from the log or from a controller of the
/// previous release, took the first registration with it as the end of the instance.
#[test]
fn an_instance_whose_start_time_becomes_known_is_not_terminated() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    assert!(engine.register(registration(None, 5, "a"), now));
    assert!(engine.register(registration(Some(FIRST), 6, "a"), now));
    let held = vec![(RunnerId::of_incarnation("i-1", FIRST), "a".to_owned())];
    assert_eq!(models(&engine, now), held);
    assert!(engine.register(registration(Some(FIRST), 7, "b"), now));
    let states: Vec<InstanceState> = engine.views(now).iter().map(|view| view.state).collect();
    assert_eq!(states, [InstanceState::Ready]);
    let (_, gone) = engine.take_changes(now);
    assert_eq!(gone, [RunnerId::from("i-1")]);
}

#[test]
fn an_instance_that_an_earlier_leader_recorded_without_its_start_time_is_not_terminated() {
    let mut recorded = engine();
    let now = Timestamp(10_000);
    recorded.register(registration(None, 5, "a"), now);
    let mut engine = engine();
    for view in recorded.views(now) {
        engine.seed(&view, now);
    }
    assert!(engine.register(registration(Some(FIRST), 6, "b"), now));
    let held = vec![(RunnerId::of_incarnation("i-1", FIRST), "b".to_owned())];
    assert_eq!(models(&engine, now), held);
}

#[test]
fn a_drain_that_was_noted_without_the_start_time_holds_for_the_incarnation() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.register(registration(None, 5, "a"), now);
    engine.mark_leaving(&RunnerId::from("i-1"));
    engine.register(registration(Some(FIRST), 6, "a"), now);
    assert!(
        engine
            .views(now)
            .iter()
            .all(|view| view.state == InstanceState::Draining)
    );
    // Its sequence numbers begin anew: it has restarted.
    assert!(engine.register(registration(Some(SECOND), 1, "b"), now));
    let states: Vec<InstanceState> = engine.views(now).iter().map(|view| view.state).collect();
    assert_eq!(states, [InstanceState::Ready]);
}

/// A leader ignored what a controller of the previous release relayed of an instance whose start
/// time it knew, and removed the instance for its silence.
#[test]
fn registrations_without_the_start_time_are_those_of_the_newest_incarnation() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.register(registration(Some(FIRST), 5, "a"), now);
    assert!(engine.register(registration(None, 6, "b"), now));
    let unchanged = RelayedRegistration::Unchanged {
        id: RunnerId::from("i-1"),
        sequence: 7,
        previous_sequence: 6,
    };
    assert_eq!(engine.register_relayed(unchanged, now), Ok(false));
    assert!(!engine.register(registration(None, 7, "late"), now));
    let held = vec![(RunnerId::of_incarnation("i-1", FIRST), "b".to_owned())];
    assert_eq!(models(&engine, now), held);
    engine.expire(now + Millis(6_000));
    assert!(engine.views(now).is_empty());
}

#[test]
fn a_report_with_the_start_time_counts_for_an_instance_without_it() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.register(registration(None, 1, "a"), now);
    let report = InstanceReport {
        started: Some(FIRST),
        models: registration(None, 1, "b").models,
        sequence: 9,
        ..InstanceReport::default()
    };
    engine.on_report(&RunnerId::from("i-1"), Some(report), now);
    let held = vec![(RunnerId::from("i-1"), "b".to_owned())];
    assert_eq!(models(&engine, now), held);
}

#[test]
fn a_registration_is_sent_again_to_a_leader_that_names_no_start_time() {
    let mut outbox = RegistrationOutbox::default();
    let now = Timestamp(10_000);
    outbox.restart(now);
    let sent = registration(Some(FIRST), 5, "a");
    outbox.offer(sent.clone(), now);
    outbox.take(now);
    outbox.resend(&RunnerId::from("i-1"));
    assert_eq!(outbox.take(now), [RelayedRegistration::Full(sent)]);
    outbox.resend(&RunnerId::of_incarnation("i-1", SECOND));
    assert!(outbox.is_empty());
}

/// A new leader knew only the name of an instance that had ended, and took a registration from before its
/// end, which another controller sent again, as one of a new instance.
#[test]
fn an_instance_that_ended_under_its_name_is_not_brought_back_by_a_late_registration() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.mark_terminated(&RunnerId::from("i-1"), now);
    let late = RelayedRegistration::Full(registration(Some(FIRST), 5, "a"));
    assert_eq!(engine.register_relayed(late, now), Ok(false));
    assert!(engine.views(now).is_empty());
}

/// The other way round: a controller of the previous release sends the late registration.
#[test]
fn an_instance_that_ended_with_its_start_time_is_not_brought_back_by_its_name() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.mark_terminated(&RunnerId::of_incarnation("i-1", FIRST), now);
    let late = RelayedRegistration::Full(registration(None, 5, "a"));
    assert_eq!(engine.register_relayed(late, now), Ok(false));
    assert!(engine.views(now).is_empty());
}

/// Controllers of the previous release send what they received in the last six seconds again to each
/// new leader, and keep the higher sequence number of the incarnation before.
#[test]
fn a_late_registration_without_the_start_time_does_not_silence_a_restarted_instance() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.register(registration(Some(FIRST), 90, "a"), now);
    engine.register(registration(Some(SECOND), 1, "b"), now);
    engine.register(registration(None, 91, "a"), now);
    assert!(engine.register(registration(Some(SECOND), 2, "c"), now));
    let held = vec![(RunnerId::of_incarnation("i-1", SECOND), "c".to_owned())];
    assert_eq!(models(&engine, now), held);
}

#[test]
fn a_late_drain_without_the_start_time_does_not_drain_a_restarted_instance() {
    let mut engine = engine();
    let now = Timestamp(10_000);
    engine.register(registration(Some(FIRST), 90, "a"), now);
    engine.register(registration(Some(SECOND), 1, "b"), now);
    let late = Registration {
        state: InstanceState::Draining,
        ..registration(None, 91, "a")
    };
    let _ = engine.register_relayed(RelayedRegistration::Full(late), now);
    let states: Vec<InstanceState> = engine.views(now).iter().map(|view| view.state).collect();
    assert_eq!(states, [InstanceState::Ready]);
}

/// Its sequence numbers begin anew, and its start time is not passed on: it was ignored for as long as
/// instances that timed out are remembered.
#[test]
fn an_instance_that_restarts_at_controllers_of_the_previous_release_is_served_after_its_silence() {
    let mut engine = engine();
    let mut now = Timestamp(10_000);
    engine.register(registration(Some(FIRST), 90, "a"), now);
    for sequence in 1..=6 {
        now = now + Millis(1_000);
        engine.register(registration(None, sequence, "b"), now);
        engine.expire(now);
    }
    engine.register(registration(None, 7, "b"), now);
    let held = models(&engine, now).into_iter().map(|(_, model)| model);
    assert_eq!(held.collect::<Vec<_>>(), ["b"]);
}

/// How a message reaches the leader.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Direct,
    Relayed,
    /// A new leader adds what an earlier one recorded of the instance.
    Seeded,
}

fn messages() -> impl Strategy<Value = Vec<(u64, u64, Delivery)>> {
    let delivery = prop_oneof![
        Just(Delivery::Direct),
        Just(Delivery::Relayed),
        Just(Delivery::Seeded)
    ];
    let message = (prop_oneof![Just(FIRST), Just(SECOND)], 1..6_u64, delivery);
    proptest::collection::vec(message, 1..40)
}

proptest! {
    #[test]
    fn the_later_incarnation_wins_in_any_message_order(messages in messages()) {
        let mut engine = engine();
        let mut outbox = RegistrationOutbox::default();
        let now = Timestamp(10_000);
        outbox.restart(now);
        let mut latest = FIRST;
        for (started, sequence, delivery) in messages {
            let one = registration(Some(started), sequence, &format!("m{started}"));
            match delivery {
                Delivery::Direct => drop(engine.register(one, now)),
                Delivery::Relayed => {
                    outbox.offer(one, now);
                    for relayed in outbox.take(now) {
                        if let Err(lacked) = engine.register_relayed(relayed, now) {
                            outbox.resend(&lacked);
                        }
                    }
                }
                Delivery::Seeded => {
                    let mut recorded = PlacementEngine::new(PlacementSettings::default());
                    recorded.register(one, now);
                    for view in recorded.views(now) {
                        engine.seed(&view, now);
                    }
                }
            }
            latest = latest.max(started);
            let held = models(&engine, now);
            prop_assert_eq!(held.len(), 1);
            prop_assert_eq!(&held[0].0, &RunnerId::of_incarnation("i-1", latest));
            prop_assert_eq!(&held[0].1, &format!("m{latest}"));
        }
    }
}
