//! What a router records: one line for each decision about a request, and for
//! each change of what it believes.

use courseshunt_records::Record;
use serde::Serialize;

/// A decision about one request.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum RequestRecord<'a> {
    /// It begins to wait for an instance.
    Waits {
        id: &'a str,
        route: &'a str,
        service: &'a str,
        model: &'a str,
        adapter: Option<&'a str>,
        /// When an instance is expected, in milliseconds; none: not known.
        expected_ms: Option<u64>,
        configuration: u64,
        feed_age_ms: u64,
    },
    /// Whether it may be sent to an instance that names a limit.
    Limited {
        id: &'a str,
        instance: &'a str,
        /// Requests in a thousand seconds, from all routers together.
        limit_per_1000_s: Option<u64>,
        /// `granted` by the leader, within the router's `own_part` without one, or `refused`.
        outcome: &'static str,
        /// Time until its turn, or after which it would fit.
        after_ms: u64,
        feed_age_ms: u64,
    },
    /// It is sent to an instance.
    Sent {
        id: &'a str,
        route: &'a str,
        service: &'a str,
        tenant: Option<&'a str>,
        priority: u8,
        /// What it counts within its tenant's limit.
        units: Option<u32>,
        model: &'a str,
        adapter: Option<&'a str>,
        instance: &'a str,
        attempt: u32,
        after_ms: u64,
        deadline_ms: u64,
        predicted_ms: u64,
        uncached_tokens: u32,
        /// Rest that the instance asked for and that is not over.
        rest_left_ms: Option<u64>,
        /// Whether the instance said that it leaves.
        leaving: bool,
        /// Limit that the instance names, in requests in a thousand seconds.
        limit_per_1000_s: Option<u64>,
        configuration: u64,
        feed_age_ms: u64,
    },
    /// The instance says that it did not run it, or it surely was not sent.
    NotRun {
        id: &'a str,
        instance: &'a str,
        /// Status of the instance's answer; none: it was not sent.
        status: Option<u16>,
        /// Rest that the answer asks for.
        rest_ms: Option<u64>,
        after_ms: u64,
    },
    /// The instance failed it; it may have run.
    Failed {
        id: &'a str,
        /// Digest of what it asks.
        content: String,
        instance: &'a str,
        problem: &'a str,
        after_ms: u64,
    },
    /// The router refuses it.
    Refused {
        id: &'a str,
        route: Option<&'a str>,
        tenant: Option<&'a str>,
        units: Option<u32>,
        model: Option<&'a str>,
        reason: &'a str,
        may_have_run: bool,
        status: u16,
        /// Digest of what it asks; told of requests in quarantine.
        content: Option<String>,
        after_ms: u64,
        retry_after_ms: Option<u64>,
        attempts: u32,
        configuration: u64,
        feed_age_ms: u64,
    },
    /// Its client left before the end.
    Cancelled {
        id: &'a str,
        instance: &'a str,
        after_ms: u64,
    },
    /// Its answer ended.
    Ended {
        id: &'a str,
        /// Digest of what it asks; none where the answer was whole.
        content: Option<String>,
        model: &'a str,
        instance: &'a str,
        status: u16,
        /// Whether the answer was whole.
        whole: bool,
        problem: Option<&'a str>,
        waited_ms: u64,
        predicted_ms: u64,
        uncached_tokens: u32,
        first_ms: Option<u64>,
        /// Longest time between two parts of the answer.
        longest_pause_ms: u64,
        after_ms: u64,
    },
}

impl Record for RequestRecord<'_> {
    fn is_kept(&self) -> bool {
        match self {
            Self::Refused { .. } | Self::Failed { .. } | Self::Cancelled { .. } => true,
            Self::Ended { whole, status, .. } => !whole || *status >= 400,
            Self::Waits { .. } | Self::Limited { .. } | Self::Sent { .. } | Self::NotRun { .. } => {
                false
            }
        }
    }
}

/// A change of what the router believes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum RouterRecord<'a> {
    /// It starts.
    Started { name: &'a str, zone: &'a str },
    /// It takes nothing new any more.
    Stops,
    /// It has ended as planned; requests that were cut off at the grace's end.
    Stopped { unfinished: usize },
    /// It has the leader's feed, from this controller.
    FeedRegained {
        controller: &'a str,
        /// Version of the protocol that both speak.
        protocol: u8,
    },
    /// It lost the feed.
    FeedLost {
        controller: &'a str,
        problem: Option<&'a str>,
    },
    /// It asked a controller for the feed in vain; without a problem: that has none now.
    FeedSought {
        controller: &'a str,
        problem: Option<&'a str>,
    },
    /// A configuration came; whether it is in force now.
    Configuration { number: u64, in_force: bool },
    /// A committed configuration can't be used.
    ConfigurationUnusable { number: u64, problem: &'a str },
    /// Instances are gone.
    InstancesGone { instances: &'a [String] },
    /// Other instances are there than the router knows, in so many parts: it asks for these.
    InstancesDiffer { parts: usize },
    /// An instance can't be reached, and is left out for a while.
    Unreachable { instance: &'a str, problem: &'a str },
    /// An instance asks in an answer to be left alone for so long.
    InstanceRests {
        instance: &'a str,
        id: &'a str,
        status: u16,
        rest_ms: u64,
    },
    /// An instance names in an answer a limit, another one than before, or none any more.
    InstanceLimits {
        instance: &'a str,
        id: &'a str,
        status: u16,
        /// Requests in a thousand seconds, from all routers together.
        limit_per_1000_s: Option<u64>,
    },
    /// The leader tells of a limit that an instance names to others, or names no more.
    LimitTold {
        instance: &'a str,
        limit_per_1000_s: Option<u64>,
        age_ms: u64,
    },
    /// An instance says in an answer that it leaves.
    InstanceLeaves {
        instance: &'a str,
        id: &'a str,
        status: u16,
    },
    /// An answer has a header, or a value of it, whose meaning is not known here; told
    /// once for each name.
    UnknownWord {
        instance: &'a str,
        id: &'a str,
        header: &'a str,
    },
    /// An instance ended while it had a request of this content.
    EndedUnder {
        instance: &'a str,
        content: String,
        /// `refused`: by its address; `another`: one answers there; `gone`: by the leader's word.
        sign: &'a str,
    },
    /// The leader's word on contents under which instances ended.
    Quarantine {
        suspected: usize,
        quarantined: Vec<String>,
    },
    /// Settings were read again.
    Reloaded { seeds: usize },
    /// The machine was suspended; what was heard before is older by that.
    Slept { slept_ms: u64 },
}

impl Record for RouterRecord<'_> {
    fn is_kept(&self) -> bool {
        true
    }
}
