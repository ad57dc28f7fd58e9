//! Body of a response that is relayed as a stream.
//!
//! Invariant: a body that ends before the instance's response does ends with an error, so that
//! it never looks complete, and a stream that states numbered events is passed on only in order.

use crate::Shared;
use crate::flight::Flight;
use crate::pool::Upstream;
use bytes::Bytes;
use courseshunt_http::OutOfOrder;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::Sleep;

/// Relays a response until its end or the deadline of the request. If it is dropped before the
/// end, the connection to the instance is closed.
pub(crate) struct RelayBody {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    flight: Option<Flight>,
    upstream: Option<Upstream>,
    shared: Arc<Shared>,
    /// An event that is not passed on, once what precedes it has been.
    withheld: Option<WithheldEvent>,
}

/// Why a response is truncated.
enum BreakCause {
    /// The connection to the instance failed with this error.
    Instance(String),
    /// The deadline of the request passed.
    Time,
    /// This event is out of order.
    Order(OutOfOrder),
}

impl BreakCause {
    fn problem(&self) -> String {
        match self {
            Self::Instance(problem) => problem.clone(),
            Self::Time => "the request's time is over".to_owned(),
            Self::Order(cause) => cause.to_string(),
        }
    }
}

/// An event before which a stream is broken off.
struct WithheldEvent {
    cause: OutOfOrder,
    /// Whether the server had the occasion to write what precedes the event. It drops what it has
    /// buffered when a body fails.
    is_flushed: bool,
}

impl RelayBody {
    pub(crate) fn new(
        incoming: Incoming,
        deadline: tokio::time::Instant,
        flight: Flight,
        upstream: Upstream,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            incoming,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            flight: Some(flight),
            upstream: Some(upstream),
            shared,
            withheld: None,
        }
    }

    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(mut flight) = self.flight.take()
            && let Some(upstream) = self.upstream.take()
        {
            if let Err(error) = flight.finish() {
                return Poll::Ready(Some(Err(io::Error::other(error))));
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
        let withheld = WithheldEvent {
            cause,
            is_flushed: false,
        };
        if cause.preceding_bytes == 0 {
            return self.break_off(withheld, context);
        }
        let preceding = data.slice(..cause.preceding_bytes);
        self.withheld = Some(withheld);
        Poll::Ready(Some(Ok(Frame::data(preceding))))
    }

    /// Breaks the stream off at the second poll: a body that is not ready has the server write what
    /// it has buffered.
    fn break_off(
        &mut self,
        mut withheld: WithheldEvent,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if withheld.is_flushed {
            return self.fail(&BreakCause::Order(withheld.cause));
        }
        withheld.is_flushed = true;
        self.withheld = Some(withheld);
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
        if let Some(withheld) = self.withheld.take() {
            return self.break_off(withheld, context);
        }
        match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => self.pass_on(frame, context),
            Poll::Ready(Some(Err(error))) => {
                let problem = error.to_string();
                self.fail(&BreakCause::Instance(problem))
            }
            Poll::Ready(None) => self.finish(),
            Poll::Pending => match self.deadline.as_mut().poll(context) {
                Poll::Ready(()) => self.fail(&BreakCause::Time),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    /// Only a poll finds the end, and judges it.
    fn is_end_stream(&self) -> bool {
        self.flight.is_none()
    }

    /// No length, so that a stream that ends inside an event never looks complete by it.
    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
