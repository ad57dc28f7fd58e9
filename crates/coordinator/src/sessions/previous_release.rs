//! Messages to routers of the previous release that other routers do not receive: the list of
//! live instances, and the removal of instances that report a rate limit; and the translation of the
//! instances that their reports name.
//!
//! Invariants: for such a router an instance is gone as long as it reports a limit, since the
//! previous release does not obey limits. Such a router knows instances by their names: the removal of
//! an earlier incarnation is followed by the later one, which has the same name.

use super::{Sessions, encode, instances};
use courseshunt_services::feed::sum_by_instance;
use courseshunt_services::instance_directory::InstanceChanges;
use courseshunt_services::{FeedMessage, InstanceUsage, InstanceView, LimitReport, ReportMessage};
use courseshunt_types::RunnerId;
use courseshunt_wire::Frame;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Sessions {
    /// Updates the set of instances that report a limit from a feed message.
    pub(super) fn update_limited_instances(&self, reports: &[LimitReport]) {
        let limited = reports.iter().filter(|report| report.rate.is_some());
        self.set_limited_instances(limited.map(|report| report.instance.clone()).collect());
    }

    /// Sets the instances that report a limit. Routers of the previous release are sent new ones
    /// as gone, and those whose limit has ended as present again.
    pub(super) fn set_limited_instances(&self, limited: BTreeSet<RunnerId>) {
        let mut feed_state = self.feed_state();
        let previous = std::mem::replace(&mut feed_state.limited, limited);
        let unlimited = previous.difference(&feed_state.limited);
        let unlimited = unlimited.filter_map(|id| feed_state.instances.get(id).cloned());
        let changes = InstanceChanges {
            changed: unlimited.collect(),
            gone: feed_state.limited.difference(&previous).cloned().collect(),
        };
        drop(feed_state);
        if !changes.is_empty()
            && let Some(frame) = encode(instances(changes))
        {
            self.send_to_previous_release(&frame);
        }
        self.withdraw_unserved_aliases();
    }

    /// Whether routers of the previous release subscribe here.
    pub(super) fn has_previous_release_routers(&self) -> bool {
        let subscribers = self.subscribers();
        let mut sessions = subscribers.routers.values();
        sessions.any(|session| session.is_previous_release)
    }

    /// Sends the routers of the previous release what follows for them from changes that all routers
    /// were sent.
    pub(super) fn follow_up_changes(&self, gone: &[RunnerId]) {
        if self.has_previous_release_routers() {
            self.restore_later_incarnations(gone);
            self.withdraw_unserved_aliases();
        }
    }

    /// Sends the routers of the previous release the instances whose earlier incarnations were
    /// removed.
    fn restore_later_incarnations(&self, gone: &[RunnerId]) {
        let feed_state = self.feed_state();
        let later = gone
            .iter()
            .filter_map(|id| feed_state.instances.newest_incarnation(id));
        let later = later.filter(|view| !feed_state.limited.contains(&view.id));
        let changed: Vec<InstanceView> = later.cloned().collect();
        drop(feed_state);
        if changed.is_empty() {
            return;
        }
        let changes = InstanceChanges {
            changed,
            gone: Vec::new(),
        };
        if let Some(frame) = encode(instances(changes)) {
            self.send_to_previous_release(&frame);
        }
    }

    /// Whether the feed contains an incarnation of the instance that `id` names.
    pub(crate) fn contains_name(&self, id: &RunnerId) -> bool {
        self.feed_state().instances.newest_incarnation(id).is_some()
    }

    /// A report of a router of the previous release, with the identities of the instances in place
    /// of their names and aliases.
    pub(crate) fn with_identities(&self, report: ReportMessage) -> ReportMessage {
        let ReportMessage::Usage {
            configuration,
            instances,
            demand,
            unreachable,
            leaving,
        } = report
        else {
            return report;
        };
        let feed_state = self.feed_state();
        let identity = |name: RunnerId| match feed_state.instances.newest_incarnation(&name) {
            Some(view) => view.id.clone(),
            None => name,
        };
        let instances = instances.into_iter().map(|usage| InstanceUsage {
            instance: identity(usage.instance),
            ..usage
        });
        ReportMessage::Usage {
            configuration,
            instances: sum_by_instance(instances),
            demand,
            unreachable: unreachable.into_iter().map(identity).collect(),
            leaving,
        }
    }

    /// A message that removes the limited instances for which `is_included` holds; `None` if
    /// there are none.
    pub(super) fn hidden_instances_frame(
        &self,
        is_included: impl Fn(&RunnerId) -> bool,
    ) -> Option<Arc<Frame>> {
        let feed_state = self.feed_state();
        let gone = feed_state.limited.iter().filter(|id| is_included(id));
        let gone: Vec<RunnerId> = gone.cloned().collect();
        drop(feed_state);
        if gone.is_empty() {
            return None;
        }
        encode(instances(InstanceChanges {
            changed: Vec::new(),
            gone,
        }))
    }

    /// Sends a frame to the routers of the previous release.
    pub(super) fn send_to_previous_release(&self, frame: &Arc<Frame>) {
        self.subscribers().routers.retain(|_, session| {
            !session.is_previous_release || session.queue.try_send(frame.clone()).is_ok()
        });
    }

    /// The list of live instances without the limited ones, once the leadership is settled.
    pub(super) fn live_instances(&self) -> Option<Vec<RunnerId>> {
        let feed_state = self.feed_state();
        let settled = feed_state.leadership.is_some_and(|one| one.settled);
        settled.then(|| {
            let present = feed_state.instances.ids();
            let present = present.filter(|id| !feed_state.limited.contains(id));
            present.cloned().collect()
        })
    }

    /// Sends the list of live instances to the routers of the previous release.
    pub(super) fn send_live_instances(&self) {
        let Some(live) = self.live_instances() else {
            return;
        };
        let Some(frame) = encode(FeedMessage::LiveInstances(live.clone())) else {
            return;
        };
        self.subscribers().routers.retain(|_, session| {
            !session.is_previous_release || session.send_live_instances(&frame, &live)
        });
    }
}
