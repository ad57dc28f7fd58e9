//! Counters of messages and bytes on all connections of this process, by kind of message.
//!
//! The counters are global to the process: when several nodes run embedded in one process, they
//! are counted together.

use crate::message::Message;
use courseshunt_services::FeedMessage;
use std::sync::atomic::{AtomicU64, Ordering};

/// Names of the kinds of messages in metrics.
pub const MESSAGE_KINDS: [&str; 18] = [
    "consensus",
    "forward",
    "subscribe",
    "configuration",
    "placement",
    "fleet",
    "feed_confirmation",
    "confirmed",
    "demand",
    "ledger",
    "ticket",
    "grant",
    "service_feed",
    "service_report",
    "feed_configuration",
    "feed_instances",
    "feed_usage",
    "other",
];

/// Messages and bytes of one kind in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrafficCount {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes, frame headers included.
    pub bytes: u64,
}

/// Traffic of one kind of message since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindTraffic {
    /// The kind, one of [`MESSAGE_KINDS`].
    pub kind: &'static str,
    /// Messages sent.
    pub sent: TrafficCount,
    /// Messages received.
    pub received: TrafficCount,
}

struct Counter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Counter {
    const fn new() -> Self {
        Self {
            messages: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        }
    }

    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn read(&self) -> TrafficCount {
        TrafficCount {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

static SENT: [Counter; MESSAGE_KINDS.len()] = [const { Counter::new() }; MESSAGE_KINDS.len()];
static RECEIVED: [Counter; MESSAGE_KINDS.len()] = [const { Counter::new() }; MESSAGE_KINDS.len()];

pub(crate) fn count_sent(kind: usize, bytes: usize) {
    SENT[kind].add(bytes);
}

pub(crate) fn count_received(message: &Message, bytes: usize) {
    RECEIVED[kind_index(message)].add(bytes);
}

/// Traffic of this process by kind of message.
#[must_use]
pub fn traffic() -> Vec<KindTraffic> {
    let kinds = MESSAGE_KINDS.iter().enumerate();
    let counted = kinds.map(|(index, kind)| KindTraffic {
        kind,
        sent: SENT[index].read(),
        received: RECEIVED[index].read(),
    });
    counted.collect()
}

fn feed_index(feed: &FeedMessage) -> usize {
    match feed {
        FeedMessage::Configuration { .. } => 14,
        FeedMessage::Instances { .. }
        | FeedMessage::Bucket { .. }
        | FeedMessage::LiveInstances(_)
        | FeedMessage::Digests(_)
        | FeedMessage::SoftwareVersions(_) => 15,
        FeedMessage::Usage { .. }
        | FeedMessage::Quotas { .. }
        | FeedMessage::QuotaAnswers(_)
        | FeedMessage::Limits(_)
        | FeedMessage::LimitAnswers(_)
        | FeedMessage::OriginAnswers(_)
        | FeedMessage::Quarantine { .. }
        | FeedMessage::InstanceLoads(_) => 16,
        FeedMessage::NoFeed { .. }
        | FeedMessage::AwaitingLeader
        | FeedMessage::Leadership { .. }
        | FeedMessage::Members(_)
        | FeedMessage::Forwarders(_) => 12,
    }
}

/// Index of a message's kind in [`MESSAGE_KINDS`].
pub(crate) fn kind_index(message: &Message) -> usize {
    match message {
        Message::Consensus { .. } | Message::PeerAlive => 0,
        Message::Forward { .. }
        | Message::ForwardReply { .. }
        | Message::ReadIndex { .. }
        | Message::ReadIndexReply { .. }
        | Message::ChangeMembership { .. }
        | Message::ChangeMembershipReply { .. } => 1,
        Message::Subscribe(_) => 2,
        Message::Configuration(_) => 3,
        Message::Placement(_) => 4,
        Message::Fleet(_) | Message::RouterReport(_) => 5,
        Message::FeedConfirmation { .. } => 6,
        Message::Confirmed { .. } => 7,
        Message::Demand { .. } | Message::RelayedDemand { .. } => 8,
        Message::Ledger { .. } | Message::LedgerReply { .. } => 9,
        Message::Offer { .. } | Message::CancelTicket { .. } | Message::Refused { .. } => 10,
        Message::Granted { .. }
        | Message::GrantStarted { .. }
        | Message::GrantReturned { .. }
        | Message::NotOwner { .. }
        | Message::AdoptGrants { .. }
        | Message::OwnerLeaving => 11,
        Message::ServiceFeed(feed) => feed_index(feed),
        Message::ServiceReport(_) | Message::FollowLeader { .. } | Message::RelayedReports(_) => 13,
        Message::RelayedAnswer { answer, .. } => feed_index(answer),
        #[allow(
            unreachable_patterns,
            reason = "covers variants that are appended later"
        )]
        _ => MESSAGE_KINDS.len() - 1,
    }
}
