//! Finds out which instances ended under a request, and keeps contents in quarantine
//! from being sent.
//!
//! Invariant: an instance counts as ended only when its address refuses connections soon
//! after it broke an answer off, or another instance answers there, or the leader says that
//! it is gone; or when it is gone before a request there has an answer. One that lives, or that is merely out of reach, is no sign against a request.

use crate::Shared;
use crate::looks::{GONE, Look, look_once, look_until_sure};
use crate::records::RouterRecord;
use crate::staleness::MAX_LEADER_SILENCE;
use courseshunt_records::emit;
use courseshunt_services::{InstanceEnd, RouterQuarantine};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// An instance that is gone so long after it broke an answer off may have ended then: the
/// leader takes one for gone after four silent intervals of registrations.
const WATCHED: Millis = Millis(10_000);
/// Pauses before an instance of which the first looks showed nothing is looked at again, as
/// long as its end would count: without a leader nobody else tells. With longer ones a router
/// would learn late of ends behind a link that was silent for some seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LATER_PAUSE: Duration = Duration::from_millis(500);
/// Contents that are remembered for an instance whose end is not sure, at the most.
const MAX_WATCHED: usize = 64;

/// A request that was broken off.
#[derive(Debug, Clone, Copy)]
struct Break {
    content: Digest,
    at: Timestamp,
}

/// What is known of an instance that broke answers off.
#[derive(Debug)]
enum Check {
    /// It is looked at.
    Pending(Vec<Break>),
    /// It lives, or what it is did not show: the leader's word is awaited.
    Watched(Vec<Break>),
    /// It has ended, as this sign told; later breaks there are told by it too.
    Ended(&'static str),
}

/// See the module.
pub(crate) struct QuarantineDesk {
    clock: MonotonicClock,
    state: Mutex<RouterQuarantine>,
    checks: Mutex<HashMap<RunnerId, Check>>,
    /// Woken when the leader is to be told something.
    pub(crate) has_news: Notify,
}

impl QuarantineDesk {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            checks: Mutex::default(),
            has_news: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, RouterQuarantine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn checks(&self) -> MutexGuard<'_, HashMap<RunnerId, Check>> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Whether requests of this content are sent nowhere. `silent_for` is the time since
    /// a leader was heard.
    pub(crate) fn holds(&self, content: &Digest, silent_for: Duration) -> bool {
        self.state()
            .holds(content, silent_for <= MAX_LEADER_SILENCE)
    }

    /// Contents in quarantine.
    pub(crate) fn count(&self) -> usize {
        self.state().count()
    }

    /// Takes the leader's word.
    pub(crate) fn set(&self, suspected: Vec<Digest>, quarantined: Vec<Digest>) {
        emit(&RouterRecord::Quarantine {
            suspected: suspected.len(),
            quarantined: quarantined.iter().map(Digest::short).collect(),
        });
        self.state().set(suspected, quarantined, self.now());
        self.has_news.notify_one();
    }

    /// Notes a whole, good answer.
    pub(crate) fn answered(&self, content: Digest) {
        if self.state().answered(content, self.now()) {
            self.has_news.notify_one();
        }
    }

    /// A new leader is followed: it is told what is remembered.
    pub(crate) fn begin_leader(&self) {
        self.state().begin_leader();
        self.has_news.notify_one();
    }

    /// What the leader has not been told.
    pub(crate) fn take_unsent(&self) -> (Vec<InstanceEnd>, Vec<Digest>) {
        self.state().take_unsent(self.now())
    }

    /// Instances are gone, as the leader says.
    pub(crate) fn forget(&self, instances: &[RunnerId]) {
        let now = self.now();
        for instance in instances {
            for broken in self.take_watched(instance) {
                if now.since(broken.at) <= WATCHED {
                    self.ended(broken, instance, GONE);
                }
            }
        }
    }

    /// What a watched instance broke off; one that is looked at is left to that look.
    fn take_watched(&self, instance: &RunnerId) -> Vec<Break> {
        let mut checks = self.checks();
        match checks.remove(instance) {
            Some(Check::Watched(breaks)) => breaks,
            Some(Check::Pending(breaks)) => {
                checks.insert(instance.clone(), Check::Pending(breaks));
                Vec::new()
            }
            Some(Check::Ended(_)) | None => Vec::new(),
        }
    }

