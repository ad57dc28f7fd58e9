//! Cache of frames that go to many routers: encoded once for each pair of start and target state.

use courseshunt_wire::{Frame, Message};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of start states in the cache; nearly all routers have one of the latest few.
const MAX_STARTS: usize = 8;

/// Frames of one message or of the parts of one update.
pub type Frames = Arc<Vec<Frame>>;

/// Frames that lead to the newest state, by start state.
#[derive(Debug, Default)]
pub struct FrameCache {
    newest: u64,
    by_start: BTreeMap<u64, Frames>,
}

impl FrameCache {
    /// Frames from state `start` to state `newest`; `make` builds their messages on a cache miss.
    pub fn get(&mut self, start: u64, newest: u64, make: impl FnOnce() -> Vec<Message>) -> Frames {
        if self.newest != newest || self.by_start.len() >= MAX_STARTS {
            self.by_start.clear();
            self.newest = newest;
        }
        let frames = self.by_start.entry(start);
        frames.or_insert_with(|| encode(&make())).clone()
    }
}

fn encode(messages: &[Message]) -> Frames {
    let frames = messages.iter().filter_map(|message| {
        let frame = Frame::of(message);
        frame
            .inspect_err(|problem| log::error!("feed: encoding an update failed: {problem}"))
            .ok()
    });
    Arc::new(frames.collect())
}
