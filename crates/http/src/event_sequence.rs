//! Where an event stream is between its events, and the ids that its events state.
//!
//! Invariant: each byte is read once, what is kept of a stream is bounded, and no event counts whose
//! id is out of order.
//!
//! Source: WHATWG HTML, section 9.2.6: lines end with LF, CR or CR LF, an empty line ends an event,
//! lines that begin with a colon are comments, and a byte order mark may come first. The name of a
//! field ends at the first colon, and one space after it is no part of the value; the last `id` of
//! an event counts. An event without its empty line is incomplete.

use crate::event_id::{EventId, whole_number};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use snafu::Snafu;
use std::borrow::Cow;
use std::fmt::{self, Display, Formatter};

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
    /// The first byte of the name `id`.
    IdBegin,
    /// The name `id`.
    IdName,
    /// The name and its colon, which one space may follow.
    IdColon,
    /// A part of the value of an `id`.
    IdValue,
    OtherField,
}

impl Line {
    /// The line with one more byte, before its value begins.
    fn with(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Empty, b':') => Self::Comment,
            (Self::Empty, b'i') => Self::IdBegin,
            (Self::IdBegin, b'd') => Self::IdName,
            (Self::IdName, b':') => Self::IdColon,
            _ => Self::OtherField,
        }
    }
}

/// What the id of an event has to be above.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdBefore {
    /// The last id of the stream that is a whole number.
    Event(u64),
    /// Id of the event from which the stream was to go on.
    Resumption(u64),
}

impl IdBefore {
    fn number(self) -> u64 {
        match self {
            Self::Event(number) | Self::Resumption(number) => number,
        }
    }
}

impl Display for IdBefore {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(number) => write!(formatter, "event id {number}"),
            Self::Resumption(number) => write!(formatter, "Last-Event-Id {number}"),
        }
    }
}

/// An event whose id is not above the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("event id {id} follows {before}"))]
pub struct OutOfOrder {
    /// The id of the event.
    pub id: u64,
    /// What it has to be above.
    pub before: IdBefore,
    /// Bytes of the piece that precede the event; 0 if it began in an earlier piece.
    pub preceding_bytes: usize,
}

/// Follows the bytes of an event stream, in pieces of any length.
#[derive(Debug, Clone, Default)]
pub struct EventSequence {
    line: Line,
    /// Whether the present event has a complete line other than a comment.
    has_fields: bool,
    /// Whether the last byte was a CR, which a LF may follow.
    ends_with_cr: bool,
    /// Bytes of a byte order mark seen; all of them once none may come any more.
    mark_bytes: usize,
    /// Value of the present line, if it is an `id`.
    line_id: EventId,
    /// Id that the present event states so far, if it states one.
    event_id: EventId,
    states_id: bool,
    /// This id, if it is a whole number.
    event_number: Option<u64>,
    /// Number of complete events.
    events: u64,
    first_id: Option<EventId>,
    last_id: Option<EventId>,
    /// What the next id that is a whole number has to be above.
    before: Option<IdBefore>,
    gaps: u64,
    ids_out_of_order: u64,
}

impl EventSequence {
    /// A stream that is to go on behind the event with this id.
    #[must_use]
    pub fn resuming(last_event_id: &str) -> Self {
        Self {
            before: whole_number(last_event_id).map(IdBefore::Resumption),
            ..Self::default()
        }
    }

