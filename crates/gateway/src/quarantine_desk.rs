//! Finds out which instances ended under a request, and keeps contents in quarantine
//! from being sent.
//!
//! Invariant: an instance counts as ended only when its address refuses connections right
//! after it broke an answer off, or when the leader says soon after that it is gone: a
//! supervisor may have started it again at once, or something else may take its
//! connections. One that lives, or that is merely out of reach, is no sign against a request.

use crate::Shared;
use crate::pool;
use crate::records::RouterRecord;
use crate::standing::LONGEST_SILENCE;
use courseshunt_records::emit;
use courseshunt_services::{InstanceEnd, RouterQuarantine};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
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

/// An instance that is gone so long after it broke an answer off may have ended then: the
/// leader takes one for gone after four silent intervals of registrations.
const WATCHED: Millis = Millis(10_000);
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
    /// Its address took a connection: the leader's word is awaited.
    Watched(Vec<Break>),
    /// It has ended.
    Ended,
}

/// What a look at an instance shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Look {
    /// Kept open or not: one that has too many closes those beyond.
    TakesConnections,
    /// It refuses connections.
    Ended,
    /// The leader says so.
    Gone,
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

    /// Instances are gone, as the leader says.
    pub(crate) fn forget(&self, instances: &[RunnerId]) {
        let now = self.now();
        for instance in instances {
            for broken in self.take_watched(instance) {
                if now.since(broken.at) <= WATCHED {
                    self.ended(broken, instance, "gone");
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
            Some(Check::Ended) | None => Vec::new(),
        }
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
        Some(Check::Ended) => {
            checks.insert(instance.clone(), Check::Ended);
            drop(checks);
            desk.ended(broken, instance, "refused");
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

async fn check(shared: Arc<Shared>, instance: RunnerId) {
    let seen = look_until_sure(&shared, &instance).await;
    let look = match shared.view.address_of(&instance) {
        Some(_) => seen,
        None => Look::Gone,
    };
    if matches!(look, Look::Ended | Look::OutOfReach) {
        let now = shared.clock.now();
        shared.view.unreachable(&instance, now);
    }
    let desk = &shared.quarantine;
    let mut checks = desk.checks();
    let Some(Check::Pending(mut breaks)) = checks.remove(&instance) else {
        return;
    };
    let sign = match look {
        Look::Gone => "gone",
        Look::Ended => {
            checks.insert(instance.clone(), Check::Ended);
            "refused"
        }
        Look::TakesConnections | Look::OutOfReach => {
            let surplus = breaks.len().saturating_sub(MAX_WATCHED);
            breaks.drain(..surplus);
            checks.insert(instance, Check::Watched(breaks));
            return;
        }
    };
    drop(checks);
    for broken in breaks {
        desk.ended(broken, &instance, sign);
    }
}

/// Looks at an instance until it refuses a connection, or one stays open.
async fn look_until_sure(shared: &Shared, instance: &RunnerId) -> Look {
    for pause in LOOKS {
        tokio::time::sleep(pause).await;
        let Some(address) = shared.view.address_of(instance) else {
            return Look::Gone;
        };
        shared.metrics.connection();
        match pool::connect_to(&address).await {
            Ok(upstream) => {
                tokio::time::sleep(pause).await;
                if !upstream.sender.is_closed() {
                    shared.pool.keep(instance, upstream);
                    return Look::TakesConnections;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Look::Ended,
            Err(_) => return Look::OutOfReach,
        }
    }
    Look::TakesConnections
}
