//! The design size worked out from the slopes, role by role.

use super::fit::{Coefficient, Fit, Point};
use super::requests::RequestReport;
use super::slopes::{
    CHANGES_PER_SECOND, DESIGN, LOADS_PER_SECOND, REQUESTS_PER_ROUTER, Slope, Slopes,
};

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
    let mut roles = vec![leader(slopes)];
    roles.extend(follower(slopes));
    roles.push(runner_side(slopes));
    roles.push(router(slopes, requests));
    roles.extend(requests.and_then(queue_owner));
    roles
}

/// Costs of rest, changes and loads together, a second, with the arithmetic.
struct Spent {
    per_second: f64,
    arithmetic: String,
}

fn spent(rest: f64, change: f64, load: f64) -> Spent {
    Spent {
        per_second: rest + change * CHANGES_PER_SECOND + load * LOADS_PER_SECOND,
        arithmetic: format!(
            "{rest:.2} ms/s at rest + {change:.2} ms × 0.0127 changes/s + {load:.2} ms × 0.228 loads/s"
        ),
    }
}

/// Routers that one controller feeds at the design size.
fn fed() -> f64 {
    DESIGN.routers as f64 / DESIGN.controllers as f64
}

/// Bytes that one router receives and sends for control, a second.
fn router_bytes(slopes: &Slopes) -> f64 {
    let rest = slopes.feed_idle.at(DESIGN) + slopes.reports_idle.at(DESIGN);
    let changes = slopes.feed_change.at(DESIGN) * CHANGES_PER_SECOND;
    let loads = slopes.feed_load.at(DESIGN) * LOADS_PER_SECOND;
    (rest + changes + loads) / DESIGN.routers as f64
}

fn value(slope: Option<&Slope>) -> f64 {
    slope.map_or(0.0, |slope| slope.at(DESIGN).max(0.0))
}

/// Bytes between the leader and all followers, a second.
fn group_bytes(slopes: &Slopes) -> f64 {
    let rest = value(slopes.group_idle.as_ref());
    rest + value(slopes.group_load.as_ref()) * LOADS_PER_SECOND
}

/// Memory that a further controller takes, in MiB.
fn controller_memory(slopes: &Slopes) -> Option<f64> {
    let resident = slopes.resident.as_ref()?;
    Some(resident.coefficient("a controller"))
}

fn leader(slopes: &Slopes) -> RoleFigures {
    let spent = spent(
        slopes.leader_idle.at(DESIGN),
        slopes.leader_change.at(DESIGN),
        slopes.leader_load.at(DESIGN),
    );
    let runners = slopes.runners_idle.at(DESIGN);
    let feeds = router_bytes(slopes) * fed();
    let group = group_bytes(slopes);
    RoleFigures {
        role: "leading voter, feeds and runners included",
        cpu_percent: spent.per_second * PERCENT_OF_MS,
        bytes_per_second: runners + feeds + group,
        memory_mib: controller_memory(slopes),
        arithmetic: format!(
            "{}; {:.1} KB/s with runners + {:.1} feeds of {:.2} KB/s + {:.1} KB/s with 7 followers",
            spent.arithmetic,
            runners / 1000.0,
            fed(),
            router_bytes(slopes) / 1000.0,
            group / 1000.0
        ),
    }
}

/// A voter that follows, or a learner; `None` when no group was measured.
fn follower(slopes: &Slopes) -> Option<RoleFigures> {
    let spent = spent(
        slopes.follower_idle.as_ref()?.at(DESIGN),
        value(slopes.follower_change.as_ref()),
        value(slopes.follower_load.as_ref()),
    );
    let followers = DESIGN.controllers as f64 - 1.0;
    let group = group_bytes(slopes) / followers;
    let feeds = router_bytes(slopes) * fed();
    Some(RoleFigures {
        role: "voter that follows, learner",
        cpu_percent: spent.per_second * PERCENT_OF_MS,
        bytes_per_second: feeds + group,
        memory_mib: controller_memory(slopes),
        arithmetic: format!(
            "{}; {:.1} feeds of {:.2} KB/s + {:.2} KB/s with the leader",
            spent.arithmetic,
            fed(),
            router_bytes(slopes) / 1000.0,
            group / 1000.0
        ),
    })
}

fn runner_side(slopes: &Slopes) -> RoleFigures {
    let runners = DESIGN.runners as f64;
    let each = slopes.leader_idle.coefficient("a runner");
    let asked = slopes.runner_requests.at(DESIGN);
    let bytes = slopes.runners_idle.at(DESIGN);
    RoleFigures {
        role: "runner-facing side (a part of the leader)",
        cpu_percent: each * runners * PERCENT_OF_MS,
        bytes_per_second: bytes,
        memory_mib: None,
        arithmetic: format!(
            "{each:.4} ms/s for a runner × 830; {asked:.0} requests/s of {:.0} bytes both ways",
            bytes / asked.max(1.0)
        ),
    }
}

fn router(slopes: &Slopes, requests: Option<&RequestReport>) -> RoleFigures {
    let share = |slope: &Slope| slope.at(DESIGN) / DESIGN.routers as f64;
    let spent = spent(
        share(&slopes.router_idle),
        share(&slopes.router_change),
        share(&slopes.router_load),
    );
    RoleFigures {
        role: "router: control link",
        cpu_percent: spent.per_second * PERCENT_OF_MS,
        bytes_per_second: router_bytes(slopes),
        memory_mib: requests.and_then(router_memory).map(|one| one.value),
        arithmetic: format!("{}; feed and reports", spent.arithmetic),
    }
}

/// Memory that each further real router takes, in MiB.
#[must_use]
pub fn router_memory(requests: &RequestReport) -> Option<Coefficient> {
    let points = requests.memory.iter().map(|point| Point {
        sizes: vec![1.0, point.routers as f64],
        value: point.resident_mib,
    });
    let fit = Fit::of(&points.collect::<Vec<_>>())?;
    fit.coefficients.get(1).copied()
}

/// Processor time of a request over all routers that it passes, in milliseconds.
#[must_use]
pub fn request_cpu(requests: &RequestReport) -> Option<Coefficient> {
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
        role: "router: requests with their tickets (holder and queue owner)",
        cpu_percent: cpu.value * REQUESTS_PER_ROUTER * PERCENT_OF_MS,
        // Each ticket's bytes leave one router and reach another.
        bytes_per_second: 2.0 * each * REQUESTS_PER_ROUTER,
        memory_mib: None,
        arithmetic: format!(
            "{:.3} ± {:.3} ms a request, serving included, × 20.9 requests/s; {messages:.1} messages and {each:.0} bytes a request between routers, counted at both ends",
            cpu.value, cpu.error
        ),
    })
}
