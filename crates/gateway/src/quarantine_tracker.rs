//! Detects which instances ended while they ran a request, and blocks requests with a fingerprint
//! in quarantine.
//!
//! Invariant: an instance counts as ended only if its address refuses connections soon after it
//! broke off a response, if another instance answers there, if the leader reports that it is
//! gone, or if it is gone before a request there is answered. A live instance, or one that is
//! merely unreachable, is no evidence against a request.

use crate::Shared;
use crate::probes::{GONE, ProbeResult, probe_once, probe_until_conclusive};
use crate::records::RouterRecord;
use crate::staleness::MAX_LEADER_SILENCE;
use courseshunt_records::emit;
use courseshunt_services::{
    AnsweredFingerprint, Fingerprints, InstanceEnd, InstanceState, RouterQuarantine,
};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// An instance that is gone within this time after it broke off a response may have ended then:
/// the leader takes an instance for gone after four registration intervals without a
/// registration.
const MAX_BREAK_AGE: Millis = Millis(10_000);
/// Pauses before further probes of an instance whose first probes were inconclusive, for as
/// long as its end would count: without a leader there is no other source. With longer pauses a
/// router would detect ends behind a link that was silent for some seconds too late.
const FIRST_RECHECK_PAUSE: Duration = Duration::from_millis(250);
const RECHECK_PAUSE: Duration = Duration::from_millis(500);
/// An instance whose responses end with their connections is probed no more often than this.
const UNKNOWN_END_CHECK_INTERVAL: Millis = Millis(1_000);
/// Maximum number of requests kept for an instance whose end is uncertain.
const MAX_WATCHED: usize = 64;

/// A request whose response was broken off, or may have been.
#[derive(Debug, Clone)]
struct BrokenRequest {
    /// Fingerprints of the request that may be the cause if the instance has ended.
    suspects: Fingerprints,
    at: Timestamp,
    /// Whether the response was certainly broken off. One that merely ended with its connection
    /// counts only if the first probes find that the instance has ended.
    is_certain: bool,
}

