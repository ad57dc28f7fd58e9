//! Counters of a hollow fleet, and what they grow by in a phase.

use super::site::{CONTROL_THREADS, HollowFleet, ROUTER_THREADS, RUNNER_THREADS};
use super::usage::cpu_microseconds;
use courseshunt_metrics::process_usage;
use courseshunt_wire::traffic;
use tokio::time::Instant;

/// Kinds of messages from controllers to routers.
pub const FEED_KINDS: [&str; 4] = ["configuration", "placement", "fleet", "feed_confirmation"];
/// Kinds of messages from routers to controllers.
pub const REPORT_KINDS: [&str; 3] = ["subscribe", "confirmed", "demand"];
/// Kinds of messages among controllers.
pub const GROUP_KINDS: [&str; 2] = ["consensus", "forward"];

/// Everything that is counted, at one moment.
#[derive(Debug, Clone)]
pub struct Counters {
    at: Instant,
    leader: usize,
    control_cpu_us: Vec<f64>,
    router_cpu_us: f64,
    runner_cpu_us: f64,
    feed: Volume,
    reports: Volume,
    group: Volume,
    runner: Volume,
}

/// Messages and bytes.
#[derive(Debug, Clone, Copy, PartialEq, Default, serde::Serialize)]
pub struct Volume {
    /// Messages.
    pub messages: f64,
    /// Bytes.
    pub bytes: f64,
}

impl Volume {
    /// What was added since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
        }
    }

    /// The share of one of `parts` equal parts, such as seconds or nodes.
    #[must_use]
    pub fn per(self, parts: f64) -> Self {
        Self {
            messages: self.messages / parts,
            bytes: self.bytes / parts,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            messages: self.messages + other.messages,
            bytes: self.bytes + other.bytes,
        }
    }
}

/// What a phase cost, over the whole fleet.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Cost {
    /// Length, in seconds.
    pub seconds: f64,
    /// Processor time of the leader, in milliseconds.
    pub leader_cpu_ms: f64,
    /// Processor time of the other controllers together, in milliseconds.
    pub follower_cpu_ms: f64,
    /// Processor time of all hollow routers, in milliseconds.
    pub router_cpu_ms: f64,
    /// Processor time of all hollow runners, in milliseconds.
    pub runner_cpu_ms: f64,
    /// From controllers to routers.
    pub feed: Volume,
    /// From routers to controllers.
    pub reports: Volume,
    /// Among controllers.
    pub group: Volume,
    /// Between the leader and the runners, both ways.
    pub runners: Volume,
    /// Resident memory of the whole process at the end, in MiB.
    pub resident_mib: f64,
}

/// What this process has sent of some kinds of messages so far.
#[must_use]
pub fn wire_volume(kinds: &[&str]) -> Volume {
    let sent = traffic()
        .into_iter()
        .filter(|one| kinds.contains(&one.kind));
    let volumes = sent.map(|one| Volume {
        messages: one.sent.messages as f64,
        bytes: one.sent.bytes as f64,
    });
    volumes.fold(Volume::default(), Volume::plus)
}

/// Reads all counters.
#[must_use]
pub fn counters(fleet: &HollowFleet) -> Counters {
    let controllers = 1..=fleet.controllers.len();
    let control = controllers.map(|id| cpu_microseconds(&format!("{CONTROL_THREADS}{id}")));
    let runner = fleet.runner_counters.read();
    Counters {
        at: Instant::now(),
        leader: fleet.leader(),
        control_cpu_us: control.collect(),
        router_cpu_us: cpu_microseconds(ROUTER_THREADS),
        runner_cpu_us: cpu_microseconds(RUNNER_THREADS),
        feed: wire_volume(&FEED_KINDS),
        reports: wire_volume(&REPORT_KINDS),
        group: wire_volume(&GROUP_KINDS),
        runner: Volume {
            messages: runner.requests as f64,
            bytes: runner.bytes as f64,
        },
    }
}

impl Counters {
    /// What was spent since `earlier`.
    #[must_use]
    pub fn cost_since(&self, earlier: &Self) -> Cost {
        let control = self.control_cpu_us.iter().zip(&earlier.control_cpu_us);
        let control: Vec<f64> = control.map(|(now, then)| (now - then) / 1000.0).collect();
        let leader = control.get(self.leader).copied().unwrap_or_default();
        Cost {
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            leader_cpu_ms: leader,
            follower_cpu_ms: control.iter().sum::<f64>() - leader,
            router_cpu_ms: (self.router_cpu_us - earlier.router_cpu_us) / 1000.0,
            runner_cpu_ms: (self.runner_cpu_us - earlier.runner_cpu_us) / 1000.0,
            feed: self.feed.since(earlier.feed),
            reports: self.reports.since(earlier.reports),
            group: self.group.since(earlier.group),
            runners: self.runner.since(earlier.runner),
            resident_mib: process_usage().resident_bytes as f64 / (1024.0 * 1024.0),
        }
    }
}

impl Cost {
    /// What this phase cost beyond `idle`, taken over the same time.
    #[must_use]
    pub fn beyond(&self, idle: &Self) -> Self {
        let share = self.seconds / idle.seconds;
        let volume = |mine: Volume, theirs: Volume| Volume {
            messages: mine.messages - theirs.messages * share,
            bytes: mine.bytes - theirs.bytes * share,
        };
        Self {
            seconds: self.seconds,
            leader_cpu_ms: self.leader_cpu_ms - idle.leader_cpu_ms * share,
            follower_cpu_ms: self.follower_cpu_ms - idle.follower_cpu_ms * share,
            router_cpu_ms: self.router_cpu_ms - idle.router_cpu_ms * share,
            runner_cpu_ms: self.runner_cpu_ms - idle.runner_cpu_ms * share,
            feed: volume(self.feed, idle.feed),
            reports: volume(self.reports, idle.reports),
            group: volume(self.group, idle.group),
            runners: volume(self.runners, idle.runners),
            resident_mib: self.resident_mib,
        }
    }
}
