//! Responses that count as in flight until they have been written to the socket.
//!
//! Invariant: the token of a response is released only when all its bytes have been written, or when
//! its connection has ended. The HTTP library takes a body before the socket takes its bytes.

use crate::body::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Tokens of the responses on one connection. Clones share their state.
#[derive(Debug)]
pub struct SendTracker<T = TaskTrackerToken> {
    /// Tokens of the responses whose bodies have been taken, and which may not have been written.
    unwritten: Arc<Mutex<Vec<T>>>,
}

impl<T> Default for SendTracker<T> {
    fn default() -> Self {
        Self {
            unwritten: Arc::default(),
        }
    }
}

impl<T> Clone for SendTracker<T> {
    fn clone(&self) -> Self {
        Self {
            unwritten: self.unwritten.clone(),
        }
    }
}

impl<T: Send + Unpin + 'static> SendTracker<T> {
    /// Holds the token until the response has been written to the connection's [`TrackedStream`].
    #[must_use]
    pub fn hold_until_written(&self, response: Response<Body>, token: T) -> Response<Body> {
        let tracker = self.clone();
        response.map(|body| {
            let tracked = TrackedBody {
                body,
                token: Some(token),
                tracker,
            };
            tracked.boxed_unsync()
        })
    }
}

impl<T> SendTracker<T> {
    fn add(&self, token: T) {
        let unwritten = self.unwritten.lock();
        unwritten
            .unwrap_or_else(PoisonError::into_inner)
            .push(token);
    }

    fn release(&self) {
        let unwritten = self.unwritten.lock();
        unwritten.unwrap_or_else(PoisonError::into_inner).clear();
    }
}

/// A body whose token goes to the tracker when the library has taken it or gives it up.
struct TrackedBody<T> {
    body: Body,
    token: Option<T>,
    tracker: SendTracker<T>,
}

impl<T> Drop for TrackedBody<T> {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            self.tracker.add(token);
        }
    }
}

impl<T: Unpin> HttpBody for TrackedBody<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The connection of a [`SendTracker`]. The library flushes it when it has written all that it holds.
#[derive(Debug)]
pub struct TrackedStream<S, T = TaskTrackerToken> {
    stream: S,
    tracker: SendTracker<T>,
}

impl<S, T> TrackedStream<S, T> {
    /// A stream for the responses that `tracker` counts.
    #[must_use]
    pub fn new(stream: S, tracker: SendTracker<T>) -> Self {
        Self { stream, tracker }
    }
}

impl<S, T> Drop for TrackedStream<S, T> {
    fn drop(&mut self) {
        self.tracker.release();
    }
}

impl<S: AsyncRead + Unpin, T> AsyncRead for TrackedStream<S, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin, T> AsyncWrite for TrackedStream<S, T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.tracker.release();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
