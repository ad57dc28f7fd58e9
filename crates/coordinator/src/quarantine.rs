//! The leader's quarantine of request contents during which instances ended: takes the reports
//! of routers, publishes suspected and quarantined contents to routers, and records the
//! quarantine in the log.
//!
//! Invariant: a quarantine outlives the loss of all processes, since it is recorded in the log.

use crate::Shared;
use crate::records::ControllerRecord;
use courseshunt_records::emit;
use courseshunt_services::{FeedMessage, InstanceEnd, QuarantineChange};
use courseshunt_state::Command;
use courseshunt_types::{Digest, Timestamp};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The feed message with the suspected and quarantined contents.
pub(crate) fn feed_message(shared: &Shared) -> FeedMessage {
    let (suspected, quarantined) = shared.quarantine().contents_for_routers();
    FeedMessage::Quarantine {
        suspected,
        quarantined,
    }
}

/// Applies a router's report, and sends all routers what it changed.
pub(crate) fn handle_report(ends: &[InstanceEnd], answered: Vec<Digest>, shared: &Shared) {
    let now = shared.clock.now();
    let mut ledger = shared.quarantine();
    for end in ends {
        ledger.ended(end, now);
    }
    for content in answered {
        ledger.answered(content);
    }
    drop(ledger);
    publish_changes(shared);
    shared.wake.notify_one();
}

/// Ends quarantines whose period has passed.
pub(crate) fn expire(shared: &Shared, now: Timestamp) {
    shared.quarantine().expire(now);
    publish_changes(shared);
}

fn publish_changes(shared: &Shared) {
    let (is_changed, changes) = {
        let mut ledger = shared.quarantine();
        (ledger.take_contents_changed(), ledger.take_changes())
    };
    for change in changes {
        emit(&record_of(change));
    }
    if is_changed {
        shared.sessions.broadcast(feed_message(shared));
    }
}

fn record_of(change: QuarantineChange) -> ControllerRecord<'static> {
    let (content, change, ends) = match change {
        QuarantineChange::Started { content, ends } => (content, "begun", Some(ends)),
        QuarantineChange::Cleared { content } => (content, "cleared", None),
        QuarantineChange::Retrying { content } => (content, "tried", None),
    };
    ControllerRecord::Quarantine {
        content: content.short(),
        change,
        ends,
    }
}

/// Records the quarantined contents in the log, unless such a record is in flight. Without it,
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
