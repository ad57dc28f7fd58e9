//! The sending side of one router's feed.
//!
//! Invariants: revisions and placements only go up on one connection; a
//! configuration in parts is sent whole before anything newer.

use super::source::{CONFIRMATION_INTERVAL, FeedCounts};
use crate::ControllerContext;
use courseshunt_types::{Epoch, LogIndex, Revision};
use courseshunt_wire::{Message, Sender, WireError};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Interval;

/// Longest time in which a router must take one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest time between two lists of the live routers.
const FLEET_INTERVAL: Duration = Duration::from_millis(200);

/// See the module.
pub struct FeedWriter<'a> {
    context: &'a ControllerContext,
    sender: Sender,
    /// Name of the router, for errors.
    peer: String,
    revision: Revision,
    placement: LogIndex,
    fleet: Epoch,
}

/// Waits for the next time of an interval, without catching up.
fn every(length: Duration) -> Interval {
    let mut interval = tokio::time::interval(length);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    interval
}

impl<'a> FeedWriter<'a> {
    /// A feed for a router that has `revision` and `placement`.
    pub fn new(
        context: &'a ControllerContext,
        sender: Sender,
        peer: String,
        revision: Revision,
        placement: LogIndex,
    ) -> Self {
        Self {
            context,
            sender,
            peer,
            revision,
            placement,
            fleet: Epoch(0),
        }
    }

    /// Sends what changes until the connection ends.
    pub async fn run(mut self, mut replies: mpsc::Receiver<Message>) -> Result<(), WireError> {
        let mut versions = self.context.feed.versions();
        let mut fleet = every(FLEET_INTERVAL);
        let mut confirmation = every(CONFIRMATION_INTERVAL);
        if self
            .context
            .feed
            .needs_sync(&self.context.replica, self.revision)
        {
            self.sync(&mut replies, &mut confirmation).await?;
        }
        loop {
            self.send_changes().await?;
            tokio::select! {
                changed = versions.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                }
                _ = fleet.tick() => self.send_fleet().await?,
                _ = confirmation.tick() => self.confirm().await?,
                Some(reply) = replies.recv() => self.send(&reply).await?,
            }
        }
    }

    /// Waits for a turn, then sends the configuration in parts. Replies and
    /// confirmations go on meanwhile.
    async fn sync(
        &mut self,
        replies: &mut mpsc::Receiver<Message>,
        confirmation: &mut Interval,
    ) -> Result<(), WireError> {
        let counts = &self.context.feed.counts;
        counts.waiting_syncs.fetch_add(1, Ordering::Relaxed);
        let _waiting = WaitingSync(self.context);
        let turn = self.context.feed.sync_turn();
        tokio::pin!(turn);
        let _turn = loop {
            tokio::select! {
                turn = &mut turn => break turn,
                _ = confirmation.tick() => self.confirm().await?,
                Some(reply) = replies.recv() => self.send(&reply).await?,
            }
        };
        FeedCounts::add(&counts.syncs);
        self.send_configuration().await?;
        self.confirm().await
    }

    async fn send_changes(&mut self) -> Result<(), WireError> {
        let version = *self.context.feed.versions().borrow();
        if version.revision > self.revision {
            FeedCounts::add(&self.context.feed.counts.updates);
            self.send_configuration().await?;
        }
        if version.placement > self.placement {
            let update = self.context.feed.placement_since(self.placement);
            self.placement = update.sequence;
            self.send(&Message::Placement(update)).await?;
        }
        Ok(())
    }

    async fn send_configuration(&mut self) -> Result<(), WireError> {
        let context = self.context;
        let (revision, parts) = context
            .feed
            .configuration_since(&context.replica, self.revision);
        if revision <= self.revision {
            return Ok(());
        }
        for part in parts.iter() {
            self.send(part).await?;
        }
        self.revision = revision;
        Ok(())
    }

    async fn send_fleet(&mut self) -> Result<(), WireError> {
        let fleet = self.context.routers.update();
        if fleet.epoch == self.fleet {
            return Ok(());
        }
        self.fleet = fleet.epoch;
        self.send(&Message::Fleet(fleet)).await
    }

    async fn confirm(&mut self) -> Result<(), WireError> {
        let now = self.context.clock.now();
        let Some((age, revision)) = self.context.feed.confirmation(now) else {
            return Ok(());
        };
        self.send(&Message::FeedConfirmation { age, revision })
            .await
    }

    async fn send(&mut self, message: &Message) -> Result<(), WireError> {
        let sent = tokio::time::timeout(SEND_TIMEOUT, self.sender.send(message)).await;
        sent.unwrap_or_else(|_| {
            Err(WireError::TimedOut {
                step: "send",
                peer: self.peer.clone(),
            })
        })
    }
}

/// Counts a waiting sync down when it ends, however it ends.
struct WaitingSync<'a>(&'a ControllerContext);

impl Drop for WaitingSync<'_> {
    fn drop(&mut self) {
        let waiting = &self.0.feed.counts.waiting_syncs;
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
