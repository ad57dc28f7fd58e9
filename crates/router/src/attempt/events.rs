//! Server-sent events of a runner's stream. Pure.
//!
//! Invariant: an event is passed on only when it carries this request's
//! identity and the next position, so that a stream is passed on whole, in
//! order and once.

use bytes::{Bytes, BytesMut};
use courseshunt_types::RequestId;
use std::borrow::Cow;

/// End of an event.
const SEPARATOR: &[u8] = b"\n\n";
/// The last event of a whole stream.
const DONE: &[u8] = b"[DONE]";
/// Longest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
}

impl EventParser {
    /// Takes bytes in.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next whole event, with its separator.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let windows = self.buffer.windows(SEPARATOR.len());
        let end = windows.into_iter().position(|one| one == SEPARATOR)?;
        Some(self.buffer.split_to(end + SEPARATOR.len()).freeze())
    }

    /// Whether more bytes wait for the end of their event than may.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Forgets a half event after a break.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventVerdict {
    /// The next one of this request: pass it on.
    Next,
    /// The end of a whole stream: pass it on.
    Done,
    /// It came before: drop it.
    Doubled,
    /// It belongs to another request, or can't be read: drop it.
    Crossed,
    /// Events before it are missing: resume.
    Gap,
}

#[derive(serde::Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    position: u32,
}

/// Judges an event of `request` when the token at `next` is due.
#[must_use]
pub fn judge_event(event: &[u8], request: &RequestId, next: u32) -> EventVerdict {
    let Some(data) = event.strip_prefix(b"data: ") else {
        return EventVerdict::Crossed;
    };
    let data = data.trim_ascii_end();
    if data == DONE {
        return EventVerdict::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
        return EventVerdict::Crossed;
    };
    if chunk.id != request.as_str() {
        return EventVerdict::Crossed;
    }
    match chunk.position.cmp(&next) {
        std::cmp::Ordering::Equal => EventVerdict::Next,
        std::cmp::Ordering::Less => EventVerdict::Doubled,
        std::cmp::Ordering::Greater => EventVerdict::Gap,
    }
}
