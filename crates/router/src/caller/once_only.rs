//! Serves a request that must run at most once.
//!
//! Invariants: a request is sent only after its claim has been committed; a claim
//! is released only if its attempt is proved not to have run; the work continues
//! when the caller disconnects, so that a repeated request gets the recorded
//! answer.

use super::access::AccessRecord;
use super::complete::complete_response;
use super::request::CallerRequest;
use crate::RouterContext;
use crate::attempt::{
    AttemptEnd, Count, Execution, RequestProgress, RunnerQuery, Work, read_answer,
};
use crate::control::LedgerError;
use crate::dispatch::GrantedRequest;
use courseshunt_http::Body;
use courseshunt_state::{ClaimReply, ClaimRequest, Command, CommandReply, StoredAnswer};
use courseshunt_types::{
    Attempt, Digest, IdempotencyKey, Millis, Outcome, Refusal, RefusalReason, RunnerId,
};
use hyper::Response;
use std::time::Duration;
use tokio::sync::oneshot;

mod recover;

/// Retention time of a claim.
const CLAIM_RETENTION: Millis = Millis::from_secs(24 * 3600);
/// Timeout of a ledger command, after which the request is refused.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between retries of a command that must be committed eventually.
const COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time after the deadline for which the handler still waits for the refusal with
/// the known outcome.
const DEADLINE_GRACE: Millis = Millis(500);
/// Retry delay sent for a request that is in progress.
const IN_PROGRESS_RETRY: Millis = Millis::from_secs(1);
/// Retry delay sent when the ledger has no quorum.
const LEDGER_RETRY: Millis = Millis::from_secs(2);
/// Maximum length of a recorded answer, in bytes.
pub const MAX_RECORDED_BYTES: usize = 1024 * 1024;

/// Serves a request under its idempotency key.
pub async fn run(
    context: &RouterContext,
    request: CallerRequest,
    key: IdempotencyKey,
    progress: &RequestProgress,
) -> Result<Response<Body>, Refusal> {
    let now = context.clock.now();
    let work = request.work(now);
    let wait_limit = Millis(work.deadline.since(now).0 + DEADLINE_GRACE.0);
    let id = work.request.clone();
    let (reply, received) = oneshot::channel();
    let once_only = OnceOnly {
        context: context.clone(),
        digest: request.digest,
        key,
        work,
        progress: progress.clone(),
    };
    context.tasks.spawn(async move {
        let _ = reply.send(once_only.run().await);
    });
    match tokio::time::timeout(wait_limit.into(), received).await {
        Ok(Ok(answered)) => answered.map(|answer| complete_response(&id, answer)),
        Ok(Err(_)) => {
            let message = "the router stopped while the request ran";
            Err(Refusal::unknown(RefusalReason::RunnerFailed, message))
        }
        Err(_) => {
            let message = "the deadline passed; repeat with the same key to get the answer";
            let refusal = Refusal::unknown(RefusalReason::DeadlineExceeded, message);
            Err(refusal.with_retry_after(IN_PROGRESS_RETRY))
        }
    }
}

/// A request under its idempotency key.
#[derive(Debug)]
struct OnceOnly {
    context: RouterContext,
    digest: Digest,
    key: IdempotencyKey,
    work: Work,
    progress: RequestProgress,
}

impl OnceOnly {
    async fn run(&self) -> Result<StoredAnswer, Refusal> {
        let progress = || self.progress.clone();
        let mut access = AccessRecord::new(&self.context, &self.work, progress());
        let execution = Execution::new(&self.context, &self.work);
        let mut execution = execution.with_progress(progress());
        let answered = self.answer(&mut execution).await;
        access.record_attempts(&execution);
        match &answered {
            Ok(_) => access.done(),
            Err(refusal) => access.refused(refusal),
        }
        answered
    }

    async fn answer(&self, execution: &mut Execution<'_>) -> Result<StoredAnswer, Refusal> {
        if self.is_cold()
            && let Some(answer) = self.look_up().await?
        {
            return Ok(answer);
        }
        loop {
            let granted = execution.grant().await?;
            let attempt = execution.next_attempt();
            let runner = granted.grant.runner.clone();
            if let Some(answer) = self.open(&runner, attempt).await? {
                return Ok(answer);
            }
            if self.context.clock.now() >= granted.expires {
                drop(granted);
                self.release(attempt).await?;
                continue;
            }
            match self.attempt(execution, granted).await {
                Ok(answer) => {
                    self.finish(attempt, Some(answer.clone())).await;
                    return Ok(answer);
                }
                Err(end) if end.outcome() == Outcome::NotRun => {
                    self.release(attempt).await?;
                    execution.handle_end(end)?;
                }
                Err(end) => {
                    self.finish(attempt, None).await;
                    execution.handle_end(end)?;
                    return Err(unknown());
                }
            }
        }
    }

    async fn attempt(
        &self,
        execution: &Execution<'_>,
        granted: GrantedRequest,
    ) -> Result<StoredAnswer, AttemptEnd> {
        let (open, response) = execution.attempt(granted).await?;
        read_answer(open, response).await
    }

    /// Whether the deployment has no ready replica, so that the request would wait
    /// for a load.
    fn is_cold(&self) -> bool {
        let replicas = self.context.view.replicas(&self.work.deployment);
        replicas.is_none_or(|replicas| replicas.ready.is_empty())
    }

