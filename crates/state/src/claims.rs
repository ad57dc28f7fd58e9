//! Claims of once-only requests.
//!
//! Invariant: while a claim is open, no second claim is granted under the same
//! tenant and key; an ended claim is not granted again while it is kept; a claim
//! that was released before it was opened is never granted.

use crate::reply::{ClaimReply, CommandError, StoredAnswer};
use courseshunt_types::{
    Attempt, Digest, IdempotencyKey, Incarnation, Millis, RequestId, RouterId, RunnerId,
    TenantName, UnixMillis,
};
use std::collections::BTreeMap;

/// How long a withdrawn claim is kept: longer than an `OpenClaim` command can be
/// in flight.
pub const WITHDRAWN_KEEP: Millis = Millis::from_secs(15 * 60);

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ClaimState {
    /// The request may be running.
    Open,
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// It may have run; the answer is lost.
    Unknown,
}

/// Tenant and key that identify a claim.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct ClaimName {
    /// The tenant.
    pub tenant: TenantName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// Request and attempt that identify one execution at a runner.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct ExecutionName {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request body.
    pub digest: Digest,
    /// Router that opened it.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Runner that the request goes to.
    pub runner: RunnerId,
    /// Identifier of the execution at the runner.
    pub execution: ExecutionName,
    /// Current state.
    pub state: ClaimState,
    /// When the claim is removed.
    pub expires_at: UnixMillis,
}

/// All claims.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Claims {
    /// Claims by name.
    pub records: BTreeMap<ClaimName, ClaimRecord>,
    /// Executions whose claim was released before it was opened, with the time
    /// until which this is kept.
    pub withdrawn: BTreeMap<ExecutionName, UnixMillis>,
    /// Claims to check for expiry by time, in milliseconds since the epoch. An
    /// entry may be outdated; the record is authoritative.
    expiring: BTreeMap<u64, Vec<ClaimName>>,
}

impl Claims {
    /// Opens a claim, or returns the state of the existing one.
    pub fn open(&mut self, name: &ClaimName, record: &ClaimRecord) -> ClaimReply {
        if self.withdrawn.contains_key(&record.execution) {
            return ClaimReply::Withdrawn;
        }
        match self.look_up(name, record.digest) {
            ClaimReply::Free => {}
            existing => return existing,
        }
        self.records.insert(name.clone(), record.clone());
        let expiring = self.expiring.entry(record.expires_at.0).or_default();
        expiring.push(name.clone());
        ClaimReply::Granted
    }

    /// The state of the claim under a key.
    #[must_use]
    pub fn look_up(&self, name: &ClaimName, digest: Digest) -> ClaimReply {
        let Some(existing) = self.records.get(name) else {
            return ClaimReply::Free;
        };
        if existing.digest != digest {
            return ClaimReply::Conflict;
        }
        match &existing.state {
            ClaimState::Open => ClaimReply::InProgress {
                router: existing.router.clone(),
                incarnation: existing.incarnation,
                runner: existing.runner.clone(),
                request: existing.execution.request.clone(),
                attempt: existing.execution.attempt,
            },
            ClaimState::Answered(answer) => ClaimReply::Recorded(answer.clone()),
            ClaimState::Unknown => ClaimReply::Unknown,
        }
    }

    /// Releases the claim of an execution that is proved not to have run. If the
    /// claim is not open yet, it can't be opened later.
    ///
    /// # Errors
    /// When the claim of this execution has ended.
    pub fn release(
        &mut self,
        name: &ClaimName,
        execution: &ExecutionName,
        now: UnixMillis,
    ) -> Result<(), CommandError> {
        let record = self.records.get(name);
        let own = record.filter(|record| record.execution == *execution);
        let Some(own) = own else {
            let until = now + WITHDRAWN_KEEP;
            self.withdrawn.insert(execution.clone(), until);
            return Ok(());
        };
        if own.state != ClaimState::Open {
            let key = name.key.clone();
            return Err(CommandError::UnknownClaim { key });
        }
        self.records.remove(name);
        Ok(())
    }

    /// Ends an open claim. Later ends are ignored, except that an answer replaces
    /// `Unknown`.
    ///
    /// # Errors
    /// When no claim of that name belongs to this execution.
    pub fn finish(
        &mut self,
        name: &ClaimName,
        execution: &ExecutionName,
        answer: Option<StoredAnswer>,
    ) -> Result<(), CommandError> {
        let record = self.records.get_mut(name);
        let Some(record) = record.filter(|record| record.execution == *execution) else {
            let key = name.key.clone();
            return Err(CommandError::UnknownClaim { key });
        };
        if matches!(record.state, ClaimState::Answered(_)) {
            return Ok(());
        }
        record.state = match answer {
            Some(answer) => ClaimState::Answered(answer),
            None => ClaimState::Unknown,
        };
        Ok(())
    }

    /// When the next claim or withdrawal expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        let claims = self.expiring.keys().next().copied().map(UnixMillis);
        let withdrawn = self.withdrawn.values().min().copied();
        claims.into_iter().chain(withdrawn).min()
    }

    /// Removes expired claims and withdrawals.
    pub fn expire(&mut self, now: UnixMillis) {
        self.withdrawn.retain(|_, until| *until > now);
        let later = self.expiring.split_off(&(now.0 + 1));
        let due = std::mem::replace(&mut self.expiring, later);
        for name in due.into_values().flatten() {
            let record = self.records.get(&name);
            if record.is_some_and(|record| record.expires_at <= now) {
                self.records.remove(&name);
            }
        }
    }
}
