//! Settings of the core.

use courseshunt_types::{ControllerId, Millis};

/// Settings of one member's core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoreSettings {
    /// Identity of this member.
    pub id: ControllerId,
    /// Time between heartbeats.
    pub heartbeat_interval: Millis,
    /// Shortest election timeout; the longest is twice as long.
    pub election_timeout: Millis,
    /// Whether a leader answers reads by its lease alone. Without leases each
    /// read takes a round of heartbeats, and a member that restarts has made no
    /// promise: a group whose members all restarted elects as soon as a quorum
    /// is up.
    pub lease_reads: bool,
    /// Largest difference of clock speeds, in parts per thousand, that leases allow for.
    pub clock_drift_per_mille: u32,
    /// Entries in one append message at the most.
    pub max_entries_per_append: usize,
    /// Content of one append message, in bytes, beyond which no entry is added.
    pub max_bytes_per_append: usize,
    /// Entries under way to one member at the most.
    pub max_entries_in_flight: u64,
    /// Entries before a snapshot that stay in memory for members a little behind.
    pub entries_kept_after_snapshot: u64,
    /// Longest time that a learner has to catch up once its promotion is proposed.
    pub catch_up_timeout: Millis,
    /// Seed of the election jitter.
    pub seed: u64,
    /// A rule that is left out on purpose, to show that checks find it.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

/// A rule of the protocol that can be left out on purpose, to show that the
/// checks of the simulation can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Entries are committed without a quorum.
    CommitWithoutQuorum,
    /// A leader answers reads without asking whether it still leads.
    ReadWithoutLease,
    /// A learner is promoted before it has caught up.
    PromoteBeforeCatchUp,
    /// A member votes for a candidate whose log is behind its own.
    VoteForStaleLog,
    /// Entries of earlier terms are committed by counting copies alone.
    CommitEarlierTerm,
    /// A learner that hears nobody goes on naming its last leader.
    LearnerKeepsLeader,
}

impl CoreSettings {
    /// Usual settings for one member.
    #[must_use]
    pub fn for_member(id: ControllerId) -> Self {
        Self {
            id,
            heartbeat_interval: Millis(100),
            election_timeout: Millis(1000),
            lease_reads: true,
            clock_drift_per_mille: 50,
            max_entries_per_append: 512,
            max_bytes_per_append: 1024 * 1024,
            max_entries_in_flight: 4096,
            entries_kept_after_snapshot: 1024,
            catch_up_timeout: Millis::from_secs(60),
            seed: id.0,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    /// How long after a heartbeat round that a quorum answered no other leader
    /// can be elected, measured on this member's clock.
    #[must_use]
    pub fn lease(&self) -> Millis {
        let drift = 1000 + u64::from(self.clock_drift_per_mille);
        Millis(self.election_timeout.0 * 1000 / drift)
    }

    /// Whether a rule is left out on purpose; never outside of simulations.
    #[cfg(feature = "mutants")]
    pub(crate) fn lacks(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Whether a rule is left out on purpose; never outside of simulations.
    #[cfg(not(feature = "mutants"))]
    pub(crate) fn lacks(&self, _mutant: Mutant) -> bool {
        false
    }
}
