//! What is spoken with production's build. The files in `production` are the frames that
//! e7d00e2 wrote; they are never written anew.

use courseshunt_consensus::{ConsensusMessage, MembershipChange};
use courseshunt_services::{
    FeedMessage, InstanceDigests, InstanceState, InstanceUsage, InstanceView, MemberPlace,
    ModelDemand, RelayedRegistration, ReportMessage, ResidentModel,
};
use courseshunt_types::{ControllerId, GroupId, LogIndex, Millis, ModelName, RunnerId, Term, Zone};
use courseshunt_wire::message::CallId;
use courseshunt_wire::{Message, PREVIOUS_RELEASE_VERSION, previous_release};

/// Bytes of a frame before its content.
const HEADER: usize = 9;

macro_rules! recorded {
    ($name:literal) => {
        include_bytes!(concat!("production/", $name)).as_slice()
    };
}

fn view(id: &str) -> InstanceView {
    let model = ResidentModel {
        name: ModelName::from("m"),
        version: 1,
        adapters: vec!["x".to_owned()],
    };
    InstanceView {
        id: RunnerId::from(id),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: Zone::from("z"),
        slots: 4,
        state: InstanceState::Ready,
        models: vec![model],
        loading: vec![(ModelName::from("n"), Millis(700))],
    }
}

fn usage() -> Vec<InstanceUsage> {
    vec![InstanceUsage {
        instance: RunnerId::from("a"),
        in_flight: 2,
        prompt_tokens: 300,
    }]
}

fn reports() -> Vec<(&'static [u8], Message)> {
    let demand = ModelDemand {
        service: "s".to_owned(),
        model: "m".to_owned(),
        adapter: Some("x".to_owned()),
        arrivals: 3,
        tokens: 40,
        objective_ms: 500,
        late: 1,
        waiting: 2,
    };
    let reports = [
        (
            recorded!("subscribe"),
            ReportMessage::Subscribe {
                number: 4,
                known: InstanceDigests::of([&view("a")]),
            },
        ),
        (
            recorded!("subscribe-new"),
            ReportMessage::Subscribe {
                number: 0,
                known: InstanceDigests::default(),
            },
        ),
        (
            recorded!("usage-report"),
            ReportMessage::Usage {
                configuration: 4,
                instances: usage(),
                demand: vec![demand],
                unreachable: vec![RunnerId::from("u")],
                leaving: Vec::new(),
            },
        ),
    ];
    let reports = reports.into_iter();
    let reports = reports.map(|(frame, report)| (frame, Message::ServiceReport(report)));
    reports.collect()
}

fn feed() -> Vec<(&'static [u8], Message)> {
    let place = |address: &str| MemberPlace {
        address: address.to_owned(),
        zone: None,
    };
    let feed = [
        (
            recorded!("not-leader"),
            FeedMessage::NoFeed {
                leader: Some("10.0.0.7:7340".to_owned()),
            },
        ),
        (
            recorded!("members"),
            FeedMessage::Members(vec![place("10.0.0.7:7340"), place("10.0.0.8:7340")]),
        ),
        (
            recorded!("configuration"),
            FeedMessage::Configuration {
                number: 4,
                base: 0,
                digest: 5,
                difference: vec![1, 2, 3],
            },
        ),
        (
            recorded!("instances"),
            FeedMessage::Instances {
                changed: vec![view("a")],
                gone: vec![RunnerId::from("b")],
            },
        ),
        (
            recorded!("live"),
            FeedMessage::Live(vec![RunnerId::from("a")]),
        ),
        (
            recorded!("usage"),
            FeedMessage::Usage {
                configuration: 4,
                routers: 7,
                instances: usage(),
            },
        ),
    ];
    let feed = feed.into_iter();
    let feed = feed.map(|(frame, message)| (frame, Message::ServiceFeed(message)));
    feed.collect()
}

