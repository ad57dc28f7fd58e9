//! Duplicate detection: a resent command gets the reply to the original.

use crate::reply::CommandReply;
use courseshunt_types::{ClientId, ClientSequence, Millis, UnixMillis};
use std::collections::BTreeMap;

/// Time without commands after which a session is removed.
pub const SESSION_LIFETIME: Millis = Millis::from_secs(24 * 3600);

/// One client's session.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Session {
    /// Replies to commands below this number are removed.
    pub acknowledged: ClientSequence,
    /// Replies that the client may not have received.
    pub replies: BTreeMap<ClientSequence, CommandReply>,
    /// Committed time of the last command.
    pub last_used: UnixMillis,
}

/// Whether a command with a given sequence number was already applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SequenceStatus {
    /// It was not applied yet.
    New,
    /// It was applied with this reply.
    Applied(CommandReply),
    /// It was applied; the reply is no longer kept.
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
    /// Looks up a command by client and sequence number.
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

    /// Stores a reply and removes the acknowledged ones.
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

    /// Removes sessions that were idle for [`SESSION_LIFETIME`].
    pub fn expire(&mut self, now: UnixMillis) {
        self.sessions
            .retain(|_, session| session.last_used + SESSION_LIFETIME > now);
    }
}
