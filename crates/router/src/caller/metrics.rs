//! The router's metrics page.

use crate::RouterContext;
use courseshunt_metrics::{MetricsPage, Sample};
use courseshunt_types::Refusal;
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
    pub fn record<T>(&self, answered: &Result<T, Refusal>) {
        let result = match answered {
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

/// The page, from the values of this moment.
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
    page.process();
    page.text()
}