fn members() -> Vec<(&'static [u8], Message)> {
    let group = GroupId(0);
    let member = ControllerId(7);
    let wire_address = "10.0.0.7:7340".to_owned();
    let append = ConsensusMessage::Append {
        term: Term(3),
        previous_index: LogIndex(6),
        previous_term: Term(2),
        entries: Vec::new(),
        commit: LogIndex(6),
        round: 9,
    };
    let vote = ConsensusMessage::VoteRequest {
        term: Term(3),
        pre_vote: true,
        last_index: LogIndex(6),
        last_term: Term(2),
        transfer: false,
    };
    let again = RelayedRegistration::Again {
        id: RunnerId::from("a"),
        sequence: 8,
        repeats: 7,
    };
    vec![
        (
            recorded!("append"),
            Message::Consensus {
                group,
                message: append,
            },
        ),
        (
            recorded!("vote"),
            Message::Consensus {
                group,
                message: vote,
            },
        ),
        (
            recorded!("forward"),
            Message::Forward {
                call: CallId(1),
                group,
                envelope: vec![7, 8, 9],
            },
        ),
        (
            recorded!("forward-reply"),
            Message::ForwardReply {
                call: CallId(1),
                reply: None,
            },
        ),
        (
            recorded!("read-index"),
            Message::ReadIndex {
                call: CallId(2),
                group,
            },
        ),
        (
            recorded!("read-index-reply"),
            Message::ReadIndexReply {
                call: CallId(2),
                index: Some(LogIndex(6)),
            },
        ),
        (
            recorded!("change-membership"),
            Message::ChangeMembership {
                call: CallId(3),
                group,
                change: MembershipChange::AddLearner(member),
            },
        ),
        (
            recorded!("change-membership-reply"),
            Message::ChangeMembershipReply {
                call: CallId(3),
                result: Err("no".to_owned()),
            },
        ),
        (recorded!("alive"), Message::PeerAlive),
        (
            recorded!("registrations"),
            Message::Registrations(vec![again]),
        ),
        (
            recorded!("registrations-taken"),
            Message::RegistrationsReply {
                leads: true,
                missing: vec![RunnerId::from("a")],
            },
        ),
        (
            recorded!("join"),
            Message::Join {
                member,
                wire_address: wire_address.clone(),
            },
        ),
        (
            recorded!("joined"),
            Message::Joined {
                leads: true,
                leader: None,
                members: vec![(member, wire_address)],
            },
        ),
    ]
}

fn read(frame: &[u8]) -> Result<Message, String> {
    assert_eq!(frame[0], PREVIOUS_RELEASE_VERSION);
    let checksum = u32::from_le_bytes([frame[5], frame[6], frame[7], frame[8]]);
    previous_release::decode(&frame[HEADER..], checksum)
}

#[test]
fn frames_of_productions_build_are_read_and_written_as_it_does() {
    for (frame, message) in [reports(), feed(), members()].concat() {
        assert_eq!(read(frame).as_ref(), Ok(&message));
        let written = previous_release::encode(&message).expect("a message");
        assert_eq!(written.as_deref(), Some(frame), "{message:?}");
    }
}

/// It would take what it has no word for as damage, and close the connection.
#[test]
fn productions_build_is_not_sent_what_it_has_no_word_for() {
    let unknown = [
        Message::ServiceFeed(FeedMessage::Awaiting),
        Message::ServiceFeed(FeedMessage::Limits(Vec::new())),
        Message::ServiceFeed(FeedMessage::Digests(InstanceDigests::default())),
        Message::ServiceReport(ReportMessage::AskQuotas(Vec::new())),
        Message::RelayedReports(Vec::new()),
    ];
    for message in unknown {
        assert_eq!(previous_release::encode(&message), Ok(None), "{message:?}");
    }
}

#[test]
fn damage_and_other_kinds_are_told() {
    let frame = recorded!("usage");
    for length in HEADER..frame.len() {
        assert!(read(&frame[..length]).is_err(), "{length} bytes");
    }
    let told = read(recorded!("pong"));
    assert!(told.is_err_and(|told| told.contains("not spoken")));
}
