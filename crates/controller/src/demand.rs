//! Demand reported by the routers that own queues.
//!
//! Invariant: the state is volatile; a router's reports are dropped when its connection ends.

use courseshunt_placement::DemandView;
use courseshunt_queue::{DemandReport, WaitingByClass};
use courseshunt_types::{DeploymentName, RouterId, Timestamp};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Latest demand reports by deployment and router.
#[derive(Debug, Default)]
pub struct DemandTracker {
    reports: Mutex<BTreeMap<DeploymentName, DeploymentDemand>>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct DeploymentDemand {
    by_router: BTreeMap<RouterId, ReceivedReport>,
    arrived: WaitingByClass,
    last_arrival: Option<Timestamp>,
}

#[derive(Debug)]
struct ReceivedReport {
    report: DemandReport,
    at: Timestamp,
}

/// Arrivals of one deployment since the last call of [`DemandTracker::take_arrivals`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrivals {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Number of requests by priority class.
    pub count: WaitingByClass,
}

impl DemandTracker {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<DeploymentName, DeploymentDemand>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a router's report and wakes the planner.
    pub fn record(&self, router: &RouterId, report: DemandReport, now: Timestamp) {
        let mut reports = self.lock();
        let demand = reports.entry(report.deployment.clone()).or_default();
        if report.arrived.total() > 0 {
            demand.last_arrival = Some(now);
        }
        demand.arrived.critical += report.arrived.critical;
        demand.arrived.interactive += report.arrived.interactive;
        demand.arrived.batch += report.arrived.batch;
        let received = ReceivedReport { report, at: now };
        demand.by_router.insert(router.clone(), received);
        drop(reports);
        self.changed.notify_one();
    }

    /// Removes the reports of a router that has disconnected.
    pub fn forget(&self, router: &RouterId) {
        for demand in self.lock().values_mut() {
            demand.by_router.remove(router);
        }
    }

    /// Removes all reports, when this member loses the leadership.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Waits for the next report.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the arrivals since the last call and resets their counts.
    pub fn take_arrivals(&self) -> Vec<Arrivals> {
        let mut reports = self.lock();
        let with_arrivals = reports
            .iter_mut()
            .filter(|(_, demand)| demand.arrived.total() > 0);
        with_arrivals
            .map(|(deployment, demand)| Arrivals {
                deployment: deployment.clone(),
                count: std::mem::take(&mut demand.arrived),
            })
            .collect()
    }

    /// Demand for one deployment, summed over the routers.
    #[must_use]
    pub fn view(&self, deployment: &DeploymentName) -> DemandView {
        let reports = self.lock();
        let Some(demand) = reports.get(deployment) else {
            return DemandView::default();
        };
        let mut view = DemandView {
            last_arrival: demand.last_arrival,
            ..DemandView::default()
        };
        for received in demand.by_router.values() {
            add(&mut view, received);
        }
        view
    }
}

fn add(view: &mut DemandView, received: &ReceivedReport) {
    let report = &received.report;
    view.waiting_critical += report.waiting.critical;
    view.waiting_interactive += report.waiting.interactive;
    view.waiting_batch += report.waiting.batch;
    view.running += report.running;
    let deadline = report.earliest_deadline_in.map(|left| received.at + left);
    view.earliest_deadline = [view.earliest_deadline, deadline]
        .into_iter()
        .flatten()
        .min();
    if report.waiting.total() > 0 {
        let oldest = received.at - report.longest_wait;
        let current = view.oldest_arrival.unwrap_or(oldest);
        view.oldest_arrival = Some(current.min(oldest));
    }
}
