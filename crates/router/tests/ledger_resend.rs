//! Ledger calls survive the loss of a connection: they are sent again over the next
//! one under the same session and number. A call that may have been committed is
//! never reported as not committed.

mod common;

use common::{FakeController, WAIT_TIMEOUT, start_router};
use courseshunt_router::control::{
    InDoubtFlag, LedgerCall, LedgerError, PendingCalls, ledger_channel,
};
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
    /// Total number of sends of the call.
    sends: usize,
    /// Whether the call may have been committed if the caller stops waiting
    /// afterwards.
    in_doubt: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "never sent",
        events: &[],
        sends: 0,
        in_doubt: false,
    },
    Case {
        name: "sent, no answer",
        events: &[Event::Send],
        sends: 1,
        in_doubt: true,
    },
    Case {
        name: "not sent twice over one connection",
        events: &[Event::Send, Event::Send],
        sends: 1,
        in_doubt: true,
    },
    Case {
        name: "refused",
        events: &[Event::Send, Event::Refuse],
        sends: 1,
        in_doubt: false,
    },
    Case {
        name: "refused, then sent again",
        events: &[Event::Send, Event::Refuse, Event::Send],
        sends: 2,
        in_doubt: true,
    },
    Case {
        name: "lost, then refused: the first send may be committed",
        events: &[Event::Send, Event::Lose, Event::Send, Event::Refuse],
        sends: 2,
        in_doubt: true,
    },
    Case {
        name: "undecided, then refused",
        events: &[Event::Send, Event::Undecided, Event::Send, Event::Refuse],
        sends: 2,
        in_doubt: true,
    },
    Case {
        name: "lost, then committed",
        events: &[Event::Send, Event::Lose, Event::Send, Event::Commit],
        sends: 2,
        in_doubt: true,
    },
];

fn committed() -> LedgerResult {
    LedgerResult::Committed(CommandReply::Done { at: UnixMillis(7) })
}

fn apply_event(pending: &mut PendingCalls, event: Event) -> usize {
    let id = CallId(1);
    match event {
        Event::Send => {
            let due = pending.due();
            for message in &due {
                let Message::Ledger { call, sequence, .. } = message else {
                    panic!("expected a ledger call");
                };
                assert_eq!((call.0, sequence.0), (1, 1), "a resend keeps its number");
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
fn resent_call_stays_in_doubt_until_all_sends_are_refused() {
    for case in CASES {
        let mut pending = PendingCalls::default();
        let (reply, mut received) = oneshot::channel();
        let in_doubt = InDoubtFlag::default();
        pending.add(LedgerCall {
            group: GroupId(0),
            command: Command::AdvanceTime,
            reply,
            in_doubt: in_doubt.clone(),
        });
        let sends: usize = case
            .events
            .iter()
            .map(|event| apply_event(&mut pending, *event))
            .sum();
        assert_eq!(sends, case.sends, "{}", case.name);
        assert_eq!(in_doubt.is_set(), case.in_doubt, "{}", case.name);
        let answered = matches!(case.events.last(), Some(Event::Commit));
        assert_eq!(received.try_recv().is_ok(), answered, "{}", case.name);
        received.close();
        pending.connection_lost();
        assert!(pending.due().is_empty(), "{}: no caller waits", case.name);
        assert!(pending.is_empty(), "{}", case.name);
    }
}

#[tokio::test]
async fn call_without_a_controller_is_reported_as_not_committed() {
    let (client, _calls) = ledger_channel();
    let limit = Duration::from_millis(20);
    let result = client.commit_within(Command::AdvanceTime, limit).await;
    assert_eq!(result, Err(LedgerError::NotCommitted));
}

/// The next ledger call; `None` when the router disconnected.
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

/// Drops the first connection after its call, answers the calls on later ones, and
/// sends each received call to `received_calls`.
async fn drop_then_answer(
    controller: FakeController,
    received_calls: mpsc::Sender<(u64, Command)>,
) {
    let mut lost = false;
    loop {
        let (mut connection, _) = controller.router().await;
        let Some((call, number, command)) = next_call(&mut connection).await else {
            continue;
        };
        received_calls.send((number, command)).await.unwrap();
        if !lost {
            lost = true;
            continue;
        }
        let result = committed();
        let reply = Message::LedgerReply { call, result };
        let _ = connection.sender.send(&reply).await;
        // Keep the connection open until the router disconnects.
        while let Ok(Some(_)) = connection.receiver.receive().await {}
    }
}

#[tokio::test]
async fn call_is_resent_after_a_lost_connection() {
    let controller = FakeController::start().await;
    let router = start_router(&[controller.address]).await;
    let (received_calls, mut calls) = mpsc::channel(100);
    let server = tokio::spawn(drop_then_answer(controller, received_calls));
    let ledger = router.context().ledger.clone();
    let answer = ledger
        .commit_within(Command::AdvanceTime, WAIT_TIMEOUT)
        .await;
    assert_eq!(answer, Ok(CommandReply::Done { at: UnixMillis(7) }));
    let first = calls.recv().await.unwrap();
    let resent = calls.recv().await.unwrap();
    assert_eq!(first, resent, "the resend has the same number and command");
    server.abort();
    router.stop().await;
}
