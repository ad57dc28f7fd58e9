//! Frames that many routers get: encoded once for each pair of states.

use courseshunt_wire::{Frame, Message};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Starting states kept; nearly all routers have one of the last few.
const MAX_STARTS: usize = 8;

/// Frames of one message or of the parts of one update.
pub type Frames = Arc<Vec<Frame>>;

/// Frames that lead to the newest state, by the state they start from.
#[derive(Debug, Default)]
pub struct FrameCache {
    newest: u64,
    by_start: BTreeMap<u64, Frames>,
}

impl FrameCache {
    /// Frames from state `start` to state `newest`; `make` gives their messages
    /// when they are not at hand.
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
            .inspect_err(|problem| log::error!("feed: encode an update: {problem}"))
            .ok()
    });
    Arc::new(frames.collect())
}
