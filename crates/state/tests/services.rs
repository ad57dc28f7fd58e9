//! Service configuration, instances and quarantine in the replicated state.

use courseshunt_services::{InstanceState, InstanceView, QuarantinedContent};
use courseshunt_state::{Command, CommandEnvelope, ReplicatedState};
use courseshunt_types::{
    ClientId, ClientSequence, ControllerId, Digest, LogIndex, RunnerId, Term, UnixMillis, Zone,
};

fn apply(state: &mut ReplicatedState, command: Command) {
    let envelope = CommandEnvelope {
        client: ClientId::default(),
        sequence: ClientSequence(0),
        acknowledged: ClientSequence(0),
        proposed_at: UnixMillis(1),
        command,
    };
    let index = state.applied.next();
    state.apply(index, Term(1), &envelope);
}

fn put(state: &mut ReplicatedState, number: u64, document: &str) {
    let document = document.as_bytes().to_vec();
    apply(state, Command::PutServices { number, document });
}

fn view(id: &str) -> InstanceView {
    InstanceView {
        id: RunnerId::from(id),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: Zone::from("z"),
        slots: 4,
        state: InstanceState::Ready,
        models: Vec::new(),
        loading: Vec::new(),
    }
}

#[test]
fn only_a_higher_number_replaces_the_service_configuration() {
    let mut state = ReplicatedState::default();
    let cases = [
        (5, "five", 5, "five"),
        (5, "other content", 5, "five"),
        (3, "older", 5, "five"),
        (9, "nine", 9, "nine"),
        (5, "five", 9, "nine"),
    ];
    for (number, document, stored, content) in cases {
        put(&mut state, number, document);
        assert_eq!(state.services.number, stored, "after {number} {document}");
        assert_eq!(state.services.document, content.as_bytes());
    }
}

#[test]
fn the_number_of_recorded_leaving_instances_is_bounded() {
    let mut state = ReplicatedState::default();
    let leave = |state: &mut ReplicatedState, id: &str, ended| {
        let instance = RunnerId::from(id);
        apply(state, Command::RecordLeaving { instance, ended });
    };
    leave(&mut state, "i-1", false);
    let one = RunnerId::from("i-1");
    assert!(state.services.is_recorded(&one, false));
    assert!(!state.services.is_recorded(&one, true));
    leave(&mut state, "i-1", true);
    leave(&mut state, "i-1", false);
    assert!(state.services.is_recorded(&one, true));
    for number in 0..2_000 {
        leave(&mut state, &format!("j-{number}"), false);
    }
    assert!(state.services.leaving.len() <= 1024);
    assert!(state.services.is_recorded(&RunnerId::from("j-1999"), false));
}

#[test]
fn recorded_instances_survive_a_snapshot() {
    let mut state = ReplicatedState::default();
    put(&mut state, 1, "document");
    apply(
        &mut state,
        Command::RecordInstances {
            changed: vec![view("a"), view("b")],
            gone: Vec::new(),
        },
    );
    apply(
        &mut state,
        Command::RecordInstances {
            changed: Vec::new(),
            gone: vec![RunnerId::from("a")],
        },
    );
    let restored = ReplicatedState::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(restored, state);
    let ids: Vec<&str> = restored
        .services
        .instances
        .keys()
        .map(RunnerId::as_str)
        .collect();
    assert_eq!(ids, ["b"]);
    assert_eq!(restored.applied, LogIndex(3));
}

#[test]
fn the_orders_holder_survives_a_snapshot() {
    let mut state = ReplicatedState::default();
    assert_eq!(state.services.orders_holder, None);
    for number in [7, 9] {
        let member = ControllerId(number);
        apply(&mut state, Command::HoldOrders { member });
    }
    let restored = ReplicatedState::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(restored.services.orders_holder, Some(ControllerId(9)));
}

#[test]
fn the_quarantine_is_replaced_completely_and_survives_a_snapshot() {
    let mut state = ReplicatedState::default();
    let record = |text: &str, times| QuarantinedContent {
        content: Digest::of(text.as_bytes()),
        times,
    };
    for contents in [vec![record("a", 1), record("b", 1)], vec![record("b", 2)]] {
        apply(&mut state, Command::RecordQuarantine { contents });
    }
    let restored = ReplicatedState::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(restored.services.quarantined, [record("b", 2)]);
}
