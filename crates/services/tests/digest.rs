//! A router that comes back is sent what it lacks, and no more.

use courseshunt_services::digest::{BUCKET_COUNT, bucket_of};
use courseshunt_services::feed::{instances_interval, usage_interval, usage_lag};
use courseshunt_services::{InstanceDigests, InstanceState, InstanceView, ResidentModel};
use courseshunt_types::{Millis, ModelName, RunnerId, Zone};

fn view(number: usize) -> InstanceView {
    InstanceView {
        id: RunnerId::from(format!("i-{number}")),
        service: "s".to_owned(),
        address: format!("10.0.0.1:{number}"),
        zone: Zone::from("z"),
        slots: 64,
        state: InstanceState::Ready,
        models: vec![ResidentModel {
            name: ModelName::from("m1"),
            version: 1,
            adapters: vec!["a1".to_owned()],
        }],
        loading: vec![(ModelName::from("m2"), Millis(900))],
    }
}

fn fleet() -> Vec<InstanceView> {
    (0..3_000).map(view).collect()
}

fn differing(left: &[InstanceView], right: &[InstanceView]) -> Vec<usize> {
    let (left, right) = (InstanceDigests::of(left), InstanceDigests::of(right));
    left.differing_buckets(&right).collect()
}

#[test]
fn equal_fleets_do_not_differ_in_whatever_order_and_with_later_loads() {
    let mut other = fleet();
    other.reverse();
    for one in &mut other {
        one.loading[0].1 = Millis(300);
    }
    assert_eq!(differing(&fleet(), &other), Vec::<usize>::new());
}

#[test]
fn each_change_of_an_instance_shows_in_its_part_alone() {
    type Change = fn(&mut InstanceView);
    let changes: [Change; 9] = [
        |one| one.service.push('x'),
        |one| one.address.push('1'),
        |one| one.zone = Zone::from("y"),
        |one| one.slots = 63,
        |one| one.state = InstanceState::Draining,
        |one| one.models[0].version = 2,
        |one| one.models[0].adapters.clear(),
        |one| one.models.clear(),
        |one| one.loading.clear(),
    ];
    for (number, change) in changes.iter().enumerate() {
        let mut other = fleet();
        change(&mut other[1_234]);
        let part = bucket_of(&other[1_234].id);
        assert_eq!(differing(&fleet(), &other), [part], "change {number}");
    }
}

#[test]
fn instances_that_one_side_lacks_show() {
    let mut other = fleet();
    let missing = other.remove(77);
    assert_eq!(differing(&fleet(), &other), [bucket_of(&missing.id)]);
    assert_eq!(differing(&fleet(), &[]).len(), BUCKET_COUNT);
}

#[test]
fn the_leaders_messages_grow_no_faster_than_the_routers() {
    assert_eq!(instances_interval(7), Millis(3));
    assert_eq!(instances_interval(292), Millis(146));
    assert_eq!(instances_interval(100_000), Millis(250));
}

/// The use of instances is told soon where that is cheap, and rarely where long
/// sums go to many routers: what the leader writes in a second stays bounded.
#[test]
fn sums_of_use_are_rarer_where_they_are_long_and_go_to_many() {
    let cases = [
        ((7, 22), 120),
        ((16, 3_000), 120),
        ((78, 144), 240),
        ((291, 166), 240),
        ((300, 3_000), 480),
        ((340, 830), 480),
    ];
    for ((routers, instances), interval) in cases {
        let told = usage_interval(routers, instances);
        assert_eq!(
            told,
            Millis(interval),
            "{routers} routers, {instances} instances"
        );
        assert_eq!(usage_lag(routers, instances), Millis(interval * 3 / 2));
    }
}
