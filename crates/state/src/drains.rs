//! Planned stops that operators have asked for.
//!
//! Invariant: a drained runner stays leaving for its incarnation, whatever the
//! platform's list says; a router's drain ends when it leaves, or after
//! [`ROUTER_DRAIN_KEEP`].

use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{Incarnation, Millis, RouterId, RunnerId, UnixMillis};
use std::collections::BTreeMap;

/// How long a router that is not there may still be told to stop.
pub const ROUTER_DRAIN_KEEP: Millis = Millis::from_secs(600);

/// A router that is to stop.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RouterDrain {
    /// Its incarnation, when the controller that was asked knew it; later ones
    /// are not told then.
    pub incarnation: Option<Incarnation>,
    /// Told until then.
    pub until: UnixMillis,
}

/// See the module.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Drains {
    /// Routers that are to stop.
    routers: BTreeMap<RouterId, RouterDrain>,
    /// Drained runners by incarnation.
    runners: BTreeMap<RunnerId, Incarnation>,
}

impl Drains {
    /// Asks a router to stop.
    pub fn drain_router(
        &mut self,
        router: &RouterId,
        incarnation: Option<Incarnation>,
        now: UnixMillis,
    ) {
        let until = now + ROUTER_DRAIN_KEEP;
        let drain = RouterDrain { incarnation, until };
        self.routers.insert(router.clone(), drain);
    }

    /// Notes that a router has left.
    pub fn router_left(&mut self, router: &RouterId) {
        self.routers.remove(router);
    }

    /// Whether a router's process is to stop.
    #[must_use]
    pub fn is_router_draining(&self, router: &RouterId, incarnation: Incarnation) -> bool {
        let drain = self.routers.get(router);
        drain.is_some_and(|drain| drain.incarnation.is_none_or(|one| one == incarnation))
    }

    /// Asks for no new work for a runner's present process.
    pub fn drain_runner(&mut self, runner: &RunnerId, incarnation: Incarnation) {
        self.runners.insert(runner.clone(), incarnation);
    }

    /// State of a runner's machine with its drain.
    #[must_use]
    pub fn effective_state(
        &self,
        runner: &RunnerId,
        incarnation: Incarnation,
        state: MachineState,
    ) -> MachineState {
        let drained = self.runners.get(runner) == Some(&incarnation);
        match (drained, state) {
            (true, MachineState::Live) => MachineState::Leaving,
            _ => state,
        }
    }

    /// When something is forgotten next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        self.routers.values().map(|drain| drain.until).min()
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: UnixMillis) {
        self.routers.retain(|_, drain| drain.until > now);
    }
}
