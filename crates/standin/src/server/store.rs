//! The weight store: `POST /fetch?size_mib=N` answers when the transfer is done.

use super::not_found;
use crate::model::{StoreModel, StoreModelSettings, TransferId};
use courseshunt_http::{Body, ServerLimits, json_response, serve};
use courseshunt_types::time::MonotonicClock;
use hyper::{Response, StatusCode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

/// A running stand-in of the weight store.
#[derive(Debug, Clone)]
pub struct StoreServer {
    /// Its address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    model: StoreModel,
    waiters: BTreeMap<TransferId, oneshot::Sender<()>>,
}

/// Pause of the driver when nothing is to come.
const IDLE: std::time::Duration = std::time::Duration::from_secs(3600);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn drive(&self) {
        loop {
            let next = self.advance();
            let now = self.clock.now();
            let pause = next.map_or(IDLE, |at| at.since(now).into());
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn advance(&self) -> Option<courseshunt_types::Timestamp> {
        let mut state = self.lock();
        let finished = state.model.advance(self.clock.now());
        for transfer in finished {
            if let Some(waiter) = state.waiters.remove(&transfer) {
                let _ = waiter.send(());
            }
        }
        state.model.next_event()
    }
}

impl StoreServer {
    /// Starts it.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(address: SocketAddr, settings: StoreModelSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let shared = Arc::new(Shared {
            clock: MonotonicClock::start(),
            state: Mutex::new(State {
                model: StoreModel::new(settings),
                waiters: BTreeMap::new(),
            }),
            changed: Notify::new(),
        });
        let server = Self {
            address: listener.local_addr()?,
            shared: shared.clone(),
            stop: CancellationToken::new(),
        };
        let stop = server.stop.clone();
        let driver = shared.clone();
        let driver_stop = stop.clone();
        tokio::spawn(async move { driver_stop.run_until_cancelled(driver.drive()).await });
        let handler = move |request: hyper::Request<hyper::body::Incoming>, _| {
            let shared = shared.clone();
            async move { fetch(&shared, request.uri()).await }
        };
        tokio::spawn(serve(listener, ServerLimits::default(), stop, handler));
        Ok(server)
    }

    /// Begins or ends a slow phase: 1 is full speed.
    pub fn set_speed(&self, speed: f64) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let finished = state.model.set_speed(speed, now);
        for transfer in finished {
            if let Some(waiter) = state.waiters.remove(&transfer) {
                let _ = waiter.send(());
            }
        }
        drop(state);
        self.shared.changed.notify_one();
    }

    /// Stops it.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

async fn fetch(shared: &Shared, uri: &hyper::Uri) -> Response<Body> {
    let size = uri
        .query()
        .and_then(|query| query.strip_prefix("size_mib="));
    let size = size.and_then(|size| size.parse::<u64>().ok());
    let (Some(size_mib), "/fetch") = (size, uri.path()) else {
        return not_found();
    };
    let (done, finished) = oneshot::channel();
    {
        let now = shared.clock.now();
        let mut state = shared.lock();
        let transfer = state.model.request(size_mib, now);
        state.waiters.insert(transfer, done);
    }
    shared.changed.notify_one();
    let _ = finished.await;
    json_response(StatusCode::OK, &serde_json::json!({"size_mib": size_mib}))
}
