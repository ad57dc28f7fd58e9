//! The subscribers of this controller's feed: routers and, while it leads, other controllers;
//! and the state that they have been sent.
//!
//! Invariant: a subscriber holds what [`InstanceDirectory`] holds here, or has it in its queue. A
//! message for all subscribers is encoded once. A subscriber whose queue is full is
//! disconnected, and subscribes again.

mod aliases;
mod loads;
mod previous_release;

use crate::configuration_feed::ConfigurationFeed;
use courseshunt_services::digest::bucket_of;
use courseshunt_services::instance_aliases::RouterAliases;
use courseshunt_services::instance_directory::InstanceChanges;
use courseshunt_services::{FeedMessage, InstanceDigests, InstanceDirectory, InstanceView};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{RunnerId, Timestamp};
use courseshunt_wire::{Frame, Message};
use loads::RetainedLoads;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Capacity of the queue to one subscriber, in messages; a slower subscriber is disconnected and
/// subscribes again.
pub(crate) const SESSION_QUEUE: usize = 512;

/// Session of a router that subscribes to this controller's feed.
#[derive(Debug)]
pub(crate) struct Session {
    /// Number of the router's connection.
    pub(crate) number: u64,
    pub(crate) queue: mpsc::Sender<Arc<Frame>>,
    /// Number of the configuration that the router holds or has in its queue.
    pub(crate) configuration: u64,
    /// Whether the router runs the previous release. It supports neither buckets nor digests, and
    /// derives which instances are gone from the list of all live ones.
    pub(crate) is_previous_release: bool,
    /// Aliases of instances that a router of the previous release holds.
    pub(crate) aliases: RouterAliases,
}

/// The subscribers and their queues.
#[derive(Debug, Default)]
struct Subscribers {
    routers: BTreeMap<String, Session>,
    /// Queues of controllers by the numbers of their connections.
    controllers: BTreeMap<u64, mpsc::Sender<Arc<Frame>>>,
}

/// State that a new subscriber is sent.
#[derive(Debug, Default)]
struct FeedState {
    instances: InstanceDirectory,
    /// Encoded buckets of the instances; a bucket is removed when one of its instances changes.
    buckets: BTreeMap<usize, Arc<Frame>>,
    leadership: Option<Leadership>,
    /// The current leader's latest messages of these kinds, encoded.
    quarantine: Option<Arc<Frame>>,
    software_versions: Option<Arc<Frame>>,
    quotas: Option<Arc<Frame>>,
    limits: Option<Arc<Frame>>,
    usage: Option<Arc<Frame>>,
    loads: RetainedLoads,
    /// Instances that report a rate limit. Routers of the previous release ignore such limits, so
    /// these instances are hidden from them.
    limited: BTreeSet<RunnerId>,
    /// Requests in flight at each instance, of all routers; kept for routers of the previous release
    /// alone.
    in_flight: BTreeMap<RunnerId, u32>,
}

/// The leadership that a feed comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Leadership {
    pub(crate) term: u64,
    /// Whether the leader has received registrations of all instances that are running.
    pub(crate) settled: bool,
}

/// Subscribers of this controller's feed, and the state that they are sent.
#[derive(Debug)]
pub(crate) struct Sessions {
    clock: MonotonicClock,
    subscribers: Mutex<Subscribers>,
    feed_state: Mutex<FeedState>,
    configuration: Mutex<ConfigurationFeed>,
}

impl Session {
    /// Sends the newest configuration if the router lacks it; returns `false` if the queue is
    /// full, which ends the session.
    fn send_configuration(&mut self, feed: &mut ConfigurationFeed) -> bool {
        let Some(frame) = feed.frame_for(self.configuration) else {
            return true;
        };
        self.configuration = feed.number();
        self.queue.try_send(frame).is_ok()
    }
}

