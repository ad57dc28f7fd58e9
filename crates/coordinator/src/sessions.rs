//! Sessions of the routers that follow the leader, and what each of them has been sent.
//!
//! A message for all is encoded once; a router whose queue is full is cut off, and asks
//! again.

use crate::configuration_feed::ConfigurationFeed;
use crate::interface::ControlInterface;
use crate::snapshot::Snapshot;
use courseshunt_services::{FeedMessage, InstanceDigests, InstanceView};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use courseshunt_wire::{Frame, Message};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Messages that wait for one router; a router that falls behind is cut off and
/// asks again.
pub(crate) const SESSION_QUEUE: usize = 512;

/// A router's session at the leader.
#[derive(Debug)]
pub(crate) struct Session {
    /// Incarnation of the router.
    pub(crate) number: u64,
    pub(crate) queue: mpsc::Sender<Arc<Frame>>,
    /// Configuration that the router has or is being sent.
    pub(crate) configuration: u64,
    /// Configuration that the router says is in force there.
    pub(crate) in_force: u64,
}

/// A configuration on its way to the routers.
#[derive(Debug, Clone, Copy)]
struct Spreading {
    number: u64,
    since: Timestamp,
}

/// A configuration that is in force at all routers with a session.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spread {
    pub(crate) number: u64,
    pub(crate) routers: usize,
    /// Time since the leader knew that it is committed.
    pub(crate) after: Millis,
}

/// All routers' sessions. A message for all is encoded once.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    sessions: Mutex<BTreeMap<String, Session>>,
    /// The instances as they were last sent to all.
    snapshot: Mutex<Option<Snapshot>>,
    configuration: Mutex<ConfigurationFeed>,
    spreading: Mutex<Option<Spreading>>,
}

impl Session {
    /// Sends the newest configuration if the router lacks it; returns whether the
    /// session goes on.
    fn configure(&mut self, feed: &mut ConfigurationFeed) -> bool {
        let Some(frame) = feed.frame_for(self.configuration) else {
            return true;
        };
        self.configuration = feed.number();
        self.queue.try_send(frame).is_ok()
    }
}

impl Sessions {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Session>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routers with a session.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// What a router lacks that knows instances with these digests; `views`
    /// gives the instances if they have changed since the last router.
    pub(crate) fn lacking(
        &self,
        known: &InstanceDigests,
        views: impl FnOnce() -> Vec<InstanceView>,
    ) -> Vec<Arc<Frame>> {
        let snapshot = self.snapshot.lock();
        let mut snapshot = snapshot.unwrap_or_else(PoisonError::into_inner);
        let snapshot = snapshot.get_or_insert_with(|| Snapshot::of(views()));
        snapshot.lacking(known)
    }

    /// Sends changed instances to all routers.
    pub(crate) fn send_instances(&self, changed: Vec<InstanceView>, gone: Vec<RunnerId>) {
        self.forget_snapshot();
        self.broadcast(FeedMessage::Instances { changed, gone });
    }

    fn forget_snapshot(&self) {
        let snapshot = self.snapshot.lock();
        *snapshot.unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Sends to all routers.
    pub(crate) fn broadcast(&self, message: FeedMessage) {
        let Some(frame) = encode(message) else {
            return;
        };
        self.lock()
            .retain(|_, session| session.queue.try_send(frame.clone()).is_ok());
    }

    /// Takes a configuration over and sends it to the routers that have an older
    /// one, in the form that routers are sent.
    pub(crate) fn configure(
        &self,
        number: u64,
        document: &[u8],
        interface: &dyn ControlInterface,
        now: Timestamp,
    ) {
        let mut feed = self.configuration();
        let is_newer = number > feed.number();
        if is_newer && feed.publish(number, &interface.document_for_routers(document)) {
            let since = now;
            *self.spreading() = Some(Spreading { number, since });
        }
        self.lock()
            .retain(|_, session| session.configure(&mut feed));
    }

    fn configuration(&self) -> MutexGuard<'_, ConfigurationFeed> {
        let configuration = self.configuration.lock();
        configuration.unwrap_or_else(PoisonError::into_inner)
    }

    fn spreading(&self) -> MutexGuard<'_, Option<Spreading>> {
        let spreading = self.spreading.lock();
        spreading.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes which configuration is in force at a router; tells when the newest
    /// one is in force at all, once.
    pub(crate) fn confirm(&self, router: &str, in_force: u64, now: Timestamp) -> Option<Spread> {
        let mut sessions = self.lock();
        sessions.get_mut(router)?.in_force = in_force;
        let mut spreading = self.spreading();
        let Spreading { number, since } = (*spreading)?;
        if sessions.values().any(|session| session.in_force < number) {
            return None;
        }
        *spreading = None;
        Some(Spread {
            number,
            routers: sessions.len(),
            after: now.since(since),
        })
    }

    /// Ends all sessions.
    pub(crate) fn clear(&self) {
        self.forget_snapshot();
        *self.spreading() = None;
        self.lock().clear();
    }
}

/// A message as it goes to any number of routers.
pub(crate) fn encode(message: FeedMessage) -> Option<Arc<Frame>> {
    match Frame::of(&Message::ServiceFeed(message)) {
        Ok(frame) => Some(Arc::new(frame)),
        Err(problem) => {
            log::error!("feed: a message can't be encoded: {problem}");
            None
        }
    }
}
