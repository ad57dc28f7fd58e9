//! What a router concludes from the leaders' lists of software versions, and which instances may
//! continue a stream.

use courseshunt_gateway::software_versions::{RequiredWriter, SoftwareVersions};
use courseshunt_services::stream_origins::ORIGIN_RETENTION;
use courseshunt_services::{InstanceVersion, ServiceVersions};
use courseshunt_types::{Millis, RunnerId, SoftwareVersion, Timestamp};

const START: Timestamp = Timestamp::at(1_000);

fn instance(name: &str) -> RunnerId {
    RunnerId::from(name)
}

/// A list that names one service with these instances and their versions.
fn list(service: &str, instances: &[(&str, &str)]) -> Vec<ServiceVersions> {
    let instances = instances.iter().map(|(name, version)| InstanceVersion {
        instance: instance(name),
        version: SoftwareVersion::from(*version),
    });
    vec![ServiceVersions {
        service: service.to_owned(),
        instances: instances.collect(),
    }]
}

/// The state of a router that received a list of a service with two versions.
fn mixed_chat() -> SoftwareVersions {
    let mut versions = SoftwareVersions::default();
    versions.apply(list("chat", &[("a", "v1"), ("b", "v2")]), START);
    versions
}

/// The state of a router that received a list which names no service.
fn one_version() -> SoftwareVersions {
    let mut versions = SoftwareVersions::default();
    versions.apply(Vec::new(), START);
    versions
}

fn writer(version: &str) -> RequiredWriter {
    RequiredWriter {
        version: Some(SoftwareVersion::from(version)),
        ..RequiredWriter::any_of("chat")
    }
}

/// Whether an instance of the service `chat` may continue a stream, with a recent feed.
fn may_continue(versions: &SoftwareVersions, writer: &RequiredWriter, name: &str) -> bool {
    versions.may_continue(writer, "chat", &instance(name), true, START)
}

#[test]
fn without_a_list_every_service_may_be_mixed() {
    let versions = SoftwareVersions::default();
    assert!(versions.may_be_mixed("chat", START));
    assert!(!may_continue(
        &versions,
        &RequiredWriter::any_of("chat"),
        "a"
    ));
    assert!(!may_continue(&versions, &writer("v1"), "a"));
}

#[test]
fn a_service_that_the_list_leaves_out_runs_one_version() {
    let versions = one_version();
    assert!(!versions.may_be_mixed("chat", START));
    assert!(may_continue(
        &versions,
        &RequiredWriter::any_of("chat"),
        "a"
    ));
    assert!(may_continue(&versions, &writer("v1"), "a"));
}

#[test]
fn only_instances_of_the_required_version_continue_a_stream() {
    let versions = mixed_chat();
    assert!(versions.may_be_mixed("chat", START));
    assert!(may_continue(&versions, &writer("v1"), "a"));
    assert!(!may_continue(&versions, &writer("v1"), "b"));
    assert!(!may_continue(&versions, &writer("v3"), "a"));
    assert!(!may_continue(
        &versions,
        &RequiredWriter::any_of("chat"),
        "a"
    ));
}

#[test]
fn an_instance_of_unknown_version_does_not_continue_a_stream() {
    let versions = mixed_chat();
    assert!(!may_continue(&versions, &writer("v1"), "new"));
}

#[test]
fn an_instance_of_another_service_does_not_continue_a_stream() {
    let versions = mixed_chat();
    let a = instance("a");
    assert!(!versions.may_continue(&writer("v1"), "search", &a, true, START));
}

#[test]
fn the_instance_that_began_a_stream_continues_it() {
    let versions = SoftwareVersions::default();
    let began_at_a = RequiredWriter {
        began_at: Some(instance("a")),
        ..RequiredWriter::any_of("chat")
    };
    assert!(may_continue(&versions, &began_at_a, "a"));
    assert!(!may_continue(&versions, &began_at_a, "b"));
    assert!(versions.may_continue(&began_at_a, "chat", &instance("a"), false, START));
}

#[test]
fn without_a_recent_feed_only_known_versions_continue_a_stream() {
    let continues = |versions: &SoftwareVersions, writer: &RequiredWriter| {
        versions.may_continue(writer, "chat", &instance("a"), false, START)
    };
    assert!(!continues(&one_version(), &RequiredWriter::any_of("chat")));
    assert!(!continues(&one_version(), &writer("v1")));
    assert!(continues(&mixed_chat(), &writer("v1")));
}

#[test]
fn a_service_stays_mixed_while_streams_of_that_time_can_be_resumed() {
    let mut versions = mixed_chat();
    let unlisted = START + Millis(10_000);
    versions.apply(Vec::new(), unlisted);
    let last = unlisted + ORIGIN_RETENTION;
    assert!(versions.may_be_mixed("chat", last));
    assert!(versions.version_of(&instance("a"), last).is_some());
    let later = last + Millis(1);
    assert!(!versions.may_be_mixed("chat", later));
    assert_eq!(versions.version_of(&instance("a"), later), None);
    // Another list does not prolong this.
    versions.apply(Vec::new(), last);
    assert!(!versions.may_be_mixed("chat", later));
}

#[test]
fn a_new_list_replaces_the_version_of_an_instance() {
    let mut versions = mixed_chat();
    versions.apply(list("chat", &[("a", "v2")]), START);
    let known = versions.version_of(&instance("a"), START);
    assert_eq!(known, Some(&SoftwareVersion::from("v2")));
    let left_out = versions.version_of(&instance("b"), START);
    assert_eq!(left_out, Some(&SoftwareVersion::from("v2")));
}

#[test]
fn an_instance_that_appears_before_the_new_leaders_list_makes_its_service_ambiguous() {
    let mut versions = one_version();
    versions.add_instance("chat");
    assert!(!versions.may_be_mixed("chat", START));
    versions.start_leader_feed();
    assert!(!versions.may_be_mixed("chat", START));
    versions.add_instance("chat");
    assert!(versions.may_be_mixed("chat", START));
    assert!(!versions.may_be_mixed("search", START));
    versions.apply(Vec::new(), START);
    assert!(!versions.may_be_mixed("chat", START));
}