impl Sessions {
    /// Starts without subscribers. The ages of retained reports are evaluated by `clock`.
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            subscribers: Mutex::default(),
            feed_state: Mutex::default(),
            configuration: Mutex::default(),
        }
    }

    fn subscribers(&self) -> MutexGuard<'_, Subscribers> {
        let subscribers = self.subscribers.lock();
        subscribers.unwrap_or_else(PoisonError::into_inner)
    }

    fn feed_state(&self) -> MutexGuard<'_, FeedState> {
        self.feed_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn configuration(&self) -> MutexGuard<'_, ConfigurationFeed> {
        let configuration = self.configuration.lock();
        configuration.unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of routers that subscribe here.
    pub(crate) fn router_count(&self) -> usize {
        self.subscribers().routers.len()
    }

    /// Number of routers and controllers that subscribe here.
    pub(crate) fn count(&self) -> usize {
        let subscribers = self.subscribers();
        subscribers.routers.len() + subscribers.controllers.len()
    }

    /// Routers that subscribe here, with the numbers of their connections.
    pub(crate) fn routers(&self) -> Vec<(String, u64)> {
        let subscribers = self.subscribers();
        let routers = subscribers.routers.iter();
        let routers = routers.map(|(name, one)| (name.clone(), one.number));
        routers.collect()
    }

    /// Opens a router's session: sends the state that it lacks, and then every change.
    pub(crate) fn open_router(
        &self,
        name: &str,
        mut session: Session,
        known: &InstanceDigests,
        gone: Vec<RunnerId>,
    ) {
        let mut configuration = self.configuration();
        // Held until the session is added: messages name only what has changed, so that one sent
        // in between would be missed for good.
        let mut subscribers = self.subscribers();
        for frame in self.initial_frames(known, gone) {
            let _ = session.queue.try_send(frame);
        }
        if session.is_previous_release
            && let Some(frame) = self.first_instances_frame()
        {
            let _ = session.queue.try_send(frame);
        }
        if session.is_previous_release
            && let Some(frame) = self.hidden_instances_frame(|_| true)
        {
            let _ = session.queue.try_send(frame);
        }
        if session.send_configuration(&mut configuration) {
            subscribers.routers.insert(name.to_owned(), session);
        }
    }

    /// Opens a controller's session in the same way, without the configuration, which it has
    /// from its own replica of the log.
    pub(crate) fn open_controller(
        &self,
        connection: u64,
        queue: mpsc::Sender<Arc<Frame>>,
        known: &InstanceDigests,
        gone: Vec<RunnerId>,
    ) {
        let mut subscribers = self.subscribers();
        for frame in self.initial_frames(known, gone) {
            let _ = queue.try_send(frame);
        }
        subscribers.controllers.insert(connection, queue);
    }

    fn initial_frames(&self, known: &InstanceDigests, gone: Vec<RunnerId>) -> Vec<Arc<Frame>> {
        let now = self.clock.now();
        self.feed_state().initial_frames(known, gone, now)
    }

    /// Ends a router's session, unless a newer connection has replaced it; returns whether it
    /// ended.
    pub(crate) fn close_router(&self, name: &str, number: u64) -> bool {
        let mut subscribers = self.subscribers();
        let known = subscribers.routers.get(name);
        let present = known.is_some_and(|one| one.number == number);
        if present {
            subscribers.routers.remove(name);
        }
        present
    }

    pub(crate) fn close_controller(&self, connection: u64) {
        self.subscribers().controllers.remove(&connection);
    }

    /// Sends a message to one router, if this is its current connection.
    pub(crate) fn send_to_router(&self, name: &str, number: u64, message: FeedMessage) {
        let subscribers = self.subscribers();
        let session = subscribers.routers.get(name);
        let session = session.filter(|session| session.number == number);
        if let Some(session) = session
            && let Some(frame) = encode(message)
        {
            // If the queue is full, the next message for all ends the session.
            let _ = session.queue.try_send(frame);
        }
    }

    /// Starts the feed of a new leadership, and drops the messages of the previous one.
    pub(crate) fn begin_leadership(&self, leadership: Leadership) {
        let mut feed_state = self.feed_state();
        feed_state.leadership = Some(leadership);
        feed_state.buckets.clear();
        feed_state.quarantine = None;
        feed_state.software_versions = None;
        feed_state.quotas = None;
        feed_state.limits = None;
        feed_state.usage = None;
        feed_state.loads.clear();
        drop(feed_state);
        // The new leader sends the instances that report a limit.
        self.set_limited_instances(BTreeSet::new());
        self.broadcast(leadership.message());
    }

    /// Notes that the leader has received registrations of all running instances (`live`), and
    /// sends subscribers the instances that are gone.
    pub(crate) fn mark_settled(&self, live: Vec<RunnerId>) {
        let mut feed_state = self.feed_state();
        if let Some(leadership) = &mut feed_state.leadership {
            leadership.settled = true;
        }
        let gone = feed_state.instances.keep(&live);
        feed_state.buckets.clear();
        drop(feed_state);
        self.broadcast_to_controllers(FeedMessage::LiveInstances(live));
        self.broadcast_changes(InstanceChanges {
            changed: Vec::new(),
            gone,
        });
        self.send_digests();
    }

    /// Sends routers the digests of the instances, once the leadership is settled. Routers may
    /// hold instances of an earlier leader that no later leader has seen, and whose removal is
    /// therefore never sent.
    pub(crate) fn send_digests(&self) {
        let digests = {
            let feed_state = self.feed_state();
            let settled = feed_state.leadership.is_some_and(|one| one.settled);
            settled.then(|| feed_state.instances.digests().clone())
        };
        if let Some(digests) = digests {
            self.broadcast_to_routers(FeedMessage::Digests(digests));
        }
        self.send_live_instances();
    }

    /// Sends a router the buckets that differ from the ones it holds.
    pub(crate) fn send_differing_buckets(
        &self,
        router: &str,
        number: u64,
        known: &InstanceDigests,
    ) {
        let frames = self.feed_state().differing_frames(known);
        let subscribers = self.subscribers();
        let session = subscribers.routers.get(router);
        let Some(session) = session.filter(|one| one.number == number) else {
            return;
        };
        for frame in frames {
            // If the queue is full, the next message for all ends the session.
            let _ = session.queue.try_send(frame);
        }
    }

    /// Sends changed and gone instances to all subscribers; views that they hold already are left
    /// out.
    pub(crate) fn send_instances(&self, changed: Vec<InstanceView>, gone: Vec<RunnerId>) {
        let changes = self.feed_state().change(changed, gone);
        if changes.is_empty() {
            return;
        }
        let changed_ids: BTreeSet<RunnerId> =
            changes.changed.iter().map(|view| view.id.clone()).collect();
        let gone = changes.gone.clone();
        self.broadcast(instances(changes));
        self.follow_up_changes(&gone);
        if let Some(frame) = self.hidden_instances_frame(|id| changed_ids.contains(id)) {
            self.send_to_previous_release(&frame);
        }
    }

    /// Applies a bucket of instances from the leader's feed, and sends routers what it changed.
    pub(crate) fn set_bucket(&self, bucket: u32, instances: Vec<InstanceView>, complete: bool) {
        let bucket = usize::try_from(bucket).unwrap_or(usize::MAX);
        let mut feed_state = self.feed_state();
        let changes = feed_state.instances.set_bucket(bucket, instances, complete);
        feed_state.buckets.remove(&bucket);
        drop(feed_state);
        self.broadcast_changes(changes);
    }

    fn broadcast_changes(&self, changes: InstanceChanges) {
        if !changes.is_empty() {
            let gone = changes.gone.clone();
            self.broadcast_to_routers(instances(changes));
            self.follow_up_changes(&gone);
        }
    }

    /// Digests of the instances that subscribers are sent.
    pub(crate) fn digests(&self) -> InstanceDigests {
        self.feed_state().instances.digests().clone()
    }

    /// Whether the feed contains an instance.
    pub(crate) fn contains(&self, id: &RunnerId) -> bool {
        self.feed_state().instances.contains(id)
    }

    /// Sends a message to all subscribers.
    pub(crate) fn broadcast(&self, message: FeedMessage) {
        if let FeedMessage::Limits(reports) = &message {
            self.update_limited_instances(reports);
        }
        let Some(frame) = self.encode_and_retain(message) else {
            return;
        };
        let mut subscribers = self.subscribers();
        let send = |queue: &mpsc::Sender<Arc<Frame>>| queue.try_send(frame.clone()).is_ok();
        subscribers.controllers.retain(|_, queue| send(queue));
        subscribers
            .routers
            .retain(|_, session| send(&session.queue));
    }

    /// Sends a message to the routers that subscribe here.
    pub(crate) fn broadcast_to_routers(&self, message: FeedMessage) {
        if let FeedMessage::Limits(reports) = &message {
            self.update_limited_instances(reports);
        }
        let Some(frame) = self.encode_and_retain(message) else {
            return;
        };
        self.subscribers()
            .routers
            .retain(|_, session| session.queue.try_send(frame.clone()).is_ok());
    }

    fn broadcast_to_controllers(&self, message: FeedMessage) {
        let Some(frame) = encode(message) else {
            return;
        };
        self.subscribers()
            .controllers
            .retain(|_, queue| queue.try_send(frame.clone()).is_ok());
    }

    /// Encodes a message; the latest one of certain kinds is kept for later subscribers.
    fn encode_and_retain(&self, message: FeedMessage) -> Option<Arc<Frame>> {
        if let FeedMessage::Usage { instances, .. } = &message {
            self.note_usage(instances);
        }
        let mut feed_state = self.feed_state();
        let retained = match &message {
            FeedMessage::Quarantine { .. } => &mut feed_state.quarantine,
            FeedMessage::SoftwareVersions(_) => &mut feed_state.software_versions,
            FeedMessage::Quotas { .. } => &mut feed_state.quotas,
            FeedMessage::Limits(_) => &mut feed_state.limits,
            FeedMessage::Usage { .. } => &mut feed_state.usage,
            FeedMessage::InstanceLoads(loads) => {
                feed_state.retain_loads(loads, self.clock.now());
                return encode(message);
            }
            _ => return encode(message),
        };
        *retained = encode(message);
        retained.clone()
    }

    /// Publishes a configuration, in the form for routers, to those that hold an older one;
    /// returns whether it is newer than the current one.
    pub(crate) fn publish_configuration(&self, number: u64, document: &[u8]) -> bool {
        let mut feed = self.configuration();
        if !feed.publish(number, document) {
            return false;
        }
        self.subscribers()
            .routers
            .retain(|_, session| session.send_configuration(&mut feed));
        true
    }

    /// Number of the newest published configuration.
    pub(crate) fn configuration_number(&self) -> u64 {
        self.configuration().number()
    }

    /// Ends the sessions of controllers, since this one no longer leads.
    pub(crate) fn clear_controllers(&self) {
        self.subscribers().controllers.clear();
    }

    /// Notifies routers that this controller has no feed, with the leader's address if it is
    /// known; ends their sessions, and returns their number.
    pub(crate) fn dismiss_routers(&self, leader: Option<String>) -> usize {
        self.withdraw_all_aliases();
        let routers = std::mem::take(&mut self.subscribers().routers);
        if let Some(frame) = encode(FeedMessage::NoFeed { leader }) {
            for session in routers.values() {
                // If the queue is full, the router notices the end of the connection.
                let _ = session.queue.try_send(frame.clone());
            }
        }
        routers.len()
    }
}

