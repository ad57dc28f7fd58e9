//! A whole fleet on one machine under faults: real controllers, routers and
//! stand-ins over loopback sockets, a load, a fault schedule, and checkers that
//! look from outside the product.

pub mod address;
pub mod check;
pub mod churn;
pub mod faults;
pub mod history;
pub mod links;
pub mod node;
pub mod relay;
mod report;
mod sampler;
mod shape;
pub mod site;
mod workload;

pub use report::{FaultGap, FleetReport};
pub use shape::{FleetShape, LOAD_SPEEDUP, TENANT_TOKEN};
pub use workload::requests;

use crate::error::LabError;
use crate::load::{CallSettings, EchoCheck, RequestRecord, Sending, Target};
use address::NodeId;
use churn::Operators;
use courseshunt_standin::faults::FaultSchedule;
use courseshunt_standin::scenario::Scenario;
use courseshunt_types::Revision;
use faults::FaultStage;
use history::{FaultSpan, History, RunnerExecution};
use sampler::{Seen, SharedSeen, SharedSite};
use site::FleetSite;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

/// Longest wait for a fleet to become ready, or to settle after a run.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait, after the load and all faults, until every router has the
/// last accepted revision.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(16);
const WAIT_PAUSE: Duration = Duration::from_millis(50);
/// Sendings of a request whose caller got no word, after the first.
const RESENDS: u32 = 6;
/// Requests under way at the most.
const MAX_RUNNING: usize = 10_000;

/// A run.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Site, models and callers.
    pub scenario: Scenario,
    /// What breaks when.
    pub faults: FaultSchedule,
    /// Length of the load.
    pub length: Duration,
    /// Factor on runners, routers, models and adapters.
    pub scale: f64,
    /// Requests per second.
    pub rate_per_second: f64,
    /// Longest deadline of a request, so that a run sees every deadline pass.
    pub max_deadline: Duration,
    /// Seed of every random choice.
    pub seed: u64,
    /// Whether a line on standard error tells the progress.
    pub progress: bool,
}

/// Runs a fleet and judges it.
///
/// # Errors
/// When the fleet can't start or a fault can't be brought about; broken
/// promises are in the report.
pub async fn run(settings: &FleetSettings) -> Result<FleetReport, LabError> {
    let shape = FleetShape::of(&settings.scenario, settings.scale);
    let site = FleetSite::start(&shape).await?;
    let site: SharedSite = Arc::new(tokio::sync::Mutex::new(site));
    let clients = site.lock().await.operators();
    let operators = Operators::new(clients, shape.deployments.clone(), Instant::now());
    ready(&site, &operators, &shape).await?;

    let start = Instant::now();
    let run = Run {
        settings,
        shape: &shape,
        site,
        seen: SharedSeen::default(),
        operators: operators.starting_at(start),
        start,
    };
    let history = run.history().await?;
    let Some(site) = Arc::into_inner(run.site) else {
        return Err(LabError::violation("the fleet is still in use"));
    };
    site.into_inner().end().await;
    Ok(FleetReport::of(settings, &history))
}

/// Waits until the first change is in force and every runner is known.
async fn ready(
    site: &SharedSite,
    operators: &Operators,
    shape: &FleetShape,
) -> Result<(), LabError> {
    let limit = Instant::now() + READY_TIMEOUT;
    let mut revision = None;
    while Instant::now() < limit {
        if revision.is_none() {
            revision = operators.apply(&shape.first_change(), 0).await;
        }
        let site = site.lock().await;
        if let Some(revision) = revision
            && lagging(&site, revision).is_empty()
            && knows_all_runners(&site)
        {
            return Ok(());
        }
        drop(site);
        tokio::time::sleep(WAIT_PAUSE).await;
    }
    Err(LabError::violation(
        "the fleet did not become ready in time",
    ))
}

/// Running routers without this revision.
fn lagging(site: &FleetSite, revision: Revision) -> Vec<String> {
    let routers = site.routers.iter();
    let lagging = routers.filter(|(_, node)| {
        let view = node.as_ref().map(|node| &node.part.context().view);
        view.is_none_or(|view| !view.is_synced() || view.revision() < revision)
    });
    let names = lagging.map(|(number, _)| NodeId::router(*number).to_string());
    names.collect()
}

