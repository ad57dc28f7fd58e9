//! Open-loop load: requests go out at planned times, whatever became of the
//! earlier ones, and every answer is checked.
//!
//! Invariant: latencies count from the planned time of a request, so that a
//! stall of the system (or of this tool) is charged to every request that it
//! held up. That is the correction for coordinated omission.

mod arrivals;
mod call;
mod echo;
mod latency;
mod mix;
mod progress;
mod record;
mod report;
mod summary;

pub use arrivals::{ArrivalPlan, arrival_times};
pub use call::{CallSettings, Target, send};
pub use echo::{EchoCheck, expected_text, messages};
pub use latency::{Latencies, LatencySummary};
pub use mix::{Mix, Share};
pub use record::{PlannedRequest, RequestForm, RequestRecord, RequestResult};
pub use report::html;
pub use summary::{LoadSummary, SecondCount};

use crate::error::LabError;
use progress::Progress;
use rand::SeedableRng;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// What to send.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Routers, called in turn.
    pub targets: Vec<Target>,
    /// When requests go out.
    pub arrivals: ArrivalPlan,
    /// What they ask for.
    pub mix: Mix,
    /// How each is sent and checked.
    pub call: CallSettings,
    /// Requests under way at the most; more are counted as not sent.
    pub max_running: usize,
    /// Seed of every random choice.
    pub seed: u64,
    /// Whether a line on standard error tells the progress.
    pub progress: bool,
}

/// Sends the load and returns the record of every request, in planned order.
///
/// # Errors
/// When the settings name no target.
pub async fn run(settings: &LoadSettings) -> Result<Vec<RequestRecord>, LabError> {
    if settings.targets.is_empty() {
        return Err(LabError::usage("no address is given"));
    }
    let progress = settings.progress.then_some(settings.arrivals.length);
    let sending = Sending {
        targets: &settings.targets,
        call: &settings.call,
        max_running: settings.max_running,
        start: Instant::now(),
        progress,
    };
    Ok(sending.send_all(plan(settings)).await)
}

/// The requests of a load, in the order of their planned times.
#[must_use]
pub fn plan(settings: &LoadSettings) -> Vec<PlannedRequest> {
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(settings.seed);
    let times = arrival_times(&settings.arrivals, &mut random);
    let numbered = times.into_iter().enumerate();
    let requests = numbered.map(|(number, at)| settings.mix.draw(number, at, &mut random));
    requests.collect()
}

/// How planned requests are sent.
#[derive(Debug, Clone, Copy)]
pub struct Sending<'a> {
    /// Routers, called in turn.
    pub targets: &'a [Target],
    /// How each request is sent and checked.
    pub call: &'a CallSettings,
    /// Requests under way at the most.
    pub max_running: usize,
    /// The time from which planned times count.
    pub start: Instant,
    /// Length of the load, when a line on standard error tells the progress.
    pub progress: Option<Duration>,
}

impl Sending<'_> {
    /// Sends requests at their planned times and waits for all of them.
    pub async fn send_all(&self, planned: Vec<PlannedRequest>) -> Vec<RequestRecord> {
        let progress = Arc::new(Progress::new(self.progress.unwrap_or_default()));
        let line = self
            .progress
            .map(|_| tokio::spawn(progress.clone().print()));
        let records = self.send_planned(planned, &progress).await;
        if let Some(line) = line {
            line.abort();
            progress.finish();
        }
        records
    }

    async fn send_planned(
        &self,
        planned: Vec<PlannedRequest>,
        progress: &Arc<Progress>,
    ) -> Vec<RequestRecord> {
        let running = Arc::new(Semaphore::new(self.max_running));
        let mut work = JoinSet::new();
        let mut records = Vec::with_capacity(planned.len());
        for request in planned {
            tokio::time::sleep_until((self.start + request.at).into()).await;
            let Ok(slot) = running.clone().try_acquire_owned() else {
                records.push(RequestRecord::not_sent(request));
                continue;
            };
            let targets = targets_from(self.targets, request.number);
            let (call, progress, start) = (self.call.clone(), progress.clone(), self.start);
            work.spawn(async move {
                progress.sent();
                let record = send(&targets, request, &call, start).await;
                progress.ended(&record);
                drop(slot);
                record
            });
        }
        while let Some(ended) = work.join_next().await {
            records.extend(ended);
        }
        records.sort_by_key(|record| record.request.number);
        records
    }
}

/// All targets, beginning with the one whose turn it is.
fn targets_from(targets: &[Target], number: usize) -> Vec<Target> {
    let mut turned = targets.to_vec();
    turned.rotate_left(number % targets.len());
    turned
}

/// Time from `start` to now.
pub(crate) fn since(start: Instant) -> Duration {
    start.elapsed()
}
