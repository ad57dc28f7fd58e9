//! Slopes through the measured costs, and the design size worked out from them.

use super::SizeReport;
use super::fit::{Fit, Point};
use super::site::FleetSize;

/// The design size: 8 machines are set aside for control.
pub const DESIGN: FleetSize = FleetSize {
    controllers: 8,
    routers: 340,
    runners: 830,
};
/// Loads in a second at the design size: 820 an hour.
pub const LOADS_PER_SECOND: f64 = 820.0 / 3600.0;
/// Changes in a second at the design size: 1,100 a day.
pub const CHANGES_PER_SECOND: f64 = 1100.0 / 86_400.0;
/// Requests in a second at one router of the design size: 7,100 over all.
pub const REQUESTS_PER_ROUTER: f64 = 7_100.0 / 340.0;

/// What a slope is measured against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub enum Against {
    /// A fixed part, the routers that the leader feeds, and runners.
    Leader,
    /// A fixed part, and the routers that a follower feeds.
    Follower,
    /// All routers, through 0.
    Routers,
    /// Runners, through 0.
    Runners,
    /// Followers, through 0.
    Followers,
    /// Routers, and products of routers and runners, through 0.
    RoutersTimesRunners,
    /// A fixed part, controllers, routers and runners.
    Process,
}

impl Against {
    /// The sizes of a point.
    #[must_use]
    pub fn sizes(self, size: FleetSize) -> Vec<f64> {
        let controllers = size.controllers as f64;
        let (routers, runners) = (size.routers as f64, size.runners as f64);
        let fed = routers / controllers;
        match self {
            Self::Leader => vec![1.0, fed, runners],
            Self::Follower => vec![1.0, fed],
            Self::Routers => vec![routers],
            Self::Runners => vec![runners],
            Self::Followers => vec![controllers - 1.0],
            Self::RoutersTimesRunners => vec![routers, routers * runners],
            Self::Process => vec![1.0, controllers, routers, runners],
        }
    }

