//! Admission of a request: resolves its route and caller, charges its tenant's quota and reads
//! its body.
//!
//! Invariant: a request that is refused here has not been sent to any instance.

use crate::Shared;
use crate::client_body::ClientBody;
use crate::handle::AdmittedRequest;
use crate::interface::{PresentedKey, RequestMetadata};
use crate::progress::{RequestProgress, RequestStage};
use crate::quota_tracker::Charge;
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::reservation::{NoTerms, reservation_terms};
use crate::resumption;
use crate::staleness::{LookupDecision, evaluate, evaluate_key};
use bytes::Bytes;
use courseshunt_http::{
    BodyLimits, BodyProblem, BodyReader, BodySource, RequestGuard, STOPPED_AFTER_MS,
};
use courseshunt_records::emit;
use courseshunt_services::routes::pick_target;
use courseshunt_services::{
    Fingerprints, LimitedRequest, RequestContent, ReservationTerms, Route, RouteTable, Tenant,
};
use courseshunt_types::{Digest, Millis};
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time that a request waits for the first configuration of a router that has just
/// started, and the maximum fraction of its deadline spent on this.
const INITIAL_CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
const INITIAL_CONFIGURATION_WAIT_FRACTION: f64 = 0.5;
/// Retry-After of requests that are refused because of the state of this router: by then it
/// follows a leader again, or the client reaches another router.
pub(crate) const ROUTER_RETRY_AFTER: Millis = Millis(300);

/// Retry-After of quarantined requests: the quarantine does not end sooner.
pub(crate) const QUARANTINE_RETRY_AFTER: Millis = Millis(60_000);

/// Retry-After of requests whose bodies find no memory: bodies that have stopped arriving by now can
/// be given up for theirs then.
const MEMORY_RETRY_AFTER: Millis = Millis(STOPPED_AFTER_MS);

/// Tenant and key of a request.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) key: Digest,
    pub(crate) tenant: Arc<Tenant>,
}

/// Refusal of a request that was not admitted.
#[derive(Debug)]
pub(crate) struct Denial {
    pub(crate) refusal: Refusal,
    pub(crate) retry_after: Millis,
    /// Whether units of the tenant's quota are reserved for the client's return.
    pub(crate) is_reserved: bool,
}

impl From<Refusal> for Denial {
    fn from(refusal: Refusal) -> Self {
        let retry_after = match refusal {
            Refusal::NoMemory => MEMORY_RETRY_AFTER,
            // Another router may serve it at once.
            Refusal::Stopping => Millis(0),
            _ => ROUTER_RETRY_AFTER,
        };
        Self {
            refusal,
            retry_after,
            is_reserved: false,
        }
    }
}

/// A request whose head has been received.
pub(crate) struct ReceivedRequest {
    pub(crate) head: Parts,
    pub(crate) body: ClientBody,
    pub(crate) metadata: RequestMetadata,
    pub(crate) progress: Arc<RequestProgress>,
    pub(crate) arrived: Instant,
}

impl ReceivedRequest {
    pub(crate) fn new(
        request: Request<Incoming>,
        in_flight: Arc<RequestGuard>,
        shared: &Arc<Shared>,
    ) -> Self {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let metadata = shared.interface.read_request(&head.headers);
        let body = ClientBody::new(body, in_flight, shared.clone());
        Self {
            head,
            body,
            metadata,
            progress: Arc::default(),
            arrived,
        }
    }
}

