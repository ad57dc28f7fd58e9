//! The leader's quarantine of requests under which instances ended: takes the reports of routers,
//! publishes suspected and quarantined fingerprints to routers, and records the quarantine in the
//! log.
//!
//! Invariant: a quarantine outlives the loss of all processes, since it is recorded in the log.

use crate::Shared;
use crate::records::ControllerRecord;
use courseshunt_records::emit;
use courseshunt_services::{AnsweredFingerprint, FeedMessage, InstanceEnd, QuarantineChange};
use courseshunt_state::Command;
use courseshunt_types::Timestamp;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Pause between the first report of a termination and its attribution. Several routers report the
/// same one, each with its own requests.
const ATTRIBUTION_DELAY: Duration = Duration::from_millis(30);
/// Additional pause for each request in the evidence: 0.3 s after the loss of a third of a large
/// fleet.
const ATTRIBUTION_DELAY_OF_REQUEST: Duration = Duration::from_micros(20);

/// The feed message with the suspected and quarantined fingerprints.
pub(crate) fn feed_message(shared: &Shared) -> FeedMessage {
    let (suspected, quarantined) = shared.quarantine().fingerprints_for_routers();
    FeedMessage::Quarantine {
        suspected,
        quarantined,
    }
}

/// Takes a router's report. Terminations are attributed a moment later, together with those that
/// other routers report meanwhile.
pub(crate) fn handle_report(
    ends: &[InstanceEnd],
    answered: &[AnsweredFingerprint],
    shared: &Arc<Shared>,
) {
    let now = shared.clock.now();
    let mut ledger = shared.quarantine();
    let mut is_attribution_due = false;
    for end in ends {
        is_attribution_due |= ledger.ended(end, now);
    }
    for answer in answered {
        is_attribution_due |= ledger.answered(answer, now);
    }
    let request_count = u32::try_from(ledger.request_count()).unwrap_or(u32::MAX);
    drop(ledger);
    if is_attribution_due && !shared.is_attribution_pending.swap(true, Ordering::Relaxed) {
        let delay = ATTRIBUTION_DELAY + ATTRIBUTION_DELAY_OF_REQUEST * request_count;
        tokio::spawn(attribute_after(delay, shared.clone()));
    }
}

async fn attribute_after(delay: Duration, shared: Arc<Shared>) {
    tokio::time::sleep(delay).await;
    shared
        .is_attribution_pending
        .store(false, Ordering::Relaxed);
    shared.quarantine().attribute(shared.clock.now());
    publish_changes(&shared);
    shared.wake.notify_one();
}

/// Ends quarantines whose period has passed.
pub(crate) fn expire(shared: &Shared, now: Timestamp) {
    shared.quarantine().expire(now);
    publish_changes(shared);
}

fn publish_changes(shared: &Shared) {
    let (publication, changes) = {
        let mut ledger = shared.quarantine();
        (ledger.take_publication(), ledger.take_changes())
    };
    for change in changes {
        emit(&record_of(change));
    }
    if let Some((suspected, quarantined)) = publication {
        shared.sessions.broadcast(FeedMessage::Quarantine {
            suspected,
            quarantined,
        });
    }
}

fn record_of(change: QuarantineChange) -> ControllerRecord<'static> {
    let (fingerprint, change, ends) = match change {
        QuarantineChange::Started { fingerprint, ends } => (fingerprint, "begun", Some(ends)),
        QuarantineChange::Cleared { fingerprint } => (fingerprint, "cleared", None),
        QuarantineChange::Retrying { fingerprint } => (fingerprint, "tried", None),
    };
    ControllerRecord::Quarantine {
        content: fingerprint.short(),
        change,
        ends,
    }
}

/// Records the quarantined fingerprints in the log, unless such a record is in flight. Without it,
/// the same requests would end further instances after a restart of all processes.
pub(crate) fn persist(shared: &Arc<Shared>, recording: &Arc<AtomicBool>) {
    let contents = shared.quarantine().to_record();
    if contents == shared.replica.state().services.quarantined
        || recording.swap(true, Ordering::Relaxed)
    {
        return;
    }
    let shared = shared.clone();
    let recording = recording.clone();
    tokio::spawn(async move {
        let count = contents.len();
        let command = Command::RecordQuarantine { contents };
        let recorded = shared.replica.submit_as_leader(command).await;
        emit(&ControllerRecord::QuarantineRecorded {
            contents: count,
            problem: recorded.err().map(|error| error.to_string()).as_deref(),
        });
        recording.store(false, Ordering::Relaxed);
        shared.wake.notify_one();
    });
}
