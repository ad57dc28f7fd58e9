//! Which versions the instances of a service run, and which kind of instance began a stream. Streams
//! that were broken off went on at instances of another version, at any router.

use courseshunt_services::stream_origins::ORIGIN_RETENTION;
use courseshunt_services::{
    InstanceVersion, OriginDirectory, OriginVerdict, ServiceVersions, SoftwareVersions, StreamId,
    StreamOrigin, StreamWriter, VersionOutbox, VersionPublication, VersionSetChange,
};
use courseshunt_types::{Millis, RunnerId, SoftwareVersion, Timestamp};

const START: Timestamp = Timestamp(1_000);
const SERVICE: &str = "llm";
/// Bound of the streams in a directory.
const MAX_STREAMS: u64 = 262_144;
/// Bound of the instances whose versions are kept.
const MAX_INSTANCES: usize = 32_768;

fn id(name: &str) -> RunnerId {
    RunnerId::of_incarnation(name, 1_769_493_358_721)
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::from(name)
}

fn at(millis: u64) -> Timestamp {
    START + Millis(millis)
}

fn after_retention() -> Timestamp {
    START + ORIGIN_RETENTION
}

/// Versions of instances of one service, all heard at the start.
fn versions(instances: &[(&str, &str)]) -> SoftwareVersions {
    let mut versions = SoftwareVersions::default();
    for (instance, version) in instances {
        hear(&mut versions, instance, version, START);
    }
    versions
}

fn hear(versions: &mut SoftwareVersions, instance: &str, name: &str, now: Timestamp) {
    versions.note(SERVICE, &id(instance), Some(&version(name)), now);
}

fn listed(service: &str, instances: &[(&str, &str)]) -> ServiceVersions {
    let instances = instances.iter().map(|(instance, name)| InstanceVersion {
        instance: id(instance),
        version: version(name),
    });
    ServiceVersions {
        service: service.to_owned(),
        instances: instances.collect(),
    }
}

fn origin(stream: u64, service: &str, instance: &str) -> StreamOrigin {
    StreamOrigin {
        stream: StreamId(stream),
        service: service.to_owned(),
        instance: id(instance),
    }
}

fn known(name: &str) -> OriginVerdict {
    OriginVerdict::Known(StreamWriter {
        service: SERVICE.to_owned(),
        version: version(name),
    })
}

#[test]
fn a_service_of_one_version_is_not_listed() {
    let versions = versions(&[("a", "v1"), ("b", "v1")]);
    assert_eq!(versions.mixed_services(), []);
}

/// Instances and services are listed in the order of their names, however they were heard.
#[test]
fn services_of_several_versions_are_listed_in_order() {
    let mut versions = versions(&[("b", "v2"), ("c", "v1"), ("a", "v1")]);
    versions.note("app", &id("z"), Some(&version("x")), START);
    versions.note("app", &id("y"), Some(&version("w")), START);
    versions.note("one", &id("o"), Some(&version("w")), START);
    let expected = [
        listed("app", &[("y", "w"), ("z", "x")]),
        listed(SERVICE, &[("a", "v1"), ("b", "v2"), ("c", "v1")]),
    ];
    assert_eq!(versions.mixed_services(), expected);
}

/// The last instance of the earlier version is gone, and streams that it began may be resumed.
#[test]
fn a_version_counts_for_the_retention_after_it_was_last_heard() {
    let mut versions = versions(&[("old", "v1"), ("new", "v2")]);
    assert!(versions.take_changed());
    for second in 1..120 {
        hear(&mut versions, "new", "v2", at(second * 1_000));
    }
    assert!(!versions.take_changed(), "nothing has changed");
    let just_before = START + Millis(ORIGIN_RETENTION.0 - 1);
    versions.expire(just_before);
    assert_eq!(versions.mixed_services().len(), 1);
    assert_eq!(
        versions.writer(&id("old")).map(|writer| writer.version),
        Some(version("v1"))
    );
    versions.expire(after_retention());
    assert!(versions.take_changed());
    assert_eq!(versions.mixed_services(), []);
    assert_eq!(versions.writer(&id("old")), None);
    assert_eq!(versions.len(), 1);
}