/// Admits a request; records the reason if it is refused. What is not admitted when the router closes
/// is refused then, whatever it waits for.
pub(crate) async fn admit(
    received: ReceivedRequest,
    shared: &Arc<Shared>,
) -> Result<AdmittedRequest, Denial> {
    let arrived = received.arrived;
    let metadata = &received.metadata;
    let mut resolved = Resolved::default();
    let id = metadata.id.clone();
    let model = metadata.shape.model.clone();
    let admitted = tokio::select! {
        biased;
        admitted = admit_received(received, &mut resolved, shared) => admitted,
        () = shared.closing.cancelled() => Err(Refusal::Stopping.into()),
    };
    if let Err(denial) = &admitted {
        shared.metrics.refusal(denial.refusal.reason());
        let tenant = resolved.tenant.as_ref().map(|tenant| tenant.name.as_str());
        if let Some(tenant) = tenant {
            shared.metrics.tenant_refused(tenant);
        }
        emit(&RequestRecord::Refused {
            id: &id,
            route: resolved.route.as_ref().map(|route| route.name.as_str()),
            tenant,
            units: resolved.units,
            model: Some(&model),
            reason: denial.refusal.reason(),
            may_have_run: false,
            status: denial.refusal.status().as_u16(),
            content: resolved.quarantined.as_ref().map(Digest::short),
            after_ms: crate::flight::millis(arrived.elapsed()),
            retry_after_ms: Some(denial.retry_after.0),
            reserved: denial.is_reserved,
            attempts: 0,
            holders: None,
            unreachable: None,
            configuration: shared.view.configuration_number(),
            feed_age_ms: crate::flight::millis(shared.view.feed_age()),
        });
    }
    admitted
}

/// Properties of a request that were resolved before it was denied, for the record.
#[derive(Default)]
struct Resolved {
    route: Option<Arc<Route>>,
    tenant: Option<Arc<Tenant>>,
    units: Option<u32>,
    /// Set only if the request was denied because of this fingerprint.
    quarantined: Option<Digest>,
}

async fn admit_received(
    received: ReceivedRequest,
    resolved: &mut Resolved,
    shared: &Arc<Shared>,
) -> Result<AdmittedRequest, Denial> {
    let ReceivedRequest {
        head,
        body,
        metadata,
        progress,
        arrived,
    } = received;
    refuse_if_closed(shared)?;
    let table = wait_for_table(shared, &metadata, arrived).await?;
    let route = resolve_route(&table, &head, shared)?;
    resolved.route = Some(route.clone());
    let caller = resolve_caller(&table, &route, metadata.key, shared)?;
    resolved.tenant = caller.as_ref().map(|caller| caller.tenant.clone());
    let limits = &table.configuration().limits;
    refuse_if_announced_too_long(&body, limits.max_body_bytes)?;
    let timeout = metadata
        .deadline
        .map_or(route.timeout, |requested| requested.min(route.timeout));
    let deadline = arrived + Duration::from(timeout);
    let service = pick_service(&route)?;
    let writer = resumption::resolve(shared, &metadata, &route, service, deadline).await?;
    let charge = match &caller {
        Some(caller) => {
            let tenant = &caller.tenant;
            let time_left = remaining(deadline);
            let latest_return = shared.interface.latest_return(time_left);
            let shape = &metadata.shape;
            let terms = reservation_terms(&table, tenant, &route, shape, time_left, latest_return);
            charge_quota(tenant, &route, &metadata, terms, resolved, shared).await?
        }
        None => None,
    };
    let expires_at = shared.clock.now() + remaining(deadline);
    let service = writer.as_ref().map_or(service, |writer| &writer.service);
    let service = table.service(service).ok_or(Refusal::NoRoute)?;
    let service = service.clone();
    progress.enter(RequestStage::RequestBody);
    let body_limits = BodyLimits {
        source: BodySource::Client,
        max_bytes: limits.max_body_bytes,
        deadline,
        idle_timeout: Duration::from(limits.idle_timeout),
    };
    let body = read_body(body, body_limits, shared).await?;
    // The body may have arrived long after the head.
    refuse_if_closed(shared)?;
    let uri = origin_form(&head.uri);
    let content = content_digest(&head, &uri, caller.as_ref(), &body);
    let tenant = caller.as_ref().map(|caller| caller.tenant.name.as_str());
    let fingerprints = Fingerprints::new(tenant, &service.name, &metadata.shape, content);
    let quarantined = shared
        .quarantine
        .quarantined_of(&fingerprints, shared.view.feed_age());
    if quarantined.is_some() {
        resolved.quarantined = quarantined;
        return Err(Denial {
            refusal: Refusal::Quarantined,
            retry_after: QUARANTINE_RETRY_AFTER,
            is_reserved: false,
        });
    }
    let now = shared.clock.now();
    shared.metrics.request();
    shared
        .view
        .count_arrival(&service.name, &metadata.shape, route.objective, now);
    let priority = caller.as_ref().and_then(|caller| caller.tenant.priority);
    Ok(AdmittedRequest {
        fingerprints,
        target: uri,
        head,
        body,
        priority: priority.unwrap_or(route.priority),
        route,
        service,
        caller,
        charge,
        metadata,
        writer,
        progress,
        arrived,
        deadline,
        expires_at,
    })
}

