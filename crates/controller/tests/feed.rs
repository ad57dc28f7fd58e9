//! Contract of a controller's feed: a restarted router receives one sync instead of the history, a
//! reconnecting router receives only the changes, and updates are deltas.

mod common;

use common::{Api, TIMEOUT, change, subscribe};
use courseshunt_controller::feed::PlacementIndex;
use courseshunt_controller::feed::configuration::update;
use courseshunt_state::{
    ChangeRequest, Configuration, FleetLimits, Placement, ReplicaPhase, ReplicaRecord, RunnerRecord,
};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::*;
use courseshunt_wire::message::{ConfigurationUpdate, PlacementUpdate};
use courseshunt_wire::{Connection, DOCUMENTS_PER_PART, Message};
use std::collections::BTreeSet;

fn runner(name: &str, state: MachineState) -> RunnerRecord {
    RunnerRecord {
        runner: name.into(),
        address: "127.0.0.1:1".to_owned(),
        zone: "a".into(),
        incarnation: Incarnation(1),
        accelerators: 1,
        memory_mib: 100,
        state,
    }
}

fn replica(deployment: &str, runner: &str, phase: ReplicaPhase) -> ReplicaRecord {
    ReplicaRecord {
        replica: ReplicaKey {
            deployment: deployment.into(),
            runner: runner.into(),
        },
        fence: Fence {
            term: Term(1),
            sequence: 1,
        },
        memory_mib: 1,
        phase,
        incarnation: Incarnation(1),
        placed_at: UnixMillis(1),
    }
}

fn set(placement: &mut Placement, record: ReplicaRecord) {
    placement.replicas.insert(record.replica.clone(), record);
}

/// Runners and `deployment: ready + loading` of an update.
fn describe(update: &PlacementUpdate) -> String {
    let runners = update.runners.iter().map(|one| one.runner.0.clone());
    let deployments = update.deployments.iter().map(|one| {
        let (ready, loading) = (one.ready.len(), one.loading.len());
        format!("{}: {ready}+{loading}", one.deployment)
    });
    let all: Vec<String> = runners.chain(deployments).collect();
    let full = if update.full { "full " } else { "" };
    format!("{full}{}: {}", update.sequence, all.join(", "))
}

#[test]
fn a_placement_update_holds_what_changed() {
    let mut index = PlacementIndex::default();
    let mut placement = Placement::default();
    let live = runner("r1", MachineState::Live);
    placement.runners.insert("r1".into(), live);
    set(&mut placement, replica("a", "r1", ReplicaPhase::Loading));
    index.update(&placement, LogIndex(10));
    set(&mut placement, replica("b", "r1", ReplicaPhase::Loading));
    index.update(&placement, LogIndex(12));
    set(&mut placement, replica("a", "r1", ReplicaPhase::Ready));
    index.update(&placement, LogIndex(15));
    set(&mut placement, replica("a", "r1", ReplicaPhase::Withdrawn));
    placement
        .replicas
        .retain(|key, _| key.deployment.as_str() != "b");
    index.update(&placement, LogIndex(20));
    let leaving = runner("r1", MachineState::Leaving);
    placement.runners.insert("r1".into(), leaving);
    index.update(&placement, LogIndex(21));
    let cases = [
        (0, "full 21: r1"),
        (9, "full 21: r1"),
        (10, "21: r1, a: 0+0, b: 0+0"),
        (15, "21: r1, a: 0+0, b: 0+0"),
        (20, "21: r1"),
        (21, "21: "),
    ];
    for (since, expected) in cases {
        let update = index.since(LogIndex(since));
        assert_eq!(describe(&update), expected, "since {since}");
    }
}

