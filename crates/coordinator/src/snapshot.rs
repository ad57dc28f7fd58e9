//! The instances as a router needs them that begins to follow: encoded once for
//! all routers that come between two changes.

use crate::sessions::encode;
use courseshunt_services::digest::{BUCKETS, InstanceDigests, bucket_of};
use courseshunt_services::{FeedMessage, InstanceView};
use courseshunt_wire::Frame;
use std::sync::Arc;

/// A router that differs in more parts than this is sent everything at once.
const MANY_PARTS: usize = BUCKETS / 8;

/// See the module.
#[derive(Debug)]
pub(crate) struct Snapshot {
    digests: InstanceDigests,
    parts: Vec<Part>,
    whole: Option<Arc<Frame>>,
}

#[derive(Debug, Default)]
struct Part {
    views: Vec<InstanceView>,
    frame: Option<Arc<Frame>>,
}

impl Snapshot {
    pub(crate) fn of(views: Vec<InstanceView>) -> Self {
        let digests = InstanceDigests::of(&views);
        let mut parts: Vec<Part> = (0..BUCKETS).map(|_| Part::default()).collect();
        for view in views {
            parts[bucket_of(&view.id)].views.push(view);
        }
        Self {
            digests,
            parts,
            whole: None,
        }
    }

    /// What a router lacks that knows instances with these digests.
    pub(crate) fn lacking(&mut self, known: &InstanceDigests) -> Vec<Arc<Frame>> {
        let differing: Vec<usize> = self.digests.differing(known).collect();
        if differing.len() > MANY_PARTS {
            return self.whole().into_iter().collect();
        }
        let parts = differing.into_iter();
        parts.filter_map(|part| self.parts[part].frame()).collect()
    }

    fn whole(&mut self) -> Option<Arc<Frame>> {
        if self.whole.is_none() {
            let views = self.parts.iter().flat_map(|part| part.views.clone());
            self.whole = encode(instances(views.collect()));
        }
        self.whole.clone()
    }
}

impl Part {
    fn frame(&mut self) -> Option<Arc<Frame>> {
        if self.frame.is_none() && !self.views.is_empty() {
            self.frame = encode(instances(self.views.clone()));
        }
        self.frame.clone()
    }
}

fn instances(changed: Vec<InstanceView>) -> FeedMessage {
    FeedMessage::Instances {
        changed,
        gone: Vec::new(),
    }
}