    /// Looks the key up before the wait for a grant, so that a repeated request
    /// causes no model load.
    async fn look_up(&self) -> Result<Option<StoredAnswer>, Refusal> {
        let command = Command::LookUpClaim {
            tenant: self.work.tenant.clone(),
            key: self.key.clone(),
            digest: self.digest,
        };
        match self
            .context
            .ledger
            .commit_within(command, LEDGER_TIMEOUT)
            .await
        {
            Ok(CommandReply::Claim(reply)) => self.handle_claim_reply(reply).await,
            _ => Err(unavailable()),
        }
    }

    /// Opens the claim; `Some` if the answer has already been recorded.
    async fn open(
        &self,
        runner: &RunnerId,
        attempt: Attempt,
    ) -> Result<Option<StoredAnswer>, Refusal> {
        let command = Command::OpenClaim(Box::new(ClaimRequest {
            tenant: self.work.tenant.clone(),
            key: self.key.clone(),
            digest: self.digest,
            router: self.context.settings.id.clone(),
            incarnation: self.context.incarnation,
            runner: runner.clone(),
            request: self.work.request.clone(),
            attempt,
            keep: CLAIM_RETENTION,
        }));
        match self
            .context
            .ledger
            .commit_within(command, LEDGER_TIMEOUT)
            .await
        {
            Ok(CommandReply::Claim(reply)) => self.handle_claim_reply(reply).await,
            Ok(_) | Err(LedgerError::NotCommitted) => Err(unavailable()),
            Err(LedgerError::Undecided) => {
                self.context.counts.add(Count::ClaimWithdrawn);
                self.withdraw(attempt);
                Err(unavailable())
            }
        }
    }

    async fn handle_claim_reply(&self, reply: ClaimReply) -> Result<Option<StoredAnswer>, Refusal> {
        let counts = &self.context.counts;
        match reply {
            ClaimReply::Free => Ok(None),
            ClaimReply::Granted => {
                counts.add(Count::ClaimOpened);
                Ok(None)
            }
            ClaimReply::Recorded(answer) => {
                counts.add(Count::ClaimRecorded);
                Ok(Some(answer))
            }
            ClaimReply::InProgress {
                router,
                incarnation,
                runner,
                request,
                attempt,
            } => {
                counts.add(Count::ClaimInProgress);
                if self.context.is_live(&router, incarnation) {
                    return Err(in_progress());
                }
                let address = self
                    .context
                    .view
                    .runner(&runner)
                    .map(|endpoint| endpoint.address);
                let query = RunnerQuery {
                    address: address.unwrap_or_default(),
                    incarnation: None,
                    request,
                    attempt,
                };
                // The execution of the other router may have run.
                self.progress.set_may_have_run(true);
                self.recover(&query).await.map(Some)
            }
            ClaimReply::Unknown => {
                counts.add(Count::ClaimUnknown);
                Err(unknown())
            }
            ClaimReply::Conflict => {
                counts.add(Count::ClaimConflict);
                let message = "this key was used with another body";
                Err(Refusal::not_run(RefusalReason::KeyConflict, message))
            }
            ClaimReply::Withdrawn => Err(unavailable()),
        }
    }

    fn release_command(&self, attempt: Attempt) -> Command {
        Command::ReleaseClaim {
            tenant: self.work.tenant.clone(),
            key: self.key.clone(),
            request: self.work.request.clone(),
            attempt,
        }
    }

    /// Releases the claim of an attempt that is proved not to have run.
    async fn release(&self, attempt: Attempt) -> Result<(), Refusal> {
        let command = self.release_command(attempt);
        match commit_with_retries(&self.context, command).await {
            true => Ok(()),
            false => Err(unavailable()),
        }
    }

    /// Releases in the background a claim that may still be committed, so that the
    /// key does not stay blocked.
    fn withdraw(&self, attempt: Attempt) {
        let command = self.release_command(attempt);
        let context = self.context.clone();
        let work = async move { commit_with_retries(&context, command).await };
        self.context.tasks.spawn(work);
    }

    /// Records the end of the claim. Without an answer, or with one longer than
    /// [`MAX_RECORDED_BYTES`], repeated requests get the outcome unknown.
    async fn finish(&self, attempt: Attempt, answer: Option<StoredAnswer>) {
        let command = Command::FinishClaim {
            tenant: self.work.tenant.clone(),
            key: self.key.clone(),
            request: self.work.request.clone(),
            attempt,
            answer: answer.filter(|answer| answer.body.len() <= MAX_RECORDED_BYTES),
        };
        commit_with_retries(&self.context, command).await;
    }
}

/// Retries an idempotent command in the background until it is committed. Returns
/// whether it was committed within [`LEDGER_TIMEOUT`].
async fn commit_with_retries(context: &RouterContext, command: Command) -> bool {
    let task_context = context.clone();
    let work = context.tasks.spawn(async move {
        while task_context.ledger.commit(command.clone()).await.is_err() {
            tokio::time::sleep(COMMIT_RETRY_PAUSE).await;
        }
    });
    tokio::time::timeout(LEDGER_TIMEOUT, work).await.is_ok()
}

fn unavailable() -> Refusal {
    let message = "the claim could not be recorded";
    let refusal = Refusal::not_run(RefusalReason::LedgerUnavailable, message);
    refusal.with_retry_after(LEDGER_RETRY)
}

fn in_progress() -> Refusal {
    let message = "a request with this key is running";
    let refusal = Refusal::unknown(RefusalReason::InProgress, message);
    refusal.with_retry_after(IN_PROGRESS_RETRY)
}

fn unknown() -> Refusal {
    let message = "a request with this key may have run; its answer is lost";
    Refusal::unknown(RefusalReason::RunnerFailed, message)
}
