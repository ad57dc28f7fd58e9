//! The body of an answer, relayed as it comes.

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

/// Relays an answer until its end or the request's deadline. When it is
/// dropped before the end, the connection to the instance is closed.
pub(crate) struct RelayBody {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    flight: Option<Flight>,
    upstream: Option<Upstream>,
    shared: Arc<Shared>,
}

/// Why an answer is broken off.
enum BreakCause {
    /// The instance's connection ended, with this problem.
    Instance(String),
    /// The request's time is over.
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

    fn finish(&mut self) {
        if let Some(mut flight) = self.flight.take()
            && let Some(upstream) = self.upstream.take()
        {
            flight.whole();
            self.shared.pool.keep(flight.instance(), upstream);
        }
    }

    fn break_off(&mut self, cause: BreakCause) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let (problem, end): (String, fn(&mut Flight, &str)) = match cause {
            BreakCause::Instance(problem) => (problem, Flight::broken),
            BreakCause::Time => ("the request's time is over".to_owned(), Flight::overdue),
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
                if let Some(flight) = &mut self.flight {
                    flight.part();
                }
                if self.incoming.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let problem = error.to_string();
                self.break_off(BreakCause::Instance(problem))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => match self.deadline.as_mut().poll(context) {
                Poll::Ready(()) => self.break_off(BreakCause::Time),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
