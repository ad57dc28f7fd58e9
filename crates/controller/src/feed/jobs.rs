//! Assigns queued jobs to routers.
//!
//! Invariant: a job is executed under a lease in the ledger, so a temporary disagreement between
//! controllers about its executor is harmless. The executor is chosen like a queue's owner, so
//! that the jobs of a deployment are executed by one router.

use crate::ControllerContext;
use courseshunt_queue::{QueueKey, owner_of};
use courseshunt_state::JobRecord;
use courseshunt_types::{DeploymentName, JobId, RouterId, UnixMillis};
use courseshunt_wire::message::QueuedJob;
use std::collections::BTreeMap;

/// Largest number of jobs in one message to a router.
const MAX_JOBS: usize = 64;

/// The queued jobs for a router, ordered by deadline.
pub fn queued_for(context: &ControllerContext, router: &RouterId) -> Vec<QueuedJob> {
    let routers: Vec<RouterId> = live_routers(context);
    let now = UnixMillis::now();
    let state = context.replica.state();
    let mut is_executor = BTreeMap::new();
    let assigned = state.jobs.queued().filter(|(_, record)| {
        let cached = is_executor.entry(record.deployment.clone());
        *cached.or_insert_with(|| executor(&record.deployment, &routers) == Some(router))
    });
    let mut jobs: Vec<(UnixMillis, QueuedJob)> = assigned
        .map(|(job, record)| (record.deadline, queued_job(job, record, now)))
        .collect();
    jobs.sort_by_key(|(deadline, _)| *deadline);
    jobs.truncate(MAX_JOBS);
    jobs.into_iter().map(|(_, job)| job).collect()
}

fn live_routers(context: &ControllerContext) -> Vec<RouterId> {
    let endpoints = context
        .routers
        .all()
        .into_iter()
        .map(|known| known.endpoint);
    let staying = endpoints.filter(|router| !router.leaving);
    staying.map(|router| router.router).collect()
}

fn executor<'a>(deployment: &DeploymentName, routers: &'a [RouterId]) -> Option<&'a RouterId> {
    let key = QueueKey {
        deployment: deployment.clone(),
        shard: 0,
    };
    owner_of(&key, routers)
}

fn queued_job(job: &JobId, record: &JobRecord, now: UnixMillis) -> QueuedJob {
    QueuedJob {
        job: job.clone(),
        deployment: record.deployment.clone(),
        class: record.class,
        waited: now.since(record.submitted_at),
        deadline_in: record.deadline.since(now),
    }
}
