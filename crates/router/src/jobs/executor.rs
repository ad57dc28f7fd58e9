//! Executes deferred jobs under leases.
//!
//! Invariants: a job is sent to a runner only under a lease; a once-only job is
//! requeued only if it is proved not to have run; at a planned stop, running jobs
//! are finished and jobs that wait for a runner are requeued.

use super::lease;
use super::tracker::{JobTracker, WaitingJob, is_due};
use crate::RouterContext;
use crate::attempt::{Count, Execution, Work, read_answer};
use crate::caller::may_use;
use courseshunt_state::command::JobEnd;
use courseshunt_state::{JobWork, StoredAnswer};
use courseshunt_types::{
    AdapterName, JobId, Outcome, Refusal, RefusalReason, RequestId, Timestamp,
};
use std::time::Duration;

/// Maximum number of jobs that a router executes concurrently.
const MAX_RUNNING: usize = 32;
/// Interval between checks for due jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum length of a stored answer, in bytes.
const MAX_STORED_BYTES: usize = 4 * 1024 * 1024;

/// Starts due jobs until the planned stop.
pub async fn run(context: RouterContext) {
    loop {
        tokio::select! {
            () = context.stop.cancelled() => return,
            () = context.jobs.changed() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        for job in due_jobs(&context, &context.jobs) {
            if context.jobs.running() >= MAX_RUNNING {
                break;
            }
            context.jobs.begin(&job);
            let context = context.clone();
            let tasks = context.tasks.clone();
            tasks.spawn(async move { execute(&context, &job).await });
        }
    }
}

fn due_jobs(context: &RouterContext, tracker: &JobTracker) -> Vec<JobId> {
    let now = context.clock.now();
    let groups = tracker.waiting(now).into_iter();
    let due = groups.filter(|(deployment, jobs)| {
        let Some(document) = context.view.deployment(deployment) else {
            return true;
        };
        let replicas = context.view.replicas(deployment);
        let is_loaded = replicas.is_some_and(|replicas| !replicas.ready.is_empty());
        let window = document.batch_window_ms;
        is_due(jobs, is_loaded, window, document.load_estimate_ms, now)
    });
    let jobs = due.flat_map(|(_, jobs)| jobs);
    jobs.map(|WaitingJob { job, .. }| job).collect()
}

async fn execute(context: &RouterContext, job: &JobId) {
    let Some(leased) = lease::acquire(context, job).await else {
        context.jobs.end(job, true, context.clock.now());
        return;
    };
    context.counts.add(Count::JobLeased);
    let end = tokio::select! {
        end = run_job(context, job, &leased) => Some(end),
        () = lease::renew_until_lost(context, job) => None,
    };
    let Some(end) = end else {
        context.counts.add(Count::JobLost);
        context.jobs.end(job, true, context.clock.now());
        return;
    };
    let is_requeued = matches!(end, JobEnd::NotRun | JobEnd::Retry);
    context.counts.add(match end {
        JobEnd::Answered(_) => Count::JobAnswered,
        _ => Count::JobReturned,
    });
    lease::record_end(context, job, end).await;
    context.jobs.end(job, is_requeued, context.clock.now());
}

async fn run_job(context: &RouterContext, job: &JobId, leased: &JobWork) -> JobEnd {
    let work = match build_work(context, job, leased) {
        Ok(work) => work,
        Err(message) => {
            return JobEnd::Refused {
                message,
                started: false,
            };
        }
    };
    let mut execution = Execution::new(context, &work);
    match answer(context, &mut execution).await {
        Ok(answer) if answer.body.len() > MAX_STORED_BYTES => JobEnd::Refused {
            message: format!("the answer is longer than {MAX_STORED_BYTES} bytes"),
            started: true,
        },
        Ok(answer) => JobEnd::Answered(answer),
        Err(refusal) => {
            log::info!("jobs: {job} ended without an answer: {}", refusal.message);
            job_end(&refusal, leased.once_only)
        }
    }
}

async fn answer(
    context: &RouterContext,
    execution: &mut Execution<'_>,
) -> Result<StoredAnswer, Refusal> {
    loop {
        let granted = tokio::select! {
            granted = execution.grant() => granted?,
            () = context.stop.cancelled() => return Err(execution.stopping_refusal()),
        };
        let end = match execution.attempt(granted).await {
            Ok((open, response)) => match read_answer(open, response).await {
                Ok(answer) => return Ok(answer),
                Err(end) => end,
            },
            Err(end) => end,
        };
        execution.handle_end(end)?;
    }
}

/// The end of a job whose execution was refused.
fn job_end(refusal: &Refusal, once_only: bool) -> JobEnd {
    let started = refusal.outcome != Outcome::NotRun;
    match refusal.reason {
        RefusalReason::DeadlineExceeded => JobEnd::DeadlineMissed { started },
        RefusalReason::InvalidRequest | RefusalReason::UnknownModel | RefusalReason::TooLarge => {
            JobEnd::Refused {
                message: refusal.message.clone(),
                started,
            }
        }
        _ if !started => JobEnd::NotRun,
        _ if once_only => JobEnd::Unknown,
        _ => JobEnd::Retry,
    }
}

#[derive(serde::Deserialize)]
struct JobBody {
    model: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Bytes per token in the estimate of the prompt's length.
const BYTES_PER_TOKEN: usize = 4;
/// Value of `max_tokens` if the body has none.
const DEFAULT_MAX_TOKENS: u32 = 16;

fn build_work(context: &RouterContext, job: &JobId, leased: &JobWork) -> Result<Work, String> {
    let body: JobBody =
        serde_json::from_slice(&leased.body).map_err(|error| format!("the body: {error}"))?;
    let document = context.view.deployment(&leased.deployment);
    let document = document.filter(|document| may_use(document, &leased.tenant));
    if document.is_none() {
        return Err(format!("there is no model `{}` any more", body.model));
    }
    let adapter = body.model.split_once(':');
    let adapter = adapter.map(|(_, adapter)| AdapterName::from(adapter));
    let arrived: Timestamp = context.clock.now();
    Ok(Work {
        request: RequestId(format!("{job}-{:016x}", rand::random::<u64>())),
        tenant: leased.tenant.clone(),
        deployment: leased.deployment.clone(),
        adapter,
        class: leased.class,
        arrived,
        waited_before: leased.now.since(leased.submitted_at),
        deadline: arrived + leased.deadline.since(leased.now),
        repeatable: !leased.once_only,
        prompt_tokens: u32::try_from(leased.body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        stream: body.stream,
        path: leased.path.clone(),
        body: leased.body.clone().into(),
    })
}
