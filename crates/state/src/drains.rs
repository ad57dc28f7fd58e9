//! Planned shutdowns requested by operators.
//!
//! Invariant: a drained runner stays leaving during its incarnation, whatever
//! state the platform reports; a router's drain ends when the router leaves, or
//! after [`ROUTER_DRAIN_KEEP`].

use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{Incarnation, Millis, RouterId, RunnerId, UnixMillis};
use std::collections::BTreeMap;

/// How long a drain request is kept for a router that does not leave.
pub const ROUTER_DRAIN_KEEP: Millis = Millis::from_secs(600);

/// A drain request for a router.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RouterDrain {
    /// Its incarnation, if the controller that received the request knew it; the
    /// request then does not apply to later incarnations.
    pub incarnation: Option<Incarnation>,
    /// When the request expires.
    pub until: UnixMillis,
}

/// Routers and runners that are being drained.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Drains {
    /// Drain requests by router.
    routers: BTreeMap<RouterId, RouterDrain>,
    /// Drained runners by incarnation.
    runners: BTreeMap<RunnerId, Incarnation>,
}

impl Drains {
    /// Requests the shutdown of a router.
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

    /// Records that a router has left.
    pub fn router_left(&mut self, router: &RouterId) {
        self.routers.remove(router);
    }

    /// Whether the router's process must shut down.
    #[must_use]
    pub fn is_router_draining(&self, router: &RouterId, incarnation: Incarnation) -> bool {
        let drain = self.routers.get(router);
        drain.is_some_and(|drain| drain.incarnation.is_none_or(|one| one == incarnation))
    }

    /// Stops new work for the current process of a runner.
    pub fn drain_runner(&mut self, runner: &RunnerId, incarnation: Incarnation) {
        self.runners.insert(runner.clone(), incarnation);
    }

    /// State of a runner's machine, which is `Leaving` instead of `Live` if it is drained.
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

    /// When the next drain request expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        self.routers.values().map(|drain| drain.until).min()
    }

    /// Removes expired drain requests.
    pub fn expire(&mut self, now: UnixMillis) {
        self.routers.retain(|_, drain| drain.until > now);
    }
}
