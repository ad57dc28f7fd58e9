//! The path of a request to its instance: a connection of this router's own, or another router
//! that forwards the request.
//!
//! Invariants: an instance counts as unreachable only if no forwarder that was tried reaches it; a
//! path that was lost is tried again apart from any request.

use crate::Shared;
use crate::forwarding::headers::ForwardOutcome;
use crate::forwarding::{self, InFlightGuard};
use crate::pool::{self, Endpoint, Upstream};
use crate::records::RouterRecord;
use courseshunt_records::emit;
use courseshunt_services::{InstancePaths, InstanceView};
use http_body_util::BodyExt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a request waits for a connection of this router's own while it could be forwarded:
/// several round trips between zones.
const DIRECT_PATIENCE: Duration = Duration::from_millis(100);
/// The same while this router appears to have lost its paths.
const PARTITIONED_PATIENCE: Duration = Duration::from_millis(20);
/// Time limit for a connection that a forwarder opens for another router.
const FORWARDER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of forwarders that one attempt tries.
const MAX_FORWARDERS_TRIED: usize = 3;
/// Time limit for a forwarder's answer whether it reaches an instance.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between attempts to open a connection on a lost path.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);

impl Shared {
    /// The state of this router's paths to the instances.
    pub(crate) fn paths(&self) -> MutexGuard<'_, InstancePaths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this router forwards requests of others.
    pub(crate) fn can_forward(&self) -> bool {
        !self.stopping.is_cancelled() && self.view.is_ready() && !self.paths().is_partitioned()
    }
}

/// The forwarders that an attempt has tried.
#[derive(Debug, Default)]
pub(crate) struct TriedForwarders {
    addresses: Vec<SocketAddr>,
    /// Counts the request at the last of them.
    in_flight: Option<InFlightGuard>,
}

impl TriedForwarders {
    /// Takes the count at the forwarder that the request was sent to.
    pub(crate) fn take_guard(&mut self) -> Option<InFlightGuard> {
        self.in_flight.take()
    }
}

/// A connection for a request to this instance: an idle one, a new one, or one to a forwarder.
/// `None` if there is no path.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    view: &InstanceView,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    let is_forwarded = shared.paths().is_forwarded(&view.id);
    if is_forwarded && let Some(upstream) = to_forwarder(shared, tried).await {
        return Some(upstream);
    }
    // On a lost path, an idle connection may carry a request to nowhere.
    let is_partitioned = shared.paths().is_partitioned_from(&view.service);
    let trusts_idle = !is_partitioned || !has_forwarder(shared, tried);
    let endpoint = Endpoint::Instance(view.id.clone());
    if trusts_idle && let Some(upstream) = shared.pool.take(&endpoint) {
        return Some(upstream);
    }
    connect(shared, view, tried).await
}

fn has_forwarder(shared: &Shared, tried: &TriedForwarders) -> bool {
    let now = shared.clock.now();
    shared.forwarders.choose(&tried.addresses, now).is_some()
}

/// Opens a new connection to the instance, or one to a forwarder if that fails or takes long.
pub(crate) async fn connect(
    shared: &Arc<Shared>,
    view: &InstanceView,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    let (task_shared, task_view) = (shared.clone(), view.clone());
    let mut connecting = Box::pin(async move { connect_directly(&task_shared, &task_view).await });
    let connected = match has_forwarder(shared, tried) {
        false => Some(connecting.as_mut().await),
        true => {
            let patience = match shared.paths().is_partitioned_from(&view.service) {
                true => PARTITIONED_PATIENCE,
                false => DIRECT_PATIENCE,
            };
            let connected = tokio::time::timeout(patience, connecting.as_mut()).await;
            connected.ok()
        }
    };
    let problem = match connected {
        Some(Ok(upstream)) => return Some(upstream),
        Some(Err(error)) => error.to_string(),
        None => {
            let shared = shared.clone();
            tokio::spawn(async move {
                if let Ok(upstream) = connecting.await {
                    shared.pool.put_back(upstream);
                }
            });
            "no connection yet".to_owned()
        }
    };
    let forwarder = to_forwarder(shared, tried).await;
    if forwarder.is_none() {
        record_unreachable(shared, view, &problem);
    }
    forwarder
}

