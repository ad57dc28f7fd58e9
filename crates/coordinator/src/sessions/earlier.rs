//! What routers of production's build are told apart from the others: which instances are
//! there, by a list, and of those that name a limit nothing.
//!
//! Invariant: such a router is told of an instance that names a limit as gone, for as long as it
//! does.

use super::{Sessions, encode, instances};
use courseshunt_services::fed_instances::InstanceChanges;
use courseshunt_services::{FeedMessage, LimitReport};
use courseshunt_types::RunnerId;
use courseshunt_wire::Frame;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Sessions {
    /// Follows which instances name a limit.
    pub(super) fn follow_limits(&self, words: &[LimitReport]) {
        let limited = words.iter().filter(|word| word.rate.is_some());
        self.keep_back(limited.map(|word| word.instance.clone()).collect());
    }

    /// Follows which instances name a limit: a router of production's build is told of one as
    /// gone for as long as it does.
    pub(super) fn keep_back(&self, limited: BTreeSet<RunnerId>) {
        let mut fed = self.fed();
        let before = std::mem::replace(&mut fed.limited, limited);
        let free = before.difference(&fed.limited);
        let free = free.filter_map(|id| fed.instances.get(id).cloned());
        let news = InstanceChanges {
            changed: free.collect(),
            gone: fed.limited.difference(&before).cloned().collect(),
        };
        drop(fed);
        if !news.is_empty()
            && let Some(frame) = encode(instances(news))
        {
            self.send_to_earlier(&frame);
        }
    }

    /// Tells those of the instances that name a limit as gone.
    pub(super) fn kept_back(&self, is_told: impl Fn(&RunnerId) -> bool) -> Option<Arc<Frame>> {
        let fed = self.fed();
        let gone = fed.limited.iter().filter(|id| is_told(id));
        let gone: Vec<RunnerId> = gone.cloned().collect();
        drop(fed);
        if gone.is_empty() {
            return None;
        }
        encode(instances(InstanceChanges {
            changed: Vec::new(),
            gone,
        }))
    }

    /// Sends to routers of production's build.
    pub(super) fn send_to_earlier(&self, frame: &Arc<Frame>) {
        self.followers().routers.retain(|_, session| {
            !session.is_earlier || session.queue.try_send(frame.clone()).is_ok()
        });
    }

    /// All instances that are there, once that is known.
    pub(super) fn live(&self) -> Option<FeedMessage> {
        let fed = self.fed();
        let settled = fed.leadership.is_some_and(|one| one.settled);
        settled.then(|| {
            let there = fed.instances.ids();
            let there = there.filter(|id| !fed.limited.contains(id));
            FeedMessage::Live(there.cloned().collect())
        })
    }

    /// Tells routers of production's build which instances are there.
    pub(super) fn tell_live(&self) {
        let Some(frame) = self.live().and_then(encode) else {
            return;
        };
        self.send_to_earlier(&frame);
    }
}
