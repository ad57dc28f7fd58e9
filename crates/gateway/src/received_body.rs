//! What a router has received of the body of an instance's response.

use crate::interface::Resumption;
use courseshunt_http::{BodyFraming, EventSequence, OutOfOrder, is_event_stream};
use hyper::header::HeaderMap;
use snafu::Snafu;

/// How the body of a response ended, when no more bytes come and no error was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// Its framing states that it is complete.
    Complete,
    /// It ended with its connection: it may be complete or broken off.
    Unknown,
    /// It is an event stream that ended inside an event: it was broken off, whatever its framing
    /// states.
    InsideEvent,
}

/// A response was broken off inside an event of its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the stream ended inside an event"))]
pub(crate) struct EndedInsideEvent;

/// The body of a response, as far as it has been received.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedBody {
    framing: BodyFraming,
    length_bytes: u64,
    /// The events received so far of an event stream; `None` for other bodies.
    events: Option<EventSequence>,
}

impl ReceivedBody {
    /// The body of a response with this framing and these headers, before its first byte, to a
    /// request that resumes this stream.
    pub(crate) fn new(
        framing: BodyFraming,
        headers: &HeaderMap,
        resumption: Option<&Resumption>,
    ) -> Self {
        let last_event_id = resumption.map(|resumption| resumption.last_event_id.as_str());
        let events = || last_event_id.map_or_else(EventSequence::default, EventSequence::resuming);
        Self {
            framing,
            length_bytes: 0,
            events: is_event_stream(headers).then(events),
        }
    }

    /// Takes the next bytes of the body.
    ///
    /// # Errors
    /// If the body is an event stream and the id of an event is not above the one before.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<(), OutOfOrder> {
        self.length_bytes += data.len() as u64;
        match &mut self.events {
            Some(events) => events.push(data),
            None => Ok(()),
        }
    }

    /// How the body has ended if no more bytes come.
    pub(crate) fn end(&self) -> BodyEnd {
        match self.framing {
            _ if self.is_inside_event() == Some(true) => BodyEnd::InsideEvent,
            BodyFraming::Length | BodyFraming::Chunked => BodyEnd::Complete,
            BodyFraming::ConnectionClose => BodyEnd::Unknown,
        }
    }

    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing
    }

    pub(crate) fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Whether an event has begun and not ended; `None` unless the body is an event stream.
    pub(crate) fn is_inside_event(&self) -> Option<bool> {
        self.events().map(EventSequence::is_inside_event)
    }

    /// The events received so far; `None` unless the body is an event stream.
    pub(crate) fn events(&self) -> Option<&EventSequence> {
        self.events.as_ref()
    }
}
