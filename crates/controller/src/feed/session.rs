//! The feed of one router.

use super::registry::RegisteredRouter;
use super::{jobs, updates};
use crate::ControllerContext;
use crate::replica::ProposeError;
use courseshunt_state::CommandEnvelope;
use courseshunt_types::{ClientId, Epoch, JobId, LogIndex, Millis, Revision, RouterId, UnixMillis};
use courseshunt_wire::message::{LedgerResult, RouterEndpoint, Subscribe};
use courseshunt_wire::{Connection, Message, Receiver, Sender, WireError};
use std::time::Duration;
use tokio::sync::mpsc;

/// Time between confirmations of a feed without changes.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);
/// Ledger replies that wait to be sent.
const REPLY_QUEUE: usize = 1024;

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
        revision: Revision(0),
    });
    log::info!(
        "feed: router {router} subscribed at revision {}",
        subscribe.revision
    );
    let (replies, reply_queue) = mpsc::channel(REPLY_QUEUE);
    let feed = Feed {
        context,
        sender,
        revision: subscribe.revision,
        placement: LogIndex(0),
        fleet: Epoch(0),
        router: router.clone(),
        jobs: Vec::new(),
    };
    let ended = tokio::select! {
        () = context.stop.cancelled() => Ok(()),
        ended = feed.run(reply_queue) => ended,
        ended = receive(receiver, &subscribe, context, replies) => ended,
    };
    context.routers.remove(&endpoint);
    context.demand.forget(&router);
    log::info!("feed: router {router} left");
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
    while let Some(message) = receiver.receive().await? {
        match message {
            Message::Demand { reports } => {
                for report in reports {
                    context.demand.record(router, report, context.clock.now());
                }
            }
            Message::Confirmed { revision } => context.routers.confirm(router, revision),
            Message::Ledger { .. } => {
                let client = format!("{router}/{}", subscribe.incarnation);
                let work = ledger(message, client.into(), context.clone(), replies.clone());
                tokio::spawn(work);
            }
            other => log::warn!("feed: router {router} sent an unexpected message: {other:?}"),
        }
    }
    Ok(())
}

async fn ledger(
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

struct Feed<'a> {
    context: &'a ControllerContext,
    sender: Sender,
    revision: Revision,
    placement: LogIndex,
    fleet: Epoch,
    /// Router that is fed.
    router: RouterId,
    /// Jobs as last told.
    jobs: Vec<JobId>,
}

impl Feed<'_> {
    async fn run(mut self, mut replies: mpsc::Receiver<Message>) -> Result<(), WireError> {
        let mut applied = self.context.replica.status();
        let mut fleet = self.context.routers.changes();
        let mut confirmation = tokio::time::interval(CONFIRMATION_INTERVAL);
        loop {
            self.send_changes().await?;
            tokio::select! {
                changed = applied.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                }
                _ = fleet.changed() => {}
                _ = confirmation.tick() => {
                    self.confirm().await?;
                    self.send_jobs().await?;
                }
                reply = replies.recv() => {
                    if let Some(reply) = reply {
                        self.sender.send(&reply).await?;
                    }
                }
            }
        }
    }

    async fn send_changes(&mut self) -> Result<(), WireError> {
        let (configuration, placement) = {
            let state = self.context.replica.state();
            let newer = state.configuration.revision > self.revision;
            let configuration = newer.then(|| updates::configuration(&state, self.revision));
            let moved = state.applied > self.placement;
            let placement = moved.then(|| updates::placement(&state));
            (configuration, placement)
        };
        if let Some(update) = configuration {
            self.revision = update.revision;
            self.sender.send(&Message::Configuration(update)).await?;
        }
        if let Some(update) = placement {
            self.placement = update.sequence;
            self.sender.send(&Message::Placement(update)).await?;
        }
        let fleet = self.context.routers.update();
        if fleet.epoch != self.fleet {
            self.fleet = fleet.epoch;
            self.sender.send(&Message::Fleet(fleet)).await?;
        }
        Ok(())
    }

    /// Tells the queued jobs when others are queued than before.
    async fn send_jobs(&mut self) -> Result<(), WireError> {
        let jobs = jobs::queued_for(self.context, &self.router);
        let told: Vec<JobId> = jobs.iter().map(|job| job.job.clone()).collect();
        if told == self.jobs {
            return Ok(());
        }
        self.jobs = told;
        self.sender.send(&Message::Jobs { jobs }).await
    }

    async fn confirm(&mut self) -> Result<(), WireError> {
        let revision = self.revision;
        let age = Millis(0);
        let confirmation = Message::FeedConfirmation { age, revision };
        self.sender.send(&confirmation).await
    }
}
