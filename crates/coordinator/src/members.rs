//! What the leader does for the members of the group: it takes in, promotes, replaces and
//! forgets as the crate `membership` decides, records where members are, and tells how many
//! losses the group can bear.
//!
//! Invariant: one change at a time; the redundancy is looked at also while one is under way.

use crate::records::ControllerRecord;
use crate::{Shared, places};
use courseshunt_consensus::{MembersView, MembershipChange};
use courseshunt_membership::{GroupView, Redundancy, RedundancyWatch, decide, next_to_record};
use courseshunt_records::emit;
use courseshunt_state::Command;
use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Time between looks at the membership.
const INTERVAL: Millis = Millis(200);

/// The care of one leadership for the members.
#[derive(Debug)]
pub(crate) struct MembersKeeper {
    led_since: Timestamp,
    looked_at: Timestamp,
    redundancy: RedundancyWatch,
    /// A change is under way.
    changing: Arc<AtomicBool>,
}

impl MembersKeeper {
    /// Begins with a leadership.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            led_since: now,
            looked_at: now,
            redundancy: RedundancyWatch::default(),
            changing: Arc::default(),
        }
    }

    /// Looks at the members when that is due, and makes the next change, if there is one.
    pub(crate) async fn keep(&mut self, shared: &Arc<Shared>, now: Timestamp) {
        if now.since(self.looked_at) < INTERVAL {
            return;
        }
        self.looked_at = now;
        let members = shared.replica.members().await;
        let all = members.membership.all().into_iter();
        let known = all.filter_map(|id| shared.addresses.get(id).map(|address| (id, address)));
        let addresses: BTreeMap<ControllerId, SocketAddr> = known.collect();
        let joining = applicants(shared, &members, now);
        let redundancy = Redundancy::of(shared.id, &members, joining.len());
        self.watch_redundancy(shared, redundancy, now);
        if self.changing.load(Ordering::Relaxed) {
            return;
        }
        let view = GroupView {
            own: shared.id,
            members: &members,
            addresses: &addresses,
            joining: &joining,
            led_for: now.since(self.led_since),
        };
        let change = decide(&view);
        let unrecorded = unrecorded(shared, &members, &addresses);
        if change.is_none() && unrecorded.is_none() {
            return;
        }
        self.changing.store(true, Ordering::Relaxed);
        let shared = shared.clone();
        let changing = self.changing.clone();
        tokio::spawn(async move {
            if let Some((member, address)) = unrecorded {
                record_address(&shared, member, address).await;
            }
            if let Some(change) = change {
                make_change(&shared, change).await;
            }
            changing.store(false, Ordering::Relaxed);
        });
    }

    /// Records and shows how many losses the group can bear.
    fn watch_redundancy(&mut self, shared: &Shared, present: Redundancy, now: Timestamp) {
        let changed = self.redundancy.update(present, now);
        let below_full = self.redundancy.below_full_for(now);
        shared.tell_redundancy(Some((present, below_full)));
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

/// Processes to be taken in: those that asked, and those that live at a member's address
/// under another identity, since nobody else may know a process whose disk is new.
fn applicants(
    shared: &Shared,
    members: &MembersView,
    now: Timestamp,
) -> Vec<(ControllerId, SocketAddr)> {
    let mut applicants = shared.applicants();
    for (stranger, address) in shared.addresses.recent_unexpected_peers() {
        shared.addresses.set(stranger, address);
        applicants.note(stranger, address, now);
    }
    applicants.present(&members.membership.all(), now)
}

/// A member whose address the replicated state lacks.
fn unrecorded(
    shared: &Shared,
    members: &MembersView,
    known: &BTreeMap<ControllerId, SocketAddr>,
) -> Option<(ControllerId, SocketAddr)> {
    let state = shared.replica.state();
    let recorded = state.members.iter();
    let recorded = recorded.filter_map(|(id, address)| Some((*id, address.parse().ok()?)));
    next_to_record(&members.membership.all(), &recorded.collect(), known)
}

/// Has every member know where this one is.
async fn record_address(shared: &Shared, member: ControllerId, address: SocketAddr) {
    let wire_address = address.to_string();
    let record = Command::RecordMember {
        member,
        wire_address,
    };
    if let Err(error) = shared.replica.submit_as_leader(record).await {
        log::warn!("coordinator: record the address of controller {member}: {error}");
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
    shared.sessions.broadcast(places::told(shared).await);
}
