//! Brings a fault schedule about on a running fleet.
//!
//! Invariant: every fault that begins also ends: the node runs again and the
//! link is whole when [`run`] returns.

mod target;

pub use target::{FaultTarget, NamedLink};

use super::address::NodeId;
use super::churn::Operators;
use super::history::{FaultSpan, LeavingRunner};
use super::links::{LinkKey, LinkState};
use super::sampler::{SharedSeen, SharedSite};
use crate::error::LabError;
use courseshunt_standin::faults::{Fault, FaultKind, FaultSchedule};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{Millis, RunnerId};
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Pause between two looks at whether the platform's list moves again.
const LIST_PAUSE: Duration = Duration::from_millis(50);

/// What faults act on.
#[derive(Debug, Clone)]
pub struct FaultStage {
    /// The fleet.
    pub site: SharedSite,
    /// Where leaving runners are noted.
    pub seen: SharedSeen,
    /// The operators.
    pub operators: Operators,
    /// How far the platform's list lags behind.
    pub list_lag: Millis,
    /// Notice before a machine is taken away.
    pub reclaim_notice: Millis,
    /// Start of the load.
    pub start: Instant,
    /// Seed of the choice of targets.
    pub seed: u64,
    list_stands: Arc<AtomicBool>,
}

impl FaultStage {
    /// A stage whose list moves.
    #[must_use]
    pub fn new(
        site: SharedSite,
        seen: SharedSeen,
        operators: Operators,
        lags: (Millis, Millis),
        start: Instant,
        seed: u64,
    ) -> Self {
        let (list_lag, reclaim_notice) = lags;
        Self {
            site,
            seen,
            operators,
            list_lag,
            reclaim_notice,
            start,
            seed,
            list_stands: Arc::default(),
        }
    }
}

/// Brings all faults about, each at its time, and returns when all have ended.
///
/// # Errors
/// When a target is unknown, a fault can't be brought about here, or a node
/// does not start again.
pub async fn run(stage: &FaultStage, schedule: &FaultSchedule) -> Result<Vec<FaultSpan>, LabError> {
    let mut work = JoinSet::new();
    for (position, fault) in schedule.fault.iter().cloned().enumerate() {
        let stage = stage.clone();
        work.spawn(async move {
            let begin = stage.start + Duration::from(fault.at_ms);
            tokio::time::sleep_until(begin.into()).await;
            one(&stage, &fault, position).await
        });
    }
    let mut spans = Vec::new();
    while let Some(ended) = work.join_next().await {
        let ended = ended.map_err(|error| LabError::violation(error.to_string()))?;
        spans.push(ended?);
    }
    spans.sort_by_key(|span| span.from);
    Ok(spans)
}

async fn one(stage: &FaultStage, fault: &Fault, position: usize) -> Result<FaultSpan, LabError> {
    let from = stage.start.elapsed();
    let target = target::resolve(stage, fault, position).await?;
    log::info!("fleet: {} hits {target}", kind_name(&fault.kind));
    stage.bring_about(fault, &target, position).await?;
    Ok(FaultSpan {
        kind: kind_name(&fault.kind),
        nodes: target.nodes.iter().map(ToString::to_string).collect(),
        from,
        until: stage.start.elapsed(),
    })
}

/// The name of a kind as in fault files.
#[must_use]
pub fn kind_name(kind: &FaultKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    match value {
        serde_json::Value::String(name) => name,
        serde_json::Value::Object(fields) => fields.keys().next().cloned().unwrap_or_default(),
        _ => String::new(),
    }
}

impl FaultStage {
    async fn bring_about(
        &self,
        fault: &Fault,
        target: &FaultTarget,
        position: usize,
    ) -> Result<(), LabError> {
        let length = Duration::from(fault.for_ms);
        match &fault.kind {
            FaultKind::Crash => self.crash(target, length).await?,
            FaultKind::ZoneLoss => self.lose_zone(target, length).await?,
            FaultKind::PlannedRestart => self.restart(target, length).await?,
            FaultKind::SilentCut | FaultKind::ZoneCut => {
                self.change_links(target, length, |link| link.cut = true)
                    .await;
            }
            FaultKind::SlowLink(delay) => {
                let delay = Duration::from(*delay);
                self.change_links(target, length, move |link| link.delay = delay)
                    .await;
            }
            FaultKind::Freeze => self.freeze(target, length).await,
            FaultKind::Reclaim => self.reclaim(target, length, true).await?,
            FaultKind::ReclaimWithoutNotice => self.reclaim(target, length, false).await?,
            FaultKind::SlowStore(speed) => {
                let store = self.site.lock().await.store.clone();
                store.set_speed(*speed);
                tokio::time::sleep(length).await;
                store.set_speed(1.0);
            }
            FaultKind::StaleList => {
                self.list_stands.store(true, Ordering::Relaxed);
                tokio::time::sleep(length).await;
                self.list_stands.store(false, Ordering::Relaxed);
            }
            FaultKind::OperatorRace => self.operators.race(position).await,
            FaultKind::ResentChange => self.operators.resend(position).await,
            other @ (FaultKind::LoseDisk | FaultKind::DiskFull) => {
                let kind = kind_name(other);
                let problem = format!("the fault `{kind}` can't be brought about in a fleet yet");
                return Err(LabError::usage(problem));
            }
        }
        Ok(())
    }

