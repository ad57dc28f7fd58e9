//! Commands on one job, on behalf of its executor.

use crate::RouterContext;
use courseshunt_state::command::JobEnd;
use courseshunt_state::{Command, CommandReply, JobReply, JobWork};
use courseshunt_types::{JobId, Millis};
use std::time::Duration;

/// Length of a lease.
pub const LEASE: Millis = Millis::from_secs(15);
/// Time between renewals.
pub const RENEWAL: Duration = Duration::from_secs(5);
/// Pause between tries to record an end.
const RECORD_PAUSE: Duration = Duration::from_millis(500);

fn lease(context: &RouterContext, job: &JobId) -> Command {
    Command::LeaseJob {
        job: job.clone(),
        router: context.settings.id.clone(),
        incarnation: context.incarnation,
        length: LEASE,
    }
}

/// Takes a queued job; `None` when another has it or the ledger can't tell.
pub async fn take(context: &RouterContext, job: &JobId) -> Option<JobWork> {
    match context.ledger.commit(lease(context, job)).await {
        Ok(CommandReply::Job(JobReply::Leased(work))) => Some(work),
        Ok(reply) => {
            log::info!("jobs: {job} is not leased: {reply:?}");
            None
        }
        Err(error) => {
            log::info!("jobs: {job} is not leased: {error}");
            None
        }
    }
}

/// Renews the lease until it is lost, such as by a cancellation.
pub async fn hold(context: &RouterContext, job: &JobId) {
    loop {
        tokio::time::sleep(RENEWAL).await;
        match context.ledger.commit(lease(context, job)).await {
            Ok(CommandReply::Job(JobReply::Accepted)) => {}
            // The lease had run out and was taken again by this renewal.
            Ok(CommandReply::Job(JobReply::Leased(_))) => {}
            Ok(reply) => {
                log::info!("jobs: {job} is lost: {reply:?}");
                return;
            }
            Err(error) => log::warn!("jobs: the lease of {job} is not renewed: {error}"),
        }
    }
}

/// Records the end of a job, however long it takes.
pub async fn record(context: &RouterContext, job: &JobId, end: JobEnd) {
    let command = Command::FinishJob {
        job: job.clone(),
        router: context.settings.id.clone(),
        incarnation: context.incarnation,
        end,
    };
    loop {
        match context.ledger.commit(command.clone()).await {
            Ok(CommandReply::Job(JobReply::Accepted)) => return,
            Ok(reply) => {
                log::info!("jobs: the end of {job} came too late: {reply:?}");
                return;
            }
            Err(error) => log::warn!("jobs: the end of {job} is not recorded: {error}"),
        }
        tokio::time::sleep(RECORD_PAUSE).await;
    }
}
