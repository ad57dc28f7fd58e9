//! Load and speed of instances, complete, for later subscribers: a message names only what has
//! changed.
//!
//! Invariant: the frame for a subscriber contains all messages of the current leader.

use super::{FeedState, encode};
use courseshunt_instance_load::{InstanceLoad, LoadTable};
use courseshunt_services::FeedMessage;
use courseshunt_types::{Millis, Timestamp};
use courseshunt_wire::Frame;
use std::sync::Arc;

/// An encoded list is reused for this time, unless it changes: after an election all routers of a
/// fleet subscribe at once. The ages of reports in it are too low by as much.
const MAX_FRAME_AGE: Millis = Millis(100);

/// The complete list and its last encoded form.
#[derive(Debug, Default)]
pub(super) struct RetainedLoads {
    table: LoadTable,
    frame: Option<(Timestamp, Arc<Frame>)>,
}

impl RetainedLoads {
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// The complete list; `None` if there is nothing to send.
    pub(super) fn frame(&mut self, now: Timestamp) -> Option<Arc<Frame>> {
        if self.table.is_empty() {
            return None;
        }
        if let Some((encoded_at, frame)) = &self.frame
            && now.since(*encoded_at) <= MAX_FRAME_AGE
        {
            return Some(frame.clone());
        }
        let frame = encode(FeedMessage::InstanceLoads(self.table.all(now)))?;
        self.frame = Some((now, frame.clone()));
        Some(frame)
    }
}

impl FeedState {
    /// Applies a message to the complete list, and removes instances that are gone.
    pub(super) fn retain_loads(&mut self, loads: &[InstanceLoad], now: Timestamp) {
        let Self {
            loads: retained,
            instances,
            ..
        } = self;
        retained.table.apply(loads, now);
        retained
            .table
            .retain(|instance| instances.contains(instance));
        retained.frame = None;
    }
}
