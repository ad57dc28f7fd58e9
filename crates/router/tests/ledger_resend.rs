//! Ledger calls survive the loss of a connection: the next one carries them
//! under the same session and number; what may have been committed is never
//! reported as not committed.

mod common;

use common::{FakeController, PATIENCE, start_router};
use courseshunt_router::control::{Doubt, LedgerCall, LedgerError, PendingCalls, ledger_channel};
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::{GroupId, UnixMillis};
use courseshunt_wire::message::{CallId, LedgerResult};
use courseshunt_wire::{Connection, Message};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

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

/// The next ledger call; `None` when the router left.
async fn next_call(connection: &mut Connection) -> Option<(CallId, u64, Command)> {
    loop {
        let message = connection.receiver.receive().await.ok()??;
        if let Message::Ledger {
            call,
            sequence,
            command,
            ..
        } = message
        {
            return Some((call, sequence.0, command));
        }
    }
}

/// Drops the first connection with its call, answers on the later ones, and
/// returns the calls seen.
async fn lose_then_answer(controller: FakeController, seen: mpsc::Sender<(u64, Command)>) {
    let mut lost = false;
    loop {
        let (mut connection, _) = controller.router().await;
        let Some((call, number, command)) = next_call(&mut connection).await else {
            continue;
        };
        seen.send((number, command)).await.unwrap();
        if !lost {
            lost = true;
            continue;
        }
        let result = committed();
        let reply = Message::LedgerReply { call, result };
        let _ = connection.sender.send(&reply).await;
        // Open until the router leaves.
        while let Ok(Some(_)) = connection.receiver.receive().await {}
    }
}

#[tokio::test]
async fn a_lost_connection_loses_no_call() {
    let controller = FakeController::start().await;
    let router = start_router(&[controller.address]).await;
    let (seen, mut calls) = mpsc::channel(100);
    let server = tokio::spawn(lose_then_answer(controller, seen));
    let ledger = router.context().ledger.clone();
    let answer = ledger.commit_within(Command::AdvanceTime, PATIENCE).await;
    assert_eq!(answer, Ok(CommandReply::Done { at: UnixMillis(7) }));
    let first = calls.recv().await.unwrap();
    let again = calls.recv().await.unwrap();
    assert_eq!(first, again, "the number and the command stay");
    server.abort();
    router.stop().await;
}
