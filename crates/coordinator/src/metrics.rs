//! Counters, gauges and histograms of a controller.

use crate::load_metrics::LoadMetrics;
use courseshunt_http::BudgetUsage;
use courseshunt_instance_load::InstanceLoad;
use courseshunt_membership::Redundancy;
use courseshunt_metrics::page_with_process;
use courseshunt_services::{LimitVerdict, OriginVerdict, ReservationChange};
use courseshunt_types::Millis;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::time::Duration;

/// Buckets of the time until a configuration is in force at all routers, in seconds.
const ROLLOUT_BUCKETS_S: [f64; 8] = [0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

type Labels = Vec<(&'static str, String)>;

/// Values of the gauges at the time of a page.
#[derive(Debug, Clone, Default)]
pub(crate) struct CurrentValues {
    pub(crate) leads: bool,
    pub(crate) term: u64,
    pub(crate) configuration: u64,
    pub(crate) routers: usize,
    pub(crate) instances: usize,
    /// Time since the last contact with a quorum, in milliseconds.
    pub(crate) contact_age_ms: u64,
    /// Redundancy of the group and the time below full redundancy; known only to the leader.
    pub(crate) redundancy: Option<(Redundancy, Millis)>,
    /// Load and speed of the instances that report them; known only to the leader.
    pub(crate) loads: Vec<InstanceLoad>,
    /// Memory of the bodies of calls.
    pub(crate) memory: BudgetUsage,
}

/// The registry of a controller's metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    orders: Family<Labels, Counter>,
    store_loads: Counter,
    registrations: Counter,
    registrations_refused: Counter,
    bodies_refused: Family<Labels, Counter>,
    configurations: Family<Labels, Counter>,
    limit_verdicts: Family<Labels, Counter>,
    origin_verdicts: Family<Labels, Counter>,
    reservations: Family<Labels, Counter>,
    instances_presented: Counter,
    leaderships: Counter,
    slept_milliseconds: Counter,
    rollouts: Histogram,
    present: Family<Labels, Gauge>,
    loads: LoadMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("courseshunt_controller"),
            orders: Family::default(),
            store_loads: Counter::default(),
            registrations: Counter::default(),
            registrations_refused: Counter::default(),
            bodies_refused: Family::default(),
            configurations: Family::default(),
            limit_verdicts: Family::default(),
            origin_verdicts: Family::default(),
            reservations: Family::default(),
            instances_presented: Counter::default(),
            leaderships: Counter::default(),
            slept_milliseconds: Counter::default(),
            rollouts: Histogram::new(ROLLOUT_BUCKETS_S),
            present: Family::default(),
            loads: LoadMetrics::default(),
        };
        let registry = &mut metrics.registry;
        let orders = metrics.orders.clone();
        registry.register("orders", "Orders by action and outcome", orders);
        let loads = metrics.store_loads.clone();
        registry.register("store_loads", "Loads from the weight store", loads);
        let registrations = metrics.registrations.clone();
        registry.register("registrations", "Registrations taken", registrations);
        let refused = metrics.registrations_refused.clone();
        let help = "Registrations that could not be read whole";
        registry.register("registrations_refused", help, refused);
        let refused = metrics.bodies_refused.clone();
        let help =
            "Calls whose bodies were not read whole, by body (document, registration) and reason";
        registry.register("bodies_refused", help, refused);
        let configurations = metrics.configurations.clone();
        registry.register(
            "configurations",
            "Configurations by outcome",
            configurations,
        );
        let verdicts = metrics.limit_verdicts.clone();
        let help = "Decisions on requests for instances that name a limit, by outcome";
        registry.register("limit_verdicts", help, verdicts);
        let verdicts = metrics.origin_verdicts.clone();
        let help = "Verdicts on the origin of a stream that a client resumes, by outcome";
        registry.register("origin_verdicts", help, verdicts);
        let reservations = metrics.reservations.clone();
        let help = "Reservations under tenants' quotas by outcome (made, taken, unmet, expired, \
                    dropped, refused), and refused ones by reason";
        registry.register("quota_reservations", help, reservations);
        let presented = metrics.instances_presented.clone();
        let help =
            "Instances presented again to routers of the previous release whose requests wait";
        registry.register("instances_presented", help, presented);
        let leaderships = metrics.leaderships.clone();
        registry.register(
            "leaderships",
            "Times that this member was elected",
            leaderships,
        );
        let slept = metrics.slept_milliseconds.clone();
        let help = "Time in which the machine was suspended";
        registry.register("slept_milliseconds", help, slept);
        let rollouts = metrics.rollouts.clone();
        registry.register(
            "configuration_spread_seconds",
            "Time from the commit of a configuration until it is in force at all routers",
            rollouts,
        );
        let present = metrics.present.clone();
        registry.register("present", "Present values by name", present);
        metrics.loads.register(registry);
        metrics
    }
}

