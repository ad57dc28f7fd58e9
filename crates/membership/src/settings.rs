//! Settings of the consensus core for a group that repairs its membership.

use courseshunt_consensus::CoreSettings;
use courseshunt_types::{ControllerId, Millis};

/// Time between the leader's heartbeats to the other members.
const HEARTBEAT_INTERVAL: Millis = Millis(80);
/// Minimum election timeout; the maximum is twice as long.
const ELECTION_TIMEOUT: Millis = Millis(400);
/// Number of log entries before a snapshot that stay in memory.
const ENTRIES_KEPT: u64 = 8;
/// Maximum time for a learner to catch up before its promotion.
const CATCH_UP_TIMEOUT: Millis = Millis::from_secs(5);

/// Settings of the member `id`.
#[must_use]
pub fn core_settings(id: ControllerId) -> CoreSettings {
    CoreSettings {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
        // Reads are rare; a fast election after the loss of all members is more important.
        lease_reads: false,
        entries_kept_after_snapshot: ENTRIES_KEPT,
        catch_up_timeout: CATCH_UP_TIMEOUT,
        ..CoreSettings::for_member(id)
    }
}
