//! What a router has received of the body of an instance's response.

use courseshunt_http::{BodyFraming, EventBoundary, is_event_stream};
use hyper::Method;
use hyper::http::response::Parts;

/// The body of a response, as far as it has been received.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedBody {
    framing: BodyFraming,
    length_bytes: u64,
    /// Where an event stream is between its events; `None` for other bodies.
    event_boundary: Option<EventBoundary>,
}

impl ReceivedBody {
    /// The body of a response with this head to a request with this method, before its first byte.
    pub(crate) fn new(method: &Method, head: &Parts) -> Self {
        Self {
            framing: BodyFraming::of_response(method, head.status, &head.headers),
            length_bytes: 0,
            event_boundary: is_event_stream(&head.headers).then(EventBoundary::default),
        }
    }

    /// Takes the next bytes of the body.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.length_bytes += data.len() as u64;
        if let Some(boundary) = &mut self.event_boundary {
            boundary.push(data);
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
        let boundary = self.event_boundary.as_ref();
        boundary.map(EventBoundary::is_inside_event)
    }
}
