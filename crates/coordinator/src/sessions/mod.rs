//! What follows this controller's feed, routers and, while it leads, other controllers;
//! and what each of them has been sent.
//!
//! Invariant: a follower holds what [`InstanceDirectory`] holds here, or has it in its queue. A
//! message for all is encoded once; a follower whose queue is full is cut off, and asks
//! again.

mod earlier;

use crate::configuration_feed::ConfigurationFeed;
use courseshunt_services::digest::bucket_of;
use courseshunt_services::instance_directory::InstanceChanges;
use courseshunt_services::{FeedMessage, InstanceDigests, InstanceDirectory, InstanceView};
use courseshunt_types::RunnerId;
use courseshunt_wire::{Frame, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Messages that wait for one follower; one that falls behind is cut off and asks again.
pub(crate) const SESSION_QUEUE: usize = 512;

/// A router that follows this controller.
#[derive(Debug)]
pub(crate) struct Session {
    /// Number of its connection.
    pub(crate) number: u64,
    pub(crate) queue: mpsc::Sender<Arc<Frame>>,
    /// Configuration that the router has or is being sent.
    pub(crate) configuration: u64,
    /// Whether the router is of production's build: it knows no parts and no digests, and is
    /// told by the list of all instances which are gone.
    pub(crate) is_earlier: bool,
}

/// Followers, and what they are sent.
#[derive(Debug, Default)]
struct Followers {
    routers: BTreeMap<String, Session>,
    /// Controllers by the numbers of their connections.
    controllers: BTreeMap<u64, mpsc::Sender<Arc<Frame>>>,
}

/// What a new follower is sent.
#[derive(Debug, Default)]
struct Fed {
    instances: InstanceDirectory,
    /// Parts of the instances as they were encoded since their last change.
    parts: BTreeMap<usize, Arc<Frame>>,
    leadership: Option<Leadership>,
    /// The last words on these, of the present leader.
    quarantine: Option<Arc<Frame>>,
    quotas: Option<Arc<Frame>>,
    limits: Option<Arc<Frame>>,
    usage: Option<Arc<Frame>>,
    /// Instances that name a limit. Routers of production's build heed none, so these are kept
    /// from them.
    limited: BTreeSet<RunnerId>,
}

/// Whose feed it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Leadership {
    pub(crate) term: u64,
    /// Whether the leader has heard from all instances that are there.
    pub(crate) settled: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    followers: Mutex<Followers>,
    fed: Mutex<Fed>,
    configuration: Mutex<ConfigurationFeed>,
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
    fn followers(&self) -> MutexGuard<'_, Followers> {
        let followers = self.followers.lock();
        followers.unwrap_or_else(PoisonError::into_inner)
    }

    fn fed(&self) -> MutexGuard<'_, Fed> {
        self.fed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn configuration(&self) -> MutexGuard<'_, ConfigurationFeed> {
        let configuration = self.configuration.lock();
        configuration.unwrap_or_else(PoisonError::into_inner)
    }

    /// Routers that follow this controller.
    pub(crate) fn router_count(&self) -> usize {
        self.followers().routers.len()
    }

    /// Routers and controllers that follow this one.
    pub(crate) fn count(&self) -> usize {
        let followers = self.followers();
        followers.routers.len() + followers.controllers.len()
    }

    /// Routers that follow this controller, with the numbers of their connections.
    pub(crate) fn routers(&self) -> Vec<(String, u64)> {
        let followers = self.followers();
        let routers = followers.routers.iter();
        let routers = routers.map(|(name, one)| (name.clone(), one.number));
        routers.collect()
    }

    /// Opens a router's session: sends what it lacks, and from then on what changes.
    pub(crate) fn open_router(
        &self,
        name: &str,
        mut session: Session,
        known: &InstanceDigests,
        gone: Vec<RunnerId>,
    ) {
        for frame in self.fed().opening(known, gone) {
            let _ = session.queue.try_send(frame);
        }
        if session.is_earlier
            && let Some(frame) = self.live().and_then(encode)
        {
            let _ = session.queue.try_send(frame);
        }
        if session.is_earlier
            && let Some(frame) = self.kept_back(|_| true)
        {
            let _ = session.queue.try_send(frame);
        }
        if session.configure(&mut self.configuration()) {
            self.followers().routers.insert(name.to_owned(), session);
        }
    }

    /// Opens a controller's session likewise; it has the configuration from the log.
    pub(crate) fn open_controller(
        &self,
        connection: u64,
        queue: mpsc::Sender<Arc<Frame>>,
        known: &InstanceDigests,
        gone: Vec<RunnerId>,
    ) {
        for frame in self.fed().opening(known, gone) {
            let _ = queue.try_send(frame);
        }
        self.followers().controllers.insert(connection, queue);
    }

    /// Ends a router's session, unless it has a newer one; returns whether it ended.
    pub(crate) fn close_router(&self, name: &str, number: u64) -> bool {
        let mut followers = self.followers();
        let known = followers.routers.get(name);
        let present = known.is_some_and(|one| one.number == number);
        if present {
            followers.routers.remove(name);
        }
        present
    }

    pub(crate) fn close_controller(&self, connection: u64) {
        self.followers().controllers.remove(&connection);
    }

    /// Sends to one router.
    pub(crate) fn send_to_router(&self, name: &str, number: u64, message: FeedMessage) {
        let followers = self.followers();
        let session = followers.routers.get(name);
        let session = session.filter(|session| session.number == number);
        if let Some(session) = session
            && let Some(frame) = encode(message)
        {
            // A full queue ends the session with the next message for all.
            let _ = session.queue.try_send(frame);
        }
    }

    /// Begins the feed of a leader.
    pub(crate) fn lead(&self, leadership: Leadership) {
        let mut fed = self.fed();
        fed.leadership = Some(leadership);
        fed.parts.clear();
        fed.quarantine = None;
        fed.quotas = None;
        fed.limits = None;
        fed.usage = None;
        drop(fed);
        // The next leader tells which ones name a limit.
        self.keep_back(BTreeSet::new());
        self.broadcast(leadership.message());
    }

    /// Notes that the leader has heard from all instances that are there; what is gone is
    /// told.
    pub(crate) fn settle(&self, live: Vec<RunnerId>) {
        let mut fed = self.fed();
        if let Some(leadership) = &mut fed.leadership {
            leadership.settled = true;
        }
        let gone = fed.instances.keep(&live);
        fed.parts.clear();
        drop(fed);
        self.broadcast_to_controllers(FeedMessage::LiveInstances(live));
        self.tell_routers(InstanceChanges {
            changed: Vec::new(),
            gone,
        });
        self.tell_digests();
    }

    /// Lets routers compare, once all that is there is known: they may know instances from an
    /// earlier leader that none has met since, and that nobody tells them are gone.
    pub(crate) fn tell_digests(&self) {
        let digests = {
            let fed = self.fed();
            let settled = fed.leadership.is_some_and(|one| one.settled);
            settled.then(|| fed.instances.digests().clone())
        };
        if let Some(digests) = digests {
            self.broadcast_to_routers(FeedMessage::Digests(digests));
        }
        self.tell_live();
    }

    /// Sends a router the parts in which what it knows differs.
    pub(crate) fn compare(&self, router: &str, number: u64, known: &InstanceDigests) {
        let frames = self.fed().differing(known);
        let followers = self.followers();
        let session = followers.routers.get(router);
        let Some(session) = session.filter(|one| one.number == number) else {
            return;
        };
        for frame in frames {
            // A full queue ends the session with the next message for all.
            let _ = session.queue.try_send(frame);
        }
    }

    /// Sends changed instances to all followers; what they know is left out.
    pub(crate) fn send_instances(&self, changed: Vec<InstanceView>, gone: Vec<RunnerId>) {
        let news = self.fed().change(changed, gone);
        if news.is_empty() {
            return;
        }
        let told: BTreeSet<RunnerId> = news.changed.iter().map(|view| view.id.clone()).collect();
        self.broadcast(instances(news));
        if let Some(frame) = self.kept_back(|id| told.contains(id)) {
            self.send_to_earlier(&frame);
        }
    }

    /// Takes a part of the instances over, and tells routers what of it is new.
    pub(crate) fn take_part(&self, part: u32, instances: Vec<InstanceView>, complete: bool) {
        let part = usize::try_from(part).unwrap_or(usize::MAX);
        let mut fed = self.fed();
        let news = fed.instances.set_bucket(part, instances, complete);
        fed.parts.remove(&part);
        drop(fed);
        self.tell_routers(news);
    }

    fn tell_routers(&self, news: InstanceChanges) {
        if !news.is_empty() {
            self.broadcast_to_routers(instances(news));
        }
    }

    /// Digests of the instances that followers are told of.
    pub(crate) fn digests(&self) -> InstanceDigests {
        self.fed().instances.digests().clone()
    }

    /// Whether followers are told of an instance.
    pub(crate) fn knows(&self, id: &RunnerId) -> bool {
        self.fed().instances.contains(id)
    }

    /// Sends to all followers.
    pub(crate) fn broadcast(&self, message: FeedMessage) {
        if let FeedMessage::Limits(words) = &message {
            self.follow_limits(words);
        }
        let Some(frame) = self.keep(message) else {
            return;
        };
        let mut followers = self.followers();
        let send = |queue: &mpsc::Sender<Arc<Frame>>| queue.try_send(frame.clone()).is_ok();
        followers.controllers.retain(|_, queue| send(queue));
        followers.routers.retain(|_, session| send(&session.queue));
    }

    /// Sends to the routers that follow this controller.
    pub(crate) fn broadcast_to_routers(&self, message: FeedMessage) {
        if let FeedMessage::Limits(words) = &message {
            self.follow_limits(words);
        }
        let Some(frame) = self.keep(message) else {
            return;
        };
        self.followers()
            .routers
            .retain(|_, session| session.queue.try_send(frame.clone()).is_ok());
    }

    fn broadcast_to_controllers(&self, message: FeedMessage) {
        let Some(frame) = encode(message) else {
            return;
        };
        self.followers()
            .controllers
            .retain(|_, queue| queue.try_send(frame.clone()).is_ok());
    }

    /// Encodes a message; a last word is kept for followers that come later.
    fn keep(&self, message: FeedMessage) -> Option<Arc<Frame>> {
        let mut fed = self.fed();
        let kept = match &message {
            FeedMessage::Quarantine { .. } => &mut fed.quarantine,
            FeedMessage::Quotas { .. } => &mut fed.quotas,
            FeedMessage::Limits(_) => &mut fed.limits,
            FeedMessage::Usage { .. } => &mut fed.usage,
            _ => return encode(message),
        };
        *kept = encode(message);
        kept.clone()
    }

    /// Takes a configuration over, in the form that routers are sent, and sends it to those
    /// that have an older one; returns whether it is newer.
    pub(crate) fn configure(&self, number: u64, document: &[u8]) -> bool {
        let mut feed = self.configuration();
        if !feed.publish(number, document) {
            return false;
        }
        self.followers()
            .routers
            .retain(|_, session| session.configure(&mut feed));
        true
    }

    /// Number of the configuration that routers are sent.
    pub(crate) fn configuration_number(&self) -> u64 {
        self.configuration().number()
    }

    /// Ends the sessions of controllers: this one leads no more.
    pub(crate) fn clear_controllers(&self) {
        self.followers().controllers.clear();
    }

    /// Tells routers that there is no feed here any more, and where the leader is if that is
    /// known; ends their sessions, and returns how many there were.
    pub(crate) fn let_routers_go(&self, leader: Option<String>) -> usize {
        let routers = std::mem::take(&mut self.followers().routers);
        if let Some(frame) = encode(FeedMessage::NoFeed { leader }) {
            for session in routers.values() {
                // A full queue: the end of the connection tells it.
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

impl Fed {
    fn change(&mut self, changed: Vec<InstanceView>, gone: Vec<RunnerId>) -> InstanceChanges {
        let news = self.instances.change(changed, gone);
        let changed = news.changed.iter().map(|view| &view.id);
        for id in changed.chain(&news.gone) {
            self.parts.remove(&bucket_of(id));
        }
        news
    }

    /// What a follower lacks that knows instances with these digests. The word on
    /// quarantined requests comes before all else: without it a router that has just
    /// started would send such a request. The use of instances comes last, so that its
    /// arrival tells that all is there.
    fn opening(&mut self, known: &InstanceDigests, gone: Vec<RunnerId>) -> Vec<Arc<Frame>> {
        let leadership = self.leadership.map(Leadership::message).and_then(encode);
        let mut frames: Vec<Arc<Frame>> = leadership.into_iter().collect();
        frames.extend(self.quarantine.clone());
        frames.extend(self.differing(known));
        if !gone.is_empty() {
            frames.extend(encode(instances(InstanceChanges {
                changed: Vec::new(),
                gone,
            })));
        }
        frames.extend(self.quotas.clone());
        frames.extend(self.limits.clone());
        frames.extend(self.usage.clone());
        frames
    }

    /// The parts in which a follower with these digests differs.
    fn differing(&mut self, known: &InstanceDigests) -> Vec<Arc<Frame>> {
        let differing: Vec<usize> = self.instances.digests().differing_buckets(known).collect();
        let parts = differing.into_iter();
        parts.filter_map(|part| self.part(part)).collect()
    }

    fn part(&mut self, part: usize) -> Option<Arc<Frame>> {
        if let Some(frame) = self.parts.get(&part) {
            return Some(frame.clone());
        }
        let frame = encode(FeedMessage::Bucket {
            bucket: u32::try_from(part).unwrap_or(u32::MAX),
            instances: self.instances.bucket(part).cloned().collect(),
            complete: self.leadership.is_some_and(|one| one.settled),
        })?;
        self.parts.insert(part, frame.clone());
        Some(frame)
    }
}

fn instances(news: InstanceChanges) -> FeedMessage {
    FeedMessage::Instances {
        changed: news.changed,
        gone: news.gone,
    }
}

/// A message as it goes to any number of followers.
pub(crate) fn encode(message: FeedMessage) -> Option<Arc<Frame>> {
    match Frame::of(&Message::ServiceFeed(message)) {
        Ok(frame) => Some(Arc::new(frame)),
        Err(problem) => {
            log::error!("feed: a message can't be encoded: {problem}");
            None
        }
    }
}
