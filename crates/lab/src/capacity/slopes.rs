//! Slopes through the measured costs, and the design size worked out from them.

use super::SizeReport;
use super::fit::{Fit, Point};
use super::requests::RequestReport;

/// Routers of the design size.
pub const ROUTERS: f64 = 340.0;
/// Runners of the design size.
pub const RUNNERS: f64 = 830.0;
/// Machines set aside for control.
pub const CONTROLLERS: f64 = 8.0;
/// Loads in a second at the design size: 820 an hour.
pub const LOADS_PER_SECOND: f64 = 820.0 / 3600.0;
/// Changes in a second at the design size: 1,100 a day.
pub const CHANGES_PER_SECOND: f64 = 1100.0 / 86_400.0;
/// Requests in a second at one router of the design size: 7,100 over all.
pub const REQUESTS_PER_ROUTER: f64 = 7_100.0 / ROUTERS;

/// What a slope is measured against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub enum Against {
    /// A fixed part, routers and runners.
    RoutersAndRunners,
    /// Routers alone, through 0.
    Routers,
    /// Runners alone, through 0.
    Runners,
    /// Routers, and products of routers and runners, through 0.
    RoutersTimesRunners,
}

impl Against {
    /// The sizes of a point.
    #[must_use]
    pub fn sizes(self, routers: f64, runners: f64) -> Vec<f64> {
        match self {
            Self::RoutersAndRunners => vec![1.0, routers, runners],
            Self::Routers => vec![routers],
            Self::Runners => vec![runners],
            Self::RoutersTimesRunners => vec![routers, routers * runners],
        }
    }

    /// Names of the coefficients.
    #[must_use]
    pub fn names(self) -> &'static [&'static str] {
        match self {
            Self::RoutersAndRunners => &["fixed", "a router", "a runner"],
            Self::Routers => &["a router"],
            Self::Runners => &["a runner"],
            Self::RoutersTimesRunners => &["a router", "a router and runner"],
        }
    }
}

/// One fitted quantity.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Slope {
    /// What it is.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What it is measured against.
    pub against: Against,
    /// The fit.
    pub fit: Fit,
}

/// All slopes; fields are named by role and phase.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Slopes {
    /// Leader at rest, in milliseconds of processor time a second.
    pub leader_idle: Slope,
    /// Leader for a change, in milliseconds.
    pub leader_change: Slope,
    /// Leader for a load, in milliseconds.
    pub leader_load: Slope,
    /// All routers at rest, in milliseconds a second.
    pub router_idle: Slope,
    /// All routers for a change, in milliseconds.
    pub router_change: Slope,
    /// All routers for a load, in milliseconds.
    pub router_load: Slope,
    /// Feeds at rest, in bytes a second.
    pub feed_idle: Slope,
    /// Reports at rest, in bytes a second.
    pub reports_idle: Slope,
    /// Feeds for a change, in bytes.
    pub feed_change: Slope,
    /// Feeds for a load, in bytes.
    pub feed_load: Slope,
    /// Feeds for a sync of all routers, in bytes.
    pub feed_sync: Slope,
    /// Runners' control interfaces at rest, in bytes a second.
    pub runners_idle: Slope,
    /// Requests to them at rest, in a second.
    pub runner_requests: Slope,
    /// Memory of the whole process, in MiB.
    pub resident: Slope,
}

