//! Probes an instance that broke off a response: whether its address accepts connections, and
//! which instance answers there.
//!
//! Invariant: a probe counts an instance as ended only if its address refuses connections, also
//! those of another router, or if another instance answers there. A proxy or a successor may accept
//! connections for a dead instance; an instance that does not answer may be alive.

use crate::Shared;
use crate::instance_reports::{ResponseOrigin, observe_response};
use crate::interface::ProbeIdentity;
use crate::path;
use crate::pool::Upstream;
use bytes::Bytes;
use courseshunt_http::discard_limited;
use courseshunt_services::InstanceView;
use courseshunt_types::RunnerId;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Pauses before the first probes: a process that is terminating may close its connections
/// shortly before its listener.
const INITIAL_PROBE_PAUSES: [Duration; 3] = [
    Duration::from_millis(2),
    Duration::from_millis(40),
    Duration::from_millis(160),
];
/// Timeout for the response to a probe: a health check may be queued, and a link that was
/// silent delivers its backlog once it recovers.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of a probe response that is read.
const MAX_PROBE_RESPONSE_BYTES: usize = 16 * 1024;

/// Request id in records about the responses to health checks.
const HEALTH_CHECK: &str = "health-check";

/// Evidence of an end that was reported by the leader.
pub(crate) const GONE: &str = "gone";

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// The expected instance answers.
    Expected,
    /// The address accepts connections, but it is unknown which instance answers there.
    Inconclusive,
    /// No connection could be made in time.
    Unreachable,
    /// Another router reaches the instance, or this one appears to have lost its paths: the failed
    /// connection shows nothing about the instance.
    PathLost,
    /// Another instance answers at the address.
    OtherInstance,
    /// The address refuses connections.
    Refused,
    /// The leader reports that the instance is gone.
    Gone,
}

impl ProbeResult {
    /// The evidence that the instance has ended, if the result is one.
    pub(crate) fn end_evidence(self) -> Option<&'static str> {
        match self {
            Self::OtherInstance => Some("another"),
            Self::Refused => Some("refused"),
            Self::Gone => Some(GONE),
            Self::Expected | Self::Inconclusive | Self::Unreachable | Self::PathLost => None,
        }
    }

    /// Whether a later probe may be conclusive.
    pub(crate) fn may_become_conclusive(self) -> bool {
        matches!(
            self,
            Self::Inconclusive | Self::Unreachable | Self::PathLost
        )
    }
}

/// Probes an instance right after it broke off a response, until a probe is conclusive or all
/// pauses are used.
pub(crate) async fn probe_until_conclusive(
    shared: &Arc<Shared>,
    instance: &RunnerId,
) -> ProbeResult {
    for pause in INITIAL_PROBE_PAUSES {
        tokio::time::sleep(pause).await;
        let result = probe_once(shared, instance, pause).await;
        if result != ProbeResult::Inconclusive {
            return result;
        }
    }
    ProbeResult::Inconclusive
}

/// Probes once. A connection counts only if it stays open for `settle_time`: an instance with too
/// many connections accepts further ones and closes them.
pub(crate) async fn probe_once(
    shared: &Arc<Shared>,
    instance: &RunnerId,
    settle_time: Duration,
) -> ProbeResult {
    let Some(target) = shared.view.probe_target(instance) else {
        return ProbeResult::Gone;
    };
    let upstream = match path::connect_directly(shared, &target.view).await {
        Ok(upstream) => upstream,
        Err(error) => return judge_failed_connection(shared, &target.view, &error).await,
    };
    tokio::time::sleep(settle_time).await;
    if upstream.is_closed() {
        return ProbeResult::Inconclusive;
    }
    // An instance that pushes back is not sent health checks either.
    let pushback = shared.view.active_pushback(instance, shared.clock.now());
    let path = target.health_path.filter(|_| pushback.is_none());
    let Some(path) = path else {
        shared.pool.put_back(upstream);
        return ProbeResult::Inconclusive;
    };
    let identifying = identify(shared, instance, &target.view.address, &path, upstream);
    let identified = tokio::time::timeout(PROBE_TIMEOUT, identifying).await;
    match identified.ok().flatten() {
        Some(ProbeIdentity::Expected) => ProbeResult::Expected,
        Some(ProbeIdentity::Other) => ProbeResult::OtherInstance,
        Some(ProbeIdentity::Unknown) | None => ProbeResult::Inconclusive,
    }
}

/// What a failed connection shows: another router that reaches the instance shows that only this
/// router's path is lost.
async fn judge_failed_connection(
    shared: &Arc<Shared>,
    view: &InstanceView,
    error: &io::Error,
) -> ProbeResult {
    match path::is_reached_by_another(shared, view).await {
        Some(true) => return ProbeResult::PathLost,
        None if !shared.paths().is_evidence(&view.service, false) => return ProbeResult::PathLost,
        Some(false) | None => {}
    }
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ => ProbeResult::Unreachable,
    }
}

/// Sends a health check and reads which instance answers; `None` if there is no response.
async fn identify(
    shared: &Shared,
    instance: &RunnerId,
    address: &str,
    path: &str,
    mut upstream: Upstream,
) -> Option<ProbeIdentity> {
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = shared.interface.probe_headers(instance);
    let host = HeaderValue::from_str(address).ok()?;
    request.headers_mut().insert(HOST, host);
    let sent_at = shared.clock.now();
    let response = upstream.send(HEALTH_CHECK, request).await.ok()?;
    let (head, body) = response.into_parts();
    upstream.read_framing(&Method::GET, &head);
    let metadata = shared
        .interface
        .read_response(HEALTH_CHECK, head.status, &head.headers);
    let origin = ResponseOrigin {
        instance,
        id: HEALTH_CHECK,
        sent_at,
    };
    let identity = shared
        .interface
        .read_probe_identity(instance, head.status, &head.headers);
    if identity == ProbeIdentity::Expected {
        observe_response(shared, origin, &head, &metadata);
    }
    let discarded = discard_limited(body, MAX_PROBE_RESPONSE_BYTES, address).await;
    if discarded.is_ok() && identity == ProbeIdentity::Expected {
        shared.pool.put_back(upstream);
    }
    Some(identity)
}
