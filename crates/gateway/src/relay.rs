//! Body of a response that is relayed as a stream.
//!
//! Invariant: a body that ends before the instance's response does ends with an error, so that
//! it never looks complete.

use crate::Shared;
use crate::flight::Flight;
use crate::pool::Upstream;
use bytes::Bytes;
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
}

/// Why a response is truncated.
enum BreakCause {
    /// The connection to the instance failed with this error.
    Instance(String),
    /// The deadline of the request passed.
    Time,
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

    fn fail(&mut self, cause: BreakCause) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let (problem, end): (String, fn(&mut Flight, &str)) = match cause {
            BreakCause::Instance(problem) => (problem, Flight::truncated),
            BreakCause::Time => (
                "the request's time is over".to_owned(),
                Flight::deadline_exceeded,
            ),
        };
        if let Some(mut flight) = self.flight.take() {
            end(&mut flight, &problem);
        }
        self.upstream = None;
        Poll::Ready(Some(Err(io::Error::other(problem))))
    }
}

impl HttpBody for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(flight), Some(data)) = (&mut self.flight, frame.data_ref()) {
                    flight.record_part(data);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let problem = error.to_string();
                self.fail(BreakCause::Instance(problem))
            }
            Poll::Ready(None) => self.finish(),
            Poll::Pending => match self.deadline.as_mut().poll(context) {
                Poll::Ready(()) => self.fail(BreakCause::Time),
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
