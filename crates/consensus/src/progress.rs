//! Replication progress of one other member, as tracked by the leader.

use courseshunt_types::{LogIndex, Timestamp};

/// How entries are sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendMode {
    /// One message at a time, until the point where the logs match is found.
    Probe {
        /// Whether a message is in flight.
        waiting: bool,
    },
    /// Many messages at a time, within the flow-control window.
    Stream,
    /// A snapshot, chunk by chunk.
    Snapshot {
        /// Next offset, in bytes.
        offset: u64,
    },
}

/// Heartbeat intervals without progress after which in-flight messages count as lost.
const LOST_AFTER_HEARTBEATS: u32 = 3;

/// Replication progress of one member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Last entry that the member has acknowledged as durable.
    pub(crate) matched: LogIndex,
    /// Next entry to send.
    pub(crate) next: LogIndex,
    /// How entries are sent.
    pub(crate) mode: SendMode,
    /// Highest heartbeat round that the member has acknowledged.
    pub(crate) round: u64,
    /// When the last message from the member was received.
    pub(crate) last_message_at: Option<Timestamp>,
    /// Last commit index sent.
    pub(crate) commit_sent: LogIndex,
    idle_heartbeats: u32,
}

impl Progress {
    /// Progress of a member whose log is unknown; `next` is the first entry to try.
    pub(crate) fn starting_at(next: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            mode: SendMode::Probe { waiting: false },
            round: 0,
            last_message_at: None,
            commit_sent: LogIndex(0),
            idle_heartbeats: 0,
        }
    }

    /// Records that everything up to `index` is durable at the member.
    pub(crate) fn accept(&mut self, index: LogIndex) {
        if index > self.matched {
            self.matched = index;
            self.idle_heartbeats = 0;
        }
        self.next = self.next.max(self.matched.next());
        let is_contiguous = self.next == self.matched.next();
        let in_snapshot = matches!(self.mode, SendMode::Snapshot { .. });
        if is_contiguous && !in_snapshot {
            self.mode = SendMode::Stream;
        }
    }

    /// Records a rejected append; `hint` is the last entry that may match.
    pub(crate) fn reject(&mut self, hint: LogIndex) {
        if matches!(self.mode, SendMode::Snapshot { .. }) {
            return;
        }
        self.next = LogIndex(hint.0.min(self.next.0.saturating_sub(1))).next();
        self.next = self.next.max(self.matched.next());
        self.mode = SendMode::Probe { waiting: false };
    }

    /// Records that the member restored the snapshot up to `index`.
    pub(crate) fn restored(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.matched.next();
        self.mode = SendMode::Probe { waiting: false };
        self.idle_heartbeats = 0;
    }

    /// Continues the snapshot transfer at `offset`, in bytes.
    pub(crate) fn continue_snapshot(&mut self, offset: u64) {
        self.mode = SendMode::Snapshot { offset };
        self.idle_heartbeats = 0;
    }

    /// Records that a heartbeat interval passed. Returns whether the in-flight
    /// messages count as lost and must be sent again.
    pub(crate) fn heartbeat(&mut self) -> bool {
        let in_flight = match self.mode {
            SendMode::Probe { waiting } => waiting,
            SendMode::Stream => self.next > self.matched.next(),
            SendMode::Snapshot { .. } => true,
        };
        if !in_flight {
            self.idle_heartbeats = 0;
            return false;
        }
        self.idle_heartbeats += 1;
        if self.idle_heartbeats < LOST_AFTER_HEARTBEATS {
            return false;
        }
        self.idle_heartbeats = 0;
        if !matches!(self.mode, SendMode::Snapshot { .. }) {
            self.next = self.matched.next();
            self.mode = SendMode::Probe { waiting: false };
        }
        true
    }

    /// Whether a message from the member was received less than `window` before `now`.
    pub(crate) fn is_live(&self, now: Timestamp, window: courseshunt_types::Millis) -> bool {
        self.last_message_at
            .is_some_and(|last_message_at| now.since(last_message_at) < window)
    }
}