/// A connection to the next forwarder that can be reached; `None` if there is none.
pub(crate) async fn to_forwarder(
    shared: &Arc<Shared>,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    while tried.addresses.len() < MAX_FORWARDERS_TRIED {
        let now = shared.clock.now();
        let address = shared.forwarders.choose(&tried.addresses, now)?;
        tried.addresses.push(address);
        tried.in_flight = Some(shared.forwarders.begin(address));
        if let Some(upstream) = shared.pool.take(&Endpoint::Forwarder(address)) {
            return Some(upstream);
        }
        match forwarding::connect(shared, address).await {
            Ok(upstream) => return Some(upstream),
            Err(error) => {
                shared.forwarders.avoid(address, shared.clock.now());
                emit(&RouterRecord::ForwarderUnusable {
                    forwarder: &address.to_string(),
                    problem: &error.to_string(),
                });
            }
        }
    }
    None
}

/// The connection for a request that was certainly not sent over `upstream`, which had been closed.
pub(crate) async fn replace(
    shared: &Arc<Shared>,
    view: &InstanceView,
    upstream: &Upstream,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    match upstream.endpoint {
        Endpoint::Instance(_) if !upstream.fresh => connect(shared, view, tried).await,
        Endpoint::Forwarder(address) if !upstream.fresh => {
            match forwarding::connect(shared, address).await {
                Ok(upstream) => Some(upstream),
                Err(_) => to_forwarder(shared, tried).await,
            }
        }
        Endpoint::Instance(_) | Endpoint::Forwarder(_) => to_forwarder(shared, tried).await,
    }
}

/// The next connection after a forwarder reported that it did not send the request; `None` if no
/// other forwarder is to be tried.
pub(crate) async fn after_not_sent(
    shared: &Arc<Shared>,
    view: &InstanceView,
    forwarder: SocketAddr,
    outcome: ForwardOutcome,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    let tries_others = match outcome {
        ForwardOutcome::Busy | ForwardOutcome::PathLost => {
            shared.forwarders.avoid(forwarder, shared.clock.now());
            true
        }
        // The forwarder may not know yet that it has lost its paths too. If this router has lost
        // none, the instance is down.
        ForwardOutcome::Unreachable => {
            let paths = shared.paths();
            paths.forwarded_count() > 0 || paths.is_partitioned_from(&view.service)
        }
        ForwardOutcome::NotAccepting | ForwardOutcome::Rejected | ForwardOutcome::MayHaveRun => {
            return None;
        }
    };
    let next = match tries_others {
        true => to_forwarder(shared, tried).await,
        false => None,
    };
    if next.is_none() {
        record_unreachable(shared, view, outcome.name());
    }
    next
}

/// Whether an instance to which this router's own connection failed is reached by another router;
/// `None` if no other router can tell.
pub(crate) async fn is_reached_by_another(
    shared: &Arc<Shared>,
    view: &InstanceView,
) -> Option<bool> {
    let mut tried = TriedForwarders::default();
    while let Some(mut upstream) = to_forwarder(shared, &mut tried).await {
        let request = forwarding::check_request(view);
        let sending = upstream.sender.send_request(request);
        let response = tokio::time::timeout(CHECK_TIMEOUT, sending).await;
        let Ok(Ok(response)) = response else { continue };
        let outcome = ForwardOutcome::read(response.headers());
        if let Ok(Ok(_)) = tokio::time::timeout(CHECK_TIMEOUT, response.collect()).await {
            shared.pool.put_back(upstream);
        }
        match outcome {
            None => {
                record_forwarded(shared, view);
                return Some(true);
            }
            Some(ForwardOutcome::Unreachable) => return Some(false),
            Some(_) => {}
        }
    }
    None
}

