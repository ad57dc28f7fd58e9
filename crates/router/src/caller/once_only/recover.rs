//! Fetches the answer of a claim whose router is no longer live.
//!
//! Invariant: recovery never starts an execution. It only fetches the answer from
//! the runner named in the claim, and ends the claim as unknown only if that
//! runner is gone or has no record of the execution.

use super::{IN_PROGRESS_RETRY, MAX_RECORDED_BYTES, OnceOnly, commit_with_retries, unknown};
use crate::attempt::{Count, RunnerQuery, fetch_execution, read_fetched};
use courseshunt_state::{Command, StoredAnswer};
use courseshunt_types::Refusal;

impl OnceOnly {
    /// Fetches and records the answer of an execution that a lost router started.
    pub(super) async fn recover(&self, query: &RunnerQuery) -> Result<StoredAnswer, Refusal> {
        let retry_later = || unknown().with_retry_after(IN_PROGRESS_RETRY);
        if query.address.is_empty() {
            // The runner is not in the placement any more, and its answer is lost.
            self.finish_claim(query, None).await;
            return Err(unknown());
        }
        match fetch_execution(&self.context.client, query, 0).await {
            Ok(Some(response)) => {
                let answer = read_fetched(&self.context, query, response).await;
                let answer = answer.map_err(|problem| {
                    log::info!(
                        "once-only: {}: the fetched answer is not usable: {problem}",
                        query.request
                    );
                    retry_later()
                })?;
                self.context.counts.add(Count::ClaimRecovered);
                self.finish_claim(query, Some(answer.clone())).await;
                Ok(answer)
            }
            Ok(None) => {
                self.finish_claim(query, None).await;
                Err(unknown())
            }
            Err(error) => {
                log::info!(
                    "once-only: {}: fetching the answer failed: {error}",
                    query.request
                );
                Err(retry_later())
            }
        }
    }

    async fn finish_claim(&self, query: &RunnerQuery, answer: Option<StoredAnswer>) {
        let command = Command::FinishClaim {
            tenant: self.work.tenant.clone(),
            key: self.key.clone(),
            request: query.request.clone(),
            attempt: query.attempt,
            answer: answer.filter(|answer| answer.body.len() <= MAX_RECORDED_BYTES),
        };
        commit_with_retries(&self.context, command).await;
    }
}
