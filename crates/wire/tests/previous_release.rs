//! Exchange of messages with the previous release. The files in `production` are frames that build
//! e7d00e2 wrote; they must never be regenerated.

use courseshunt_consensus::{ConsensusMessage, MembershipChange};
use courseshunt_services::{
    FeedMessage, InstanceDigests, InstanceState, InstanceUsage, InstanceView, MemberLocation,
    ModelDemand, RelayedRegistration, ReportMessage, ResidentModel,
};
use courseshunt_state::{Command, CommandEnvelope};
use courseshunt_types::{
    ClientId, ClientSequence, ControllerId, GroupId, LogIndex, Millis, ModelName, RunnerId, Term,
    UnixMillis, Zone,
};
use courseshunt_wire::message::CallId;
use courseshunt_wire::{Message, PREVIOUS_RELEASE_VERSION, previous_release};

/// Length of a frame's header, in bytes.
const HEADER_BYTES: usize = 9;

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

fn recorded_reports() -> Vec<(&'static [u8], Message)> {
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

fn recorded_feed() -> Vec<(&'static [u8], Message)> {
    let member = |address: &str| MemberLocation {
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
            FeedMessage::Members(vec![member("10.0.0.7:7340"), member("10.0.0.8:7340")]),
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
            FeedMessage::LiveInstances(vec![RunnerId::from("a")]),
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

fn recorded_member_messages() -> Vec<(&'static [u8], Message)> {
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
    let unchanged = RelayedRegistration::Unchanged {
        id: RunnerId::from("a"),
        sequence: 8,
        previous_sequence: 7,
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
            Message::Registrations(vec![unchanged]),
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

fn decode_frame(frame: &[u8]) -> Result<Message, String> {
    assert_eq!(frame[0], PREVIOUS_RELEASE_VERSION);
    let checksum = u32::from_le_bytes([frame[5], frame[6], frame[7], frame[8]]);
    previous_release::decode(&frame[HEADER_BYTES..], checksum)
}

#[test]
fn frames_of_the_previous_release_are_decoded_and_encoded_identically() {
    for (frame, message) in [
        recorded_reports(),
        recorded_feed(),
        recorded_member_messages(),
    ]
    .concat()
    {
        assert_eq!(decode_frame(frame).as_ref(), Ok(&message));
        let encoded = previous_release::encode(&message).expect("encode the message");
        assert_eq!(encoded.as_deref(), Some(frame), "{message:?}");
    }
}

/// The previous release would treat an unknown message as damage and close the connection.
#[test]
fn messages_unknown_to_the_previous_release_are_not_sent() {
    let unsupported = [
        Message::ServiceFeed(FeedMessage::AwaitingLeader),
        Message::ServiceFeed(FeedMessage::Limits(Vec::new())),
        Message::ServiceFeed(FeedMessage::Digests(InstanceDigests::default())),
        Message::ServiceReport(ReportMessage::QuotaQueries(Vec::new())),
        Message::RelayedReports(Vec::new()),
        Message::SoftwareVersions(Vec::new()),
        Message::ServiceFeed(FeedMessage::SoftwareVersions(Vec::new())),
        Message::ServiceFeed(FeedMessage::OriginAnswers(Vec::new())),
        Message::ServiceReport(ReportMessage::StreamOrigins {
            began: Vec::new(),
            queries: Vec::new(),
        }),
    ];
    for message in unsupported {
        assert_eq!(previous_release::encode(&message), Ok(None), "{message:?}");
    }
}

#[test]
fn truncated_frames_and_other_kinds_are_rejected() {
    let frame = recorded!("usage");
    for length in HEADER_BYTES..frame.len() {
        assert!(decode_frame(&frame[..length]).is_err(), "{length} bytes");
    }
    let result = decode_frame(recorded!("pong"));
    assert!(result.is_err_and(|error| error.contains("not spoken")));
}

/// The identity of an instance whose start time is known.
fn started(name: &str) -> RunnerId {
    RunnerId::of_incarnation(name, 1_769_493_358_721)
}

/// What a peer of the previous release reads in place of a message.
fn read_by_peer(message: &Message) -> Message {
    let frame = previous_release::encode(message);
    let frame = frame.expect("a frame").expect("version 2 has this message");
    decode_frame(&frame).expect("a message")
}

#[test]
fn routers_of_the_previous_release_get_names_without_start_times() {
    let running = |id| InstanceView { id, ..view("a") };
    let in_use = |instance| InstanceUsage {
        instance,
        ..usage().remove(0)
    };
    let messages = |id: &dyn Fn(&str) -> RunnerId| {
        [
            FeedMessage::Instances {
                changed: vec![running(id("a"))],
                gone: vec![id("b")],
            },
            FeedMessage::LiveInstances(vec![id("a")]),
            FeedMessage::Usage {
                configuration: 4,
                routers: 7,
                instances: vec![in_use(id("a"))],
            },
        ]
    };
    let sent = messages(&started);
    let read = messages(&|name| RunnerId::from(name));
    for (sent, read) in sent.into_iter().zip(read) {
        let sent = Message::ServiceFeed(sent);
        assert_eq!(read_by_peer(&sent), Message::ServiceFeed(read));
    }
}

/// What a router used under the identity of an earlier feed counted for no instance there.
#[test]
fn leaders_of_the_previous_release_get_reports_without_start_times() {
    let report = |instances, unreachable| {
        Message::ServiceReport(ReportMessage::Usage {
            configuration: 4,
            instances,
            demand: Vec::new(),
            unreachable,
            leaving: Vec::new(),
        })
    };
    let used = |instance, in_flight| InstanceUsage {
        instance,
        in_flight,
        prompt_tokens: 10 * in_flight,
    };
    let by_name = RunnerId::from("a");
    let sent = vec![used(by_name.clone(), 1), used(started("a"), 2)];
    let read = read_by_peer(&report(sent, vec![started("b")]));
    let expected = report(vec![used(by_name, 3)], vec![RunnerId::from("b")]);
    assert_eq!(read, expected);
}

/// A leader of the previous release presented each instance twice that a leader of this release had
/// recorded in the log: under its name, and with the start time as a second one.
#[test]
fn an_instance_that_a_leader_of_the_previous_release_has_from_the_log_alone_is_left_out() {
    let recorded = started("a").0.replace(' ', "~");
    let recorded = InstanceView {
        id: RunnerId(recorded),
        ..view("a")
    };
    let told = |changed| {
        Message::ServiceFeed(FeedMessage::Instances {
            changed,
            gone: Vec::new(),
        })
    };
    let frame = previous_release::encode(&told(vec![recorded]));
    let mut frame = frame.expect("a frame").expect("version 2 has this message");
    let content = &mut frame[HEADER_BYTES..];
    let marks = content.iter_mut().filter(|byte| **byte == b'~');
    marks.for_each(|byte| *byte = b' ');
    let read = previous_release::decode(content, crc32fast::hash(content));
    assert_eq!(read, Ok(told(Vec::new())));
}

/// Under two names one instance was two for a leader of the previous release, and the one with the start
/// time rejected all its orders.
#[test]
fn leaders_of_the_previous_release_get_registrations_without_start_times() {
    let unchanged = |id| {
        Message::Registrations(vec![RelayedRegistration::Unchanged {
            id,
            sequence: 8,
            previous_sequence: 7,
        }])
    };
    let read = read_by_peer(&unchanged(started("a")));
    assert_eq!(read, unchanged(RunnerId::from("a")));
}

#[test]
fn leaders_of_the_previous_release_get_drains_without_start_times() {
    let forward = |instance| {
        let envelope = CommandEnvelope {
            client: ClientId::from("c"),
            sequence: ClientSequence(1),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(5),
            command: Command::RecordLeaving {
                instance,
                ended: false,
            },
        };
        let envelope = rkyv::to_bytes::<rkyv::rancor::Error>(&envelope).expect("bytes");
        Message::Forward {
            call: CallId(1),
            group: GroupId(0),
            envelope: envelope.to_vec(),
        }
    };
    let read = read_by_peer(&forward(started("a")));
    assert_eq!(read, forward(RunnerId::from("a")));
}
