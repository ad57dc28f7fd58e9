//! Digests show exactly the buckets in which a reconnecting router differs; intervals between
//! messages grow with the fleet.

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
fn order_and_remaining_load_time_do_not_change_the_digests() {
    let mut other = fleet();
    other.reverse();
    for one in &mut other {
        one.loading[0].1 = Millis(300);
    }
    assert_eq!(differing(&fleet(), &other), Vec::<usize>::new());
}

#[test]
fn each_change_of_an_instance_shows_only_in_its_bucket() {
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
        let bucket = bucket_of(&other[1_234].id);
        assert_eq!(differing(&fleet(), &other), [bucket], "change {number}");
    }
}

#[test]
fn missing_instances_show_in_their_buckets() {
    let mut other = fleet();
    let missing = other.remove(77);
    assert_eq!(differing(&fleet(), &other), [bucket_of(&missing.id)]);
    assert_eq!(differing(&fleet(), &[]).len(), BUCKET_COUNT);
}

#[test]
fn interval_of_changed_instances_grows_with_the_routers_up_to_a_bound() {
    assert_eq!(instances_interval(7), Millis(3));
    assert_eq!(instances_interval(292), Millis(146));
    assert_eq!(instances_interval(100_000), Millis(250));
}

/// Usage is sent often to few routers, and rarely where long sums go to many routers. With one
/// interval for all sizes, what the leader writes per second would be unbounded.
#[test]
fn usage_interval_grows_with_routers_and_instances() {
    let cases = [
        ((7, 22), 120),
        ((16, 3_000), 120),
        ((78, 144), 240),
        ((291, 166), 240),
        ((300, 3_000), 480),
        ((340, 830), 480),
    ];
    for ((routers, instances), interval) in cases {
        let actual = usage_interval(routers, instances);
        assert_eq!(
            actual,
            Millis(interval),
            "{routers} routers, {instances} instances"
        );
        assert_eq!(usage_lag(routers, instances), Millis(interval * 3 / 2));
    }
}
