//! The leader's word on requests under which instances ended: what routers report, what
//! they are told, what is kept durably.

use crate::Shared;
use crate::records::ControllerRecord;
use courseshunt_records::emit;
use courseshunt_services::{FeedMessage, InstanceEnd, QuarantineChange};
use courseshunt_state::Command;
use courseshunt_types::{Digest, Timestamp};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What routers are told.
pub(crate) fn told(shared: &Shared) -> FeedMessage {
    let (suspected, quarantined) = shared.quarantine().contents_for_routers();
    FeedMessage::Quarantine {
        suspected,
        quarantined,
    }
}

/// Takes a router's report over, and tells all routers at once what has changed.
pub(crate) fn take(ends: &[InstanceEnd], answered: Vec<Digest>, shared: &Shared) {
    let now = shared.clock.now();
    let mut ledger = shared.quarantine();
    for end in ends {
        ledger.ended(end, now);
    }
    for content in answered {
        ledger.answered(content);
    }
    drop(ledger);
    tell(shared);
    shared.wake.notify_one();
}

/// Ends quarantines whose time is over.
pub(crate) fn expire(shared: &Shared, now: Timestamp) {
    shared.quarantine().expire(now);
    tell(shared);
}

fn tell(shared: &Shared) {
    let (news, changes) = {
        let mut ledger = shared.quarantine();
        (ledger.take_contents_changed(), ledger.take_changes())
    };
    for change in changes {
        emit(&record_of(change));
    }
    if news {
        shared.sessions.broadcast(told(shared));
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

/// Keeps the contents in quarantine durably: a loss of all processes must not cost
/// instances anew.
pub(crate) fn record(shared: &Arc<Shared>, recording: &Arc<AtomicBool>) {
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
