//! Bounds the interim responses (1xx) that precede a response.

use hyper::Request;
use hyper::ext::on_informational;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Interim responses to one request that are waited through.
pub const MAX_INTERIM_RESPONSES: usize = 32;

/// A server sent more than [`MAX_INTERIM_RESPONSES`] to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("more than {MAX_INTERIM_RESPONSES} interim responses"))]
pub struct TooManyInterim;

/// Counts the interim responses to one request.
#[derive(Debug)]
pub struct InterimLimit {
    exceeded: Arc<Notify>,
}

impl InterimLimit {
    /// Counts those to this request, which is about to be sent.
    #[must_use]
    pub fn of<T>(request: &mut Request<T>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let reporting = exceeded.clone();
        let count = AtomicUsize::new(0);
        on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                reporting.notify_one();
            }
        });
        Self { exceeded }
    }

    /// Waits for the response. The connection must be closed after an error: the response is still
    /// due.
    ///
    /// # Errors
    /// If too many interim responses come first.
    pub async fn wait<R>(self, response: impl Future<Output = R>) -> Result<R, TooManyInterim> {
        tokio::select! {
            biased;
            response = response => Ok(response),
            () = self.exceeded.notified() => Err(TooManyInterim),
        }
    }
}
