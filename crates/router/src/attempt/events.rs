//! Parses and classifies the server-sent events of a runner's stream; no I/O.
//!
//! Invariant: an event is forwarded only if it carries this request's id and the
//! next position, so that the caller receives each event once and in order.

use bytes::{Bytes, BytesMut};
use courseshunt_types::RequestId;
use std::borrow::Cow;

/// Bytes that end an event.
const SEPARATOR: &[u8] = b"\n\n";
/// Data of the last event of a complete stream.
const DONE: &[u8] = b"[DONE]";
/// Maximum length of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
}

impl EventParser {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Removes and returns the next complete event, with its separator.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let windows = self.buffer.windows(SEPARATOR.len());
        let end = windows.into_iter().position(|one| one == SEPARATOR)?;
        Some(self.buffer.split_to(end + SEPARATOR.len()).freeze())
    }

    /// Whether the buffered bytes exceed `MAX_EVENT_BYTES`.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event after a lost connection.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// How an event relates to the request and to the expected position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventClass {
    /// The expected event of this request: forward it.
    Next,
    /// The end of a complete stream: forward it.
    Done,
    /// An event that was received before: drop it.
    Duplicate,
    /// An event of another request, or an unreadable one: drop it.
    Mismatched,
    /// Events before it are missing: resume the stream.
    Gap,
}

#[derive(serde::Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    position: u32,
}

/// Classifies an event in a stream of `request` when position `next` is expected.
#[must_use]
pub fn classify_event(event: &[u8], request: &RequestId, next: u32) -> EventClass {
    let Some(data) = event.strip_prefix(b"data: ") else {
        return EventClass::Mismatched;
    };
    let data = data.trim_ascii_end();
    if data == DONE {
        return EventClass::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
        return EventClass::Mismatched;
    };
    if chunk.id != request.as_str() {
        return EventClass::Mismatched;
    }
    match chunk.position.cmp(&next) {
        std::cmp::Ordering::Equal => EventClass::Next,
        std::cmp::Ordering::Less => EventClass::Duplicate,
        std::cmp::Ordering::Greater => EventClass::Gap,
    }
}
