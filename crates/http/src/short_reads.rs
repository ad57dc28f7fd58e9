//! A connection that is read in short pieces.
//!
//! Invariant: a read returns at most [`MAX_READ_BYTES`]. The HTTP library enlarges its buffer for a
//! peer that fills it, and each piece of a body keeps the buffer that it was read into.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Longest read, in bytes: less than the library's first buffer, which is enlarged once it is filled.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// A connection whose reads are short.
#[derive(Debug)]
pub struct ShortReads<S> {
    stream: S,
}

impl<S> ShortReads<S> {
    /// Reads this stream in short pieces.
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self { stream }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ShortReads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut piece);
        let filled = piece.filled().len();
        buffer.advance(filled);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ShortReads<S> {
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
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