#[test]
fn the_newest_heartbeat_of_an_identity_counts() {
    let mut versions = versions(&[("a", "v1")]);
    assert!(versions.take_changed());
    hear(&mut versions, "a", "v2", at(5_000));
    assert!(versions.take_changed());
    let expected = [listed(SERVICE, &[("a", "v2")])];
    assert_eq!(versions.mixed_services(), expected, "v1 wrote streams too");
    // Which of the two versions began a stream is not known from the identity.
    assert_eq!(versions.writer(&id("a")), None);
    hear(&mut versions, "a", "v2", at(100_000));
    versions.expire(at(5_000) + ORIGIN_RETENTION);
    assert!(versions.take_changed());
    assert_eq!(versions.mixed_services(), []);
    assert!(versions.writer(&id("a")).is_some());
}

/// It may run either version.
#[test]
fn an_instance_of_unknown_version_counts_as_one_of_another_version() {
    let mut versions = versions(&[("a", "v1")]);
    versions.note_unknown_version(SERVICE, &id("b"), START);
    let expected = [listed(SERVICE, &[("a", "v1")])];
    assert_eq!(versions.mixed_services(), expected);
    assert_eq!(versions.writer(&id("b")), None);
    hear(&mut versions, "b", "v1", at(10));
    assert_eq!(versions.mixed_services(), []);
    assert!(versions.writer(&id("b")).is_some());
    versions.note_unknown_version(SERVICE, &id("b"), at(20));
    assert_eq!(versions.mixed_services(), [], "it is known already");
    // A registration without a version shows that it lives.
    versions.refresh(&id("b"), at(20));
    versions.expire(at(15) + ORIGIN_RETENTION);
    assert!(versions.writer(&id("b")).is_some());
    assert!(versions.writer(&id("a")).is_none());
    versions.note(SERVICE, &id("c"), None, at(20));
    assert_eq!(versions.mixed_services().len(), 1);
}

/// A controller that becomes the leader still knows of the version that is gone.
#[test]
fn the_leaders_list_adds_what_was_not_heard_here() {
    let mut versions = versions(&[("a", "v2")]);
    let list = [listed(SERVICE, &[("a", "v1"), ("gone", "v1")])];
    versions.note_list(&list, at(10));
    let expected = [listed(SERVICE, &[("a", "v2"), ("gone", "v1")])];
    assert_eq!(versions.mixed_services(), expected);
    versions.note_list(&list, at(60_000));
    versions.expire(at(10) + ORIGIN_RETENTION);
    assert_eq!(versions.len(), 0, "a repeated list prolongs nothing");
}

/// The service of an instance whose version nobody knew was left out by the next leader, unless the
/// instance had registered with it.
#[test]
fn a_service_in_the_leaders_list_is_mixed_for_the_retention_after_an_election() {
    let mut versions = versions(&[("a", "v2")]);
    let list = [listed(SERVICE, &[("a", "v2")])];
    versions.note_list(&list, START);
    hear(&mut versions, "a", "v2", at(200_000));
    versions.expire(at(200_000));
    assert_eq!(versions.mixed_services(), list, "the leader lists it still");
    versions.lead(at(210_000));
    hear(&mut versions, "a", "v2", at(300_000));
    versions.expire(at(210_000) + Millis(ORIGIN_RETENTION.0 - 1));
    assert_eq!(versions.mixed_services(), list);
    assert!(versions.take_changed());
    versions.expire(at(210_000) + ORIGIN_RETENTION);
    assert_eq!(versions.mixed_services(), []);
    assert!(versions.take_changed());
    versions.note_list(&list, at(340_000));
    versions.note_list(&[], at(350_000));
    versions.lead(at(351_000));
    assert_eq!(versions.mixed_services(), [], "the leader lists it no more");
}

/// Streams of a version that had left were joined with another one after the leader was killed and
/// elected again.
#[test]
fn a_leader_without_a_list_of_the_previous_one_does_not_know_the_past() {
    let mut versions = versions(&[("a", "v2")]);
    versions.lead(START);
    assert!(!versions.knows_past());
    versions.count_as_mixed(vec![SERVICE.to_owned()], at(10));
    assert!(versions.knows_past());
    let all = [listed(SERVICE, &[("a", "v2")])];
    assert_eq!(versions.mixed_services(), all);
    hear(&mut versions, "a", "v2", at(100_000));
    versions.expire(at(9) + ORIGIN_RETENTION);
    assert_eq!(versions.mixed_services(), all);
    versions.expire(at(10) + ORIGIN_RETENTION);
    assert_eq!(versions.mixed_services(), []);
}

#[test]
fn a_member_knows_the_past_by_the_list_of_the_present_leader_alone() {
    let mut versions = SoftwareVersions::default();
    versions.note_list(&[], START);
    assert!(versions.knows_past());
    versions.note_new_leader();
    assert!(!versions.knows_past(), "another leader's list is still due");
    let mut first = SoftwareVersions::default();
    first.note_no_earlier_streams();
    assert!(first.knows_past());
}