impl Slopes {
    /// Fits all; `None` when the sizes are too few or too alike.
    #[must_use]
    pub fn of(reports: &[SizeReport]) -> Option<Self> {
        use Against::{Routers, RoutersAndRunners, RoutersTimesRunners, Runners};
        type Value = fn(&SizeReport) -> f64;
        let slope = |quantity, unit, against: Against, value: Value| {
            let points = reports.iter().map(|report| Point {
                sizes: against.sizes(report.size.routers as f64, report.size.runners as f64),
                value: value(report),
            });
            Some(Slope {
                quantity,
                unit,
                against,
                fit: Fit::of(&points.collect::<Vec<_>>())?,
            })
        };
        let both = RoutersAndRunners;
        Some(Self {
            leader_idle: slope("leader at rest", "ms/s", both, |one| {
                one.idle.leader_cpu_ms / one.idle.seconds
            })?,
            leader_change: slope("leader, one change", "ms", both, |one| {
                one.changes.leader_cpu_ms / one.change_count as f64
            })?,
            leader_load: slope("leader, one load", "ms", both, |one| {
                one.loads.leader_cpu_ms / one.load_count as f64
            })?,
            router_idle: slope("routers at rest", "ms/s", Routers, |one| {
                one.idle.router_cpu_ms / one.idle.seconds
            })?,
            router_change: slope("routers, one change", "ms", Routers, |one| {
                one.changes.router_cpu_ms / one.change_count as f64
            })?,
            router_load: slope("routers, one load", "ms", RoutersTimesRunners, |one| {
                one.loads.router_cpu_ms / one.load_count as f64
            })?,
            feed_idle: slope("feeds at rest", "B/s", Routers, |one| {
                one.idle.feed.bytes / one.idle.seconds
            })?,
            reports_idle: slope("reports at rest", "B/s", Routers, |one| {
                one.idle.reports.bytes / one.idle.seconds
            })?,
            feed_change: slope("feeds, one change", "B", Routers, |one| {
                one.changes.feed.bytes / one.change_count as f64
            })?,
            feed_load: slope("feeds, one load", "B", RoutersTimesRunners, |one| {
                one.loads.feed.bytes / one.load_count as f64
            })?,
            feed_sync: slope("feeds, all routers sync", "B", RoutersTimesRunners, |one| {
                one.sync.feed.bytes
            })?,
            runners_idle: slope(
                "runners' control interface at rest",
                "B/s",
                Runners,
                |one| one.idle.runners.bytes / one.idle.seconds,
            )?,
            runner_requests: slope("requests to runners at rest", "1/s", Runners, |one| {
                one.idle.runners.messages / one.idle.seconds
            })?,
            resident: slope("memory of the whole process", "MiB", both, |one| {
                one.loads.resident_mib
            })?,
        })
    }

    /// All slopes in the order of the page.
    #[must_use]
    pub fn all(&self) -> Vec<&Slope> {
        vec![
            &self.leader_idle,
            &self.leader_change,
            &self.leader_load,
            &self.router_idle,
            &self.router_change,
            &self.router_load,
            &self.feed_idle,
            &self.reports_idle,
            &self.feed_change,
            &self.feed_load,
            &self.feed_sync,
            &self.runners_idle,
            &self.runner_requests,
            &self.resident,
        ]
    }
}

impl Slope {
    /// Value at some numbers of routers and runners.
    #[must_use]
    pub fn at(&self, routers: f64, runners: f64) -> f64 {
        self.fit.at(&self.against.sizes(routers, runners))
    }
}

/// What a node of a role spends on control at the design size.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RoleFigures {
    /// The role.
    pub role: &'static str,
    /// Processor time, in percent of a core.
    pub cpu_percent: f64,
    /// Bytes both ways, a second.
    pub bytes_per_second: f64,
    /// Memory, in MiB, where measured.
    pub memory_mib: Option<f64>,
    /// How the figures come about.
    pub arithmetic: String,
}

/// Share of a second that a millisecond is, in percent.
const PERCENT_OF_MS: f64 = 0.1;

/// Works the design size out.
#[must_use]
pub fn design(slopes: &Slopes, requests: Option<&RequestReport>) -> Vec<RoleFigures> {
    vec![
        leader(slopes),
        member(slopes),
        runner_side(slopes),
        router(slopes, requests),
    ]
    .into_iter()
    .chain(requests.and_then(queue_owner))
    .collect()
}

/// Bytes that one router receives and sends for control, a second.
fn router_bytes(slopes: &Slopes) -> f64 {
    let rest = slopes.feed_idle.at(ROUTERS, RUNNERS) + slopes.reports_idle.at(ROUTERS, RUNNERS);
    let changes = slopes.feed_change.at(ROUTERS, RUNNERS) * CHANGES_PER_SECOND;
    let loads = slopes.feed_load.at(ROUTERS, RUNNERS) * LOADS_PER_SECOND;
    (rest + changes + loads) / ROUTERS
}

fn leader(slopes: &Slopes) -> RoleFigures {
    let fed = ROUTERS / CONTROLLERS;
    let idle = slopes.leader_idle.at(fed, RUNNERS);
    let change = slopes.leader_change.at(fed, RUNNERS);
    let load = slopes.leader_load.at(fed, RUNNERS);
    let cpu = idle + change * CHANGES_PER_SECOND + load * LOADS_PER_SECOND;
    let runners = slopes.runners_idle.at(ROUTERS, RUNNERS);
    let feeds = router_bytes(slopes) * fed;
    RoleFigures {
        role: "leading voter",
        cpu_percent: cpu * PERCENT_OF_MS,
        bytes_per_second: runners + feeds,
        memory_mib: None,
        arithmetic: format!(
            "{idle:.1} ms/s at rest with {fed:.1} routers and 830 runners + {change:.1} ms × 0.0127 changes/s + {load:.1} ms × 0.228 loads/s; {:.0} KB/s with runners + {fed:.1} feeds of {:.2} KB/s",
            runners / 1000.0,
            router_bytes(slopes) / 1000.0
        ),
    }
}

