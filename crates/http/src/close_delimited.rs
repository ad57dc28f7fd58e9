//! Responses that end with their connection.
//!
//! Invariant: a connection whose response ends with it is closed only after the complete response;
//! whatever ends it earlier, the end of the process included, resets it. Nothing else tells the
//! receiver of such a response that it was broken off.

use crate::body::Body;
use crate::framing::{BodyFraming, has_body};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, Version};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Method and version of a request, on which the framing of its response depends.
#[derive(Debug, Clone)]
pub struct RequestLine {
    method: Method,
    /// Responses to HTTP/1.0 have no chunks.
    version: Version,
}

impl RequestLine {
    /// The method and version of this request.
    #[must_use]
    pub fn of<T>(request: &Request<T>) -> Self {
        Self {
            method: request.method().clone(),
            version: request.version(),
        }
    }
}

/// Whether the response on a connection ends with it, and whether it is complete. Clones share
/// their state; one for each connection.
#[derive(Debug, Clone, Default)]
pub struct CloseDelimiter {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    is_close_delimited: AtomicBool,
    is_complete: AtomicBool,
}

impl CloseDelimiter {
    /// Prepares a response that is about to be sent on this connection. A response with the
    /// extension [`BodyFraming::ConnectionClose`] is sent without framing of its own; if a response
    /// ends with its connection and is broken off, the connection is reset.
    #[must_use]
    pub fn prepare(&self, request: &RequestLine, mut response: Response<Body>) -> Response<Body> {
        if !has_body(&request.method, response.status()) {
            return response;
        }
        let framing = response.extensions().get();
        let is_unframed = framing == Some(&BodyFraming::ConnectionClose);
        if is_unframed {
            // The library frames responses of HTTP/1.1 itself.
            *response.version_mut() = Version::HTTP_10;
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let body = response.body();
        let has_no_length = body.size_hint().exact().is_none() && !body.is_end_stream();
        let has_no_framing = request.version == Version::HTTP_10 && has_no_length;
        if !is_unframed && !has_no_framing {
            return response;
        }
        self.state.is_close_delimited.store(true, Ordering::Release);
        let delimiter = self.clone();
        response.map(|body| CloseDelimitedBody { body, delimiter }.boxed_unsync())
    }

    fn is_close_delimited(&self) -> bool {
        self.state.is_close_delimited.load(Ordering::Acquire)
    }

    fn is_complete(&self) -> bool {
        self.state.is_complete.load(Ordering::Acquire)
    }
}

/// A body without a length whose end is recorded.
struct CloseDelimitedBody {
    body: Body,
    delimiter: CloseDelimiter,
}

impl HttpBody for CloseDelimitedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) {
            let state = &self.delimiter.state;
            state.is_complete.store(true, Ordering::Release);
        }
        polled
    }

    /// Only a poll finds the end, and records it.
    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// The connection of a [`CloseDelimiter`].
#[derive(Debug)]
pub struct CloseDelimitedStream {
    stream: TcpStream,
    delimiter: CloseDelimiter,
    /// Whether the system resets the connection when the stream is dropped.
    resets_on_drop: bool,
}

impl CloseDelimitedStream {
    /// A stream for the responses that `delimiter` prepares.
    #[must_use]
    pub fn new(stream: TcpStream, delimiter: CloseDelimiter) -> Self {
        Self {
            stream,
            delimiter,
            resets_on_drop: false,
        }
    }

    /// Has the system reset the connection if the process ends from now on, before the first byte
    /// of a response that ends with it.
    fn before_write(&mut self) {
        if !self.resets_on_drop && self.delimiter.is_close_delimited() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            self.resets_on_drop = true;
        }
    }
}

impl AsyncRead for CloseDelimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CloseDelimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes the connection, unless an incomplete response ends with it: dropping the stream
    /// resets it then.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets_on_drop {
            if !self.delimiter.is_complete() {
                return Poll::Ready(Ok(()));
            }
            let _ = SockRef::from(&self.stream).set_linger(None);
            self.resets_on_drop = false;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