/// Refuses a request of a router that stops and no longer sends new requests to instances.
fn refuse_if_closed(shared: &Shared) -> Result<(), Refusal> {
    match shared.closing.is_cancelled() {
        true => Err(Refusal::Stopping),
        false => Ok(()),
    }
}

/// Refuses a request whose head announces a body over the limit, before any of it is read.
fn refuse_if_announced_too_long(body: &ClientBody, max_bytes: usize) -> Result<(), Refusal> {
    let announced = body.size_hint().lower();
    match announced > max_bytes as u64 {
        true => Err(Refusal::TooLarge),
        false => Ok(()),
    }
}

/// Name of the service to which a new request is sent.
fn pick_service(route: &Route) -> Result<&String, Refusal> {
    let target = pick_target(&route.targets, rand::random());
    target.map(|target| &target.service).ok_or(Refusal::NoRoute)
}

/// Time left until `deadline` on the runtime's clock.
fn remaining(deadline: Instant) -> Millis {
    let left = deadline.saturating_duration_since(Instant::now());
    Millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}

/// The configuration in force. A router that has just started waits a short time for its first
/// one.
async fn wait_for_table(
    shared: &Shared,
    metadata: &RequestMetadata,
    arrived: Instant,
) -> Result<Arc<RouteTable>, Refusal> {
    let deadline = metadata
        .deadline
        .map_or(INITIAL_CONFIGURATION_WAIT, Duration::from);
    let limit = arrived
        + INITIAL_CONFIGURATION_WAIT.min(deadline.mul_f64(INITIAL_CONFIGURATION_WAIT_FRACTION));
    let mut changes = shared.view.changes();
    loop {
        changes.borrow_and_update();
        if let Some(table) = shared.view.table() {
            return Ok(table);
        }
        let changed = tokio::time::timeout_at(limit, changes.changed()).await;
        changed.map_err(|_| Refusal::NoConfiguration)?.ok();
    }
}

/// Resolves the route of a request, if this router's configuration is fresh enough to decide.
fn resolve_route(table: &RouteTable, head: &Parts, shared: &Shared) -> Result<Arc<Route>, Refusal> {
    let leader_silence = shared.view.feed_age();
    match evaluate(
        find_route(table, head),
        shared.view.stale_for(),
        leader_silence,
    ) {
        LookupDecision::Serve(route) => Ok(route),
        LookupDecision::Deny => Err(Refusal::NoRoute),
        LookupDecision::Stale => Err(Refusal::Stale),
    }
}

/// The route of a request. A `CONNECT` asks for a tunnel to a host and names no path (RFC 9110, section
/// 9.3.6); a success to it would have no body.
fn find_route(table: &RouteTable, head: &Parts) -> Option<Arc<Route>> {
    if head.method == Method::CONNECT {
        return None;
    }
    table.find(host(head)?, head.uri.path()).cloned()
}

fn host(head: &Parts) -> Option<&str> {
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    authority.or(host)
}

fn content_digest(head: &Parts, target: &Uri, caller: Option<&Caller>, body: &[u8]) -> Digest {
    let content = RequestContent {
        tenant: caller.map(|caller| caller.tenant.name.as_str()),
        method: head.method.as_str(),
        host: host(head).unwrap_or_default(),
        target: target.path_and_query().map_or("", |target| target.as_str()),
        body,
    };
    content.digest()
}

