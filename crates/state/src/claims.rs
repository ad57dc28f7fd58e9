//! Claims of once-only requests.
//!
//! Invariant: between the opening of a claim and its end no second claim is
//! granted under the same tenant and key; an ended claim never runs again while
//! it is kept.

use crate::reply::{ClaimReply, CommandError, StoredAnswer};
use courseshunt_types::{
    Digest, IdempotencyKey, Incarnation, RouterId, RunnerId, TenantName, UnixMillis,
};
use std::collections::BTreeMap;

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

/// Name of a claim.
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
    /// State.
    pub state: ClaimState,
    /// Forgotten after this.
    pub expires_at: UnixMillis,
}

/// All claims.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Claims {
    /// Claims by name.
    pub records: BTreeMap<ClaimName, ClaimRecord>,
}

impl Claims {
    /// Opens a claim, or tells what became of the one that is there.
    pub fn open(&mut self, name: &ClaimName, wanted: &ClaimRecord) -> ClaimReply {
        let Some(known) = self.records.get(name) else {
            self.records.insert(name.clone(), wanted.clone());
            return ClaimReply::Granted;
        };
        if known.digest != wanted.digest {
            return ClaimReply::Conflict;
        }
        match &known.state {
            ClaimState::Open => ClaimReply::InProgress {
                router: known.router.clone(),
                runner: known.runner.clone(),
            },
            ClaimState::Answered(answer) => ClaimReply::Recorded(answer.clone()),
            ClaimState::Unknown => ClaimReply::Unknown,
        }
    }

    /// Gives back an open claim of a request that is proved not to have run.
    ///
    /// # Errors
    /// When this router incarnation holds no open claim of that name.
    pub fn release(
        &mut self,
        name: &ClaimName,
        router: &RouterId,
        incarnation: Incarnation,
    ) -> Result<(), CommandError> {
        let record = self.records.get(name);
        let owned = record.is_some_and(|record| {
            let same_router = record.router == *router && record.incarnation == incarnation;
            same_router && record.state == ClaimState::Open
        });
        if !owned {
            let key = name.key.clone();
            return Err(CommandError::UnknownClaim { key });
        }
        self.records.remove(name);
        Ok(())
    }

    /// Ends an open claim. The first end counts; an answer replaces `Unknown`.
    ///
    /// # Errors
    /// When there is no claim of that name.
    pub fn finish(
        &mut self,
        name: &ClaimName,
        answer: Option<StoredAnswer>,
    ) -> Result<(), CommandError> {
        let Some(record) = self.records.get_mut(name) else {
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

    /// Forgets what has expired.
    pub fn expire(&mut self, now: UnixMillis) {
        self.records.retain(|_, record| record.expires_at > now);
    }
}
