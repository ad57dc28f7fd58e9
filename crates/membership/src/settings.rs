//! Settings of the consensus core in a group that repairs itself.

use courseshunt_consensus::CoreSettings;
use courseshunt_types::{ControllerId, Millis};

/// Time between the leader's heartbeats to the other members.
const HEARTBEAT_INTERVAL: Millis = Millis(80);
/// Shortest election timeout; the longest is twice as long.
const ELECTION_TIMEOUT: Millis = Millis(400);
/// Entries before a snapshot that stay in memory.
const ENTRIES_KEPT: u64 = 8;
/// Longest wait for a learner that is to be promoted.
const CATCH_UP_TIMEOUT: Millis = Millis::from_secs(5);

/// Settings of one member.
#[must_use]
pub fn core_settings(id: ControllerId) -> CoreSettings {
    CoreSettings {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
        // Reads are rare here; a fast election after a total loss is worth more.
        lease_reads: false,
        entries_kept_after_snapshot: ENTRIES_KEPT,
        catch_up_timeout: CATCH_UP_TIMEOUT,
        ..CoreSettings::for_member(id)
    }
}
