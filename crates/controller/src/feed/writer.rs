//! Sending side of one router's feed.
//!
//! Invariants: revisions and placements only increase on one connection; all parts of a
//! configuration are sent before a newer one.

use super::jobs;
use super::source::{CONFIRMATION_INTERVAL, FeedCounts};
use crate::ControllerContext;
use courseshunt_types::{Epoch, JobId, LogIndex, Revision};
use courseshunt_wire::message::RouterEndpoint;
use courseshunt_wire::{Frame, Message, Sender, WireError};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Interval;

/// Timeout of sending one message to a router.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest time between two updates of the fleet.
const FLEET_INTERVAL: Duration = Duration::from_millis(200);

/// Sends configuration, placement, fleet, jobs and confirmations to one router.
pub struct FeedWriter<'a> {
    context: &'a ControllerContext,
    sender: Sender,
    /// Name of the router, for errors.
    peer: String,
    /// The router.
    router: RouterEndpoint,
    /// Jobs in the last message to the router.
    jobs: Vec<JobId>,
    /// Whether the drain message was sent.
    drained: bool,
    revision: Revision,
    placement: LogIndex,
    fleet: Epoch,
}

/// An interval that delays missed ticks instead of bursting.
fn every(length: Duration) -> Interval {
    let mut interval = tokio::time::interval(length);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    interval
}

impl<'a> FeedWriter<'a> {
    /// Creates a feed for a router that has `revision` and `placement`.
    pub fn new(
        context: &'a ControllerContext,
        sender: Sender,
        peer: String,
        router: RouterEndpoint,
        revision: Revision,
        placement: LogIndex,
    ) -> Self {
        Self {
            context,
            sender,
            peer,
            router,
            jobs: Vec::new(),
            drained: false,
            revision,
            placement,
            fleet: Epoch(0),
        }
    }

    /// Sends changes until the connection ends.
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
                _ = confirmation.tick() => {
                    self.confirm().await?;
                    self.send_jobs().await?;
                    self.send_drain().await?;
                }
                Some(reply) = replies.recv() => self.send(&reply).await?,
            }
        }
    }

    /// Sends the queued jobs when they differ from the last message.
    async fn send_jobs(&mut self) -> Result<(), WireError> {
        let jobs = jobs::queued_for(self.context, &self.router.router);
        let job_ids: Vec<JobId> = jobs.iter().map(|job| job.job.clone()).collect();
        if job_ids == self.jobs {
            return Ok(());
        }
        self.jobs = job_ids;
        self.send(&Message::Jobs { jobs }).await
    }

    /// Sends the drain message once when an operator has requested the drain of the router.
    async fn send_drain(&mut self) -> Result<(), WireError> {
        let drain_requested = {
            let state = self.context.replica.state();
            let drains = &state.drains;
            drains.is_router_draining(&self.router.router, self.router.incarnation)
        };
        if !drain_requested || self.drained {
            return Ok(());
        }
        self.drained = true;
        self.send(&Message::Drain).await
    }

    /// Waits for a sync permit, then sends the configuration in parts. Replies and confirmations
    /// are sent during the wait.
    async fn sync(
        &mut self,
        replies: &mut mpsc::Receiver<Message>,
        confirmation: &mut Interval,
    ) -> Result<(), WireError> {
        let counts = &self.context.feed.counts;
        counts.waiting_syncs.fetch_add(1, Ordering::Relaxed);
        let _waiting = WaitingSync(self.context);
        let permit = self.context.feed.acquire_sync_permit();
        tokio::pin!(permit);
        let _permit = loop {
            tokio::select! {
                permit = &mut permit => break permit,
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
            let (newest, frames) = self.context.feed.placement_since(self.placement);
            self.placement = newest;
            self.send_frames(&frames).await?;
        }
        Ok(())
    }

    async fn send_configuration(&mut self) -> Result<(), WireError> {
        let context = self.context;
        let (revision, frames) = context
            .feed
            .configuration_since(&context.replica, self.revision);
        if revision <= self.revision {
            return Ok(());
        }
        self.send_frames(&frames).await?;
        self.revision = revision;
        Ok(())
    }

    async fn send_fleet(&mut self) -> Result<(), WireError> {
        let (epoch, frames) = self.context.routers.frames();
        if epoch == self.fleet {
            return Ok(());
        }
        self.fleet = epoch;
        self.send_frames(&frames).await
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
        sent.unwrap_or_else(|_| Err(self.timed_out()))
    }

    async fn send_frames(&mut self, frames: &[Frame]) -> Result<(), WireError> {
        for frame in frames {
            let sent = tokio::time::timeout(SEND_TIMEOUT, self.sender.send_frame(frame)).await;
            sent.unwrap_or_else(|_| Err(self.timed_out()))?;
        }
        Ok(())
    }

    fn timed_out(&self) -> WireError {
        WireError::TimedOut {
            step: "send",
            peer: self.peer.clone(),
        }
    }
}

/// Decrements the number of waiting syncs when a sync ends for any reason.
struct WaitingSync<'a>(&'a ControllerContext);

impl Drop for WaitingSync<'_> {
    fn drop(&mut self) {
        let waiting = &self.0.feed.counts.waiting_syncs;
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
