//! Fetches the answer of a claim whose router is gone.
//!
//! Invariant: nothing is sent to run; the named runner is only asked for what
//! it has, and the claim ends as unknown only when that runner knows nothing.

use super::{IN_PROGRESS_RETRY, MAX_RECORDED_BYTES, OnceOnly, commit_in_the_end, unknown};
use crate::attempt::{Count, RunnerQuery, fetch_execution, read_fetched};
use courseshunt_state::{Command, StoredAnswer};
use courseshunt_types::Refusal;

impl OnceOnly {
    /// The answer of an execution that a lost router started.
    pub(super) async fn recover(&self, query: &RunnerQuery) -> Result<StoredAnswer, Refusal> {
        let later = || unknown().with_retry_after(IN_PROGRESS_RETRY);
        if query.address.is_empty() {
            // The runner is gone for good, and what it had with it.
            self.end(query, None).await;
            return Err(unknown());
        }
        match fetch_execution(&self.context.client, query, 0).await {
            Ok(Some(response)) => {
                let answer = read_fetched(&self.context, query, response).await;
                let answer = answer.map_err(|problem| {
                    log::info!("once-only: {}: {problem}", query.request);
                    later()
                })?;
                self.context.counts.add(Count::ClaimRecovered);
                self.end(query, Some(answer.clone())).await;
                Ok(answer)
            }
            Ok(None) => {
                self.end(query, None).await;
                Err(unknown())
            }
            Err(error) => {
                log::info!("once-only: {}: {error}", query.request);
                Err(later())
            }
        }
    }

    async fn end(&self, query: &RunnerQuery, answer: Option<StoredAnswer>) {
        let command = Command::FinishClaim {
            tenant: self.work.tenant.clone(),
            key: self.key.clone(),
            request: query.request.clone(),
            attempt: query.attempt,
            answer: answer.filter(|answer| answer.body.len() <= MAX_RECORDED_BYTES),
        };
        commit_in_the_end(&self.context, command).await;
    }
}