fn knows_all_runners(site: &FleetSite) -> bool {
    let mut controllers = site.controllers.values().flatten();
    controllers.any(|node| {
        let state = node.part.context().replica.state();
        state.placement.runners.len() == site.runners.len()
    })
}

struct Run<'a> {
    settings: &'a FleetSettings,
    shape: &'a FleetShape,
    site: SharedSite,
    seen: SharedSeen,
    operators: Operators,
    start: Instant,
}

impl Run<'_> {
    async fn history(&self) -> Result<History, LabError> {
        let sampling = sampler::run(self.site.clone(), self.seen.clone(), self.start);
        let sampling = tokio::spawn(sampling);
        let churning = tokio::spawn(self.operators.clone().run());
        let (records, faults) = tokio::join!(self.load(), self.faults());
        churning.abort();
        let _ = churning.await;
        let faults = faults?;
        let not_in_force = self.settle().await;
        sampling.abort();
        let _ = sampling.await;
        Ok(self.collect(records, faults, not_in_force).await)
    }

    async fn load(&self) -> Vec<RequestRecord> {
        let settings = self.settings;
        let requests = requests(settings, &self.shape.deployments);
        let targets = {
            let site = self.site.lock().await;
            let numbers = site.routers.keys().copied();
            let nodes = numbers.map(NodeId::router);
            let targets = nodes.map(|node| {
                let address = site.network.http(node).to_string();
                Target::named(node.to_string(), address)
            });
            targets.collect::<Vec<_>>()
        };
        let call = CallSettings {
            token: TENANT_TOKEN.to_owned(),
            echo: EchoCheck::Standin,
            grace: check::GRACE,
            resends: RESENDS,
        };
        let sending = Sending {
            targets: &targets,
            call: &call,
            max_running: MAX_RUNNING,
            start: self.start,
            progress: settings.progress.then_some(settings.length),
        };
        sending.send_all(requests).await
    }

    async fn faults(&self) -> Result<Vec<FaultSpan>, LabError> {
        let stage = FaultStage::new(
            self.site.clone(),
            self.seen.clone(),
            self.operators.clone(),
            (self.shape.list_lag, self.shape.reclaim_notice),
            self.start,
            self.settings.seed,
        );
        faults::run(&stage, &self.settings.faults).await
    }

    /// Waits until every router has the last accepted revision; names those
    /// that don't get it in time.
    async fn settle(&self) -> Vec<String> {
        let limit = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let site = self.site.lock().await;
            let lagging = lagging(&site, self.operators.highest());
            drop(site);
            if lagging.is_empty() || Instant::now() > limit {
                return lagging;
            }
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    }

    async fn collect(
        &self,
        records: Vec<RequestRecord>,
        faults: Vec<FaultSpan>,
        not_in_force: Vec<String>,
    ) -> History {
        let site = self.site.lock().await;
        let Seen {
            routers,
            runners,
            leaving,
        } = std::mem::take(&mut *self.seen.lock().unwrap_or_else(PoisonError::into_inner));
        let log = self.operators.take_log();
        let documents = self.shape.deployments.iter();
        History {
            records,
            executions: executions(&site),
            routers,
            runners,
            faults,
            changes: log.accepted,
            leaving,
            max_replicas: documents
                .map(|one| (one.name.clone(), one.max_replicas))
                .collect(),
            not_in_force,
            operator_faults: log.faults,
        }
    }
}

/// The logs of all lives of all runners.
fn executions(site: &FleetSite) -> Vec<RunnerExecution> {
    let mut all = Vec::new();
    for (number, runner) in &site.runners {
        let name = NodeId::runner(*number).to_string();
        for execution in runner.lives.iter().flat_map(|life| life.executions()) {
            all.push(RunnerExecution {
                runner: name.clone(),
                request: execution.request.0,
                attempt: execution.attempt.0,
                prompt: execution.prompt,
            });
        }
    }
    all
}