/// The gauges of the group's redundancy.
fn redundancy_values(known: Option<(Redundancy, Millis)>) -> [(&'static str, Option<u64>); 6] {
    let count = |of: fn(&Redundancy) -> usize| known.map(|(one, _)| of(&one) as u64);
    [
        ("voters", count(|one| one.voters)),
        ("live_voters", count(|one| one.live_voters)),
        ("learners", count(|one| one.learners)),
        ("joining", count(|one| one.joining)),
        ("bearable_losses", count(|one| one.bearable_losses)),
        (
            "seconds_below_full_redundancy",
            known.map(|(_, below)| below.0 / 1_000),
        ),
    ]
}

impl Metrics {
    /// Counts a decision on a request for an instance that reports a rate limit.
    pub(crate) fn limit_verdict(&self, verdict: LimitVerdict) {
        let outcome = match verdict {
            LimitVerdict::Granted { after: Millis(0) } => "granted",
            LimitVerdict::Granted { .. } => "granted_later",
            LimitVerdict::Refused { .. } => "refused",
            LimitVerdict::Unknown => "unknown",
        };
        let labels = vec![("outcome", outcome.to_owned())];
        self.limit_verdicts.get_or_create(&labels).inc();
    }

    /// Counts a verdict on the origin of a stream.
    pub(crate) fn origin_verdict(&self, verdict: &OriginVerdict) {
        let outcome = match verdict {
            verdict if verdict.is_conflict() => "conflict",
            OriginVerdict::Known(_) => "known",
            OriginVerdict::Unknown => "unknown",
        };
        let labels = vec![("outcome", outcome.to_owned())];
        self.origin_verdicts.get_or_create(&labels).inc();
    }

    /// Counts a change of a reservation under a tenant's quota.
    pub(crate) fn quota_reservation(&self, change: &ReservationChange) {
        let labels = vec![
            ("outcome", change.outcome().to_owned()),
            ("reason", change.reason().unwrap_or_default().to_owned()),
        ];
        self.reservations.get_or_create(&labels).inc();
    }

    pub(crate) fn order(&self, action: &str, outcome: &str, from_store: bool) {
        let labels = vec![
            ("action", action.to_owned()),
            ("outcome", outcome.to_owned()),
        ];
        self.orders.get_or_create(&labels).inc();
        if from_store {
            self.store_loads.inc();
        }
    }

    pub(crate) fn registration(&self) {
        self.registrations.inc();
    }

    pub(crate) fn registration_refused(&self) {
        self.registrations_refused.inc();
    }

    pub(crate) fn body_refused(&self, body: &str, reason: &str) {
        let labels = vec![("body", body.to_owned()), ("reason", reason.to_owned())];
        self.bodies_refused.get_or_create(&labels).inc();
    }

    pub(crate) fn configuration(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.configurations.get_or_create(&labels).inc();
    }

    pub(crate) fn rollout(&self, after: Millis) {
        self.rollouts.observe(Duration::from(after).as_secs_f64());
    }

    pub(crate) fn suspended(&self, duration: Millis) {
        self.slept_milliseconds.inc_by(duration.0);
    }

    /// Counts an instance that was presented again to a router of the previous release.
    pub(crate) fn instance_presented(&self) {
        self.instances_presented.inc();
    }

    pub(crate) fn leadership(&self) {
        self.leaderships.inc();
    }

    /// Counts the samples of load and speed in a router's report.
    pub(crate) fn load_samples(&self, count: usize) {
        self.loads.samples.inc_by(count as u64);
    }

    /// Counts the instances in a message about load and speed.
    pub(crate) fn loads_sent(&self, count: usize) {
        self.loads.sent.inc_by(count as u64);
    }

    /// Renders the page as text.
    pub(crate) fn page(&self, present: &CurrentValues) -> String {
        let values = [
            ("leads", u64::from(present.leads)),
            ("term", present.term),
            ("configuration", present.configuration),
            ("routers", present.routers as u64),
            ("instances", present.instances as u64),
            ("contact_age_milliseconds", present.contact_age_ms),
            ("small_body_bytes", present.memory.small_bytes as u64),
            ("large_body_bytes", present.memory.large_bytes as u64),
            ("arriving_bodies", present.memory.arriving as u64),
        ];
        for (name, value) in values {
            self.set_present(name, Some(value));
        }
        for (name, value) in redundancy_values(present.redundancy) {
            self.set_present(name, value);
        }
        self.loads.export(&present.loads);
        page_with_process(&self.registry)
    }

    /// Sets a gauge, or removes it if its value is unknown here.
    fn set_present(&self, name: &str, value: Option<u64>) {
        let labels = vec![("name", name.to_owned())];
        match value {
            Some(value) => {
                let value = i64::try_from(value).unwrap_or(i64::MAX);
                self.present.get_or_create(&labels).set(value);
            }
            None => {
                self.present.remove(&labels);
            }
        }
    }
}
