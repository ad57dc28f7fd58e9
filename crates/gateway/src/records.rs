//! Records of a router: one line for each decision about a request, and for each change of the
//! router's state or of its view of the cluster.

use crate::pool::ConnectionRecord;
use courseshunt_instance_load::InstanceCondition;
use courseshunt_records::Record;
use serde::Serialize;

/// A decision about one request.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum RequestRecord<'a> {
    /// The request starts to wait for an instance.
    Waits {
        id: &'a str,
        route: &'a str,
        service: &'a str,
        model: &'a str,
        adapter: Option<&'a str>,
        /// Expected time until an instance is available, in milliseconds; absent if there is no
        /// estimate.
        expected_ms: Option<u64>,
        /// Ready instances that hold the model.
        holders: usize,
        /// Those of them that this router can't reach.
        unreachable: usize,
        configuration: u64,
        feed_age_ms: u64,
    },
    /// Decision whether the request may be sent to a rate-limited instance.
    Limited {
        id: &'a str,
        instance: &'a str,
        /// Rate limit in requests per 1,000 s, for all routers together.
        limit_per_1000_s: Option<u64>,
        /// `granted` by the leader, `own_part`: within the router's local share without a
        /// leader, or `refused`.
        outcome: &'static str,
        /// Time until the send permit, or until a refused request would fit.
        after_ms: u64,
        feed_age_ms: u64,
    },
    /// Decision which instances may serve a request that resumes a stream.
    Resumption {
        id: &'a str,
        /// Id of the request that began the stream; absent if the client does not name it.
        resumes: Option<&'a str>,
        last_event_id: &'a str,
        /// `unrestricted`: all instances of the service; `own_log` or `leader`: those of the writer
        /// that this names; `unknown`: none, since the writer is not known or several began streams
        /// under one id; `writer_gone`: no instance of the writer serves.
        outcome: &'static str,
        /// Service of the instances that may serve the request.
        service: Option<&'a str>,
        /// Software version of these instances; absent if it is not known.
        software_version: Option<&'a str>,
        /// The instance that began the stream, if this router relayed it.
        began_at: Option<&'a str>,
        feed_age_ms: u64,
    },
    /// The request is sent to an instance.
    Sent {
        id: &'a str,
        route: &'a str,
        service: &'a str,
        tenant: Option<&'a str>,
        priority: u8,
        /// Units charged to its tenant's quota.
        units: Option<u32>,
        model: &'a str,
        adapter: Option<&'a str>,
        instance: &'a str,
        /// Software version of the instance; absent if the leader's list does not name it.
        software_version: Option<&'a str>,
        /// Id of the request that began the stream which this one resumes.
        resumes: Option<&'a str>,
        /// Event after which the stream is to go on.
        last_event_id: Option<&'a str>,
        attempt: u32,
        after_ms: u64,
        deadline_ms: u64,
        predicted_ms: u64,
        /// Predicted longest pause of the stream; absent if the instance does not report its load.
        predicted_pause_ms: Option<u64>,
        uncached_tokens: u32,
        /// Remaining backoff of the instance.
        rest_left_ms: Option<u64>,
        /// Whether the instance has reported that it is leaving.
        leaving: bool,
        /// Rate limit of the instance in requests per 1,000 s.
        limit_per_1000_s: Option<u64>,
        /// Condition of the instance, if it reports its load.
        #[serde(flatten)]
        condition: Option<ConditionRecord>,
        configuration: u64,
        feed_age_ms: u64,
    },
    /// The instance reported that the request did not run, or it was certainly not sent.
    NotRun {
        id: &'a str,
        instance: &'a str,
        /// Status of the instance's response; absent if the request was not sent.
        status: Option<u16>,
        /// Backoff that the response asks for.
        rest_ms: Option<u64>,
        /// The connection that the request was sent on, if it was sent.
        #[serde(flatten)]
        connection: Option<ConnectionRecord>,
        after_ms: u64,
    },
    /// Decision whether the request may be sent again after a failed attempt, and the state of
    /// the retry budget that it was based on.
    Retry {
        id: &'a str,
        service: &'a str,
        /// Number of the attempt that failed.
        attempt: u32,
        /// `allowed`, or `denied` by the retry budget.
        outcome: &'static str,
        /// Number of routers that divide the slack; absent if this router has no share of it.
        slack_divisor: Option<u32>,
        /// Length of the uninterrupted contact with leaders; absent without contact.
        contact_ms: Option<u64>,
        /// Requests for the service at this router in the window.
        requests: usize,
        /// Retries of this router in the window, sent and reserved, without this one.
        retries: usize,
        /// Retries that this router may send in the window.
        share: f64,
    },
    /// The attempt failed; the request may have run.
    Failed {
        id: &'a str,
        /// Digest of the request's content.
        content: String,
        /// Identities of the prompt's parts in order, in hexadecimal digits.
        parts: Vec<String>,
        instance: &'a str,
        problem: &'a str,
        /// The connection that the request was sent on, if it was sent.
        #[serde(flatten)]
        connection: Option<ConnectionRecord>,
        after_ms: u64,
    },
    /// The router refuses the request.
    Refused {
        id: &'a str,
        route: Option<&'a str>,
        tenant: Option<&'a str>,
        units: Option<u32>,
        model: Option<&'a str>,
        reason: &'a str,
        may_have_run: bool,
        status: u16,
        /// The fingerprint in quarantine; only for quarantined requests.
        content: Option<String>,
        after_ms: u64,
        retry_after_ms: Option<u64>,
        /// Whether units of the tenant's quota are reserved for the client's return after
        /// `retry_after_ms`.
        reserved: bool,
        attempts: u32,
        /// Ready instances that hold the model; absent if the request was not admitted.
        holders: Option<usize>,
        /// Those of them that this router can't reach; absent if the request was not admitted.
        unreachable: Option<usize>,
        configuration: u64,
        feed_age_ms: u64,
    },
    /// The request ends before it has a response: its client has left, or the router stops.
    EndedEarly {
        id: &'a str,
        /// What the request waited for: `admission`, `request_body`, `selection`, `send_permit`,
        /// `connection` or `response`.
        stage: &'static str,
        may_have_run: bool,
        /// Whether the router is stopping.
        stopping: bool,
        /// Status of the router's response; absent if the client has left.
        status: Option<u16>,
        after_ms: u64,
    },
    /// The process has no memory left to hold a response until it is complete.
    ResponseWithoutMemory {
        id: &'a str,
        instance: &'a str,
        /// `relayed` as it arrives; `dropped`, so that the attempt may have run and has no response.
        outcome: &'static str,
    },
    /// The client closed its connection before the end.
    Cancelled {
        id: &'a str,
        instance: &'a str,
        after_ms: u64,
    },
    /// The response ended.
    Ended {
        id: &'a str,
        /// Digest of the request's content; absent if the response was complete.
        content: Option<String>,
        /// Identities of the prompt's parts in order, in hexadecimal digits; empty if the response
        /// was complete.
        parts: Vec<String>,
        model: &'a str,
        instance: &'a str,
        status: u16,
        /// Whether the response was complete; `null` if it ended with its connection, so that this
        /// is unknown.
        whole: Option<bool>,
        problem: Option<&'a str>,
        /// How the instance marked the end of the body: `length`, `chunked` or
        /// `connection_close`.
        framing: Option<&'static str>,
        /// Bytes of the body that were received.
        body_bytes: Option<u64>,
        /// Whether the body ended inside an event; absent unless it is an event stream.
        inside_event: Option<bool>,
        /// Number of complete events; absent, like the four below, unless the body is an event
        /// stream.
        events: Option<u64>,
        /// Id of the first complete event that states one; absent also if none does, or if it is
        /// too long to be kept.
        first_event_id: Option<&'a str>,
        /// Id of the last complete event that states one, as the first.
        last_event_id: Option<&'a str>,
        /// Number of ids that are not above the one before, of those that are whole numbers; the
        /// stream is broken off before the first one, and no event from there on is counted.
        ids_out_of_order: Option<u64>,
        /// Number of ids that are more than one above the one before, of the same. The event from
        /// which the request resumes a stream precedes the first one.
        id_gaps: Option<u64>,
        /// Wire address of the router that forwarded the request; absent if this router sent it
        /// to the instance itself.
        forwarder: Option<String>,
        /// The connection that the request was sent on.
        #[serde(flatten)]
        connection: Option<ConnectionRecord>,
        waited_ms: u64,
        predicted_ms: u64,
        uncached_tokens: u32,
        first_ms: Option<u64>,
        /// Longest time between two parts of the response.
        longest_pause_ms: u64,
        after_ms: u64,
    },
}

