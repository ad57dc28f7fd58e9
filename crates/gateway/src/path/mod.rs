//! The path of a request to its instance: a connection of this router's own, or another router
//! that forwards the request.
//!
//! Invariants: an instance counts as unreachable only if no forwarder that was tried reaches it; a
//! path that was lost is tried again apart from any request.

mod check;
mod direct;
mod recovery;

pub(crate) use check::is_reached_by_another;
pub(crate) use direct::{connect_as_forwarder, connect_directly};
pub(crate) use recovery::recover_lost;

use crate::Shared;
use crate::forwarding::forwarders::Avoided;
use crate::forwarding::headers::ForwardOutcome;
use crate::forwarding::{self, InFlightGuard};
use crate::pool::{Endpoint, Upstream};
use crate::records::RouterRecord;
use courseshunt_records::emit;
use courseshunt_services::{InstancePaths, InstanceView};
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a request waits for a connection of this router's own while it could be forwarded:
/// several round trips between zones.
const DIRECT_PATIENCE: Duration = Duration::from_millis(100);
/// The same while this router appears to have lost its paths.
const PARTITIONED_PATIENCE: Duration = Duration::from_millis(20);
/// In place of an id where none matters: a connection to a forwarder may carry an id again.
const NO_ID: &str = "";
/// Maximum number of forwarders that one attempt tries.
const MAX_FORWARDERS_TRIED: usize = 3;

impl Shared {
    /// The state of this router's paths to the instances.
    pub(crate) fn paths(&self) -> MutexGuard<'_, InstancePaths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this router forwards requests of others. It may have lost paths of its own: with
    /// several services, each router may reach another one.
    pub(crate) fn can_forward(&self) -> bool {
        !self.stopping.is_cancelled() && self.view.is_ready()
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

/// A connection for a request with this id to this instance: an idle one, a new one, or one to a
/// forwarder. `None` if there is no path.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    view: &InstanceView,
    id: &str,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    let is_forwarded = shared.paths().is_forwarded(&view.id);
    if is_forwarded && let Some(upstream) = to_forwarder(shared, view, tried).await {
        return Some(upstream);
    }
    // On a lost path, an idle connection may carry a request to nowhere.
    let is_partitioned = shared.paths().is_partitioned_from(&view.service);
    let trusts_idle = !is_partitioned || !has_forwarder(shared, view, tried);
    let endpoint = Endpoint::Instance(view.id.clone());
    if trusts_idle && let Some(upstream) = shared.pool.take(&endpoint, id) {
        return Some(upstream);
    }
    connect(shared, view, tried).await
}

fn has_forwarder(shared: &Shared, view: &InstanceView, tried: &TriedForwarders) -> bool {
    let now = shared.clock.now();
    let chosen = shared
        .forwarders
        .choose(&view.service, &tried.addresses, now);
    chosen.is_some()
}

/// Opens a new connection to the instance, or one to a forwarder if that fails or takes long.
pub(crate) async fn connect(
    shared: &Arc<Shared>,
    view: &InstanceView,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    let (task_shared, task_view) = (shared.clone(), view.clone());
    let mut connecting = Box::pin(async move { connect_directly(&task_shared, &task_view).await });
    let connected = match has_forwarder(shared, view, tried) {
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
    let forwarder = to_forwarder(shared, view, tried).await;
    if forwarder.is_none() {
        record_unreachable(shared, view, &problem);
    }
    forwarder
}

/// A connection to the next forwarder that can be reached; `None` if there is none.
pub(crate) async fn to_forwarder(
    shared: &Arc<Shared>,
    view: &InstanceView,
    tried: &mut TriedForwarders,
) -> Option<Upstream> {
    while tried.addresses.len() < MAX_FORWARDERS_TRIED {
        let now = shared.clock.now();
        let chosen = shared
            .forwarders
            .choose(&view.service, &tried.addresses, now);
        let address = chosen?;
        tried.addresses.push(address);
        tried.in_flight = Some(shared.forwarders.begin(address));
        if let Some(upstream) = shared.pool.take(&Endpoint::Forwarder(address), NO_ID) {
            return Some(upstream);
        }
        match forwarding::connect(shared, address).await {
            Ok(upstream) => return Some(upstream),
            Err(error) => {
                let now = shared.clock.now();
                shared.forwarders.avoid(address, Avoided::All, now);
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
                Err(_) => to_forwarder(shared, view, tried).await,
            }
        }
        Endpoint::Instance(_) | Endpoint::Forwarder(_) => to_forwarder(shared, view, tried).await,
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
    let now = shared.clock.now();
    let tries_others = match outcome {
        ForwardOutcome::Busy => {
            shared.forwarders.avoid(forwarder, Avoided::All, now);
            true
        }
        ForwardOutcome::PathLost => {
            let service = Avoided::Service(view.service.clone());
            shared.forwarders.avoid(forwarder, service, now);
            true
        }
        // The forwarder may not know yet that it has lost its paths too. If this router has lost
        // none, the instance is down.
        ForwardOutcome::Unreachable => {
            let paths = shared.paths();
            paths.forwarded_count() > 0 || paths.is_partitioned_from(&view.service)
        }
        ForwardOutcome::NotAccepting
        | ForwardOutcome::Rejected
        | ForwardOutcome::MayHaveRun
        | ForwardOutcome::NotFinal => {
            return None;
        }
    };
    let next = match tries_others {
        true => to_forwarder(shared, view, tried).await,
        false => None,
    };
    if next.is_none() {
        record_unreachable(shared, view, outcome.name());
    }
    next
}

/// Records that a connection broke while a request was in flight on it.
pub(crate) fn record_broken(shared: &Shared, upstream: &Upstream) {
    if let Endpoint::Forwarder(forwarder) = upstream.endpoint {
        let now = shared.clock.now();
        shared.forwarders.avoid(forwarder, Avoided::All, now);
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

/// Selects unreachable instances again, now that another router is known that may reach them. Also a
/// single one: of a service with one instance, this router can't tell whether the path is lost.
pub(crate) fn retry_with_new_forwarder(shared: &Shared) {
    if shared.paths().needs_forwarder() {
        shared.view.forget_unreachable();
    }
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