impl Leadership {
    fn message(self) -> FeedMessage {
        FeedMessage::Leadership {
            term: self.term,
            settled: self.settled,
        }
    }
}

impl FeedState {
    fn change(&mut self, changed: Vec<InstanceView>, gone: Vec<RunnerId>) -> InstanceChanges {
        let changes = self.instances.change(changed, gone);
        let changed = changes.changed.iter().map(|view| &view.id);
        for id in changed.chain(&changes.gone) {
            self.buckets.remove(&bucket_of(id));
        }
        changes
    }

    /// The frames that a subscriber needs whose instances have these digests. The
    /// quarantine precedes the instances: without it a router that has just started would send
    /// quarantined requests. So do the software versions: without them it would treat an instance as
    /// one of the only version of its service. The use of instances comes last, so that its arrival marks the end
    /// of the initial frames.
    fn initial_frames(
        &mut self,
        known: &InstanceDigests,
        gone: Vec<RunnerId>,
        now: Timestamp,
    ) -> Vec<Arc<Frame>> {
        let leadership = self.leadership.map(Leadership::message).and_then(encode);
        let mut frames: Vec<Arc<Frame>> = leadership.into_iter().collect();
        frames.extend(self.quarantine.clone());
        frames.extend(self.software_versions.clone());
        frames.extend(self.differing_frames(known));
        if !gone.is_empty() {
            frames.extend(encode(instances(InstanceChanges {
                changed: Vec::new(),
                gone,
            })));
        }
        frames.extend(self.quotas.clone());
        frames.extend(self.limits.clone());
        frames.extend(self.loads.frame(now));
        frames.extend(self.usage.clone());
        frames
    }

