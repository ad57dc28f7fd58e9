//! The body of a client's request.
//!
//! Invariant: a router that stops reads a body that it gives up to its end, unless it stops arriving,
//! or to its own last answers. A connection that is closed before that is reset, and the reset may
//! overtake the response.

use crate::Shared;
use bytes::Bytes;
use courseshunt_http::{RequestGuard, STOPPED_AFTER_MS};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::runtime::Handle;

/// Bytes that are read of a body that was given up: as many as configurations usually allow.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// See the module.
pub(crate) struct ClientBody {
    /// `None` once it has been given up.
    incoming: Option<Incoming>,
    /// The connection is not idle before the body is read or given up.
    in_flight: Arc<RequestGuard>,
    shared: Arc<Shared>,
}

impl ClientBody {
    pub(crate) fn new(
        incoming: Incoming,
        in_flight: Arc<RequestGuard>,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            incoming: Some(incoming),
            in_flight,
            shared,
        }
    }
}

impl HttpBody for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.incoming {
            Some(incoming) => Pin::new(incoming).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        let incoming = self.incoming.as_ref();
        incoming.is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let incoming = self.incoming.as_ref();
        incoming.map_or_else(SizeHint::default, HttpBody::size_hint)
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        let unread = self.incoming.take().filter(|body| !body.is_end_stream());
        let is_stopping = self.shared.stopping.is_cancelled();
        let (Some(unread), true, Ok(runtime)) = (unread, is_stopping, Handle::try_current()) else {
            return;
        };
        // Counted before the refusal is written, which may be the stop's last response.
        let counted = (self.shared.requests.token(), self.in_flight.clone());
        let reading = discard(unread, self.shared.clone());
        runtime.spawn(async move {
            reading.await;
            drop(counted);
        });
    }
}

/// Reads the rest of a body, as long as it arrives and up to [`MAX_DISCARDED_BYTES`], and
/// keeps nothing of it.
async fn discard(mut body: Incoming, shared: Arc<Shared>) {
    let reading = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(length) = next_length(&mut body).await {
            left = left.saturating_sub(length.max(1));
            if left == 0 {
                return;
            }
        }
    };
    shared.last_answers_due.run_until_cancelled(reading).await;
}

/// Length of the next frame; `None` if there is none, or if it does not arrive.
async fn next_length(body: &mut Incoming) -> Option<usize> {
    let pause = Duration::from_millis(STOPPED_AFTER_MS);
    let frame = tokio::time::timeout(pause, body.frame())
        .await
        .ok()??
        .ok()?;
    Some(frame.data_ref().map_or(0, Bytes::len))
}
