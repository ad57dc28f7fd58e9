//! Whether an event stream has ended between two events.
//!
//! Source: WHATWG HTML, section 9.2.6: lines end with LF, CR or CR LF, an empty line ends an event,
//! lines that begin with a colon are comments, and a byte order mark may come first. An event
//! without its empty line is incomplete.

use hyper::header::{CONTENT_TYPE, HeaderMap};

const EVENT_STREAM: &str = "text/event-stream";
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// Whether the headers of a response state that its body is an event stream.
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(CONTENT_TYPE);
    let value = value.and_then(|value| value.to_str().ok());
    let media_type = value.and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// What the present line holds so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Follows the bytes of an event stream, in pieces of any length.
#[derive(Debug, Clone, Default)]
pub struct EventBoundary {
    line: Line,
    /// Whether the present event has a complete line other than a comment.
    has_fields: bool,
    /// Whether the last byte was a CR, which a LF may follow.
    ends_with_cr: bool,
    /// Bytes seen, as far as a byte order mark may still come.
    position: usize,
}

impl EventBoundary {
    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if !self.is_byte_order_mark(*byte) {
                self.push_byte(*byte);
            }
        }
    }

    /// Whether the stream would end inside an event if no more bytes came.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line == Line::Field
    }

    fn is_byte_order_mark(&mut self, byte: u8) -> bool {
        let is_part = BYTE_ORDER_MARK.get(self.position) == Some(&byte);
        self.position = match is_part {
            true => self.position + 1,
            false => BYTE_ORDER_MARK.len(),
        };
        is_part
    }

    fn push_byte(&mut self, byte: u8) {
        let ended_with_cr = std::mem::replace(&mut self.ends_with_cr, byte == b'\r');
        match byte {
            b'\n' if ended_with_cr => {}
            b'\n' | b'\r' => self.end_line(),
            _ if self.line != Line::Empty => {}
            b':' => self.line = Line::Comment,
            _ => self.line = Line::Field,
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => self.has_fields = false,
            Line::Comment => {}
            Line::Field => self.has_fields = true,
        }
    }
}