    /// Takes the next bytes of the stream. Ids that are no whole numbers are not judged. An event
    /// that goes on behind these bytes is judged by the id that it states so far.
    ///
    /// # Errors
    /// If the id of an event is not above the one before. The bytes from this event on do not count,
    /// and no more may follow.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), OutOfOrder> {
        let mut rest = self.after_byte_order_mark(bytes);
        let mut preceding_bytes = 0;
        while !rest.is_empty() {
            let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
            let (content, more) = rest.split_at(end.unwrap_or(rest.len()));
            self.extend_line(content);
            rest = more;
            if let Some((terminator, more)) = rest.split_first() {
                self.terminate_line(*terminator, preceding_bytes)?;
                rest = more;
                if !self.has_fields {
                    preceding_bytes = bytes.len() - rest.len();
                }
            }
        }
        self.judge(preceding_bytes)
    }

    /// Whether the stream would end inside an event if no more bytes came.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || !matches!(self.line, Line::Empty | Line::Comment)
    }

    /// Number of complete events. One without data counts too, though a client does not dispatch
    /// it.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Id of the first complete event that states one; `None` without one, or if it is longer than
    /// [`crate::MAX_EVENT_ID_BYTES`].
    #[must_use]
    pub fn first_id(&self) -> Option<Cow<'_, str>> {
        self.first_id.as_ref().and_then(EventId::text)
    }

    /// Id of the last complete event that states one, as [`Self::first_id`].
    #[must_use]
    pub fn last_id(&self) -> Option<Cow<'_, str>> {
        self.last_id.as_ref().and_then(EventId::text)
    }

    /// Number of ids that are more than one above the one before, of the complete events and of those
    /// ids that are whole numbers.
    #[must_use]
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Number of ids that were not above the one before: 1 after an error, 0 otherwise.
    #[must_use]
    pub fn ids_out_of_order(&self) -> u64 {
        self.ids_out_of_order
    }

    fn after_byte_order_mark<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let expected = &BYTE_ORDER_MARK[self.mark_bytes..];
        let both = bytes.iter().zip(expected);
        let matching = both.take_while(|(byte, mark)| byte == mark).count();
        self.mark_bytes += matching;
        let rest = &bytes[matching..];
        if !rest.is_empty() {
            if (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes) {
                self.line = Line::OtherField;
            }
            self.mark_bytes = BYTE_ORDER_MARK.len();
        }
        rest
    }

    fn extend_line(&mut self, content: &[u8]) {
        if content.is_empty() {
            return;
        }
        self.ends_with_cr = false;
        let mut rest = content;
        while let Some((byte, more)) = rest.split_first() {
            match self.line {
                Line::Comment | Line::OtherField => return,
                Line::IdValue => return self.line_id.extend(rest),
                Line::IdColon => {
                    self.line = Line::IdValue;
                    rest = rest.strip_prefix(b" ").unwrap_or(rest);
                }
                Line::Empty | Line::IdBegin | Line::IdName => {
                    self.line = self.line.with(*byte);
                    rest = more;
                }
            }
        }
    }

    fn terminate_line(&mut self, terminator: u8, preceding_bytes: usize) -> Result<(), OutOfOrder> {
        let ended_with_cr = std::mem::replace(&mut self.ends_with_cr, terminator == b'\r');
        if terminator == b'\n' && ended_with_cr {
            return Ok(());
        }
        match std::mem::take(&mut self.line) {
            Line::Empty => return self.end_event(preceding_bytes),
            Line::Comment => {}
            Line::IdBegin | Line::OtherField => self.has_fields = true,
            Line::IdName | Line::IdColon | Line::IdValue => {
                self.has_fields = true;
                self.end_id_line();
            }
        }
        Ok(())
    }

    fn end_id_line(&mut self) {
        if self.line_id.is_valid() {
            std::mem::swap(&mut self.event_id, &mut self.line_id);
            self.states_id = true;
            self.event_number = self.event_id.number();
        }
        self.line_id.clear();
    }

    /// Checks the id that the present event states so far.
    fn judge(&mut self, preceding_bytes: usize) -> Result<(), OutOfOrder> {
        match (self.event_number, self.before) {
            (Some(id), Some(before)) if id <= before.number() => {
                self.ids_out_of_order += 1;
                Err(OutOfOrder {
                    id,
                    before,
                    preceding_bytes,
                })
            }
            _ => Ok(()),
        }
    }

    fn end_event(&mut self, preceding_bytes: usize) -> Result<(), OutOfOrder> {
        self.judge(preceding_bytes)?;
        self.events += u64::from(std::mem::take(&mut self.has_fields));
        if std::mem::take(&mut self.states_id) {
            self.count_id();
        }
        Ok(())
    }

    /// Counts the id of the event that has ended.
    fn count_id(&mut self) {
        if let Some(number) = self.event_number.take() {
            let before = self.before.replace(IdBefore::Event(number));
            let is_gap = before.is_some_and(|before| number - before.number() > 1);
            self.gaps += u64::from(is_gap);
        }
        if self.first_id.is_none() {
            self.first_id = Some(self.event_id.clone());
        }
        let last_id = self.last_id.get_or_insert_default();
        std::mem::swap(last_id, &mut self.event_id);
        self.event_id.clear();
    }
}
