//! Finds out which instances ended under a request, and keeps contents in quarantine
//! from being sent.
//!
//! Invariant: an instance counts as ended only when its address refuses connections right
//! after it broke an answer off; one that lives, or that is merely out of reach, is no
//! sign against a request.

use crate::Shared;
use crate::pool;
use crate::records::RouterRecord;
use crate::standing::LONGEST_SILENCE;
use courseshunt_records::emit;
use courseshunt_services::{InstanceEnd, RouterQuarantine};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Digest, RunnerId, Timestamp};
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Pauses before the looks at an instance that broke an answer off: a process that goes
/// down may close its connections shortly before its listener.
const LOOKS: [Duration; 3] = [
    Duration::from_millis(2),
    Duration::from_millis(40),
    Duration::from_millis(160),
];

/// What is known of an instance that broke answers off.
#[derive(Debug)]
enum Check {
    /// It is looked at; contents of the requests that it broke off.
    Pending(Vec<Digest>),
    /// It has ended.
    Ended,
}

/// What a look at an instance shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Look {
    Lives,
    Ended,
    OutOfReach,
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
        self.state().holds(content, silent_for <= LONGEST_SILENCE)
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

    /// Drops what is kept for instances that are gone.
    pub(crate) fn forget(&self, instances: &[RunnerId]) {
        let mut checks = self.checks();
        for instance in instances {
            checks.remove(instance);
        }
    }

    fn ended(&self, content: Digest, instance: &RunnerId) {
        emit(&RouterRecord::EndedUnder {
            instance: instance.as_str(),
            content: content.short(),
        });
        let now = self.now();
        self.state().ended(content, instance.clone(), now);
        self.has_news.notify_one();
    }
}

/// Notes that an instance broke a request of this content off, and looks whether it ended.
pub(crate) fn broke_off(shared: &Arc<Shared>, content: Digest, instance: &RunnerId) {
    let desk = &shared.quarantine;
    let mut checks = desk.checks();
    match checks.get_mut(instance) {
        Some(Check::Pending(contents)) => contents.push(content),
        Some(Check::Ended) => {
            drop(checks);
            desk.ended(content, instance);
        }
        None => {
            checks.insert(instance.clone(), Check::Pending(vec![content]));
            tokio::spawn(check(shared.clone(), instance.clone()));
        }
    }
}

async fn check(shared: Arc<Shared>, instance: RunnerId) {
    let look = look_until_sure(&shared, &instance).await;
    let desk = &shared.quarantine;
    let pending = {
        let mut checks = desk.checks();
        let pending = checks.remove(&instance);
        if look == Look::Ended && shared.view.address_of(&instance).is_some() {
            checks.insert(instance.clone(), Check::Ended);
        }
        pending
    };
    if look != Look::Lives {
        let now = shared.clock.now();
        shared.view.unreachable(&instance, now);
    }
    if let (Look::Ended, Some(Check::Pending(contents))) = (look, pending) {
        for content in contents {
            desk.ended(content, &instance);
        }
    }
}

/// Looks at an instance until it refuses a connection, or one stays open.
async fn look_until_sure(shared: &Shared, instance: &RunnerId) -> Look {
    for pause in LOOKS {
        tokio::time::sleep(pause).await;
        let Some(address) = shared.view.address_of(instance) else {
            return Look::Ended;
        };
        shared.metrics.connection();
        match pool::connect_to(&address).await {
            Ok(upstream) => {
                tokio::time::sleep(pause).await;
                if !upstream.sender.is_closed() {
                    shared.pool.keep(instance, upstream);
                    return Look::Lives;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Look::Ended,
            Err(_) => return Look::OutOfReach,
        }
    }
    Look::OutOfReach
}