    async fn crash(&self, target: &FaultTarget, length: Duration) -> Result<(), LabError> {
        for node in &target.nodes {
            self.site.lock().await.crash(*node).await;
        }
        tokio::time::sleep(length).await;
        self.start_again(&target.nodes).await
    }

    async fn lose_zone(&self, target: &FaultTarget, length: Duration) -> Result<(), LabError> {
        let end = Instant::now() + length;
        for node in &target.nodes {
            self.site.lock().await.crash(*node).await;
        }
        self.list(&target.nodes, MachineState::Gone).await;
        tokio::time::sleep_until(end.into()).await;
        self.start_again(&target.nodes).await
    }

    async fn start_again(&self, nodes: &[NodeId]) -> Result<(), LabError> {
        for node in nodes {
            self.site.lock().await.start_node(*node).await?;
        }
        Ok(())
    }

    async fn restart(&self, target: &FaultTarget, length: Duration) -> Result<(), LabError> {
        for node in &target.nodes {
            let stop = self.site.lock().await.take_for_stop(*node);
            stop.run().await;
            self.site.lock().await.close_relay(*node);
        }
        tokio::time::sleep(length).await;
        self.start_again(&target.nodes).await
    }

    async fn freeze(&self, target: &FaultTarget, length: Duration) {
        for node in &target.nodes {
            self.site.lock().await.freeze(*node, length);
        }
        tokio::time::sleep(length).await;
    }

    async fn change_links(
        &self,
        target: &FaultTarget,
        length: Duration,
        change: impl Fn(&mut LinkState),
    ) {
        let links = {
            let site = self.site.lock().await;
            let keys: Vec<LinkKey> = target.links(&site.nodes());
            let links = site.relay.links.clone();
            links.change(&keys, change);
            (links, keys)
        };
        tokio::time::sleep(length).await;
        let (links, keys) = links;
        links.change(&keys, |link| *link = LinkState::default());
    }

    /// The platform takes machines away; `length` is the notice, or, without
    /// notice, the time until a machine of that name comes back.
    async fn reclaim(
        &self,
        target: &FaultTarget,
        length: Duration,
        notice: bool,
    ) -> Result<(), LabError> {
        if notice {
            self.list(&target.nodes, MachineState::Leaving).await;
            let length = match length.is_zero() {
                true => self.reclaim_notice.into(),
                false => length,
            };
            tokio::time::sleep(length).await;
        }
        for node in &target.nodes {
            self.site.lock().await.crash(*node).await;
        }
        self.list(&target.nodes, MachineState::Gone).await;
        tokio::time::sleep(if notice { Duration::ZERO } else { length }).await;
        self.forget_leaving(target);
        self.start_again(&target.nodes).await
    }

    /// Changes the platform's list, late, and not while it stands still.
    async fn list(&self, nodes: &[NodeId], state: MachineState) {
        tokio::time::sleep(self.list_lag.into()).await;
        while self.list_stands.load(Ordering::Relaxed) {
            tokio::time::sleep(LIST_PAUSE).await;
        }
        let site = self.site.lock().await;
        for node in nodes {
            let runner = node.to_string();
            site.platform.set_state(&RunnerId(runner.clone()), state);
            if state == MachineState::Leaving {
                let listed_at = self.start.elapsed();
                let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
                seen.leaving.push(LeavingRunner {
                    runner,
                    listed_at,
                    until: None,
                });
            }
        }
    }

    /// A machine that comes back under the same name is no longer leaving.
    fn forget_leaving(&self, target: &FaultTarget) {
        let now = self.start.elapsed();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        for leaving in &mut seen.leaving {
            let back = target
                .nodes
                .iter()
                .any(|node| node.to_string() == leaving.runner);
            if back && leaving.until.is_none() {
                leaving.until = Some(now);
            }
        }
    }
}