/// Opens a connection to an instance and records the state of the path.
pub(crate) async fn connect_directly(shared: &Shared, view: &InstanceView) -> io::Result<Upstream> {
    shared.metrics.connection();
    let connected = pool::connect_to(&*shared.dialler, &view.id, &view.address).await;
    let was_partitioned = shared.paths().is_partitioned();
    let is_regained = match &connected {
        Ok(_) => shared.paths().record_success(&view.service, &view.id),
        Err(_) => {
            shared.paths().record_failure(&view.service, &view.id);
            false
        }
    };
    if is_regained {
        emit(&RouterRecord::PathRegained {
            instance: view.id.as_str(),
        });
    }
    if shared.paths().is_partitioned() != was_partitioned {
        shared.forwarders.report_due.notify_one();
    }
    connected
}

/// Opens a connection to an instance for another router.
///
/// # Errors
/// If this router has lost its path, or can't reach the instance in time.
pub(crate) async fn connect_as_forwarder(
    shared: &Arc<Shared>,
    view: &InstanceView,
) -> io::Result<Upstream> {
    let now = shared.clock.now();
    let is_lost = shared.paths().is_forwarded(&view.id);
    if is_lost || shared.view.is_unreachable(&view.id, now) {
        return Err(io::Error::other("not reached from here"));
    }
    let connecting = connect_directly(shared, view);
    let connected = tokio::time::timeout(FORWARDER_CONNECT_TIMEOUT, connecting).await;
    connected.unwrap_or_else(|_| {
        shared.paths().record_failure(&view.service, &view.id);
        Err(io::ErrorKind::TimedOut.into())
    })
}

/// Records that a connection broke while a request was in flight on it.
pub(crate) fn record_broken(shared: &Shared, upstream: &Upstream) {
    if let Endpoint::Forwarder(forwarder) = upstream.endpoint {
        shared.forwarders.avoid(forwarder, shared.clock.now());
    }
}

/// Leaves an instance that no path reaches out of the selection for a while.
pub(crate) fn record_unreachable(shared: &Shared, view: &InstanceView, problem: &str) {
    shared.view.mark_unreachable(&view.id, shared.clock.now());
    emit(&RouterRecord::Unreachable {
        instance: view.id.as_str(),
        problem,
    });
}

/// Records that a forwarder reached an instance to which this router has no connection.
pub(crate) fn record_forwarded(shared: &Shared, view: &InstanceView) {
    if !shared.paths().record_forwarded(&view.id) {
        return;
    }
    // Instances that failed before a forwarder was known may be reached as well.
    shared.view.forget_unreachable();
    emit(&RouterRecord::PathLost {
        instance: view.id.as_str(),
    });
}

/// Tries lost paths again until the process ends, so that no request pays for it.
pub(crate) async fn recover_lost(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(RECOVERY_INTERVAL).await;
        loop {
            let next = shared.paths().next_to_try();
            let Some(instance) = next else { break };
            if !try_path(&shared, &instance).await {
                break;
            }
        }
        // Shows whether other instances are reached, if there is no lost path to try.
        for service in partitioned_services(&shared) {
            if let Some(instance) = shared.view.any_instance(&service, rand::random()) {
                try_path(&shared, &instance).await;
            }
        }
    }
}

fn partitioned_services(shared: &Shared) -> Vec<String> {
    let paths = shared.paths();
    paths.partitioned_services().map(str::to_owned).collect()
}

/// Tries to open a connection; returns whether it succeeded.
async fn try_path(shared: &Shared, instance: &courseshunt_types::RunnerId) -> bool {
    let Some(view) = shared.view.instance(instance) else {
        shared.paths().remove(std::slice::from_ref(instance));
        return true;
    };
    let connected = connect_directly(shared, &view).await;
    let is_connected = connected.is_ok();
    if let Ok(upstream) = connected {
        shared.pool.put_back(upstream);
    }
    is_connected
}
