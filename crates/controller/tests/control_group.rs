//! A group of real controllers on loopback sockets: commands at any member, graceful shutdown of
//! the leader, restart from disk, a member that joins, and the replacement of a damaged one.

use courseshunt_consensus::MembershipChange;
use courseshunt_controller::Controller;
use courseshunt_settings::ControllerSettings;
use courseshunt_settings::process::{LogSettings, PeerAddress};
use courseshunt_state::{ChangeRequest, Command, CommandReply, TenantDocument};
use courseshunt_types::{ControllerId, Revision, Version};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn settings(folder: &Path, id: u64, voters: &[PeerAddress]) -> ControllerSettings {
    let file = |name: &str, content: &str| {
        let path = folder.join(name);
        std::fs::write(&path, content).unwrap();
        path
    };
    ControllerSettings {
        id: ControllerId(id),
        http_address: any_port(),
        wire_address: any_port(),
        voters: voters.to_vec(),
        data_folder: folder.join(format!("controller-{id}")),
        // Nothing listens at this port, so there are no runners.
        platform_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        operator_token_file: file("operators", "operate some-token\n"),
        runner_token_file: file("runner.token", "token"),
        policy: "load-on-demand".to_owned(),
        store_loads_per_second: 3,
        store_concurrency: 6,
        source_address: None,
        zone: "default".into(),
        cluster_key_file: file("cluster.key", "a key of sixteen bytes or more"),
        logging: LogSettings {
            level: "warn".to_owned(),
            format: "text".to_owned(),
        },
    }
}

async fn start(settings: ControllerSettings, wire: TcpListener) -> Controller {
    let http = TcpListener::bind(any_port()).await.unwrap();
    Controller::start_on(settings, http, wire).await.unwrap()
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    waited.unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

fn leader_of(controllers: &[Controller]) -> Option<usize> {
    let mut members = controllers.iter();
    members.position(|one| one.context().replica.leads())
}

fn revision(controller: &Controller) -> Revision {
    controller.context().replica.state().configuration.revision
}

async fn change(controller: &Controller, version: u64) -> Revision {
    let command = Command::ChangeConfiguration(ChangeRequest {
        change_id: format!("change-{version}").into(),
        tenants: vec![TenantDocument {
            name: "souss".into(),
            version: Version(version),
            token_digests: Vec::new(),
        }],
        ..ChangeRequest::default()
    });
    match controller.context().replica.submit(command).await {
        Ok(CommandReply::Configured { revision }) => revision,
        other => panic!("expected a revision, got {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_member_serves_through_shutdown_restart_and_membership_changes() {
    let folder = tempfile::tempdir().unwrap();
    let mut voters = Vec::new();
    let mut listeners = Vec::new();
    for number in 1..=3 {
        let wire = TcpListener::bind(any_port()).await.unwrap();
        let address = wire.local_addr().unwrap();
        let id = ControllerId(number);
        voters.push(PeerAddress { id, address });
        listeners.push(wire);
    }
    let mut controllers = Vec::new();
    for (voter, wire) in voters.iter().zip(listeners) {
        controllers.push(start(settings(folder.path(), voter.id.0, &voters), wire).await);
    }

    // Commands at every member; the first may be sent before there is a leader.
    for (position, controller) in controllers.iter().enumerate() {
        let number = position as u64 + 1;
        assert_eq!(change(controller, number).await, Revision(number));
        controller.context().replica.read_barrier().await.unwrap();
        assert_eq!(revision(controller), Revision(number));
    }

    // Graceful shutdown of the leader, then a change through another member.
    let leader = leader_of(&controllers).unwrap();
    let stopped = controllers.remove(leader);
    let stopped_id = stopped.context().settings.id;
    stopped.stop().await;
    assert_eq!(change(&controllers[0], 4).await, Revision(4));

    // The stopped member restarts from its disk.
    let position = voters.iter().position(|one| one.id == stopped_id).unwrap();
    let mut wire = TcpListener::bind(voters[position].address).await;
    while wire.is_err() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        wire = TcpListener::bind(voters[position].address).await;
    }
    let restarted = settings(folder.path(), stopped_id.0, &voters);
    controllers.push(start(restarted, wire.unwrap()).await);
    until("the restarted member has the change", || {
        revision(&controllers[2]) == Revision(4)
    })
    .await;

    // A fourth member joins and becomes a voter.
    let wire = TcpListener::bind(any_port()).await.unwrap();
    let command = Command::RecordMember {
        member: ControllerId(4),
        wire_address: wire.local_addr().unwrap().to_string(),
    };
    let replica = &controllers[0].context().replica;
    replica.submit(command).await.unwrap();
    let joining = start(settings(folder.path(), 4, &voters), wire).await;
    for change in [
        MembershipChange::AddLearner(ControllerId(4)),
        MembershipChange::Promote(ControllerId(4)),
    ] {
        replica.change_membership(change).await.unwrap();
    }
    until("the new member has the configuration", || {
        revision(&joining) == Revision(4)
    })
    .await;
    let members = joining.context().replica.members().await;
    assert!(members.membership.is_voter(ControllerId(4)));
    assert_eq!(change(&joining, 5).await, Revision(5));

    // A member with a damaged log refuses to start and reports the position of the damage. The
    // machine replaces it under a new id.
    let damaged = controllers.remove(1);
    let lost = damaged.context().settings.id;
    damaged.stop().await;
    damage(&folder.path().join(format!("controller-{lost}/group-0")));
    let refused = Controller::start(settings(folder.path(), lost.0, &voters)).await;
    let refused = refused.unwrap_err().to_string();
    assert!(refused.contains("segment-"), "{refused}");
    assert!(refused.contains("damaged at offset"), "{refused}");

    let wire = TcpListener::bind(any_port()).await.unwrap();
    let command = Command::RecordMember {
        member: ControllerId(5),
        wire_address: wire.local_addr().unwrap().to_string(),
    };
    let replica = &controllers[0].context().replica;
    replica.submit(command).await.unwrap();
    let members = current_members(&voters, &joining);
    let replacement = start(settings(folder.path(), 5, &members), wire).await;
    let learner = ControllerId(5);
    for change in [
        MembershipChange::AddLearner(learner),
        MembershipChange::Replace { lost, learner },
    ] {
        replica.change_membership(change).await.unwrap();
    }
    until("the replacement has the configuration", || {
        revision(&replacement) == Revision(5)
    })
    .await;
    assert_eq!(change(&replacement, 6).await, Revision(6));
}

/// Flips a byte in the first record of the oldest segment.
fn damage(folder: &Path) {
    let entries = std::fs::read_dir(folder).unwrap();
    let mut paths: Vec<_> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    let mut segments = paths.iter();
    let segment = segments.find(|path| path.to_string_lossy().contains("segment-"));
    let segment = segment.unwrap();
    let mut content = std::fs::read(segment).unwrap();
    content[20] ^= 0xff;
    std::fs::write(segment, content).unwrap();
}

fn current_members(voters: &[PeerAddress], joined: &Controller) -> Vec<PeerAddress> {
    let mut members = voters.to_vec();
    members.push(PeerAddress {
        id: joined.context().settings.id,
        address: joined.wire_address,
    });
    members
}