/// Resolves the caller of a request, if this router's configuration is fresh enough to decide;
/// `None` if no key is needed and none matches.
fn resolve_caller(
    table: &RouteTable,
    route: &Route,
    presented: PresentedKey,
    shared: &Shared,
) -> Result<Option<Caller>, Refusal> {
    let tenants = table.tenants();
    let found = match presented {
        PresentedKey::Key(key) => tenants.find(&key).map(|tenant| Caller {
            key,
            tenant: tenant.clone(),
        }),
        PresentedKey::None | PresentedKey::Unreadable => None,
    };
    if route.public || !tenants.requires_key() {
        return Ok(found);
    }
    let key_trust = shared.settings.limits.key_trust_ms;
    let key_trust = key_trust.map(Duration::from_millis);
    let leader_silence = shared.view.feed_age();
    match evaluate_key(found, shared.view.stale_for(), leader_silence, key_trust) {
        LookupDecision::Serve(caller) => Ok(Some(caller)),
        LookupDecision::Deny => Err(Refusal::UnknownKey),
        LookupDecision::Stale => Err(Refusal::Stale),
    }
}

/// Charges a request to its tenant's quota, if the tenant has one.
async fn charge_quota(
    tenant: &Arc<Tenant>,
    route: &Route,
    metadata: &RequestMetadata,
    terms: Result<ReservationTerms, NoTerms>,
    resolved: &mut Resolved,
    shared: &Shared,
) -> Result<Option<Charge>, Denial> {
    let Some(quota) = &tenant.quota else {
        return Ok(None);
    };
    let units = quota.weight(metadata.shape.prompt_tokens, metadata.shape.output_tokens);
    resolved.units = Some(units);
    let request = LimitedRequest {
        tenant: &tenant.name,
        quota,
        units,
        rank: route.priority,
    };
    let has_leader = shared.has_recent_leader();
    let now = shared.clock.now();
    let quotas = &shared.quotas;
    let admitted = quotas.admit(tenant, &request, terms.ok(), has_leader, now);
    if let Err(over) = admitted.await {
        match terms {
            Ok(_) if over.is_reserved => shared.metrics.reservation("reserved"),
            Ok(_) => {}
            Err(none) => shared.metrics.reservation(none.reason()),
        }
        return Err(Denial {
            refusal: Refusal::OverQuota,
            retry_after: over.retry_after,
            is_reserved: over.is_reserved,
        });
    }
    shared.metrics.tenant_admitted(&tenant.name, units);
    let tracker = shared.quotas.clone();
    let charge = Charge::new(tracker, shared.clock, tenant.clone(), units);
    Ok(Some(charge))
}

/// Whether a request's key still belongs to a tenant in the configuration in force.
pub(crate) fn is_key_valid(caller: &Caller, shared: &Shared) -> bool {
    let table = shared.view.table();
    table.is_none_or(|table| {
        let tenants = table.tenants();
        !tenants.requires_key() || tenants.find(&caller.key).is_some()
    })
}

/// Path and query as received.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(target) => Uri::from(target.clone()),
        None => Uri::from_static("/"),
    }
}

async fn read_body(
    body: ClientBody,
    limits: BodyLimits,
    shared: &Shared,
) -> Result<Bytes, Refusal> {
    let mut reader = BodyReader::new(body, limits, &shared.memory);
    loop {
        return match reader.read().await {
            Ok(body) => Ok(body),
            // A planned stop bounds the wait, and refuses the request itself.
            Err(BodyProblem::Stopped) if shared.stopping.is_cancelled() => continue,
            Err(BodyProblem::Stopped) => Err(Refusal::BodyStopped),
            Err(BodyProblem::GivenUp) => Err(Refusal::BodyGivenUp),
            Err(BodyProblem::NoMemory) => Err(Refusal::NoMemory),
            Err(BodyProblem::TooLong { .. }) => Err(Refusal::TooLarge),
            Err(BodyProblem::Late | BodyProblem::Broken { .. }) => Err(Refusal::BrokenBody),
        };
    }
}
