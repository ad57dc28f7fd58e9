//! The router's metrics page.

use crate::RouterContext;
use crate::dispatch::DispatchSnapshot;
use courseshunt_metrics::{MetricsPage, Sample};
use courseshunt_types::{PriorityClass, Refusal};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Label of a request that was not refused.
const ANSWERED: &str = "answered";

/// Callers' requests by result.
#[derive(Debug, Default)]
pub struct RequestCounts {
    by_result: Mutex<BTreeMap<&'static str, u64>>,
}

impl RequestCounts {
    /// Counts one request.
    pub fn record<T>(&self, request_result: &Result<T, Refusal>) {
        let result = match request_result {
            Ok(_) => ANSWERED,
            Err(refusal) => refusal.reason.code(),
        };
        let mut counts = self.lock();
        *counts.entry(result).or_default() += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, u64>> {
        self.by_result
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn samples(&self) -> Vec<Sample> {
        let counts = self.lock();
        let samples = counts.iter();
        samples
            .map(|(result, count)| Sample::labelled("result", *result, *count as f64))
            .collect()
    }
}

/// Renders the metrics page from the current values.
pub fn page(context: &RouterContext) -> String {
    let mut page = MetricsPage::default();
    page.counters(
        "requests",
        "Callers' requests by result: answered, or the code of the refusal.",
        context.requests.samples(),
    );
    page.gauge(
        "revision",
        "Revision of the configuration in force.",
        context.view.revision().0 as f64,
    );
    let synced = context.view.is_synced();
    page.gauge(
        "synced",
        "1 while a confirmed configuration is in force.",
        f64::from(u8::from(synced)),
    );
    page.gauge(
        "stopping",
        "1 from the planned stop on.",
        f64::from(u8::from(context.stop.is_cancelled())),
    );
    page.gauge(
        "deployments",
        "Deployments in force.",
        context.view.deployments().len() as f64,
    );
    page.gauge(
        "routers",
        "Routers that the fleet view holds.",
        context.view.routers().len() as f64,
    );
    context.counts.write(&mut page);
    page.gauge(
        "retry_budget",
        "Retries that the budget allows now.",
        context.retry_budget.tokens(),
    );
    page.gauge(
        "body_bytes",
        "Memory reserved for callers' bodies.",
        context.bodies.used() as f64,
    );
    dispatch_metrics(&mut page, &context.dispatcher.snapshot());
    page.process();
    page.text()
}

/// Adds the metrics of tickets, grants and the queues that this router owns.
fn dispatch_metrics(page: &mut MetricsPage, snapshot: &DispatchSnapshot) {
    let waiting = PriorityClass::ALL.into_iter().flat_map(|class| {
        let owned = f64::from(snapshot.waiting.of(class));
        let fallback = f64::from(snapshot.waiting_fallback.of(class));
        [("owner", owned), ("fallback", fallback)]
            .map(|(site, value)| Sample::labelled("class", class.as_str(), value).and("site", site))
    });
    page.gauges(
        "waiting_tickets",
        "Tickets in the queues served here, by class and site.",
        waiting,
    );
    page.gauge(
        "held_requests",
        "Requests of this router's callers that wait for a grant.",
        snapshot.held as f64,
    );
    page.gauge(
        "admission_limit",
        "Requests that this router holds at the most, as adapted to its lag.",
        snapshot.admission_limit,
    );
    page.gauge(
        "owned_queues",
        "Queues served here as their owner.",
        snapshot.owned_queues as f64,
    );
    let totals = &snapshot.totals;
    let by_class = |of: &dyn Fn(PriorityClass) -> u64| {
        let samples = PriorityClass::ALL.into_iter();
        let samples =
            samples.map(|class| Sample::labelled("class", class.as_str(), of(class) as f64));
        samples.collect::<Vec<Sample>>()
    };
    page.counters(
        "granted_tickets",
        "Tickets granted by the queues owned here, by class.",
        by_class(&|class| u64::from(totals.waiting.granted.of(class))),
    );
    page.counters(
        "granted_wait_milliseconds",
        "Waits of the granted tickets together, by class.",
        by_class(&|class| totals.waiting.waited_ms[class.rank()]),
    );
    page.gauge(
        "ejected_runners",
        "Runners that get no work because they fail or are slow, by queue.",
        snapshot.ejected as f64,
    );
    let holder = &snapshot.holder;
    let counters = [
        (
            "aged_grants",
            "Grants to aged tickets of lower classes.",
            totals.waiting.aged,
        ),
        (
            "runner_ejections",
            "Ejections of runners.",
            totals.health.ejections,
        ),
        (
            "runner_returns",
            "Returns of ejected runners.",
            totals.health.returns,
        ),
        (
            "draining_refusals",
            "Refusals of runners that drain.",
            totals.health.draining_refusals,
        ),
        (
            "tickets",
            "Tickets of this router's callers.",
            holder.tickets,
        ),
        ("tickets_resent", "Tickets offered again.", holder.resent),
        (
            "tickets_fallback",
            "Tickets offered to the fallback queue.",
            holder.fallback,
        ),
        (
            "owner_changes",
            "Times that tickets moved to another owner.",
            holder.site_changes,
        ),
        ("grants", "Grants taken.", holder.grants),
        (
            "grants_unwanted",
            "Grants returned because nobody waited.",
            holder.grants_unwanted,
        ),
    ];
    for (name, help, value) in counters {
        page.counter(name, help, value);
    }
}