    /// The buckets that differ from the ones of a subscriber with these digests.
    fn differing_frames(&mut self, known: &InstanceDigests) -> Vec<Arc<Frame>> {
        let differing: Vec<usize> = self.instances.digests().differing_buckets(known).collect();
        let buckets = differing.into_iter();
        buckets
            .filter_map(|bucket| self.bucket_frame(bucket))
            .collect()
    }

    fn bucket_frame(&mut self, bucket: usize) -> Option<Arc<Frame>> {
        if let Some(frame) = self.buckets.get(&bucket) {
            return Some(frame.clone());
        }
        let frame = encode(FeedMessage::Bucket {
            bucket: u32::try_from(bucket).unwrap_or(u32::MAX),
            instances: self.instances.bucket(bucket).cloned().collect(),
            complete: self.leadership.is_some_and(|one| one.settled),
        })?;
        self.buckets.insert(bucket, frame.clone());
        Some(frame)
    }
}

fn instances(changes: InstanceChanges) -> FeedMessage {
    FeedMessage::Instances {
        changed: changes.changed,
        gone: changes.gone,
    }
}

/// Encodes a message once for any number of subscribers.
pub(crate) fn encode(message: FeedMessage) -> Option<Arc<Frame>> {
    match Frame::of(&Message::ServiceFeed(message)) {
        Ok(frame) => Some(Arc::new(frame)),
        Err(problem) => {
            log::error!("feed: encode message: {problem}");
            None
        }
    }
}
