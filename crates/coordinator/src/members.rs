//! Membership management by the leader: adds, promotes, replaces and removes members as the crate
//! `membership` decides, records the addresses of members, and reports how many member losses the
//! group can tolerate.
//!
//! Invariant: one change at a time; the redundancy is evaluated also while a change is in flight.

use crate::records::ControllerRecord;
use crate::{Shared, member_zones};
use courseshunt_consensus::{MembersView, MembershipChange};
use courseshunt_membership::{
    GroupView, Redundancy, RedundancyTracker, next_address_to_record, next_change,
};
use courseshunt_records::emit;
use courseshunt_state::Command;
use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Interval of the checks of the membership.
const CHECK_INTERVAL: Millis = Millis(200);

/// Membership management of one leadership.
#[derive(Debug)]
pub(crate) struct MembershipManager {
    led_since: Timestamp,
    checked_at: Timestamp,
    redundancy: RedundancyTracker,
    /// A change of the membership, or the record of an address, is in flight.
    change_in_flight: Arc<AtomicBool>,
}

impl MembershipManager {
    /// Starts with a leadership.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            led_since: now,
            checked_at: now,
            redundancy: RedundancyTracker::default(),
            change_in_flight: Arc::default(),
        }
    }

    /// Checks the membership if [`CHECK_INTERVAL`] has passed, and starts the next change, if
    /// there is one.
    pub(crate) async fn run_if_due(&mut self, shared: &Arc<Shared>, now: Timestamp) {
        if now.since(self.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        let members = shared.replica.members().await;
        let all = members.membership.all().into_iter();
        let known = all.filter_map(|id| shared.addresses.get(id).map(|address| (id, address)));
        let addresses: BTreeMap<ControllerId, SocketAddr> = known.collect();
        let joining = pending_join_requests(shared, &members, now);
        let redundancy = Redundancy::of(shared.id, &members, joining.len());
        self.watch_redundancy(shared, redundancy, now);
        if self.change_in_flight.load(Ordering::Relaxed) {
            return;
        }
        let view = GroupView {
            own: shared.id,
            members: &members,
            addresses: &addresses,
            joining: &joining,
            led_for: now.since(self.led_since),
        };
        let change = next_change(&view);
        let unrecorded_address = unrecorded_address(shared, &members, &addresses);
        if change.is_none() && unrecorded_address.is_none() {
            return;
        }
        self.change_in_flight.store(true, Ordering::Relaxed);
        let shared = shared.clone();
        let change_in_flight = self.change_in_flight.clone();
        tokio::spawn(async move {
            if let Some((member, address)) = unrecorded_address {
                record_address(&shared, member, address).await;
            }
            if let Some(change) = change {
                make_change(&shared, change).await;
            }
            change_in_flight.store(false, Ordering::Relaxed);
        });
    }

    /// Records and exposes how many losses the group can tolerate.
    fn watch_redundancy(&mut self, shared: &Shared, present: Redundancy, now: Timestamp) {
        let changed = self.redundancy.update(present, now);
        let below_full = self.redundancy.below_full_for(now);
        shared.set_redundancy(Some((present, below_full)));
        if !changed {
            return;
        }
        emit(&ControllerRecord::Redundancy {
            voters: present.voters,
            live_voters: present.live_voters,
            learners: present.learners,
            joining: present.joining,
            bearable_losses: present.bearable_losses,
            settled: present.settled,
            below_full_ms: below_full.0,
        });
    }
}

/// Processes that are to join: those that sent a request, and those that answer at a member's
/// address under another identity, since the other members may not have the address of a
/// process with a new disk.
fn pending_join_requests(
    shared: &Shared,
    members: &MembersView,
    now: Timestamp,
) -> Vec<(ControllerId, SocketAddr)> {
    let mut requests = shared.join_requests();
    for (peer, address) in shared.addresses.recent_unexpected_peers() {
        shared.addresses.set(peer, address);
        requests.record(peer, address, now);
    }
    requests.pending(&members.membership.all(), now)
}

/// The next member whose address the replicated state lacks.
fn unrecorded_address(
    shared: &Shared,
    members: &MembersView,
    known: &BTreeMap<ControllerId, SocketAddr>,
) -> Option<(ControllerId, SocketAddr)> {
    let state = shared.replica.state();
    let recorded = state.members.iter();
    let recorded = recorded.filter_map(|(id, address)| Some((*id, address.parse().ok()?)));
    next_address_to_record(&members.membership.all(), &recorded.collect(), known)
}

/// Records a member's address in the log, so that every member has it.
async fn record_address(shared: &Shared, member: ControllerId, address: SocketAddr) {
    let wire_address = address.to_string();
    let record = Command::RecordMember {
        member,
        wire_address,
    };
    if let Err(error) = shared.replica.submit_as_leader(record).await {
        log::warn!("coordinator: record address {address} of controller {member}: {error}");
    }
}

async fn make_change(shared: &Arc<Shared>, change: MembershipChange) {
    if let MembershipChange::AddLearner(member) = change
        && let Some(address) = shared.addresses.get(member)
    {
        record_address(shared, member, address).await;
    }
    let changed = shared.replica.change_membership_here(change).await;
    emit(&ControllerRecord::Membership {
        change: &format!("{change:?}"),
        index: changed.as_ref().ok().map(|index| index.0),
        problem: changed.as_ref().err().map(ToString::to_string).as_deref(),
    });
    shared
        .sessions
        .broadcast(member_zones::feed_message(shared).await);
}