#[test]
fn only_the_last_part_of_an_update_has_no_more() {
    let mut configuration = Configuration::default();
    for (documents, expected_parts) in
        [(1, 1), (DOCUMENTS_PER_PART, 1), (DOCUMENTS_PER_PART + 1, 2)]
    {
        let deployments = (0..documents).map(|number| {
            let version = configuration.revision.0 + 1;
            let mut content = change("", version, 1)["deployments"][0].clone();
            content["name"] = format!("d{number}").into();
            serde_json::from_value(content).unwrap()
        });
        let request = ChangeRequest {
            deployments: deployments.collect(),
            ..ChangeRequest::default()
        };
        let since = configuration.revision;
        let changed = configuration.change(&request, &FleetLimits::default(), UnixMillis(1));
        changed.unwrap();
        let parts = update(&configuration, since).into_parts();
        assert_eq!(parts.len(), expected_parts, "{documents} documents");
        let more = parts.iter().map(|part| match part {
            Message::Configuration(update) => update.more,
            other => panic!("unexpected {other:?}"),
        });
        let more: Vec<bool> = more.collect();
        let expected: Vec<bool> = (1..=expected_parts)
            .map(|part| part < expected_parts)
            .collect();
        assert_eq!(more, expected);
    }
}

/// Receives updates until a router that starts at revision `own` has all of `revision` and a quorum
/// has confirmed it. A confirmation may arrive before the update that it confirms, since it
/// describes what the controller has, not what it has sent.
async fn follow(connection: &mut Connection, own: u64, revision: u64) -> Vec<ConfigurationUpdate> {
    let mut updates: Vec<ConfigurationUpdate> = Vec::new();
    let work = async {
        loop {
            let message = connection.receiver.receive().await.unwrap();
            match message.expect("the controller keeps the connection") {
                Message::Configuration(update) => updates.push(update),
                Message::FeedConfirmation {
                    revision: confirmed,
                    ..
                } => {
                    let last = updates.last().map(|update| update.revision);
                    let is_complete = last.unwrap_or(Revision(own)) >= Revision(revision);
                    if is_complete && confirmed >= Revision(revision) {
                        return;
                    }
                }
                _ => {}
            }
        }
    };
    let followed = tokio::time::timeout(TIMEOUT, work).await;
    assert!(
        followed.is_ok(),
        "revision {revision} did not arrive in time: {updates:?}"
    );
    updates
}

#[tokio::test]
async fn a_restarted_router_is_synced_and_a_stale_one_gets_the_changes() {
    const CHANGES: u64 = 300;
    let api = Api::start().await;
    for version in 1..=CHANGES {
        let mut content = change(&format!("c{version}"), version, version);
        let name = format!("d{}", version % 7);
        content["deployments"][0]["name"] = name.into();
        let path = "/admin/v1/changes";
        let (status, content) = api
            .call(hyper::Method::POST, path, "apply-token", &content)
            .await;
        assert_eq!(status, 200, "{content}");
    }
    let mut restarted = subscribe(&api, "restarted", 0).await;
    let updates = follow(&mut restarted, 0, CHANGES).await;
    assert_eq!(updates.len(), 1, "one sync instead of 300 changes");
    assert!(updates[0].full);
    assert_eq!(updates[0].deployments.len(), 7);

    let mut stale = subscribe(&api, "late", CHANGES - 2).await;
    let updates = follow(&mut stale, CHANGES - 2, CHANGES).await;
    let documents = updates.iter().flat_map(|update| &update.deployments);
    let versions: BTreeSet<u64> = documents.map(|one| one.document.version.0).collect();
    assert_eq!(versions, BTreeSet::from([CHANGES - 1, CHANGES]));
    assert!(updates.iter().all(|update| !update.full));

    // A router with a newer revision, received from another controller, gets nothing older.
    let mut ahead = subscribe(&api, "ahead", CHANGES + 1).await;
    let mut content = change("next", CHANGES + 1, 1);
    content["deployments"][0]["name"] = "d0".into();
    let path = "/admin/v1/changes";
    api.call(hyper::Method::POST, path, "apply-token", &content)
        .await;
    assert!(
        follow(&mut ahead, CHANGES + 1, CHANGES + 1)
            .await
            .is_empty()
    );
    assert_eq!(follow(&mut stale, CHANGES, CHANGES + 1).await.len(), 1);
    api.controller.stop().await;
}