    /// Waits for the leader's word on an instance; returns its newest break.
    fn watch(&self, instance: &RunnerId) -> Option<Timestamp> {
        let mut checks = self.checks();
        let mut breaks = match checks.remove(instance)? {
            Check::Pending(breaks) | Check::Watched(breaks) => breaks,
            ended @ Check::Ended(_) => {
                checks.insert(instance.clone(), ended);
                return None;
            }
        };
        let surplus = breaks.len().saturating_sub(MAX_WATCHED);
        breaks.drain(..surplus);
        let newest = breaks.last().map(|one| one.at);
        checks.insert(instance.clone(), Check::Watched(breaks));
        newest
    }

    /// Whether an instance is watched, has broken off nothing since `newest`, and its end
    /// would still count.
    fn still_watches(&self, instance: &RunnerId, newest: Timestamp) -> bool {
        let checks = self.checks();
        let Some(Check::Watched(breaks)) = checks.get(instance) else {
            return false;
        };
        let last = breaks.last().map(|one| one.at);
        last == Some(newest) && self.now().since(newest) <= WATCHED
    }

    /// What an instance broke off that has ended. Later requests that it breaks off count at
    /// once, unless the leader has told all routers of its end.
    fn take_ended(&self, instance: &RunnerId, sign: &'static str) -> Vec<Break> {
        let mut checks = self.checks();
        let Some(Check::Pending(breaks) | Check::Watched(breaks)) = checks.remove(instance) else {
            return Vec::new();
        };
        if sign != GONE {
            checks.insert(instance.clone(), Check::Ended(sign));
        }
        breaks
    }

    fn ended(&self, broken: Break, instance: &RunnerId, sign: &str) {
        emit(&RouterRecord::EndedUnder {
            instance: instance.as_str(),
            content: broken.content.short(),
            sign,
        });
        self.state()
            .ended(broken.content, instance.clone(), broken.at);
        self.has_news.notify_one();
    }
}

/// Notes that an instance broke a request of this content off, and looks whether it ended.
pub(crate) fn broke_off(shared: &Arc<Shared>, content: Digest, instance: &RunnerId) {
    let desk = &shared.quarantine;
    let at = desk.now();
    let broken = Break { content, at };
    let mut checks = desk.checks();
    let breaks = match checks.remove(instance) {
        Some(Check::Ended(sign)) => {
            checks.insert(instance.clone(), Check::Ended(sign));
            drop(checks);
            desk.ended(broken, instance, sign);
            return;
        }
        Some(Check::Pending(mut breaks)) => {
            breaks.push(broken);
            checks.insert(instance.clone(), Check::Pending(breaks));
            return;
        }
        Some(Check::Watched(mut breaks)) => {
            breaks.retain(|one| at.since(one.at) <= WATCHED);
            breaks.push(broken);
            breaks
        }
        None => vec![broken],
    };
    checks.insert(instance.clone(), Check::Pending(breaks));
    tokio::spawn(check(shared.clone(), instance.clone()));
}

/// Notes that a request's time was over at an instance: one that the leader says is gone by
/// then ended under it, and the link lost its last word.
pub(crate) fn ran_out(shared: &Shared, content: Digest, instance: &RunnerId) {
    if shared.view.knows(instance) {
        return;
    }
    let desk = &shared.quarantine;
    let at = desk.now();
    desk.ended(Break { content, at }, instance, GONE);
}

/// Looks at an instance until what it is shows, or its end would count no more.
async fn check(shared: Arc<Shared>, instance: RunnerId) {
    let mut look = look_until_sure(&shared, &instance).await;
    if look == Look::OutOfReach {
        // Later looks don't: one that is back would be left out the longer for them.
        avoid(&shared, &instance);
    }
    let mut pause = FIRST_PAUSE;
    while let Some(newest) = settle(&shared, &instance, look) {
        tokio::time::sleep(pause).await;
        if !shared.quarantine.still_watches(&instance, newest) {
            return;
        }
        look = look_once(&shared, &instance, Duration::ZERO).await;
        pause = LATER_PAUSE;
    }
}

fn avoid(shared: &Shared, instance: &RunnerId) {
    let now = shared.clock.now();
    shared.view.unreachable(instance, now);
}

/// Acts by a look; returns the newest break if the instance is to be looked at again.
fn settle(shared: &Shared, instance: &RunnerId, seen: Look) -> Option<Timestamp> {
    let look = match shared.view.knows(instance) {
        true => seen,
        false => Look::Gone,
    };
    if matches!(look, Look::Refused | Look::Another) {
        avoid(shared, instance);
    }
    let desk = &shared.quarantine;
    let Some(sign) = look.sign() else {
        let newest = desk.watch(instance);
        return newest.filter(|_| look.may_change());
    };
    for broken in desk.take_ended(instance, sign) {
        desk.ended(broken, instance, sign);
    }
    None
}
