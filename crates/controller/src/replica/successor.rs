//! Chooses the next leader at a planned stop of the leader. Pure.

use courseshunt_consensus::MembersView;
use courseshunt_types::{ControllerId, Millis};

/// A voter contacted within this time can be the next leader.
pub(super) const MAX_VOTER_SILENCE: Millis = Millis(500);

/// The most caught-up live voter that does not run the previous release, whose leaders alone feed
/// routers; `None` if there is no such voter, or if none runs the previous release.
#[must_use]
pub fn preferred_successor(
    members: &MembersView,
    is_previous_release: impl Fn(ControllerId) -> bool,
) -> Option<ControllerId> {
    let (previous, current): (Vec<_>, Vec<_>) = members
        .live_voters(MAX_VOTER_SILENCE)
        .partition(|voter| is_previous_release(*voter));
    if previous.is_empty() {
        return None;
    }
    let progress = members.progress.iter();
    let candidates = progress.filter(|one| current.contains(&one.member));
    let best = candidates.max_by_key(|one| one.matched);
    best.map(|one| one.member)
}
