//! Settings of the core, and deliberate faults for simulations.

use courseshunt_types::{ControllerId, Millis};

/// Settings of one member's core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoreSettings {
    /// Identifier of this member.
    pub id: ControllerId,
    /// Time between heartbeat rounds.
    pub heartbeat_interval: Millis,
    /// Shortest election timeout; the longest is twice as long.
    pub election_timeout: Millis,
    /// Whether a leader with a lease serves reads without a heartbeat round.
    /// Without leases each read takes a heartbeat round, and a member that
    /// restarts need not withhold its vote: a group whose members all restarted
    /// elects a leader as soon as a quorum is up.
    pub lease_reads: bool,
    /// Largest difference of clock rates that leases tolerate, in parts per thousand.
    pub clock_drift_per_mille: u32,
    /// Maximum number of entries in one append message.
    pub max_entries_per_append: usize,
    /// Maximum size of the entries of one append message, in bytes; a single
    /// larger entry is sent alone.
    pub max_bytes_per_append: usize,
    /// Maximum number of entries in flight to one member.
    pub max_entries_in_flight: u64,
    /// Number of entries before a snapshot that stay in memory, so that members
    /// slightly behind need no snapshot.
    pub entries_kept_after_snapshot: u64,
    /// Time that a learner has to catch up after its promotion is proposed.
    pub catch_up_timeout: Millis,
    /// Seed of the election jitter.
    pub seed: u64,
    /// A rule that is deliberately omitted, to show that checks detect it.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

/// A rule of the protocol that can be deliberately omitted, to show that the
/// checks of the simulation detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Entries are committed without a quorum.
    CommitWithoutQuorum,
    /// A leader serves reads without confirming that it is still the leader.
    ReadWithoutLease,
    /// A learner is promoted before it has caught up.
    PromoteBeforeCatchUp,
    /// A member votes for a candidate whose log is less up to date than its own.
    VoteForStaleLog,
    /// Entries of earlier terms are committed by counting replicas alone.
    CommitEarlierTerm,
    /// A learner that receives no messages continues to report its last leader.
    LearnerKeepsLeader,
    /// A member that takes over asks all voters at once, whether or not the leader consents.
    TakeOverAsksAll,
}

impl CoreSettings {
    /// Default settings for one member; the seed is its identifier.
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

    /// Length of the lease: the time, on this member's clock, after the start of
    /// a heartbeat round acknowledged by a quorum in which no other leader can
    /// be elected.
    #[must_use]
    pub fn lease(&self) -> Millis {
        let drift = 1000 + u64::from(self.clock_drift_per_mille);
        Millis(self.election_timeout.0 * 1000 / drift)
    }

    /// Whether a rule is deliberately omitted; always false outside simulations.
    #[cfg(feature = "mutants")]
    pub(crate) fn omits_rule(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Whether a rule is deliberately omitted; always false outside simulations.
    #[cfg(not(feature = "mutants"))]
    pub(crate) fn omits_rule(&self, _mutant: Mutant) -> bool {
        false
    }
}
