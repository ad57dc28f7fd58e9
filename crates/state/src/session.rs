//! Duplicate detection: a resent command gets its first answer.

use crate::reply::CommandReply;
use courseshunt_types::{ClientId, ClientSequence, Millis, UnixMillis};
use std::collections::BTreeMap;

/// Sessions idle for longer are forgotten.
pub const SESSION_LIFETIME: Millis = Millis::from_secs(24 * 3600);

/// One client's session.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Session {
    /// Answers below this number are forgotten.
    pub acknowledged: ClientSequence,
    /// Answers that the client may not have.
    pub replies: BTreeMap<ClientSequence, CommandReply>,
    /// Last use.
    pub last_used: UnixMillis,
}

/// What is known about a command's number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SequenceStatus {
    /// It is new.
    New,
    /// It was applied; this was the answer.
    Applied(CommandReply),
    /// It was applied; the answer is forgotten.
    Forgotten,
}

/// All sessions.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Sessions {
    /// Sessions by client.
    pub sessions: BTreeMap<ClientId, Session>,
}

impl Sessions {
    /// Looks a command's number up.
    #[must_use]
    pub fn look_up(&self, client: &ClientId, sequence: ClientSequence) -> SequenceStatus {
        let Some(session) = self.sessions.get(client) else {
            return SequenceStatus::New;
        };
        if let Some(reply) = session.replies.get(&sequence) {
            return SequenceStatus::Applied(reply.clone());
        }
        if sequence < session.acknowledged {
            return SequenceStatus::Forgotten;
        }
        SequenceStatus::New
    }

    /// Remembers an answer and forgets the acknowledged ones.
    pub fn record_reply(
        &mut self,
        client: &ClientId,
        sequence: ClientSequence,
        acknowledged: ClientSequence,
        reply: CommandReply,
        now: UnixMillis,
    ) {
        let session = self.sessions.entry(client.clone()).or_default();
        session.acknowledged = session.acknowledged.max(acknowledged);
        session.replies.insert(sequence, reply);
        let keep_from = session.acknowledged;
        session.replies = session.replies.split_off(&keep_from);
        session.last_used = now;
    }

    /// Forgets idle sessions.
    pub fn expire(&mut self, now: UnixMillis) {
        self.sessions
            .retain(|_, session| session.last_used + SESSION_LIFETIME > now);
    }
}
