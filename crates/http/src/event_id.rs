//! The id that an event of an event stream states.
//!
//! Invariant: no more than [`MAX_EVENT_ID_BYTES`] of an id are kept.

use std::borrow::Cow;

/// Longest id that is kept, in bytes.
pub const MAX_EVENT_ID_BYTES: usize = 64;

/// Value of an `id` field, in pieces of any length.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventId {
    bytes: Vec<u8>,
    is_too_long: bool,
    holds_nul: bool,
}

impl EventId {
    pub(crate) fn clear(&mut self) {
        self.bytes.clear();
        self.is_too_long = false;
        self.holds_nul = false;
    }

    pub(crate) fn extend(&mut self, piece: &[u8]) {
        self.holds_nul |= piece.contains(&0);
        let fits = self.bytes.len() + piece.len() <= MAX_EVENT_ID_BYTES;
        match fits && !self.is_too_long {
            true => self.bytes.extend_from_slice(piece),
            false => self.is_too_long = true,
        }
    }

    /// Whether the field counts: one that holds NUL is ignored.
    pub(crate) fn is_valid(&self) -> bool {
        !self.holds_nul
    }

    /// The id; `None` if it is too long to be kept.
    pub(crate) fn text(&self) -> Option<Cow<'_, str>> {
        (!self.is_too_long).then(|| String::from_utf8_lossy(&self.bytes))
    }

    /// The id as a whole number; `None` if it is none, or one of more than 64 bits.
    pub(crate) fn number(&self) -> Option<u64> {
        let text = std::str::from_utf8(&self.bytes).ok()?;
        let text = Some(text).filter(|_| !self.is_too_long)?;
        whole_number(text)
    }
}

/// An event id that consists of decimal digits, as a number; `None` for other ids, and for numbers
/// of more than 64 bits.
pub(crate) fn whole_number(id: &str) -> Option<u64> {
    let is_digits = id.bytes().all(|byte| byte.is_ascii_digit());
    id.parse().ok().filter(|_| is_digits)
}