    /// Names of the coefficients.
    #[must_use]
    pub fn names(self) -> &'static [&'static str] {
        match self {
            Self::Leader => &["fixed", "a router fed", "a runner"],
            Self::Follower => &["fixed", "a router fed"],
            Self::Routers => &["a router"],
            Self::Runners => &["a runner"],
            Self::Followers => &["a follower"],
            Self::RoutersTimesRunners => &["a router", "a router and runner"],
            Self::Process => &["fixed", "a controller", "a router", "a runner"],
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
    /// A follower at rest, in milliseconds a second; needs several controllers.
    pub follower_idle: Option<Slope>,
    /// A follower for a change, in milliseconds.
    pub follower_change: Option<Slope>,
    /// A follower for a load, in milliseconds.
    pub follower_load: Option<Slope>,
    /// Among controllers at rest, in bytes a second.
    pub group_idle: Option<Slope>,
    /// Among controllers for a load, in bytes.
    pub group_load: Option<Slope>,
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
    /// Memory of the whole process, in MiB; needs several controllers.
    pub resident: Option<Slope>,
}

type Value = fn(&SizeReport) -> f64;

fn slope(
    reports: &[SizeReport],
    quantity: &'static str,
    unit: &'static str,
    against: Against,
    value: Value,
) -> Option<Slope> {
    let points = reports.iter().map(|report| Point {
        sizes: against.sizes(report.size),
        value: value(report),
    });
    Some(Slope {
        quantity,
        unit,
        against,
        fit: Fit::of(&points.collect::<Vec<_>>())?,
    })
}

fn followers(report: &SizeReport) -> f64 {
    report.size.controllers as f64 - 1.0
}

impl Slopes {
    /// Fits all; `None` when the sizes are too few or too alike.
    #[must_use]
    pub fn of(reports: &[SizeReport]) -> Option<Self> {
        use Against::{
            Follower, Followers, Leader, Process, Routers, RoutersTimesRunners, Runners,
        };
        let groups = reports.iter().filter(|one| one.size.controllers > 1);
        let groups: Vec<SizeReport> = groups.cloned().collect();
        let all = |quantity, unit, against, value| slope(reports, quantity, unit, against, value);
        let grouped =
            |quantity, unit, against, value| slope(&groups, quantity, unit, against, value);
        Some(Self {
            leader_idle: all("leader at rest", "ms/s", Leader, |one| {
                one.idle.leader_cpu_ms / one.idle.seconds
            })?,
            leader_change: all("leader, one change", "ms", Leader, |one| {
                one.changes.leader_cpu_ms / one.change_count as f64
            })?,
            leader_load: all("leader, one load", "ms", Leader, |one| {
                one.loads.leader_cpu_ms / one.load_count as f64
            })?,
            follower_idle: grouped("a follower at rest", "ms/s", Follower, |one| {
                one.idle.follower_cpu_ms / one.idle.seconds / followers(one)
            }),
            follower_change: grouped("a follower, one change", "ms", Follower, |one| {
                one.changes.follower_cpu_ms / one.change_count as f64 / followers(one)
            }),
            follower_load: grouped("a follower, one load", "ms", Follower, |one| {
                one.loads.follower_cpu_ms / one.load_count as f64 / followers(one)
            }),
            group_idle: grouped("among controllers at rest", "B/s", Followers, |one| {
                one.idle.group.bytes / one.idle.seconds
            }),
            group_load: grouped("among controllers, one load", "B", Followers, |one| {
                one.loads.group.bytes / one.load_count as f64
            }),
            router_idle: all("routers at rest", "ms/s", Routers, |one| {
                one.idle.router_cpu_ms / one.idle.seconds
            })?,
            router_change: all("routers, one change", "ms", Routers, |one| {
                one.changes.router_cpu_ms / one.change_count as f64
            })?,
            router_load: all("routers, one load", "ms", RoutersTimesRunners, |one| {
                one.loads.router_cpu_ms / one.load_count as f64
            })?,
            feed_idle: all("feeds at rest", "B/s", Routers, |one| {
                one.idle.feed.bytes / one.idle.seconds
            })?,
            reports_idle: all("reports at rest", "B/s", Routers, |one| {
                one.idle.reports.bytes / one.idle.seconds
            })?,
            feed_change: all("feeds, one change", "B", Routers, |one| {
                one.changes.feed.bytes / one.change_count as f64
            })?,
            feed_load: all("feeds, one load", "B", RoutersTimesRunners, |one| {
                one.loads.feed.bytes / one.load_count as f64
            })?,
            feed_sync: all("feeds, all routers sync", "B", RoutersTimesRunners, |one| {
                one.sync.feed.bytes
            })?,
            runners_idle: all(
                "runners' control interface at rest",
                "B/s",
                Runners,
                |one| one.idle.runners.bytes / one.idle.seconds,
            )?,
            runner_requests: all("requests to runners at rest", "1/s", Runners, |one| {
                one.idle.runners.messages / one.idle.seconds
            })?,
            resident: all("memory of the whole process", "MiB", Process, |one| {
                one.loads.resident_mib
            }),
        })
    }

    /// All slopes in the order of the page.
    #[must_use]
    pub fn all(&self) -> Vec<&Slope> {
        let leader = [&self.leader_idle, &self.leader_change, &self.leader_load];
        let group = [
            &self.follower_idle,
            &self.follower_change,
            &self.follower_load,
            &self.group_idle,
            &self.group_load,
        ];
        let fleet = [
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
        ];
        let group = group.into_iter().flatten();
        let all = leader.into_iter().chain(group).chain(fleet);
        all.chain(&self.resident).collect()
    }
}

impl Slope {
    /// Value at a size.
    #[must_use]
    pub fn at(&self, size: FleetSize) -> f64 {
        self.fit.at(&self.against.sizes(size))
    }

    /// The coefficient of a name, at least 0; 0 when there is none.
    #[must_use]
    pub fn coefficient(&self, name: &str) -> f64 {
        let place = self.against.names().iter().position(|one| *one == name);
        let found = place.and_then(|place| self.fit.coefficients.get(place));
        found.map_or(0.0, |one| one.value.max(0.0))
    }
}
