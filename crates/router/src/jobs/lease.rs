//! Ledger commands of the executor for one job: acquire and renew its lease,
//! record its end.

use crate::RouterContext;
use courseshunt_state::command::JobEnd;
use courseshunt_state::{Command, CommandReply, JobReply, JobWork};
use courseshunt_types::{JobId, Millis};
use std::time::Duration;

/// Duration of a lease.
pub const LEASE: Millis = Millis::from_secs(15);
/// Interval between lease renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Pause between retries of recording the end of a job.
const RECORD_PAUSE: Duration = Duration::from_millis(500);

fn lease_command(context: &RouterContext, job: &JobId) -> Command {
    Command::LeaseJob {
        job: job.clone(),
        router: context.settings.id.clone(),
        incarnation: context.incarnation,
        length: LEASE,
    }
}

/// Acquires the lease of a queued job; `None` if another router holds it or the
/// ledger does not commit the command.
pub async fn acquire(context: &RouterContext, job: &JobId) -> Option<JobWork> {
    match context.ledger.commit(lease_command(context, job)).await {
        Ok(CommandReply::Job(JobReply::Leased(work))) => Some(work),
        Ok(reply) => {
            log::info!("jobs: the lease of {job} was refused: {reply:?}");
            None
        }
        Err(error) => {
            log::info!("jobs: acquiring the lease of {job} failed: {error}");
            None
        }
    }
}

/// Renews the lease; returns when it is lost, for example because the job was
/// cancelled.
pub async fn renew_until_lost(context: &RouterContext, job: &JobId) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        match context.ledger.commit(lease_command(context, job)).await {
            Ok(CommandReply::Job(JobReply::Accepted)) => {}
            // The lease had expired and this renewal acquired it again.
            Ok(CommandReply::Job(JobReply::Leased(_))) => {}
            Ok(reply) => {
                log::info!("jobs: the lease of {job} is lost: {reply:?}");
                return;
            }
            Err(error) => log::warn!("jobs: renewing the lease of {job} failed: {error}"),
        }
    }
}

/// Records the end of a job; retries until the ledger has decided.
pub async fn record_end(context: &RouterContext, job: &JobId, end: JobEnd) {
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
                log::info!("jobs: the end of {job} was refused: {reply:?}");
                return;
            }
            Err(error) => log::warn!("jobs: recording the end of {job} failed: {error}"),
        }
        tokio::time::sleep(RECORD_PAUSE).await;
    }
}
