//! Body of a response that is relayed as a stream.
//!
//! Invariant: a body that ends before the instance's response does ends with an error, so that
//! it never looks complete, and a stream that states numbered events is passed on only in order.

use crate::Shared;
use crate::flight::Flight;
use crate::pool::{CloseTimer, Upstream};
use crate::received_body::EndedInsideEvent;
use bytes::Bytes;
use courseshunt_http::OutOfOrder;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// Bytes that have arrived are passed on for this time after the deadline, to a client that reads
/// slowly.
const LATE_DELIVERY: Duration = Duration::from_secs(2);

/// The body of a response, of which a part may have been read.
pub(crate) struct RelayedResponse {
    /// What was read, in its order.
    pub(crate) read: VecDeque<Bytes>,
    pub(crate) rest: Incoming,
}

impl RelayedResponse {
    pub(crate) fn unread(rest: Incoming) -> Self {
        Self {
            read: VecDeque::new(),
            rest,
        }
    }
}

/// Relays a response until its end or the deadline of the request. If it is dropped before the
/// end, the connection to the instance is closed.
pub(crate) struct RelayBody {
    response: RelayedResponse,
    deadline: Pin<Box<Sleep>>,
    /// Nothing is passed on from then on.
    closes_at: Instant,
    /// Closes the connection to the instance then, also if the client reads nothing, so that this
    /// body is not polled.
    close_timer: Option<CloseTimer>,
    flight: Option<Flight>,
    upstream: Option<Upstream>,
    shared: Arc<Shared>,
    /// Why the response is broken off, once what precedes has been written.
    break_off: Option<BreakOff>,
}

/// Why a response is truncated.
enum BreakCause {
    /// The connection to the instance failed with this error.
    Instance(String),
    /// The deadline of the request passed.
    Time,
    /// This event is out of order.
    Order(OutOfOrder),
    /// The response ended inside an event.
    InsideEvent(EndedInsideEvent),
}

impl BreakCause {
    fn problem(&self) -> String {
        match self {
            Self::Instance(problem) => problem.clone(),
            Self::Time => "the request's time is over".to_owned(),
            Self::Order(cause) => cause.to_string(),
            Self::InsideEvent(cause) => cause.to_string(),
        }
    }
}

/// A response that is about to be broken off.
struct BreakOff {
    cause: BreakCause,
    /// Whether the server had the occasion to write what precedes, the head included. It drops what
    /// it has buffered when a body fails.
    is_flushed: bool,
}

impl From<BreakCause> for BreakOff {
    fn from(cause: BreakCause) -> Self {
        Self {
            cause,
            is_flushed: false,
        }
    }
}

impl RelayBody {
    pub(crate) fn new(
        response: RelayedResponse,
        deadline: Instant,
        flight: Flight,
        upstream: Upstream,
        shared: Arc<Shared>,
    ) -> Self {
        let closes_at = deadline + LATE_DELIVERY;
        Self {
            response,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            closes_at,
            close_timer: Some(upstream.close_at(closes_at)),
            flight: Some(flight),
            upstream: Some(upstream),
            shared,
            break_off: None,
        }
    }

    fn finish(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.close_timer = None;
        if let Some(mut flight) = self.flight.take()
            && let Some(upstream) = self.upstream.take()
        {
            if let Err(error) = flight.finish() {
                let cause = BreakCause::InsideEvent(error);
                return self.break_off(cause.into(), context);
            }
            self.shared.pool.put_back(upstream);
        }
        Poll::Ready(None)
    }

    fn fail(&mut self, cause: &BreakCause) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let problem = cause.problem();
        if let Some(mut flight) = self.flight.take() {
            match cause {
                BreakCause::Instance(_) => flight.truncated(&problem),
                BreakCause::Time => flight.deadline_exceeded(&problem),
                BreakCause::Order(cause) => flight.out_of_order(cause),
                // `Flight::finish` has recorded it.
                BreakCause::InsideEvent(_) => {}
            }
        }
        self.upstream = None;
        Poll::Ready(Some(Err(io::Error::other(problem))))
    }

    /// Passes a frame on, up to an event that is out of order.
    fn pass_on(
        &mut self,
        frame: Frame<Bytes>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let (Some(flight), Some(data)) = (&mut self.flight, frame.data_ref()) else {
            return Poll::Ready(Some(Ok(frame)));
        };
        let Err(cause) = flight.record_part(data) else {
            return Poll::Ready(Some(Ok(frame)));
        };
        let break_off = BreakOff::from(BreakCause::Order(cause));
        if cause.preceding_bytes == 0 {
            return self.break_off(break_off, context);
        }
        let preceding = data.slice(..cause.preceding_bytes);
        self.break_off = Some(break_off);
        Poll::Ready(Some(Ok(Frame::data(preceding))))
    }

    /// Breaks the response off at the second poll: a body that is not ready has the server write what
    /// it has buffered.
    fn break_off(
        &mut self,
        mut break_off: BreakOff,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if break_off.is_flushed {
            return self.fail(&break_off.cause);
        }
        break_off.is_flushed = true;
        self.break_off = Some(break_off);
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl HttpBody for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(break_off) = self.break_off.take() {
            return self.break_off(break_off, context);
        }
        // The connection may have been closed, and the body seem complete.
        if Instant::now() >= self.closes_at {
            return self.break_off(BreakCause::Time.into(), context);
        }
        if let Some(read) = self.response.read.pop_front() {
            return self.pass_on(Frame::data(read), context);
        }
        match Pin::new(&mut self.response.rest).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => self.pass_on(frame, context),
            Poll::Ready(Some(Err(error))) => {
                let problem = error.to_string();
                self.break_off(BreakCause::Instance(problem).into(), context)
            }
            Poll::Ready(None) => self.finish(context),
            Poll::Pending => match self.deadline.as_mut().poll(context) {
                Poll::Ready(()) => self.break_off(BreakCause::Time.into(), context),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    /// Only a poll finds the end, and judges it.
    fn is_end_stream(&self) -> bool {
        self.flight.is_none() && self.break_off.is_none()
    }

    /// No length, so that a stream that ends inside an event never looks complete by it.
    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
