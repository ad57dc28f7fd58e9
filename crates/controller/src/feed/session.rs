//! Feed session of one router.
//!
//! Invariant: a router is registered, and its demand kept, only while its session runs.

use super::registry::RegisteredRouter;
use super::writer::FeedWriter;
use crate::ControllerContext;
use crate::replica::ProposeError;
use courseshunt_queue::DemandReport;
use courseshunt_state::{Command, CommandEnvelope};
use courseshunt_types::{ClientId, RouterId, UnixMillis};
use courseshunt_wire::message::{LedgerResult, RouterEndpoint, Subscribe};
use courseshunt_wire::{Connection, Message, Receiver, WireError};
use std::time::Duration;
use tokio::sync::mpsc;

/// A router that sends nothing for this long counts as lost. Routers send at least twice a
/// second.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the queue of ledger replies.
const REPLY_QUEUE_CAPACITY: usize = 1024;

/// Serves a router until its connection ends.
pub async fn serve(
    connection: Connection,
    router: RouterId,
    context: &ControllerContext,
) -> Result<(), WireError> {
    let Connection {
        sender,
        mut receiver,
        ..
    } = connection;
    let Some(Message::Subscribe(subscribe)) = receiver.receive().await? else {
        log::warn!("feed: router {router} did not subscribe");
        return Ok(());
    };
    let endpoint = endpoint(&subscribe);
    context.routers.insert(RegisteredRouter {
        endpoint: endpoint.clone(),
        http_address: subscribe.http_address.clone(),
        revision: subscribe.revision,
    });
    log::info!(
        "feed: router {router} subscribed at revision {}",
        subscribe.revision
    );
    let (replies, reply_queue) = mpsc::channel(REPLY_QUEUE_CAPACITY);
    let peer = format!("router {router}");
    let feed = FeedWriter::new(
        context,
        sender,
        peer,
        endpoint.clone(),
        subscribe.revision,
        subscribe.placement,
    );
    let ended = tokio::select! {
        () = context.stop.cancelled() => Ok(()),
        ended = feed.run(reply_queue) => ended,
        ended = receive(receiver, &subscribe, context, replies) => ended,
    };
    context.routers.remove(&endpoint);
    remove_demand(context, &router);
    log::info!("feed: session of router {router} ended");
    ended
}

fn endpoint(subscribe: &Subscribe) -> RouterEndpoint {
    RouterEndpoint {
        router: subscribe.router.clone(),
        incarnation: subscribe.incarnation,
        wire_address: subscribe.wire_address.clone(),
        zone: subscribe.zone.clone(),
        leaving: false,
    }
}

async fn receive(
    mut receiver: Receiver,
    subscribe: &Subscribe,
    context: &ControllerContext,
    replies: mpsc::Sender<Message>,
) -> Result<(), WireError> {
    let router = &subscribe.router;
    while let Some(message) = receive_with_timeout(&mut receiver, router).await? {
        match message {
            Message::Demand { reports } => {
                record_demand(context, router, reports);
            }
            Message::Leaving => handle_leaving(router, context),
            Message::Confirmed { revision } => context.routers.confirm(router, revision),
            Message::Ledger { .. } => {
                let client = format!("{router}/{}", subscribe.incarnation);
                let call =
                    commit_ledger_command(message, client.into(), context.clone(), replies.clone());
                tokio::spawn(call);
            }
            other => log::warn!("feed: router {router} sent an unexpected message: {other:?}"),
        }
    }
    Ok(())
}

/// Handles the notice of a router that is shutting down: other routers own its queues from now on.
fn handle_leaving(router: &RouterId, context: &ControllerContext) {
    log::info!("feed: router {router} is leaving");
    context.routers.mark_leaving(router);
    let (context, router) = (context.clone(), router.clone());
    tokio::spawn(async move {
        let command = Command::RouterLeft { router };
        if let Err(error) = context.replica.submit(command).await {
            log::info!("feed: recording that a router leaves failed: {error}");
        }
    });
}

async fn receive_with_timeout(
    receiver: &mut Receiver,
    router: &RouterId,
) -> Result<Option<Message>, WireError> {
    let received = tokio::time::timeout(RECEIVE_TIMEOUT, receiver.receive()).await;
    received.unwrap_or_else(|_| {
        Err(WireError::TimedOut {
            step: "receive",
            peer: format!("router {router}"),
        })
    })
}

/// Records demand reports at the leader; any other member relays them to the leader.
fn record_demand(context: &ControllerContext, router: &RouterId, reports: Vec<DemandReport>) {
    let status = context.replica.status().borrow().clone();
    if status.leads() {
        for report in reports {
            context.demand.record(router, report, context.clock.now());
        }
    } else if let Some(leader) = status.leader {
        context.peers.relay_demand(leader, router, reports);
    }
}

fn remove_demand(context: &ControllerContext, router: &RouterId) {
    context.demand.forget(router);
    let status = context.replica.status().borrow().clone();
    if let (false, Some(leader)) = (status.leads(), status.leader) {
        context.peers.relay_gone(leader, router);
    }
}

async fn commit_ledger_command(
    message: Message,
    client: ClientId,
    context: ControllerContext,
    replies: mpsc::Sender<Message>,
) {
    let Message::Ledger {
        call,
        sequence,
        acknowledged,
        command,
        ..
    } = message
    else {
        return;
    };
    let envelope = CommandEnvelope {
        client,
        sequence,
        acknowledged,
        proposed_at: UnixMillis::now(),
        command,
    };
    let result = match context.replica.propose(envelope).await {
        Ok(reply) => LedgerResult::Committed(reply),
        Err(ProposeError::Undecided) => LedgerResult::Undecided,
        Err(_) => LedgerResult::NotLeader { leader: None },
    };
    let _ = replies.send(Message::LedgerReply { call, result }).await;
}