/// A router that started after a route was moved continued a stream at the new service.
#[test]
fn a_service_whose_routes_were_altered_is_listed_for_the_retention() {
    let mut versions = versions(&[("a", "v1")]);
    versions.take_changed();
    versions.note_altered(SERVICE, START);
    assert!(versions.take_changed());
    let list = [listed(SERVICE, &[("a", "v1")])];
    assert_eq!(versions.mixed_services(), list);
    hear(&mut versions, "a", "v1", at(100_000));
    versions.expire(START + Millis(ORIGIN_RETENTION.0 - 1));
    assert_eq!(versions.mixed_services(), list);
    versions.expire(START + ORIGIN_RETENTION);
    assert_eq!(versions.mixed_services(), []);
    assert!(versions.take_changed());
}

#[test]
fn versions_are_bounded_and_the_oldest_go_first() {
    let mut versions = SoftwareVersions::default();
    for number in 0..MAX_INSTANCES + 10 {
        let now = at(number as u64);
        hear(&mut versions, &number.to_string(), "v1", now);
        hear(&mut versions, "kept", "v1", now);
    }
    assert_eq!(versions.len(), MAX_INSTANCES);
    assert!(versions.writer(&id("kept")).is_some());
    assert!(versions.writer(&id("0")).is_none());
    let last = (MAX_INSTANCES + 9).to_string();
    assert!(versions.writer(&id(&last)).is_some());
}

#[test]
fn a_stream_goes_on_at_the_version_that_began_it() {
    let versions = versions(&[("a", "v1"), ("b", "v2")]);
    let mut directory = OriginDirectory::default();
    directory.note(origin(1, SERVICE, "a"), START);
    directory.note(origin(2, SERVICE, "b"), START);
    directory.note(origin(3, SERVICE, "unheard"), START);
    directory.note(origin(4, "another", "a"), START);
    let decide = |stream| directory.decide(StreamId(stream), &versions, at(10));
    assert_eq!(decide(1), known("v1"));
    assert_eq!(decide(2), known("v2"));
    assert_eq!(decide(3), OriginVerdict::Unknown, "its version is unknown");
    assert_eq!(decide(4), OriginVerdict::Unknown, "of another service");
    assert_eq!(decide(5), OriginVerdict::Unknown, "it was not reported");
}

/// Two requests had the same id.
#[test]
fn a_stream_of_two_origins_that_differ_is_in_conflict_from_then_on() {
    let mut versions = versions(&[("a", "v1"), ("b", "v2"), ("c", "v1")]);
    versions.note("app", &id("d"), Some(&version("v1")), START);
    let mut directory = OriginDirectory::default();
    for (stream, service, second) in [(1, SERVICE, "b"), (2, SERVICE, "c"), (3, "app", "d")] {
        directory.note(origin(stream, SERVICE, "a"), START);
        directory.note(origin(stream, service, second), START);
        directory.note(origin(stream, SERVICE, "a"), at(5));
    }
    let decide = |stream| directory.decide(StreamId(stream), &versions, at(10));
    assert_eq!(decide(1), OriginVerdict::conflict(), "two versions");
    assert_eq!(decide(2), known("v1"), "two instances of one version");
    assert_eq!(decide(3), OriginVerdict::conflict(), "two services");
    assert!(decide(1).is_conflict() && !decide(2).is_conflict());
}

/// A router that has seen one of two streams under this id would continue it by its own log.
#[test]
fn a_stream_of_two_origins_is_in_conflict_while_the_version_of_one_is_unknown() {
    let mut versions = versions(&[("a", "v1")]);
    let mut directory = OriginDirectory::default();
    directory.note(origin(1, SERVICE, "a"), START);
    directory.note(origin(1, SERVICE, "b"), START);
    directory.note(origin(2, SERVICE, "b"), START);
    let decide = |versions: &_, stream| directory.decide(StreamId(stream), versions, at(10));
    assert_eq!(decide(&versions, 1), OriginVerdict::conflict());
    assert_eq!(decide(&versions, 2), OriginVerdict::Unknown, "one origin");
    hear(&mut versions, "b", "v1", at(5));
    assert_eq!(decide(&versions, 1), known("v1"));
}

