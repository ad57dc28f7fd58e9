//! Decides whether a controller accepts a registration. Pure.
//!
//! Invariant: a controller never redirects instances to a particular controller. It accepts
//! registrations that it can relay soon, and rejects others at once. A slow leader therefore does
//! not receive the registrations of all instances in addition, which would keep it overloaded.

use courseshunt_types::Millis;

/// Time after the loss of its link to the leader for which a controller that is in contact with a
/// leader still accepts registrations, which are relayed with the next link. An instance without
/// a registration for four of its intervals counts as gone, so this time plus one interval must
/// stay well below that.
pub const RELAY_GRACE: Millis = Millis(2_000);

/// Inputs of [`decide`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionView {
    /// Whether this controller leads.
    pub leads: bool,
    /// Whether it is in contact with a leader. A controller that is cut off is not, and the
    /// registrations that it accepted would reach no other one. Its instances move to another
    /// controller at once.
    pub has_leader: bool,
    /// Time since the link to the leader was lost; `None` while it is up.
    pub leader_unreachable_for: Option<Millis>,
}

/// The decision on a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Accept it: apply it here, or relay it to the leader.
    Accept,
    /// Reject it; another controller may have a link to the leader.
    TryAnother(RelayObstacle),
}

/// Why a controller can't relay a registration soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayObstacle {
    /// It is in contact with no leader.
    NoLeader,
    /// It is in contact with a leader, and its link to the leader has been down for this time.
    NoLink(Millis),
}

impl RelayObstacle {
    /// Value in records.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoLeader => "no_leader",
            Self::NoLink(_) => "no_link",
        }
    }

    /// How long the link has been down, if that is the reason.
    #[must_use]
    pub fn link_down_for(self) -> Option<Millis> {
        match self {
            Self::NoLeader => None,
            Self::NoLink(elapsed) => Some(elapsed),
        }
    }
}

/// Decides whether a registration is accepted.
#[must_use]
pub fn decide(view: AdmissionView) -> Admission {
    if view.leads {
        return Admission::Accept;
    }
    if !view.has_leader {
        return Admission::TryAnother(RelayObstacle::NoLeader);
    }
    match view.leader_unreachable_for {
        Some(elapsed) if elapsed > RELAY_GRACE => {
            Admission::TryAnother(RelayObstacle::NoLink(elapsed))
        }
        _ => Admission::Accept,
    }
}
