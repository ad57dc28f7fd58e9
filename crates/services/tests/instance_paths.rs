//! What a router concludes from connections that fail and succeed.

use courseshunt_services::InstancePaths;
use courseshunt_types::RunnerId;

const SERVICE: &str = "llm";

fn id(number: u32) -> RunnerId {
    RunnerId::from(format!("i-{number}").as_str())
}

#[test]
fn one_instance_that_is_down_is_no_partition() {
    let mut paths = InstancePaths::default();
    for _ in 0..10 {
        paths.record_failure(SERVICE, &id(1));
    }
    assert!(!paths.is_partitioned());
}

#[test]
fn failures_to_two_instances_are_a_partition_until_a_connection_succeeds() {
    let mut paths = InstancePaths::default();
    paths.record_failure(SERVICE, &id(1));
    paths.record_failure(SERVICE, &id(2));
    assert!(paths.is_partitioned());
    paths.record_success(SERVICE, &id(3));
    assert!(!paths.is_partitioned());
}

#[test]
fn failures_with_successes_in_between_are_no_partition() {
    let mut paths = InstancePaths::default();
    for number in 0..20 {
        paths.record_failure(SERVICE, &id(number));
        paths.record_success(SERVICE, &id(100));
    }
    assert!(!paths.is_partitioned());
}

#[test]
fn an_instance_is_forwarded_until_an_own_connection_to_it_succeeds() {
    let mut paths = InstancePaths::default();
    paths.record_failure(SERVICE, &id(1));
    assert!(!paths.is_forwarded(&id(1)));
    assert!(paths.record_forwarded(&id(1)));
    assert!(!paths.record_forwarded(&id(1)));
    assert!(!paths.record_success(SERVICE, &id(2)));
    assert!(paths.is_forwarded(&id(1)));
    assert!(paths.record_success(SERVICE, &id(1)));
    assert!(!paths.is_forwarded(&id(1)));
}

#[test]
fn all_lost_paths_are_tried_in_turn() {
    let mut paths = InstancePaths::default();
    assert_eq!(paths.next_to_try(), None);
    for number in 1..=3 {
        paths.record_forwarded(&id(number));
    }
    let tried: Vec<Option<RunnerId>> = (0..4).map(|_| paths.next_to_try()).collect();
    let expected = [1, 2, 3, 1].map(|number| Some(id(number)));
    assert_eq!(tried, expected);
    paths.remove(&[id(2)]);
    assert_eq!(paths.next_to_try(), Some(id(3)));
    paths.record_success(SERVICE, &id(1));
    paths.record_success(SERVICE, &id(3));
    assert_eq!(paths.next_to_try(), None);
}

/// A leader that is told by routers without paths that instances are unreachable replaces sound
/// instances.
#[test]
fn a_partitioned_router_that_no_other_confirms_has_no_evidence_against_instances() {
    let mut paths = InstancePaths::default();
    paths.record_failure(SERVICE, &id(1));
    assert!(paths.is_evidence(SERVICE, false));
    paths.record_failure(SERVICE, &id(2));
    assert!(!paths.is_evidence(SERVICE, false));
    assert!(paths.is_evidence(SERVICE, true));
    assert!(paths.is_evidence("app", false));
    paths.record_success(SERVICE, &id(3));
    assert!(paths.is_evidence(SERVICE, false));
}

#[test]
fn a_connection_to_one_service_shows_nothing_about_another() {
    let mut paths = InstancePaths::default();
    paths.record_failure(SERVICE, &id(1));
    paths.record_failure(SERVICE, &id(2));
    paths.record_success("app", &id(3));
    assert_eq!(paths.lost_count(), 2);
    assert!(paths.is_partitioned_from(SERVICE));
    assert!(!paths.is_partitioned_from("app"));
    assert_eq!(paths.partitioned_services().collect::<Vec<_>>(), [SERVICE]);
    paths.remove(&[id(1)]);
    assert!(!paths.is_partitioned());
}
