//! What a leader knows about one other member.

use courseshunt_types::{LogIndex, Timestamp};

/// How entries are sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendMode {
    /// One message at a time, until the logs are known to match.
    Probe {
        /// Whether the message is under way.
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

/// Heartbeats without progress after which messages count as lost.
const LOST_AFTER_HEARTBEATS: u32 = 3;

/// See the module.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Last entry known to be durable there.
    pub(crate) matched: LogIndex,
    /// Next entry to send.
    pub(crate) next: LogIndex,
    /// How entries are sent.
    pub(crate) mode: SendMode,
    /// Highest heartbeat round that the member has answered.
    pub(crate) round: u64,
    /// When the member was last heard.
    pub(crate) heard_at: Option<Timestamp>,
    /// Highest commit index sent.
    pub(crate) commit_sent: LogIndex,
    idle_heartbeats: u32,
}

impl Progress {
    /// Nothing is known; the next entry to try is `next`.
    pub(crate) fn starting_at(next: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            mode: SendMode::Probe { waiting: false },
            round: 0,
            heard_at: None,
            commit_sent: LogIndex(0),
            idle_heartbeats: 0,
        }
    }

    /// The member has everything up to `index` durable.
    pub(crate) fn accept(&mut self, index: LogIndex) {
        if index > self.matched {
            self.matched = index;
            self.idle_heartbeats = 0;
        }
        self.next = self.next.max(self.matched.next());
        let fits = self.next == self.matched.next();
        let in_snapshot = matches!(self.mode, SendMode::Snapshot { .. });
        if fits && !in_snapshot {
            self.mode = SendMode::Stream;
        }
    }

    /// The member refused; its hint is the last entry that may match.
    pub(crate) fn refuse(&mut self, hint: LogIndex) {
        if matches!(self.mode, SendMode::Snapshot { .. }) {
            return;
        }
        self.next = LogIndex(hint.0.min(self.next.0.saturating_sub(1))).next();
        self.next = self.next.max(self.matched.next());
        self.mode = SendMode::Probe { waiting: false };
    }

    /// The whole snapshot up to `index` is durable there.
    pub(crate) fn restored(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.matched.next();
        self.mode = SendMode::Probe { waiting: false };
        self.idle_heartbeats = 0;
    }

    /// Chunks go on at `offset`.
    pub(crate) fn continue_snapshot(&mut self, offset: u64) {
        self.mode = SendMode::Snapshot { offset };
        self.idle_heartbeats = 0;
    }

    /// A heartbeat interval passed; returns whether what is under way counts as
    /// lost and has to be sent again.
    pub(crate) fn heartbeat(&mut self) -> bool {
        let under_way = match self.mode {
            SendMode::Probe { waiting } => waiting,
            SendMode::Stream => self.next > self.matched.next(),
            SendMode::Snapshot { .. } => true,
        };
        if !under_way {
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

    /// Whether the member was heard within `length` before `now`.
    pub(crate) fn is_live(&self, now: Timestamp, length: courseshunt_types::Millis) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now.since(heard_at) < length)
    }
}