/// Condition of an instance when a request is sent to it.
#[derive(Debug, Serialize)]
pub(crate) struct ConditionRecord {
    /// Requests that run, as reported.
    running: u32,
    /// Requests that wait at the instance, as reported.
    waiting: u32,
    /// Present duration of work in percent of the usual one, as reported.
    work_percent: u32,
    /// Average duration of work relative to the usual one, in thousandths, as measured.
    slowness_permille: u32,
    /// Prompt and output tokens of the requests of all routers in flight there.
    held_tokens: u32,
}

impl From<InstanceCondition> for ConditionRecord {
    fn from(condition: InstanceCondition) -> Self {
        Self {
            running: condition.running,
            waiting: condition.waiting,
            work_percent: (condition.work_factor * 100.0) as u32,
            slowness_permille: (condition.slowness * 1_000.0) as u32,
            held_tokens: condition.held_tokens,
        }
    }
}

impl Record for RequestRecord<'_> {
    fn is_kept(&self) -> bool {
        match self {
            Self::Refused { .. }
            | Self::Failed { .. }
            | Self::EndedEarly { .. }
            | Self::ResponseWithoutMemory { .. }
            | Self::Cancelled { .. } => true,
            Self::Ended { whole, status, .. } => *whole == Some(false) || *status >= 400,
            Self::Waits { .. }
            | Self::Limited { .. }
            | Self::Resumption { .. }
            | Self::Sent { .. }
            | Self::NotRun { .. }
            | Self::Retry { .. } => false,
        }
    }
}

