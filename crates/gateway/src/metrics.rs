//! Counters, gauges and histograms of a router.
//!
//! Invariant: the number of exported time series is bounded, for any number of tenants.

use courseshunt_http::BudgetUsage;
use courseshunt_metrics::page_with_process;
use courseshunt_types::Millis;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Upper bound of the first bucket, in seconds; the bounds double from bucket to bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKETS: u16 = 15;

/// Number of tenants that are exported by name; all others are exported as one sum.
const MAX_NAMED_TENANTS: usize = 20;
/// Tenant label of that sum.
const OTHER_TENANTS: &str = "other tenants";

/// Request counts of one tenant.
#[derive(Debug, Clone, Copy, Default)]
struct TenantCount {
    admitted: u64,
    units: u64,
    refused: u64,
}

type Labels = Vec<(&'static str, String)>;

/// Values of gauges that are set when the page is rendered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GaugeValues {
    /// Number of the configuration in force.
    pub(crate) configuration: u64,
    /// Time since the last message of a leader.
    pub(crate) feed_age: Duration,
    /// Number of contents in quarantine.
    pub(crate) quarantined: usize,
    /// Number of routers that divide the slack of the retry budget; `None` if this router has no
    /// share of it.
    pub(crate) slack_divisor: Option<u32>,
    /// Number of instances whose load is known.
    pub(crate) instances_with_load: usize,
    /// Number of instances that this router can't reach.
    pub(crate) instances_unreachable: usize,
    /// Number of instances that this router reaches only through other routers.
    pub(crate) instances_forwarded: usize,
    /// Open connections of clients.
    pub(crate) client_connections: usize,
    /// Memory of the bodies that the process holds.
    pub(crate) memory: BudgetUsage,
}

