//! Snapshots: log compaction, and transfer in chunks.

use super::{Core, Role};
use crate::entry::SnapshotMetadata;
use crate::message::ConsensusMessage;
use crate::output::Output;
use courseshunt_types::{ControllerId, LogIndex, Timestamp};

/// A snapshot that is being received from the leader.
#[derive(Debug, Clone)]
pub(super) struct IncomingSnapshot {
    last_index: LogIndex,
    next_offset: u64,
    /// Whether all chunks were received; the caller is making the snapshot durable.
    complete: bool,
}

impl Core {
    /// Metadata for a snapshot of the state machine at its last applied entry.
    #[must_use]
    pub fn snapshot_metadata(&self) -> SnapshotMetadata {
        SnapshotMetadata {
            last_index: self.applied,
            last_term: self.log.term_at(self.applied).unwrap_or_default(),
            membership: self.memberships.at(self.applied).clone(),
        }
    }

    pub(super) fn on_snapshot_saved(&mut self, metadata: SnapshotMetadata) {
        if metadata.last_index <= self.snapshot.last_index {
            return;
        }
        let kept = self.settings.entries_kept_after_snapshot;
        let through = LogIndex(metadata.last_index.0.saturating_sub(kept));
        self.log.compact_to(through);
        self.memberships.compact_to(through);
        self.snapshot = metadata;
    }

    pub(super) fn on_snapshot_restored(&mut self, metadata: SnapshotMetadata) {
        let index = metadata.last_index;
        if index > self.applied {
            let log_continues = self.log.term_at(index) == Some(metadata.last_term);
            match log_continues {
                true => {
                    self.log.compact_to(index);
                    self.memberships.compact_to(index);
                }
                false => {
                    self.log.reset(index, metadata.last_term);
                    let membership = metadata.membership.clone();
                    self.memberships = crate::membership_log::MembershipLog::new(index, membership);
                }
            }
            self.durability.restored(index, log_continues);
            self.commit = self.commit.max(index);
            self.applied = index;
            self.snapshot = metadata;
            self.apply_membership();
            self.apply_committed();
        }
        self.incoming = None;
        self.verified = self.verified.max(index);
        if let Some(leader) = self.leader {
            self.reply_to_chunk(leader, index, 0, true);
        }
    }

    /// Makes the caller send the chunk at `offset`, in bytes.
    pub(super) fn request_chunk(&mut self, to: ControllerId, offset: u64) {
        self.outputs.push(Output::SendSnapshotChunk {
            to,
            term: self.term,
            offset,
        });
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: ControllerId,
        message: ConsensusMessage,
        now: Timestamp,
    ) {
        let ConsensusMessage::SnapshotChunk {
            metadata,
            offset,
            bytes,
            done,
            ..
        } = message
        else {
            return;
        };
        if self.role == Role::Leader {
            return;
        }
        self.record_leader_message(from, now);
        let last_index = metadata.last_index;
        if last_index <= self.commit {
            let last_index = self.durability.through().min(self.commit);
            self.reply_to_chunk(from, last_index, 0, true);
            return;
        }
        let is_same = |one: &&mut IncomingSnapshot| one.last_index == last_index;
        let expected = match self.incoming.as_mut().filter(is_same) {
            Some(incoming) if incoming.complete => return,
            Some(incoming) => incoming.next_offset,
            None => 0,
        };
        if offset != expected {
            self.reply_to_chunk(from, last_index, expected, false);
            return;
        }
        let next_offset = offset + bytes.len() as u64;
        self.incoming = Some(IncomingSnapshot {
            last_index,
            next_offset,
            complete: done,
        });
        self.outputs.push(Output::StoreSnapshotChunk {
            metadata,
            offset,
            bytes,
            done,
        });
        if !done {
            self.reply_to_chunk(from, last_index, next_offset, false);
        }
    }

    fn reply_to_chunk(
        &mut self,
        to: ControllerId,
        last_index: LogIndex,
        next_offset: u64,
        done: bool,
    ) {
        let reply = ConsensusMessage::SnapshotReply {
            term: self.term,
            last_index,
            next_offset,
            done,
        };
        self.send_when_durable(to, reply);
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: ControllerId,
        last_index: LogIndex,
        next_offset: u64,
        done: bool,
        now: Timestamp,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.last_message_at = Some(now);
        if done {
            progress.restored(last_index);
            self.advance_commit(now);
            self.check_pending_change(now);
            self.send_entries();
            return;
        }
        if matches!(progress.mode, crate::progress::SendMode::Snapshot { .. }) {
            progress.continue_snapshot(next_offset);
            self.request_chunk(from, next_offset);
        }
    }
}
