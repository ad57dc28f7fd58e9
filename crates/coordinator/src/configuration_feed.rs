//! The configuration as it is sent to routers: the difference from the document that a router
//! holds, encoded once for all routers that hold the same.
//!
//! Invariant: a router that applies the difference holds the newest document byte for byte.
//! Cost: the size of a message grows with the change; a router that holds neither the newest
//! document nor the previous one is sent the whole document.

use courseshunt_services::FeedMessage;
use courseshunt_services::digest::document_digest;
use courseshunt_wire::compression::difference;
use courseshunt_wire::{Frame, Message};
use std::sync::Arc;

/// A configuration document with its number.
#[derive(Debug)]
struct Version {
    number: u64,
    document: Vec<u8>,
}

/// The newest configuration and the previous one, with their encoded messages.
#[derive(Debug, Default)]
pub struct ConfigurationFeed {
    newest: Option<Version>,
    previous: Option<Version>,
    difference_frame: Option<Arc<Frame>>,
    full_frame: Option<Arc<Frame>>,
}

impl ConfigurationFeed {
    /// Number of the newest document; 0 before the first.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.number)
    }

    /// Publishes a document if its number is higher than the newest; returns whether it is.
    pub fn publish(&mut self, number: u64, document: &[u8]) -> bool {
        if number <= self.number() {
            return false;
        }
        self.previous = self.newest.take();
        self.newest = Some(Version {
            number,
            document: document.to_vec(),
        });
        self.difference_frame = None;
        self.full_frame = None;
        true
    }

    /// The frame for a router that holds document number `held` (0: none); `None` if that is the
    /// newest, or if the message can't be encoded.
    pub fn frame_for(&mut self, held: u64) -> Option<Arc<Frame>> {
        if held >= self.number() {
            return None;
        }
        let newest = self.newest.as_ref()?;
        let previous = self
            .previous
            .as_ref()
            .filter(|previous| previous.number == held);
        let cached = match previous {
            Some(_) => &mut self.difference_frame,
            None => &mut self.full_frame,
        };
        if cached.is_none() {
            *cached = encode_change(previous, newest);
        }
        cached.clone()
    }
}

fn encode_change(previous: Option<&Version>, newest: &Version) -> Option<Arc<Frame>> {
    let base = previous.map_or(&[][..], |previous| &previous.document);
    let encoded = difference(base, &newest.document).map_err(|error| error.to_string());
    let frame = encoded.and_then(|difference| {
        let message = FeedMessage::Configuration {
            number: newest.number,
            base: previous.map_or(0, |previous| previous.number),
            digest: document_digest(&newest.document),
            difference,
        };
        Frame::of(&Message::ServiceFeed(message))
    });
    match frame {
        Ok(frame) => Some(Arc::new(frame)),
        Err(problem) => {
            let number = newest.number;
            log::error!("feed: encode configuration {number}: {problem}");
            None
        }
    }
}
