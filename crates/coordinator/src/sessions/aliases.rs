//! Aliases of instances that routers of the previous release are sent: see
//! [`courseshunt_services::instance_aliases`].
//!
//! Invariant: a router holds the aliases that its session states, or has the change in its queue. An
//! alias is withdrawn as soon as its instance no longer serves the model.

use super::{FeedState, Session, Sessions, encode, instances};
use courseshunt_services::instance_aliases::{FleetState, Presentation, RouterReport, aliases_of};
use courseshunt_services::instance_directory::InstanceChanges;
use courseshunt_services::{FeedMessage, InstanceUsage, ReportMessage};
use courseshunt_types::RunnerId;
use courseshunt_wire::Frame;
use std::sync::Arc;

impl Sessions {
    /// Evaluates a report of a router of the previous release, and sends it new aliases and the
    /// removal of those that it no longer needs; returns the new ones.
    pub(crate) fn update_aliases(
        &self,
        router: &str,
        number: u64,
        report: &ReportMessage,
    ) -> Vec<Presentation> {
        let ReportMessage::Usage {
            instances: usage,
            demand,
            unreachable,
            ..
        } = report
        else {
            return Vec::new();
        };
        let report = RouterReport {
            usage,
            demand,
            unreachable,
        };
        let mut subscribers = self.subscribers();
        let session = subscribers.routers.get_mut(router);
        let Some(session) = session.filter(|session| session.number == number) else {
            return Vec::new();
        };
        let feed_state = self.feed_state();
        let now = self.clock.now();
        let step = session.aliases.on_report(&report, &feed_state.fleet(), now);
        session.send_changes(step.changes);
        step.presentations
    }

    /// Notes the requests in flight at each instance, by which instances are chosen for aliases.
    pub(super) fn note_usage(&self, usage: &[InstanceUsage]) {
        if !self.has_previous_release_routers() {
            return;
        }
        let in_flight = usage
            .iter()
            .map(|one| (one.instance.clone(), one.in_flight));
        self.feed_state().in_flight = in_flight.collect();
    }

    /// Withdraws the aliases of instances that no longer serve their models.
    pub(super) fn withdraw_unserved_aliases(&self) {
        let mut subscribers = self.subscribers();
        let feed_state = self.feed_state();
        let fleet = feed_state.fleet();
        for session in subscribers.routers.values_mut() {
            let gone = session.aliases.withdraw_unserved(&fleet);
            session.send_changes(removal(gone));
        }
    }

    /// Withdraws all aliases, since the routers are to follow another controller.
    pub(crate) fn withdraw_all_aliases(&self) {
        for session in self.subscribers().routers.values_mut() {
            let gone = session.aliases.withdraw_all();
            session.send_changes(removal(gone));
        }
    }

    /// The first message about instances to a router of the previous release, which may hold aliases
    /// of another controller's feed: the live instances, or the aliases as gone while it is not
    /// settled which instances are live. The latter names each instance under all its aliases.
    pub(super) fn first_instances_frame(&self) -> Option<Arc<Frame>> {
        if let Some(live) = self.live_instances() {
            return encode(FeedMessage::LiveInstances(live));
        }
        let feed_state = self.feed_state();
        let gone: Vec<RunnerId> = feed_state.instances.ids().flat_map(aliases_of).collect();
        drop(feed_state);
        encode(instances(removal(gone)))
    }
}

impl Session {
    /// Sends changes if there are any. If the queue is full, the next message for all ends the
    /// session.
    fn send_changes(&self, changes: InstanceChanges) {
        if !changes.is_empty()
            && let Some(frame) = encode(instances(changes))
        {
            let _ = self.queue.try_send(frame);
        }
    }

    /// Sends the list of live instances, together with the aliases that the router holds; returns
    /// `false` if the queue is full. `frame` is the list without aliases.
    pub(super) fn send_live_instances(&self, frame: &Arc<Frame>, live: &[RunnerId]) -> bool {
        let mut aliases = self.aliases.presented().peekable();
        if aliases.peek().is_none() {
            return self.queue.try_send(frame.clone()).is_ok();
        }
        let all = live.iter().chain(aliases).cloned();
        let frame = encode(FeedMessage::LiveInstances(all.collect()));
        frame.is_none_or(|frame| self.queue.try_send(frame).is_ok())
    }
}

impl FeedState {
    fn fleet(&self) -> FleetState<'_> {
        FleetState {
            instances: &self.instances,
            hidden: &self.limited,
            in_flight: &self.in_flight,
        }
    }
}

fn removal(gone: Vec<RunnerId>) -> InstanceChanges {
    InstanceChanges {
        changed: Vec::new(),
        gone,
    }
}
