//! Reads a whole body into one buffer within a [`MemoryBudget`].
//!
//! Invariant: no frame is kept. The bytes of each are copied into the buffer as they arrive: a
//! frame may keep a whole read buffer in memory, however short it is.

use crate::budget_ledger::{BodySource, next_capacity};
use crate::memory_budget::{MemoryBudget, NotReserved, Reservation};
use bytes::Bytes;
use hyper::body::Body as HttpBody;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Limits of one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Longest body, in bytes.
    pub max_bytes: usize,
    /// When the body must be complete.
    pub deadline: Instant,
    /// Longest time without a byte.
    pub idle_timeout: Duration,
    /// Who sends it.
    pub source: BodySource,
}

/// Why a body was not read whole.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum BodyProblem {
    /// It is longer than allowed.
    #[snafu(display("longer than {max_bytes} bytes"))]
    TooLong {
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The budget has no memory for it.
    #[snafu(display("no memory is left for it"))]
    NoMemory,
    /// It had stopped arriving and was given up for another body.
    #[snafu(display("given up for another body"))]
    GivenUp,
    /// Nothing of it arrived for the idle timeout.
    #[snafu(display("stopped arriving"))]
    Stopped,
    /// It was not complete at its deadline.
    #[snafu(display("not complete at its deadline"))]
    Late,
    /// Its connection broke, or its framing is wrong.
    #[snafu(display("broken: {problem}"))]
    Broken {
        /// What is wrong.
        problem: String,
    },
}

impl From<NotReserved> for BodyProblem {
    fn from(problem: NotReserved) -> Self {
        match problem {
            NotReserved::Exhausted => Self::NoMemory,
            NotReserved::GivenUp => Self::GivenUp,
        }
    }
}

/// A body that is being read.
pub struct BodyReader<B> {
    body: B,
    limits: BodyLimits,
    announced_bytes: Option<usize>,
    buffer: Vec<u8>,
    /// A piece for which there was no memory.
    unread: Bytes,
    reservation: Reservation,
    last_arrival: Instant,
}

/// A body that was not read whole.
#[derive(Debug)]
pub struct PartlyRead<B> {
    /// The bytes that were read, in their order.
    pub read: [Bytes; 2],
    /// The body behind them.
    pub rest: B,
}

impl<B> BodyReader<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// A reader of this body.
    #[must_use]
    pub fn new(body: B, limits: BodyLimits, budget: &MemoryBudget) -> Self {
        let announced = body.size_hint().exact();
        Self {
            announced_bytes: announced.and_then(|length| usize::try_from(length).ok()),
            body,
            limits,
            buffer: Vec::new(),
            unread: Bytes::new(),
            reservation: budget.reservation(),
            last_arrival: Instant::now(),
        }
    }

    /// Reads the body. The memory is returned when the last clone of the bytes is dropped.
    ///
    /// # Errors
    /// See [`BodyProblem`]. After [`BodyProblem::Stopped`], reading may go on with another call.
    pub async fn read(&mut self) -> Result<Bytes, BodyProblem> {
        let max_bytes = self.limits.max_bytes;
        if self
            .announced_bytes
            .is_some_and(|length| length > max_bytes)
        {
            return Err(BodyProblem::TooLong { max_bytes });
        }
        loop {
            let idle_until = self.last_arrival + self.limits.idle_timeout;
            let until = idle_until.min(self.limits.deadline);
            let reading = std::future::poll_fn(|context| self.poll_read(context));
            if let Ok(read) = tokio::time::timeout_at(until, reading).await {
                return read;
            }
            let now = Instant::now();
            if now >= self.limits.deadline {
                return Err(BodyProblem::Late);
            }
            if now >= self.last_arrival + self.limits.idle_timeout {
                self.last_arrival = now;
                return Err(BodyProblem::Stopped);
            }
        }
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, BodyProblem>> {
        loop {
            if self.reservation.is_given_up() {
                return Poll::Ready(Err(BodyProblem::GivenUp));
            }
            let frame = match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Pending => {
                    self.reservation
                        .wait_for_rest(self.limits.source, context.waker());
                    // It may have been given up before its task could be woken.
                    if self.reservation.is_given_up() {
                        continue;
                    }
                    return Poll::Pending;
                }
                Poll::Ready(Some(Ok(frame))) => frame,
                Poll::Ready(Some(Err(error))) => {
                    let problem = error.to_string();
                    return Poll::Ready(Err(BodyProblem::Broken { problem }));
                }
                Poll::Ready(None) => return Poll::Ready(self.finish()),
            };
            if let Ok(data) = frame.into_data()
                && let Err(problem) = self.append(&data)
            {
                self.unread = data;
                return Poll::Ready(Err(problem));
            }
        }
    }

    /// What was read until [`BodyProblem::NoMemory`], and the rest; `None` if the body has been given
    /// up. The memory of what was read is returned when its bytes are dropped.
    #[must_use]
    pub fn into_partly_read(mut self) -> Option<PartlyRead<B>> {
        self.reservation.complete().ok()?;
        let read = self.take_bytes();
        Some(PartlyRead {
            read: [read, self.unread],
            rest: self.body,
        })
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyProblem> {
        let max_bytes = self.limits.max_bytes;
        let needed = self.buffer.len() + data.len();
        if needed > max_bytes {
            return Err(BodyProblem::TooLong { max_bytes });
        }
        let now = Instant::now();
        self.last_arrival = now;
        let held = self.reservation.bytes();
        let capacity = next_capacity(held, needed, self.announced_bytes, max_bytes);
        if capacity > held {
            self.reservation.grow_at(capacity, now.into_std())?;
            self.buffer.reserve_exact(capacity - self.buffer.len());
        } else {
            self.reservation.touch(now.into_std());
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    fn finish(&mut self) -> Result<Bytes, BodyProblem> {
        self.reservation.complete()?;
        Ok(self.take_bytes())
    }

    fn take_bytes(&mut self) -> Bytes {
        if self.buffer.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldBytes {
            buffer: std::mem::take(&mut self.buffer),
            _reservation: self.reservation.take(),
        })
    }
}

/// A whole body and its memory.
struct HeldBytes {
    buffer: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