#[test]
fn a_stream_of_many_origins_is_in_conflict() {
    let names = ["a", "b", "c", "d", "e"];
    let versions = versions(&names.map(|name| (name, "v1")));
    let mut directory = OriginDirectory::default();
    for name in names {
        directory.note(origin(1, SERVICE, name), START);
    }
    let verdict = directory.decide(StreamId(1), &versions, START);
    assert_eq!(verdict, OriginVerdict::conflict());
}

#[test]
fn origins_expire_after_the_retention() {
    let mut versions = versions(&[("a", "v1")]);
    let mut directory = OriginDirectory::default();
    directory.note(origin(1, SERVICE, "a"), START);
    directory.note(origin(2, SERVICE, "a"), START);
    directory.note(origin(2, SERVICE, "a"), at(50_000));
    hear(&mut versions, "a", "v1", after_retention());
    let decide = |stream| directory.decide(StreamId(stream), &versions, after_retention());
    assert_eq!(decide(1), OriginVerdict::Unknown);
    assert_eq!(decide(2), known("v1"), "it was reported again");
    directory.note(origin(3, SERVICE, "a"), after_retention());
    assert_eq!(directory.len(), 2);
}

#[test]
fn origins_are_bounded_and_the_oldest_go_first() {
    let versions = versions(&[("a", "v1")]);
    let mut directory = OriginDirectory::default();
    for stream in 0..MAX_STREAMS + 5 {
        let now = at(stream / 100);
        directory.note(origin(stream, SERVICE, "a"), now);
    }
    assert_eq!(directory.len() as u64, MAX_STREAMS);
    let decide = |stream| directory.decide(StreamId(stream), &versions, at(10_000));
    assert_eq!(decide(4), OriginVerdict::Unknown);
    assert_eq!(decide(5), known("v1"));
    assert_eq!(decide(MAX_STREAMS + 4), known("v1"));
}

const INTERVAL: Millis = Millis(1_000);

/// A publication whose first list, at the start, is that of these versions.
fn published(versions: &mut SoftwareVersions) -> VersionPublication {
    let mut publication = VersionPublication::default();
    publication.begin(versions, START);
    publication
}

/// The list that is sent at this time, if there is one.
fn next_list(
    publication: &mut VersionPublication,
    versions: &mut SoftwareVersions,
    now: Timestamp,
) -> Option<Vec<ServiceVersions>> {
    let published = publication.next(versions, INTERVAL, now);
    published.map(|published| published.services)
}

#[test]
fn nothing_is_sent_before_the_first_list_which_may_be_empty() {
    let mut versions = versions(&[("a", "v1"), ("b", "v2")]);
    let mut publication = VersionPublication::default();
    let later = at(60_000);
    assert_eq!(next_list(&mut publication, &mut versions, later), None);
    let first = publication.begin(&mut versions, START);
    assert_eq!(first.services.len(), 1);
    let change = VersionSetChange {
        service: SERVICE.to_owned(),
        versions: vec![version("v1"), version("v2")],
    };
    assert_eq!(first.changes, [change]);
    let first = VersionPublication::default().begin(&mut SoftwareVersions::default(), START);
    assert_eq!((first.services, first.changes), (Vec::new(), Vec::new()));
}

/// A router that has the last list resumes streams by it.
#[test]
fn a_list_that_became_wrong_is_replaced_at_once() {
    let mut versions = versions(&[("a", "v1")]);
    let mut publication = published(&mut versions);
    let mut next =
        |versions: &mut SoftwareVersions, now| next_list(&mut publication, versions, at(now));
    hear(&mut versions, "a", "v1", at(1));
    assert_eq!(next(&mut versions, 1), None, "nothing has changed");
    hear(&mut versions, "b", "v2", at(2));
    let expected = vec![listed(SERVICE, &[("a", "v1"), ("b", "v2")])];
    assert_eq!(next(&mut versions, 2), Some(expected), "a second version");
    hear(&mut versions, "b", "v1", at(3));
    let expected = vec![listed(SERVICE, &[("a", "v1"), ("b", "v1")])];
    assert_eq!(next(&mut versions, 3), Some(expected), "another version");
    versions.note(SERVICE, &id("b"), None, at(4));
    let expected = vec![listed(SERVICE, &[("a", "v1")])];
    assert_eq!(
        next(&mut versions, 4),
        Some(expected),
        "unknown from now on"
    );
    assert_eq!(next(&mut versions, 60_000), None, "it was sent");
}

