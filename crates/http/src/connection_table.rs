//! A bound for the connections of a listener, which those without a request never keep others from.
//!
//! Invariant: the table itself closes no connection with a request in flight for another one. At the
//! bound the connection that has been without a request for the longest time gives way, and if all
//! have one, the new connection is not taken.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use tokio_util::sync::CancellationToken;

/// Number of a period in which a connection has no request; later ones are higher.
type IdlePeriod = u64;

/// The connections of a listener. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionTable {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    next_period: IdlePeriod,
    /// The connections without a request, in the order in which they have none.
    idle: BTreeMap<IdlePeriod, CancellationToken>,
}

impl State {
    fn begin_idle(&mut self, close: CancellationToken) -> IdlePeriod {
        let period = self.next_period;
        self.next_period += 1;
        if !close.is_cancelled() {
            self.idle.insert(period, close);
        }
        period
    }
}

/// A new connection that may be served.
#[derive(Debug)]
pub struct Admission {
    /// Its place; dropping all clones of it frees the place.
    pub place: ConnectionPlace,
    /// Whether an idle connection is closed for it.
    pub closes_idle: bool,
}

impl ConnectionTable {
    /// Takes a new connection, of at most `max`; `None` if all others have requests.
    #[must_use]
    pub fn admit(&self, max: usize) -> Option<Admission> {
        let mut state = self.lock();
        let mut closes_idle = false;
        if state.open >= max {
            let (_, longest_idle) = state.idle.pop_first()?;
            longest_idle.cancel();
            closes_idle = true;
        }
        let place = self.add(state);
        Some(Admission { place, closes_idle })
    }

    /// Takes a new connection beyond the bound, for one that ends at once.
    #[must_use]
    pub fn replace(&self) -> ConnectionPlace {
        self.add(self.lock())
    }

    fn add(&self, mut state: MutexGuard<'_, State>) -> ConnectionPlace {
        state.open += 1;
        let close = CancellationToken::new();
        let period = state.begin_idle(close.clone());
        drop(state);
        ConnectionPlace {
            inner: Arc::new(Place {
                table: self.clone(),
                close,
                activity: Mutex::new(Activity::Idle(period)),
            }),
        }
    }

    /// Connections that are open now, those that are being closed included.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.lock().open
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a connection does.
#[derive(Debug, Clone, Copy)]
enum Activity {
    /// It has no request, since this period began.
    Idle(IdlePeriod),
    /// This many requests are in flight: a client may send the next one before a response has been
    /// written.
    InFlight(usize),
}

#[derive(Debug)]
struct Place {
    table: ConnectionTable,
    close: CancellationToken,
    activity: Mutex<Activity>,
}

impl Place {
    fn activity(&self) -> MutexGuard<'_, Activity> {
        let activity = self.activity.lock();
        activity.unwrap_or_else(PoisonError::into_inner)
    }

    fn begin_request(&self) {
        let mut activity = self.activity();
        *activity = match *activity {
            Activity::Idle(period) => {
                self.table.lock().idle.remove(&period);
                Activity::InFlight(1)
            }
            Activity::InFlight(count) => Activity::InFlight(count + 1),
        };
    }

    fn end_request(&self) {
        let mut activity = self.activity();
        *activity = match *activity {
            Activity::InFlight(count) if count > 1 => Activity::InFlight(count - 1),
            Activity::InFlight(_) | Activity::Idle(_) => {
                Activity::Idle(self.table.lock().begin_idle(self.close.clone()))
            }
        };
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let activity = *self.activity();
        let mut state = self.table.lock();
        state.open -= 1;
        if let Activity::Idle(period) = activity {
            state.idle.remove(&period);
        }
    }
}

/// The place of one connection. Clones share it.
#[derive(Debug, Clone)]
pub struct ConnectionPlace {
    inner: Arc<Place>,
}

impl ConnectionPlace {
    /// Counts a request of this connection until the guard is dropped.
    #[must_use]
    pub fn begin_request(&self) -> RequestGuard {
        self.inner.begin_request();
        RequestGuard {
            place: self.inner.clone(),
        }
    }

    /// Whether the connection has no request.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(*self.inner.activity(), Activity::Idle(_))
    }

    /// Drives a connection until it has no request, also none that has been received behind another
    /// one; what it returns if it ends before.
    pub async fn until_idle<C: Future + Unpin>(&self, mut connection: C) -> Option<C::Output> {
        std::future::poll_fn(|context| match Pin::new(&mut connection).poll(context) {
            Poll::Ready(ended) => Poll::Ready(Some(ended)),
            Poll::Pending if self.is_idle() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Drives a connection that is to be closed, whose HTTP library takes no further request: to
    /// the end of its request, or once if it has none. `None` if it is dropped then.
    pub async fn finish<C: Future + Unpin>(&self, mut connection: C) -> Option<C::Output> {
        tokio::select! {
            biased;
            ended = &mut connection => return Some(ended),
            () = std::future::ready(()) => {}
        }
        match self.is_idle() {
            true => None,
            false => Some(connection.await),
        }
    }

    /// Resolves when the connection is to be closed for another one.
    pub async fn close_due(&self) {
        self.inner.close.cancelled().await;
    }
}

/// A request in flight on a connection.
#[derive(Debug)]
pub struct RequestGuard {
    place: Arc<Place>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.place.end_request();
    }
}