/// A change of the router's state or of its view of the cluster.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum RouterRecord<'a> {
    /// The router has started.
    Started { name: &'a str, zone: &'a str },
    /// A planned stop has begun.
    Stops,
    /// The router has stopped; number of requests that were cut off at the end of the grace
    /// period.
    Stopped { unfinished: usize },
    /// The router receives the leader's feed through this controller.
    FeedRegained {
        controller: &'a str,
        /// Protocol version of the connection.
        protocol: u8,
    },
    /// The feed was lost.
    FeedLost {
        controller: &'a str,
        problem: Option<&'a str>,
    },
    /// A controller gave no feed; without a problem, it has none now.
    FeedSought {
        controller: &'a str,
        problem: Option<&'a str>,
    },
    /// A configuration arrived; whether it came into force.
    Configuration { number: u64, in_force: bool },
    /// A committed configuration is invalid for this router.
    ConfigurationUnusable { number: u64, problem: &'a str },
    /// Instances were removed.
    InstancesGone { instances: &'a [String] },
    /// The local instances differ from the leader's in this number of buckets, which are
    /// requested again.
    InstancesDiffer { parts: usize },
    /// An instance is unreachable and left out of the selection for a while.
    Unreachable { instance: &'a str, problem: &'a str },
    /// Another router reaches an instance to which this one has no connection: its requests are
    /// forwarded from now on.
    PathLost { instance: &'a str },
    /// A connection of this router's own to such an instance succeeded.
    PathRegained { instance: &'a str },
    /// A router that the leader named as a forwarder can't be used.
    ForwarderUnusable {
        forwarder: &'a str,
        problem: &'a str,
    },
    /// A request of another router that this one was to forward.
    Forwarded {
        id: &'a str,
        /// The router that received the request from its client.
        router: &'a str,
        /// Absent if the request does not name it.
        instance: Option<&'a str>,
        /// How the instance marked the end of the body; absent without a response.
        framing: Option<&'static str>,
        /// This router's connection to the instance; absent without a response.
        #[serde(flatten)]
        connection: Option<ConnectionRecord>,
        /// `answered`; `answer_to_another` if the answer carries the id of another request;
        /// `reached` if only this was asked; or why there is no answer of the instance.
        outcome: &'static str,
        problem: Option<&'a str>,
        after_ms: u64,
    },
    /// A connection that does not come from a router of this cluster and protocol version.
    ForwardingRejected { peer: &'a str, problem: &'a str },
    /// A connection of a client is closed because their number has reached its maximum.
    ClientConnectionClosed {
        /// `idle`: the one that has been without a request for the longest time; `stopped`: the one
        /// whose request's body has stopped arriving for the longest time; `new`: the new one, since
        /// all others have requests.
        closed: &'static str,
        /// Address of the new connection.
        peer: &'a str,
        /// Open connections, those that are being closed included.
        open: usize,
        /// The bound.
        max: usize,
    },
    /// A response of an instance asked for a backoff.
    InstanceRests {
        instance: &'a str,
        id: &'a str,
        status: u16,
        rest_ms: u64,
    },
    /// A response of an instance named a new or changed rate limit, or none any more.
    InstanceLimits {
        instance: &'a str,
        id: &'a str,
        status: u16,
        /// Rate limit in requests per 1,000 s, for all routers together.
        limit_per_1000_s: Option<u64>,
    },
    /// The leader reported the rate limit that an instance named to another router, or its end.
    LimitTold {
        instance: &'a str,
        limit_per_1000_s: Option<u64>,
        age_ms: u64,
    },
    /// A response of an instance reported that it is leaving.
    InstanceLeaves {
        instance: &'a str,
        id: &'a str,
        status: u16,
    },
    /// A response has a header with an unknown name or an unreadable value; recorded once per
    /// name.
    UnknownWord {
        instance: &'a str,
        id: &'a str,
        header: &'a str,
    },
    /// A response has a load header that can't be read; recorded once per instance.
    LoadUnreadable {
        instance: &'a str,
        id: &'a str,
        status: u16,
    },
    /// An instance ended while it had a request with this content.
    EndedUnder {
        instance: &'a str,
        /// Digest of the request's content.
        content: String,
        /// Fingerprints of the request that may be the cause, from the broadest to the narrowest.
        fingerprints: Vec<String>,
        /// `refused`: its address refuses connections; `another`: another instance answers
        /// there; `gone`: the leader reported it.
        sign: &'a str,
    },
    /// The leader's lists of fingerprints under which instances ended.
    Quarantine {
        suspected: usize,
        quarantined: Vec<String>,
    },
    /// The settings were reloaded.
    Reloaded { seeds: usize },
    /// The machine was suspended; all received data is older by this time.
    Slept { slept_ms: u64 },
}

impl Record for RouterRecord<'_> {
    fn is_kept(&self) -> bool {
        // One line for each request, or for each connection of a stranger.
        !matches!(
            self,
            Self::Forwarded { .. }
                | Self::ForwardingRejected { .. }
                | Self::ClientConnectionClosed { .. }
        )
    }
}