/// The list of a large service would be sent with each instance that starts.
#[test]
fn an_instance_that_the_list_lacks_is_sent_at_the_interval() {
    let mut versions = versions(&[("a", "v1"), ("b", "v2")]);
    let mut publication = published(&mut versions);
    let mut next =
        |versions: &mut SoftwareVersions, now| next_list(&mut publication, versions, at(now));
    hear(&mut versions, "c", "v2", at(10));
    assert_eq!(next(&mut versions, 10), None);
    assert_eq!(next(&mut versions, 999), None);
    let expected = vec![listed(SERVICE, &[("a", "v1"), ("b", "v2"), ("c", "v2")])];
    assert_eq!(next(&mut versions, 1_000), Some(expected));
    assert_eq!(next(&mut versions, 2_000), None);
}

#[test]
fn a_service_leaves_the_list_when_the_retention_of_its_other_version_ends() {
    let mut versions = versions(&[("a", "v1"), ("b", "v2")]);
    let mut publication = published(&mut versions);
    hear(&mut versions, "b", "v2", at(100_000));
    assert_eq!(
        next_list(&mut publication, &mut versions, at(119_999)),
        None
    );
    let last = publication.next(&mut versions, INTERVAL, after_retention());
    let last = last.expect("a list");
    assert_eq!(last.services, []);
    let change = VersionSetChange {
        service: SERVICE.to_owned(),
        versions: Vec::new(),
    };
    assert_eq!(last.changes, [change]);
}

fn relayed(outbox: &mut VersionOutbox, now: Timestamp) -> Vec<ServiceVersions> {
    outbox.take(now)
}

#[test]
fn a_controller_relays_new_and_changed_versions_and_refreshes_them() {
    let mut outbox = VersionOutbox::default();
    outbox.restart(START);
    outbox.note(SERVICE, &id("a"), &version("v1"), START);
    outbox.note("app", &id("b"), &version("v1"), START);
    let both = [
        listed("app", &[("b", "v1")]),
        listed(SERVICE, &[("a", "v1")]),
    ];
    assert_eq!(relayed(&mut outbox, START), both);
    outbox.note(SERVICE, &id("a"), &version("v1"), at(1_000));
    assert_eq!(relayed(&mut outbox, at(1_000)), [], "it is unchanged");
    outbox.note(SERVICE, &id("a"), &version("v2"), at(2_000));
    let changed = [listed(SERVICE, &[("a", "v2")])];
    assert_eq!(relayed(&mut outbox, at(2_000)), changed);
    outbox.note(SERVICE, &id("a"), &version("v2"), at(22_000));
    assert_eq!(relayed(&mut outbox, at(22_000)), changed, "a refresh");
}

/// Streams of an instance that is gone may be resumed after an election.
#[test]
fn a_new_leader_is_sent_the_versions_of_instances_that_are_gone() {
    let mut outbox = VersionOutbox::default();
    outbox.note(SERVICE, &id("gone"), &version("v1"), START);
    outbox.note(SERVICE, &id("live"), &version("v2"), at(100_000));
    let _ = outbox.take(at(100_000));
    outbox.restart(at(110_000));
    let all = [listed(SERVICE, &[("gone", "v1"), ("live", "v2")])];
    assert_eq!(relayed(&mut outbox, at(110_000)), all);
    outbox.restart(after_retention());
    let live = [listed(SERVICE, &[("live", "v2")])];
    assert_eq!(relayed(&mut outbox, after_retention()), live);
}

/// It may have restarted as another version since, and be registered with another controller: the
/// leader would replace the present version by the earlier one.
#[test]
fn a_name_without_a_start_time_is_sent_to_a_new_leader_by_its_next_heartbeat() {
    let name = RunnerId::from("name");
    let mut outbox = VersionOutbox::default();
    outbox.note(SERVICE, &name, &version("v1"), START);
    assert_eq!(outbox.take(START).len(), 1);
    outbox.restart(at(10));
    assert_eq!(outbox.take(at(10)), []);
    outbox.note(SERVICE, &name, &version("v1"), at(1_200));
    assert_eq!(outbox.take(at(1_200)).len(), 1);
}

#[test]
fn versions_are_relayed_in_bounded_messages() {
    let mut outbox = VersionOutbox::default();
    for number in 0..2_500 {
        outbox.note(SERVICE, &id(&number.to_string()), &version("v1"), START);
    }
    let mut sizes = Vec::new();
    loop {
        let batch = relayed(&mut outbox, START);
        if batch.is_empty() {
            break;
        }
        sizes.push(batch[0].instances.len());
    }
    assert_eq!(sizes, [1_024, 1_024, 452]);
}