fn member(slopes: &Slopes) -> RoleFigures {
    let fed = ROUTERS / CONTROLLERS;
    let coefficients = &slopes.leader_idle.fit.coefficients;
    let each = coefficients.get(1).map_or(0.0, |one| one.value.max(0.0));
    let cpu = each * fed;
    RoleFigures {
        role: "voter that follows, learner: feeds",
        cpu_percent: cpu * PERCENT_OF_MS,
        bytes_per_second: router_bytes(slopes) * fed,
        memory_mib: None,
        arithmetic: format!(
            "{each:.3} ms/s for a router × {fed:.1} routers; {fed:.1} feeds of {:.2} KB/s",
            router_bytes(slopes) / 1000.0
        ),
    }
}

fn runner_side(slopes: &Slopes) -> RoleFigures {
    let coefficients = &slopes.leader_idle.fit.coefficients;
    let each = coefficients.get(2).map_or(0.0, |one| one.value.max(0.0));
    let asked = slopes.runner_requests.at(ROUTERS, RUNNERS);
    let bytes = slopes.runners_idle.at(ROUTERS, RUNNERS);
    RoleFigures {
        role: "runner-facing side (part of the leader)",
        cpu_percent: each * RUNNERS * PERCENT_OF_MS,
        bytes_per_second: bytes,
        memory_mib: None,
        arithmetic: format!(
            "{each:.4} ms/s for a runner × 830; {asked:.0} requests/s of {:.0} bytes both ways",
            bytes / asked.max(1.0)
        ),
    }
}

fn router(slopes: &Slopes, requests: Option<&RequestReport>) -> RoleFigures {
    let idle = slopes.router_idle.at(ROUTERS, RUNNERS) / ROUTERS;
    let change = slopes.router_change.at(ROUTERS, RUNNERS) / ROUTERS;
    let load = slopes.router_load.at(ROUTERS, RUNNERS) / ROUTERS;
    let cpu = idle + change * CHANGES_PER_SECOND + load * LOADS_PER_SECOND;
    RoleFigures {
        role: "router: control link",
        cpu_percent: cpu * PERCENT_OF_MS,
        bytes_per_second: router_bytes(slopes),
        memory_mib: requests.and_then(router_memory).map(|one| one.value),
        arithmetic: format!(
            "{idle:.3} ms/s at rest + {change:.3} ms × 0.0127 changes/s + {load:.3} ms × 0.228 loads/s; feed and reports"
        ),
    }
}

/// Memory that each further real router takes, in MiB.
#[must_use]
pub fn router_memory(requests: &RequestReport) -> Option<super::fit::Coefficient> {
    let points = requests.memory.iter().map(|point| Point {
        sizes: vec![1.0, point.routers as f64],
        value: point.resident_mib,
    });
    let fit = Fit::of(&points.collect::<Vec<_>>())?;
    fit.coefficients.get(1).copied()
}

/// Processor time of a request over all routers that it passes, in milliseconds.
#[must_use]
pub fn request_cpu(requests: &RequestReport) -> Option<super::fit::Coefficient> {
    let points = requests.rates.iter().map(|point| Point {
        sizes: vec![1.0, point.requests_per_second],
        value: point.cpu_ms_per_second,
    });
    let fit = Fit::of(&points.collect::<Vec<_>>())?;
    fit.coefficients.get(1).copied()
}

fn queue_owner(requests: &RequestReport) -> Option<RoleFigures> {
    let cpu = request_cpu(requests)?;
    let last = requests.rates.last()?;
    let each = last.tickets.bytes / last.requests_per_second.max(1.0);
    let messages = last.tickets.messages / last.requests_per_second.max(1.0);
    Some(RoleFigures {
        role: "router: requests with their tickets (owner and holder)",
        cpu_percent: cpu.value * REQUESTS_PER_ROUTER * PERCENT_OF_MS,
        bytes_per_second: each * REQUESTS_PER_ROUTER,
        memory_mib: None,
        arithmetic: format!(
            "{:.3} ± {:.3} ms a request, serving included, × 20.9 requests/s; {messages:.1} messages and {each:.0} bytes a request between routers",
            cpu.value, cpu.error
        ),
    })
}
