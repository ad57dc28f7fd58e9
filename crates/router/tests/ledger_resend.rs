//! Ledger calls survive the loss of a connection: the next one carries them
//! under the same session and number; what may have been committed is never
//! reported as not committed.

use courseshunt_router::Router;
use courseshunt_router::control::{Doubt, LedgerCall, LedgerError, PendingCalls, ledger_channel};
use courseshunt_settings::RouterSettings;
use courseshunt_settings::process::LogSettings;
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::{ControllerId, GroupId, Millis, UnixMillis};
use courseshunt_wire::message::{CallId, LedgerResult};
use courseshunt_wire::{ClusterKey, Connection, Message, PeerIdentity, accept};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const KEY: &str = "a cluster key for tests";
const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy)]
enum Event {
    Send,
    Refuse,
    Undecided,
    Lose,
    Commit,
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    /// Sends of the call in all.
    sends: usize,
    /// Whether it may be committed when the caller gives up afterwards.
    doubt: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "never sent",
        events: &[],
        sends: 0,
        doubt: false,
    },
    Case {
        name: "sent, no answer",
        events: &[Event::Send],
        sends: 1,
        doubt: true,
    },
    Case {
        name: "not sent twice over one connection",
        events: &[Event::Send, Event::Send],
        sends: 1,
        doubt: true,
    },
    Case {
        name: "refused",
        events: &[Event::Send, Event::Refuse],
        sends: 1,
        doubt: false,
    },
    Case {
        name: "refused, then sent again",
        events: &[Event::Send, Event::Refuse, Event::Send],
        sends: 2,
        doubt: true,
    },
    Case {
        name: "lost, then refused: the first send may be committed",
        events: &[Event::Send, Event::Lose, Event::Send, Event::Refuse],
        sends: 2,
        doubt: true,
    },
    Case {
        name: "undecided, then refused",
        events: &[Event::Send, Event::Undecided, Event::Send, Event::Refuse],
        sends: 2,
        doubt: true,
    },
    Case {
        name: "lost, then committed",
        events: &[Event::Send, Event::Lose, Event::Send, Event::Commit],
        sends: 2,
        doubt: true,
    },
];

fn committed() -> LedgerResult {
    LedgerResult::Committed(CommandReply::Done { at: UnixMillis(7) })
}

fn play(pending: &mut PendingCalls, event: Event) -> usize {
    let id = CallId(1);
    match event {
        Event::Send => {
            let due = pending.due();
            for message in &due {
                let Message::Ledger { call, sequence, .. } = message else {
                    panic!("expected a ledger call");
                };
                assert_eq!((call.0, sequence.0), (1, 1), "the number stays");
            }
            return due.len();
        }
        Event::Refuse => pending.answer(id, LedgerResult::NotLeader { leader: None }),
        Event::Undecided => pending.answer(id, LedgerResult::Undecided),
        Event::Lose => pending.connection_lost(),
        Event::Commit => pending.answer(id, committed()),
    }
    0
}

#[test]
fn a_call_is_sent_again_and_its_doubt_is_kept() {
    for case in CASES {
        let mut pending = PendingCalls::default();
        let (reply, mut received) = oneshot::channel();
        let doubt = Doubt::default();
        pending.add(LedgerCall {
            group: GroupId(0),
            command: Command::AdvanceTime,
            reply,
            doubt: doubt.clone(),
        });
        let sends: usize = case.events.iter().map(|one| play(&mut pending, *one)).sum();
        assert_eq!(sends, case.sends, "{}", case.name);
        assert_eq!(doubt.is_set(), case.doubt, "{}", case.name);
        let answered = matches!(case.events.last(), Some(Event::Commit));
        assert_eq!(received.try_recv().is_ok(), answered, "{}", case.name);
        received.close();
        pending.connection_lost();
        assert!(pending.due().is_empty(), "{}: nobody waits", case.name);
        assert!(pending.is_empty(), "{}", case.name);
    }
}

#[tokio::test]
async fn without_a_controller_nothing_is_committed() {
    let (client, _calls) = ledger_channel();
    let limit = Duration::from_millis(20);
    let result = client.commit_within(Command::AdvanceTime, limit).await;
    assert_eq!(result, Err(LedgerError::NotCommitted));
}

fn settings(folder: &std::path::Path, controller: std::net::SocketAddr) -> RouterSettings {
    let any = "127.0.0.1:0".parse().unwrap();
    let cluster_key_file = folder.join("cluster.key");
    std::fs::write(&cluster_key_file, KEY).unwrap();
    RouterSettings {
        id: "router-1".into(),
        http_address: any,
        wire_address: any,
        controllers: vec![controller],
        max_connections: 10,
        max_body_bytes: 1024,
        max_waiting_bytes: 1024,
        body_timeout: Millis(1_000),
        drain: Millis(100),
        zone: "a".into(),
        cluster_key_file,
        logging: LogSettings {
            level: "warn".to_owned(),
            format: "text".to_owned(),
        },
    }
}

async fn accept_router(listener: &TcpListener) -> Connection {
    let (stream, address) = listener.accept().await.unwrap();
    let key = ClusterKey::new(KEY.as_bytes()).unwrap();
    let identity = PeerIdentity::Controller(ControllerId(1));
    accept(stream, address, &key, &identity).await.unwrap()
}

async fn next_call(connection: &mut Connection) -> (CallId, u64, Command) {
    loop {
        let message = connection.receiver.receive().await.unwrap();
        if let Message::Ledger {
            call,
            sequence,
            command,
            ..
        } = message.expect("the router keeps the connection")
        {
            return (call, sequence.0, command);
        }
    }
}

#[tokio::test]
async fn a_lost_connection_loses_no_call() {
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::start(settings(folder.path(), address))
        .await
        .unwrap();
    let ledger = router.context().ledger.clone();
    let commit =
        tokio::spawn(async move { ledger.commit_within(Command::AdvanceTime, PATIENCE).await });
    let mut first = accept_router(&listener).await;
    let (_, number, command) = next_call(&mut first).await;
    drop(first);
    let mut second = accept_router(&listener).await;
    let (call, again, resent) = next_call(&mut second).await;
    assert_eq!((number, command), (again, resent));
    let result = committed();
    let reply = Message::LedgerReply { call, result };
    second.sender.send(&reply).await.unwrap();
    let answer = commit.await.unwrap();
    assert_eq!(answer, Ok(CommandReply::Done { at: UnixMillis(7) }));
    router.stop().await;
}