/// State of an instance that broke off responses.
#[derive(Debug)]
enum Check {
    /// Probes are in progress.
    Probing(Vec<BrokenRequest>),
    /// The instance is alive or the probes were inconclusive: waits for a report of the leader.
    Watched(Vec<BrokenRequest>),
    /// The instance has ended, with this evidence; it also applies to later breaks there.
    Ended(&'static str),
}

/// Quarantined fingerprints and the instances that are being checked.
pub(crate) struct QuarantineTracker {
    clock: MonotonicClock,
    state: Mutex<RouterQuarantine>,
    checks: Mutex<HashMap<RunnerId, Check>>,
    /// When an instance was last probed after a response that ended with its connection.
    unknown_end_checks: Mutex<HashMap<RunnerId, Timestamp>>,
    /// Notified when there is something to report to the leader.
    pub(crate) report_due: Notify,
}

impl QuarantineTracker {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            checks: Mutex::default(),
            unknown_end_checks: Mutex::default(),
            report_due: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, RouterQuarantine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn checks(&self) -> MutexGuard<'_, HashMap<RunnerId, Check>> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unknown_end_checks(&self) -> MutexGuard<'_, HashMap<RunnerId, Timestamp>> {
        let checks = self.unknown_end_checks.lock();
        checks.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an instance may be probed after a response that ended with its connection; counts
    /// the probe.
    fn begin_unknown_end_check(&self, instance: &RunnerId) -> bool {
        let now = self.now();
        let mut checks = self.unknown_end_checks();
        let is_due = |at: &Timestamp| now.since(*at) >= UNKNOWN_END_CHECK_INTERVAL;
        let is_due = checks.get(instance).is_none_or(is_due);
        if is_due {
            checks.insert(instance.clone(), now);
        }
        is_due
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The fingerprint because of which a request is blocked, if any. `leader_silence` is the time
    /// since the last message of a leader.
    pub(crate) fn quarantined_of(
        &self,
        fingerprints: &Fingerprints,
        leader_silence: Duration,
    ) -> Option<Digest> {
        let has_leader = leader_silence <= MAX_LEADER_SILENCE;
        self.state().quarantined_of(fingerprints.all(), has_leader)
    }

    /// Number of fingerprints in quarantine.
    pub(crate) fn count(&self) -> usize {
        self.state().count()
    }

    /// Applies the leader's lists of suspected and quarantined fingerprints.
    pub(crate) fn set(&self, suspected: Vec<Digest>, quarantined: Vec<Digest>) {
        emit(&RouterRecord::Quarantine {
            suspected: suspected.len(),
            quarantined: quarantined.iter().map(Digest::short).collect(),
        });
        self.state().set(suspected, quarantined, self.now());
        self.report_due.notify_one();
    }

    /// Records a complete and successful response to a request that was sent at this time.
    pub(crate) fn record_success(&self, fingerprints: &Fingerprints, sent_at: Timestamp) {
        let now = self.now();
        if self.state().answered(fingerprints.all(), sent_at, now) {
            self.report_due.notify_one();
        }
    }

    /// Marks everything recorded as unreported, because the feed of a new leader starts.
    pub(crate) fn start_leader_feed(&self) {
        self.state().mark_all_unreported();
        self.report_due.notify_one();
    }

    /// Takes what has not been reported to the leader.
    pub(crate) fn take_unsent(&self) -> (Vec<InstanceEnd>, Vec<AnsweredFingerprint>) {
        self.state().take_unreported(self.now())
    }

    /// Records that the leader removed instances.
    pub(crate) fn instances_gone<'a>(&self, instances: impl Iterator<Item = &'a RunnerId>) {
        let now = self.now();
        for instance in instances {
            self.unknown_end_checks().remove(instance);
            for broken in self.take_watched(instance) {
                if now.since(broken.at) <= MAX_BREAK_AGE {
                    self.record_end(broken, instance, GONE);
                }
            }
        }
    }

    /// Takes the breaks of a watched instance; those of an instance that is being probed are
    /// left to the probe.
    fn take_watched(&self, instance: &RunnerId) -> Vec<BrokenRequest> {
        let mut checks = self.checks();
        match checks.remove(instance) {
            Some(Check::Watched(breaks)) => breaks,
            Some(Check::Probing(breaks)) => {
                checks.insert(instance.clone(), Check::Probing(breaks));
                Vec::new()
            }
            Some(Check::Ended(_)) | None => Vec::new(),
        }
    }

    /// Waits for a report of the leader on an instance, for its certain breaks; returns the time of
    /// the newest one.
    fn watch(&self, instance: &RunnerId) -> Option<Timestamp> {
        let mut checks = self.checks();
        let mut breaks = match checks.remove(instance)? {
            Check::Probing(breaks) | Check::Watched(breaks) => breaks,
            ended @ Check::Ended(_) => {
                checks.insert(instance.clone(), ended);
                return None;
            }
        };
        breaks.retain(|broken| broken.is_certain);
        let surplus = breaks.len().saturating_sub(MAX_WATCHED);
        breaks.drain(..surplus);
        let newest = breaks.last().map(|one| one.at)?;
        checks.insert(instance.clone(), Check::Watched(breaks));
        Some(newest)
    }

    /// Whether an instance is watched, has had no break since `newest`, and its end would still
    /// count.
    fn is_still_watched(&self, instance: &RunnerId, newest: Timestamp) -> bool {
        let checks = self.checks();
        let Some(Check::Watched(breaks)) = checks.get(instance) else {
            return false;
        };
        let last = breaks.last().map(|one| one.at);
        last == Some(newest) && self.now().since(newest) <= MAX_BREAK_AGE
    }

    /// Takes the breaks of an instance that has ended. Later breaks there count at once, unless
    /// the leader has announced the end to all routers.
    fn take_ended(&self, instance: &RunnerId, evidence: &'static str) -> Vec<BrokenRequest> {
        let mut checks = self.checks();
        let Some(Check::Probing(breaks) | Check::Watched(breaks)) = checks.remove(instance) else {
            return Vec::new();
        };
        if evidence != GONE {
            checks.insert(instance.clone(), Check::Ended(evidence));
        }
        breaks
    }

    fn record_end(&self, broken: BrokenRequest, instance: &RunnerId, evidence: &str) {
        emit(&RouterRecord::EndedUnder {
            instance: instance.as_str(),
            content: broken.suspects.content().short(),
            fingerprints: broken.suspects.all().iter().map(Digest::short).collect(),
            sign: evidence,
        });
        let suspects = broken.suspects.all();
        self.state().ended(suspects, instance.clone(), broken.at);
        self.report_due.notify_one();
    }
}

/// Records that an instance broke off a request with these fingerprints, and probes whether it
/// ended.
pub(crate) fn check_after_break(shared: &Arc<Shared>, suspects: Fingerprints, instance: &RunnerId) {
    let broken = BrokenRequest {
        suspects,
        at: shared.quarantine.now(),
        is_certain: true,
    };
    check(shared, broken, instance);
}

/// Records that the response to a request with these fingerprints ended with its connection, and
/// probes whether the instance has ended. One that had said that it would end is no evidence, nor is an
/// instance that was probed a moment ago: where all responses end so, a probe after each would cost
/// as much as the requests.
pub(crate) fn check_after_unknown_end(
    shared: &Arc<Shared>,
    suspects: Fingerprints,
    instance: &RunnerId,
) {
    let view = shared.view.instance(instance);
    let is_ready = view.is_some_and(|view| view.state == InstanceState::Ready);
    let now = shared.clock.now();
    let pushes_back = shared.view.active_pushback(instance, now).is_some();
    if !is_ready || pushes_back || !shared.quarantine.begin_unknown_end_check(instance) {
        return;
    }
    let broken = BrokenRequest {
        suspects,
        at: shared.quarantine.now(),
        is_certain: false,
    };
    check(shared, broken, instance);
}

fn check(shared: &Arc<Shared>, broken: BrokenRequest, instance: &RunnerId) {
    let tracker = &shared.quarantine;
    let at = broken.at;
    let mut checks = tracker.checks();
    let breaks = match checks.remove(instance) {
        Some(Check::Ended(evidence)) => {
            checks.insert(instance.clone(), Check::Ended(evidence));
            drop(checks);
            tracker.record_end(broken, instance, evidence);
            return;
        }
        Some(Check::Probing(mut breaks)) => {
            breaks.push(broken);
            checks.insert(instance.clone(), Check::Probing(breaks));
            return;
        }
        Some(Check::Watched(mut breaks)) => {
            breaks.retain(|one| at.since(one.at) <= MAX_BREAK_AGE);
            breaks.push(broken);
            breaks
        }
        None => vec![broken],
    };
    checks.insert(instance.clone(), Check::Probing(breaks));
    tokio::spawn(probe_until_decided(shared.clone(), instance.clone()));
}

/// Records that the deadline of a request passed at an instance. If the leader has reported by
/// then that the instance is gone, it ended while it had the request, and the closing of the
/// connection was lost on the link.
pub(crate) fn check_after_timeout(shared: &Shared, suspects: Fingerprints, instance: &RunnerId) {
    if shared.view.has_instance(instance) {
        return;
    }
    let tracker = &shared.quarantine;
    let at = tracker.now();
    let broken = BrokenRequest {
        suspects,
        at,
        is_certain: true,
    };
    tracker.record_end(broken, instance, GONE);
}

/// Probes an instance until the result is conclusive, or until its end would no longer count.
async fn probe_until_decided(shared: Arc<Shared>, instance: RunnerId) {
    let mut result = probe_until_conclusive(&shared, &instance).await;
    if result == ProbeResult::Unreachable {
        // Only for the first probes: later ones would leave out an instance for longer after it
        // has recovered.
        mark_unreachable(&shared, &instance);
    }
    let mut pause = FIRST_RECHECK_PAUSE;
    while let Some(newest) = apply_probe(&shared, &instance, result) {
        tokio::time::sleep(pause).await;
        if !shared.quarantine.is_still_watched(&instance, newest) {
            return;
        }
        result = probe_once(&shared, &instance, Duration::ZERO).await;
        pause = RECHECK_PAUSE;
    }
}

fn mark_unreachable(shared: &Shared, instance: &RunnerId) {
    let now = shared.clock.now();
    shared.view.mark_unreachable(instance, now);
}

/// Acts on the result of a probe; returns the time of the newest break if the instance must be
/// probed again.
fn apply_probe(shared: &Shared, instance: &RunnerId, observed: ProbeResult) -> Option<Timestamp> {
    let result = match shared.view.has_instance(instance) {
        true => observed,
        false => ProbeResult::Gone,
    };
    if matches!(result, ProbeResult::Refused | ProbeResult::OtherInstance) {
        mark_unreachable(shared, instance);
    }
    let tracker = &shared.quarantine;
    let Some(evidence) = result.end_evidence() else {
        let newest = tracker.watch(instance);
        return newest.filter(|_| result.may_become_conclusive());
    };
    for broken in tracker.take_ended(instance, evidence) {
        tracker.record_end(broken, instance, evidence);
    }
    None
}