/// Metrics of a router.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counter,
    answers: Family<Labels, Counter>,
    refusals: Family<Labels, Counter>,
    attempts: Family<Labels, Counter>,
    retries_allowed: Counter,
    retries_denied: Counter,
    slack_divisor: Gauge,
    pushbacks: Family<Labels, Counter>,
    sent_despite_pushback: Family<Labels, Counter>,
    limited: Family<Labels, Counter>,
    resumptions: Family<Labels, Counter>,
    load_reports: Family<Labels, Counter>,
    instances_with_load: Gauge,
    instances_unreachable: Gauge,
    instances_forwarded: Gauge,
    client_connections: Gauge,
    client_connections_closed: Family<Labels, Counter>,
    body_bytes: Family<Labels, Gauge>,
    arriving_bodies: Gauge,
    responses_without_memory: Family<Labels, Counter>,
    forwarded: Family<Labels, Counter>,
    reservations: Family<Labels, Counter>,
    cancelled: Counter,
    streams_out_of_order: Counter,
    connections: Counter,
    passed_over: Counter,
    feeds_lost: Counter,
    suspended_milliseconds: Counter,
    waits: Histogram,
    first_answers: Histogram,
    prediction_errors: Histogram,
    configuration: Gauge,
    feed_age_ms: Gauge,
    quarantined: Gauge,
    cached_tokens: Counter,
    processed_tokens: Counter,
    tenants: Mutex<BTreeMap<String, TenantCount>>,
    tenant_requests: Family<Labels, Gauge>,
    tenant_units: Family<Labels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("courseshunt_router"),
            requests: Counter::default(),
            answers: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            retries_allowed: Counter::default(),
            retries_denied: Counter::default(),
            slack_divisor: Gauge::default(),
            pushbacks: Family::default(),
            sent_despite_pushback: Family::default(),
            limited: Family::default(),
            resumptions: Family::default(),
            load_reports: Family::default(),
            instances_with_load: Gauge::default(),
            instances_unreachable: Gauge::default(),
            instances_forwarded: Gauge::default(),
            client_connections: Gauge::default(),
            client_connections_closed: Family::default(),
            body_bytes: Family::default(),
            arriving_bodies: Gauge::default(),
            responses_without_memory: Family::default(),
            forwarded: Family::default(),
            reservations: Family::default(),
            cancelled: Counter::default(),
            streams_out_of_order: Counter::default(),
            connections: Counter::default(),
            passed_over: Counter::default(),
            feeds_lost: Counter::default(),
            suspended_milliseconds: Counter::default(),
            waits: histogram(),
            first_answers: histogram(),
            prediction_errors: histogram(),
            configuration: Gauge::default(),
            feed_age_ms: Gauge::default(),
            quarantined: Gauge::default(),
            cached_tokens: Counter::default(),
            processed_tokens: Counter::default(),
            tenants: Mutex::default(),
            tenant_requests: Family::default(),
            tenant_units: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let requests = self.requests.clone();
        registry.register("requests", "Requests read whole", requests);
        let answers = self.answers.clone();
        registry.register("answers", "Answers of instances by status", answers);
        let refusals = self.refusals.clone();
        registry.register("refusals", "Own refusals by reason", refusals);
        let attempts = self.attempts.clone();
        registry.register("attempts", "Requests sent by outcome", attempts);
        let allowed = self.retries_allowed.clone();
        let help = "Retries within the budget";
        registry.register("retries_allowed", help, allowed);
        let denied = self.retries_denied.clone();
        registry.register("retries_denied", "Retries beyond the budget", denied);
        let divisor = self.slack_divisor.clone();
        let help = "Routers that divide the slack of the retry budget, 0 without a share of it";
        registry.register("retry_slack_divisor", help, divisor);
        let pushbacks = self.pushbacks.clone();
        let help = "Answers in which instances ask for rest or say that they leave";
        registry.register("pushbacks", help, pushbacks);
        let despite = self.sent_despite_pushback.clone();
        let help = "Requests sent to instances that had asked for none";
        registry.register("sent_against_pushback", help, despite);
        let limited = self.limited.clone();
        let help = "Decisions on requests for instances that name a limit, by outcome";
        registry.register("limited", help, limited);
        let resumptions = self.resumptions.clone();
        let help = "Requests that resume a stream, by how its origin was found";
        registry.register("resumptions", help, resumptions);
        let load_reports = self.load_reports.clone();
        let help = "Responses of instances by their load header: read, absent (or without the \
            duration of work), unreadable, foreign (not the instance's response to the request)";
        registry.register("load_reports", help, load_reports);
        let instances = self.instances_with_load.clone();
        let help = "Instances whose load is known, from their responses or from the leader";
        registry.register("instances_with_load", help, instances);
        let unreachable = self.instances_unreachable.clone();
        let help = "Instances that this router could not reach recently";
        registry.register("instances_unreachable", help, unreachable);
        let through_others = self.instances_forwarded.clone();
        let help = "Instances that this router reaches only through other routers";
        registry.register("instances_forwarded", help, through_others);
        let open = self.client_connections.clone();
        let help = "Open connections of clients";
        registry.register("client_connections", help, open);
        let closed = self.client_connections_closed.clone();
        let help = "Clients' connections closed at their bound: for new ones, those without a request \
                    (idle) or with a stopped body (stopped); else the new ones (new)";
        registry.register("client_connections_closed", help, closed);
        let body_bytes = self.body_bytes.clone();
        let help = "Memory that bodies occupy, by pool: small, large";
        registry.register("body_bytes", help, body_bytes);
        let arriving = self.arriving_bodies.clone();
        let help = "Bodies that have not arrived whole";
        registry.register("arriving_bodies", help, arriving);
        let without_memory = self.responses_without_memory.clone();
        let help = "Responses of instances for which no memory was left, by outcome: relayed as they \
                    arrive, dropped";
        registry.register("responses_without_memory", help, without_memory);
        let forwarded = self.forwarded.clone();
        let help = "Requests of other routers that this one was to forward, by outcome; foreign: \
                    connections that were rejected";
        registry.register("forwarded", help, forwarded);
        let reservations = self.reservations.clone();
        let help = "Requests over their tenants' quotas for which the leader reserved units \
                    (reserved), or was not asked to: does_not_return, unknown_model";
        registry.register("reservations", help, reservations);
        let cancelled = self.cancelled.clone();
        registry.register("cancelled", "Requests whose clients left", cancelled);
        let out_of_order = self.streams_out_of_order.clone();
        let help =
            "Streams that were broken off before an event whose id is not above the one before";
        registry.register("streams_out_of_order", help, out_of_order);
        let connections = self.connections.clone();
        registry.register("connections", "New connections to instances", connections);
        let passed_over = self.passed_over.clone();
        let help = "Requests for which all idle connections to the instance had carried their id";
        registry.register("connections_passed_over", help, passed_over);
        let lost = self.feeds_lost.clone();
        registry.register("feeds_lost", "Feeds that ended", lost);
        let suspended = self.suspended_milliseconds.clone();
        let help = "Time in which the machine was suspended";
        registry.register("slept_milliseconds", help, suspended);
        let waits = self.waits.clone();
        registry.register("wait_seconds", "Arrival to sending", waits);
        let first = self.first_answers.clone();
        registry.register("first_answer_seconds", "Arrival to first answer", first);
        let errors = self.prediction_errors.clone();
        let help = "Difference of predicted and real first answer";
        registry.register("prediction_error_seconds", help, errors);
        let configuration = self.configuration.clone();
        registry.register("configuration", "Number in force", configuration);
        let age = self.feed_age_ms.clone();
        registry.register("feed_age_milliseconds", "Time since the last message", age);
        let quarantined = self.quarantined.clone();
        let help = "Contents in quarantine: instances ended under each";
        registry.register("quarantined", help, quarantined);
        let cached = self.cached_tokens.clone();
        registry.register("tokens_kept", "Prompt tokens predicted as kept", cached);
        let processed = self.processed_tokens.clone();
        registry.register("tokens_read", "Prompt tokens predicted as read", processed);
        let requests = self.tenant_requests.clone();
        let help = "Requests of the largest tenants by outcome";
        registry.register("tenant_requests", help, requests);
        let units = self.tenant_units.clone();
        let help = "Units of their limits that the largest tenants used";
        registry.register("tenant_units", help, units);
    }

    pub(crate) fn request(&self) {
        self.requests.inc();
    }

    pub(crate) fn answer(&self, status: u16) {
        let labels = vec![("status", status.to_string())];
        self.answers.get_or_create(&labels).inc();
    }

    pub(crate) fn refusal(&self, reason: &str) {
        let labels = vec![("reason", reason.to_owned())];
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn attempt(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts a request that was admitted within its tenant's quota.
    pub(crate) fn tenant_admitted(&self, tenant: &str, units: u32) {
        self.count_tenant(tenant, |count| {
            count.admitted += 1;
            count.units += u64::from(units);
        });
    }

    /// Counts a request of a tenant that was refused at admission.
    pub(crate) fn tenant_refused(&self, tenant: &str) {
        self.count_tenant(tenant, |count| count.refused += 1);
    }

    fn count_tenant(&self, tenant: &str, change: impl FnOnce(&mut TenantCount)) {
        let tenants = self.tenants.lock();
        let mut tenants = tenants.unwrap_or_else(PoisonError::into_inner);
        match tenants.get_mut(tenant) {
            Some(count) => change(count),
            None => change(tenants.entry(tenant.to_owned()).or_default()),
        }
    }

    /// Exports the largest tenants by name and all others as a sum.
    fn export_tenants(&self) {
        let tenants = self.tenants.lock();
        let tenants = tenants.unwrap_or_else(PoisonError::into_inner);
        let mut largest: Vec<(&str, TenantCount)> = tenants
            .iter()
            .map(|(name, count)| (name.as_str(), *count))
            .collect();
        largest.sort_by_key(|(_, count)| std::cmp::Reverse(count.units + count.refused));
        let mut other = TenantCount::default();
        for (_, count) in largest.iter().skip(MAX_NAMED_TENANTS) {
            other.admitted += count.admitted;
            other.units += count.units;
            other.refused += count.refused;
        }
        largest.truncate(MAX_NAMED_TENANTS);
        largest.push((OTHER_TENANTS, other));
        self.tenant_requests.clear();
        self.tenant_units.clear();
        for (name, count) in largest {
            self.export_tenant(name, count);
        }
    }

    fn export_tenant(&self, name: &str, count: TenantCount) {
        let value = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        for (outcome, number) in [("admitted", count.admitted), ("refused", count.refused)] {
            let labels = vec![("tenant", name.to_owned()), ("outcome", outcome.to_owned())];
            let gauge = self.tenant_requests.get_or_create(&labels);
            gauge.set(value(number));
        }
        let labels = vec![("tenant", name.to_owned())];
        self.tenant_units
            .get_or_create(&labels)
            .set(value(count.units));
    }

    pub(crate) fn response_without_memory(&self, outcome: &'static str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.responses_without_memory.get_or_create(&labels).inc();
    }

    /// Counts a client's connection that is closed at their bound.
    pub(crate) fn client_connection_closed(&self, which: &str) {
        let labels = vec![("closed", which.to_owned())];
        self.client_connections_closed.get_or_create(&labels).inc();
    }

    fn export_memory(&self, usage: &BudgetUsage) {
        let value = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let pools = [("small", usage.small_bytes), ("large", usage.large_bytes)];
        for (pool, bytes) in pools {
            let labels = vec![("pool", pool.to_owned())];
            self.body_bytes.get_or_create(&labels).set(value(bytes));
        }
        self.arriving_bodies.set(value(usage.arriving));
    }

    pub(crate) fn retry_allowed(&self) {
        self.retries_allowed.inc();
    }

    pub(crate) fn retry_denied(&self) {
        self.retries_denied.inc();
    }

    /// Counts a response in which an instance pushes back.
    pub(crate) fn pushback(&self, kind: &str) {
        let labels = vec![("word", kind.to_owned())];
        self.pushbacks.get_or_create(&labels).inc();
    }

    /// Counts a response by its load header.
    pub(crate) fn load_report(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.load_reports.get_or_create(&labels).inc();
    }

    /// Counts a request that another router sent here to be forwarded.
    pub(crate) fn forwarded(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.forwarded.get_or_create(&labels).inc();
    }

    /// Counts a decision on a request for a rate-limited instance.
    pub(crate) fn limited(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.limited.get_or_create(&labels).inc();
    }

    /// Counts a request that resumes a stream by how its origin was found.
    pub(crate) fn resumption(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.resumptions.get_or_create(&labels).inc();
    }

    /// Counts a request over its tenant's quota by its reservation, or the reason why it asked for
    /// none.
    pub(crate) fn reservation(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.reservations.get_or_create(&labels).inc();
    }

    /// Counts a request that is sent to an instance although it pushes back.
    pub(crate) fn sent_despite_pushback(&self, kind: &str) {
        let labels = vec![("word", kind.to_owned())];
        self.sent_despite_pushback.get_or_create(&labels).inc();
    }

    pub(crate) fn cancelled(&self) {
        self.cancelled.inc();
    }

    /// Counts a stream that was broken off before an event that is out of order.
    pub(crate) fn stream_out_of_order(&self) {
        self.streams_out_of_order.inc();
    }

    /// Counter of the requests for which all idle connections had carried the id.
    pub(crate) fn passed_over(&self) -> Counter {
        self.passed_over.clone()
    }

    pub(crate) fn connection(&self) {
        self.connections.inc();
    }

    pub(crate) fn add_suspended(&self, duration: Millis) {
        self.suspended_milliseconds.inc_by(duration.0);
    }

    pub(crate) fn feed_lost(&self) {
        self.feeds_lost.inc();
    }

    pub(crate) fn sent(&self, waited: Duration, prompt_tokens: u32, uncached_tokens: u32) {
        self.waits.observe(waited.as_secs_f64());
        let cached = prompt_tokens.saturating_sub(uncached_tokens);
        self.cached_tokens.inc_by(u64::from(cached));
        self.processed_tokens.inc_by(u64::from(uncached_tokens));
    }

    pub(crate) fn first_answer(&self, after: Duration, sending: Duration, predicted_ms: f64) {
        self.first_answers.observe(after.as_secs_f64());
        let error = sending.as_secs_f64() - predicted_ms / 1000.0;
        self.prediction_errors.observe(error.abs());
    }

    /// Renders the metrics page.
    pub(crate) fn render(&self, values: &GaugeValues) -> String {
        let GaugeValues {
            configuration,
            feed_age,
            quarantined,
            slack_divisor,
            instances_with_load,
            instances_unreachable,
            instances_forwarded,
            memory,
            client_connections,
        } = *values;
        self.client_connections
            .set(i64::try_from(client_connections).unwrap_or(i64::MAX));
        self.export_memory(&memory);
        self.instances_forwarded
            .set(i64::try_from(instances_forwarded).unwrap_or(i64::MAX));
        self.instances_unreachable
            .set(i64::try_from(instances_unreachable).unwrap_or(i64::MAX));
        self.instances_with_load
            .set(i64::try_from(instances_with_load).unwrap_or(i64::MAX));
        self.slack_divisor
            .set(i64::from(slack_divisor.unwrap_or(0)));
        self.quarantined
            .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
        let configuration = i64::try_from(configuration).unwrap_or(i64::MAX);
        self.configuration.set(configuration);
        let age = i64::try_from(feed_age.as_millis()).unwrap_or(i64::MAX);
        self.feed_age_ms.set(age);
        self.export_tenants();
        page_with_process(&self.registry)
    }
}
