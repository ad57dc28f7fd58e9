//! A follower that applies the returned changes holds the same views as the source, in any order
//! of changes; unchanged views are not sent.

use courseshunt_services::digest::{BUCKET_COUNT, bucket_of};
use courseshunt_services::{InstanceDigests, InstanceDirectory, InstanceState, InstanceView};
use courseshunt_types::{Millis, ModelName, RunnerId, Zone};
use proptest::prelude::*;

fn view(number: u32, address: u32) -> InstanceView {
    InstanceView {
        id: RunnerId(format!("i-{number}")),
        service: "s".to_owned(),
        address: format!("10.0.0.{address}:80"),
        zone: Zone::from("z"),
        slots: 4,
        state: InstanceState::Ready,
        models: Vec::new(),
        loading: Vec::new(),
    }
}

fn assert_same(left: &InstanceDirectory, right: &InstanceDirectory) {
    let views = |one: &InstanceDirectory| one.values().cloned().collect::<Vec<_>>();
    assert_eq!(views(left), views(right));
    assert_eq!(left.digests(), right.digests());
    assert_eq!(*left.digests(), InstanceDigests::of(left.values()));
}

#[test]
fn unchanged_views_are_not_returned_again() {
    let mut directory = InstanceDirectory::default();
    let first = directory.change(vec![view(1, 1), view(2, 2)], Vec::new());
    assert_eq!(first.changed.len(), 2);
    let again = directory.change(vec![view(1, 1), view(2, 3)], Vec::new());
    assert_eq!(again.changed, [view(2, 3)]);
    let mut loading = view(1, 1);
    loading.loading = vec![(ModelName::from("m"), Millis(900))];
    assert_eq!(
        directory
            .change(vec![loading.clone()], Vec::new())
            .changed
            .len(),
        1
    );
    // The remaining load time counts from the message, so an equal value is a change.
    assert_eq!(directory.change(vec![loading], Vec::new()).changed.len(), 1);
}

#[test]
fn removal_of_an_unknown_instance_is_returned() {
    let mut directory = InstanceDirectory::default();
    let gone = vec![RunnerId("i-9".to_owned())];
    assert_eq!(directory.change(Vec::new(), gone.clone()).gone, gone);
}

/// A router that was fed by a leader of the previous release held each instance twice, by its name and
/// with its start time, until the next leader had settled: requests were sent to ended incarnations.
#[test]
fn a_view_with_a_start_time_replaces_the_one_by_name() {
    let mut directory = InstanceDirectory::default();
    directory.change(vec![view(1, 1), view(10, 2)], Vec::new());
    let started = InstanceView {
        id: RunnerId::of_incarnation("i-1", 1_000),
        ..view(1, 1)
    };
    let changes = directory.change(vec![started.clone()], Vec::new());
    assert_eq!(changes.gone, [RunnerId::from("i-1")]);
    let ids: Vec<_> = directory.ids().cloned().collect();
    assert_eq!(ids, [started.id, RunnerId::from("i-10")]);
    assert_eq!(
        *directory.digests(),
        InstanceDigests::of(directory.values())
    );
}

/// After a change between leaders of two releases a follower held an instance under both names, and sent
/// requests to it under one after it had drained under the other.
#[test]
fn an_instance_is_not_held_both_with_and_without_its_start_time() {
    let by_name = view(1, 1);
    let started = InstanceView {
        id: RunnerId::of_incarnation("i-1", 1_000),
        ..view(1, 1)
    };
    let other = view(10, 2);
    for (held, told) in [(&by_name, &started), (&started, &by_name)] {
        let mut directory = InstanceDirectory::default();
        let mut follower = InstanceDirectory::default();
        let changes = directory.change(vec![held.clone(), other.clone()], Vec::new());
        follower.change(changes.changed, changes.gone);
        let changes = directory.change(vec![told.clone()], Vec::new());
        assert_eq!(changes.gone, std::slice::from_ref(&held.id));
        follower.change(changes.changed, changes.gone);
        let ids: Vec<&RunnerId> = directory.ids().collect();
        assert_eq!(ids, [&told.id, &other.id]);
        assert_same(&follower, &directory);
    }
}

#[test]
fn only_a_complete_bucket_removes_other_instances() {
    let mut directory = InstanceDirectory::default();
    let all: Vec<InstanceView> = (0..200).map(|number| view(number, number)).collect();
    directory.change(all.clone(), Vec::new());
    let bucket = bucket_of(&all[0].id);
    let in_bucket = all
        .iter()
        .filter(|one| bucket_of(&one.id) == bucket)
        .count();
    let kept = vec![all[0].clone()];
    let changes = directory.set_bucket(bucket, kept.clone(), false);
    assert!(changes.is_empty());
    let changes = directory.set_bucket(bucket, kept, true);
    assert_eq!(changes.gone.len(), in_bucket - 1);
    assert_eq!(directory.len(), 200 - (in_bucket - 1));
    assert!(
        directory
            .set_bucket(BUCKET_COUNT + 7, Vec::new(), true)
            .is_empty()
    );
}

#[derive(Debug, Clone)]
enum Step {
    Change(u32, u32),
    Remove(u32),
    /// The follower disconnects, or reconnects and synchronises.
    ToggleConnection,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..40_u32, 0..5_u32).prop_map(|(id, address)| Step::Change(id, address)),
        2 => (0..40_u32).prop_map(Step::Remove),
        1 => Just(Step::ToggleConnection),
    ];
    proptest::collection::vec(step, 0..120)
}

/// Applies the buckets in which a follower differs.
fn synchronize(source: &InstanceDirectory, follower: &mut InstanceDirectory) {
    let digests = follower.digests().clone();
    let differing: Vec<usize> = source.digests().differing_buckets(&digests).collect();
    for bucket in differing {
        follower.set_bucket(bucket, source.bucket(bucket).cloned().collect(), true);
    }
}

proptest! {
    #[test]
    fn follower_holds_the_same_views_as_the_source(steps in steps()) {
        let mut source = InstanceDirectory::default();
        let mut follower = InstanceDirectory::default();
        let mut connected = true;
        for step in steps {
            let changes = match step {
                Step::Change(id, address) => source.change(vec![view(id, address)], Vec::new()),
                Step::Remove(id) => source.change(Vec::new(), vec![RunnerId(format!("i-{id}"))]),
                Step::ToggleConnection => {
                    connected = !connected;
                    if connected {
                        synchronize(&source, &mut follower);
                    }
                    continue;
                }
            };
            if connected {
                follower.change(changes.changed, changes.gone);
            }
        }
        synchronize(&source, &mut follower);
        assert_same(&source, &follower);
    }
}
