//! Admission of a request: its route, whose it is, whether it is within its tenant's
//! limit, its body.
//!
//! Invariant: what is refused here has not been sent anywhere.

use crate::Shared;
use crate::handle::Admitted;
use crate::interface::{PresentedKey, RequestMetadata};
use crate::quota_desk::Charge;
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::staleness::{LookupDecision, evaluate, evaluate_key};
use bytes::Bytes;
use courseshunt_records::emit;
use courseshunt_services::routes::pick_target;
use courseshunt_services::{LimitedRequest, RequestContent, Route, RouteTable, Tenant};
use courseshunt_types::{Digest, Millis};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A request waits so long for the first configuration of a router, and not
/// for more than this part of its time.
const START_WAIT: Duration = Duration::from_millis(1_500);
const START_PART: f64 = 0.5;
/// Clients that are refused at once for the state of this router come back after
/// this: it follows a leader again by then, or another router does.
const RETURN: Millis = Millis(300);

/// Clients whose request is in quarantine are told to stay away for so long: nothing
/// changes for them sooner.
pub(crate) const QUARANTINE_RETURN: Millis = Millis(60_000);

/// Whose a request is.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) key: Digest,
    pub(crate) tenant: Arc<Tenant>,
}

/// A request that is not admitted.
#[derive(Debug)]
pub(crate) struct Denied {
    pub(crate) refusal: Refusal,
    pub(crate) retry_after: Millis,
}

impl From<Refusal> for Denied {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after: RETURN,
        }
    }
}

/// Admits a request, and records why if it doesn't.
pub(crate) async fn admit(
    request: Request<Incoming>,
    shared: &Arc<Shared>,
    arrived: Instant,
) -> Result<Admitted, Denied> {
    let (head, body) = request.into_parts();
    let facts = shared.interface.read_request(&head.headers);
    let mut known = Known::default();
    let id = facts.id.clone();
    let model = facts.shape.model.clone();
    let admitted = admit_parts(head, body, facts, &mut known, shared, arrived).await;
    if let Err(denied) = &admitted {
        shared.metrics.refusal(denied.refusal.word());
        let tenant = known.tenant.as_ref().map(|tenant| tenant.name.as_str());
        if let Some(tenant) = tenant {
            shared.metrics.tenant_refused(tenant);
        }
        emit(&RequestRecord::Refused {
            id: &id,
            route: known.route.as_ref().map(|route| route.name.as_str()),
            tenant,
            units: known.units,
            model: Some(&model),
            reason: denied.refusal.word(),
            may_have_run: false,
            status: denied.refusal.status().as_u16(),
            content: known.content.as_ref().map(Digest::short),
            after_ms: crate::flight::millis(arrived.elapsed()),
            retry_after_ms: Some(denied.retry_after.0),
            attempts: 0,
            configuration: shared.view.number(),
            feed_age_ms: crate::flight::millis(shared.view.feed_age()),
        });
    }
    admitted
}

/// What was found out about a request before it was denied.
#[derive(Default)]
struct Known {
    route: Option<Arc<Route>>,
    tenant: Option<Arc<Tenant>>,
    units: Option<u32>,
    /// Told where it is the reason.
    content: Option<Digest>,
}

async fn admit_parts(
    head: Parts,
    body: Incoming,
    facts: RequestMetadata,
    known: &mut Known,
    shared: &Arc<Shared>,
    arrived: Instant,
) -> Result<Admitted, Denied> {
    if shared.closing.is_cancelled() {
        return Err(Refusal::Stopping.into());
    }
    let table = table(shared, &facts, arrived).await?;
    let route = route(&table, &head, shared)?;
    known.route = Some(route.clone());
    let caller = caller(&table, &route, facts.key, shared)?;
    known.tenant = caller.as_ref().map(|caller| caller.tenant.clone());
    let charge = match &caller {
        Some(caller) => charge(&caller.tenant, &route, &facts, known, shared).await?,
        None => None,
    };
    let timeout = facts
        .deadline
        .map_or(route.timeout, |asked| asked.min(route.timeout));
    let deadline = arrived + Duration::from(timeout);
    let expires_at = shared.clock.now() + remaining(deadline);
    let target = pick_target(&route.targets, rand::random()).ok_or(Refusal::NoRoute)?;
    let service = table.service(&target.service).ok_or(Refusal::NoRoute)?;
    let service = service.clone();
    let limits = &table.configuration().limits;
    let body = read_body(body, limits.max_body_bytes, deadline).await?;
    let uri = origin_form(&head.uri);
    let content = content(&head, &uri, caller.as_ref(), &body);
    if shared.quarantine.holds(&content, shared.view.feed_age()) {
        known.content = Some(content);
        return Err(Denied {
            refusal: Refusal::Quarantined,
            retry_after: QUARANTINE_RETURN,
        });
    }
    let now = shared.clock.now();
    shared.metrics.request();
    shared
        .view
        .arrived(&service.name, &facts.shape, route.objective, now);
    let priority = caller.as_ref().and_then(|caller| caller.tenant.priority);
    Ok(Admitted {
        content,
        target: uri,
        head,
        body,
        priority: priority.unwrap_or(route.priority),
        route,
        service,
        caller,
        charge,
        facts,
        arrived,
        deadline,
        expires_at,
    })
}

/// Time until a moment of the runtime's clock.
fn remaining(deadline: Instant) -> Millis {
    let left = deadline.saturating_duration_since(Instant::now());
    Millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}

/// The configuration in force. A router that has just started waits a little
/// for its first one.
async fn table(
    shared: &Shared,
    facts: &RequestMetadata,
    arrived: Instant,
) -> Result<Arc<RouteTable>, Refusal> {
    let deadline = facts.deadline.map_or(START_WAIT, Duration::from);
    let limit = arrived + START_WAIT.min(deadline.mul_f64(START_PART));
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

/// The route of a request, as far as this router can tell.
fn route(table: &RouteTable, head: &Parts, shared: &Shared) -> Result<Arc<Route>, Refusal> {
    let silent_for = shared.view.feed_age();
    match evaluate(find(table, head), shared.view.behind_for(), silent_for) {
        LookupDecision::Serve(route) => Ok(route),
        LookupDecision::Deny => Err(Refusal::NoRoute),
        LookupDecision::Stale => Err(Refusal::Behind),
    }
}

fn find(table: &RouteTable, head: &Parts) -> Option<Arc<Route>> {
    table.find(host(head)?, head.uri.path()).cloned()
}

fn host(head: &Parts) -> Option<&str> {
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    authority.or(host)
}

fn content(head: &Parts, target: &Uri, caller: Option<&Caller>, body: &[u8]) -> Digest {
    let content = RequestContent {
        tenant: caller.map(|caller| caller.tenant.name.as_str()),
        method: head.method.as_str(),
        host: host(head).unwrap_or_default(),
        target: target.path_and_query().map_or("", |target| target.as_str()),
        body,
    };
    content.digest()
}

/// Whose a request is, as far as this router can tell; none where no key is needed.
fn caller(
    table: &RouteTable,
    route: &Route,
    carried: PresentedKey,
    shared: &Shared,
) -> Result<Option<Caller>, Refusal> {
    let tenants = table.tenants();
    let found = match carried {
        PresentedKey::Key(key) => tenants.find(&key).map(|tenant| Caller {
            key,
            tenant: tenant.clone(),
        }),
        PresentedKey::None | PresentedKey::Unreadable => None,
    };
    if route.public || !tenants.is_needed() {
        return Ok(found);
    }
    let trust = shared.settings.limits.key_trust_ms;
    let trust = trust.map(Duration::from_millis);
    let silent_for = shared.view.feed_age();
    match evaluate_key(found, shared.view.behind_for(), silent_for, trust) {
        LookupDecision::Serve(caller) => Ok(Some(caller)),
        LookupDecision::Deny => Err(Refusal::UnknownKey),
        LookupDecision::Stale => Err(Refusal::Behind),
    }
}

/// Counts a request within its tenant's limit, if it has one.
async fn charge(
    tenant: &Arc<Tenant>,
    route: &Route,
    facts: &RequestMetadata,
    known: &mut Known,
    shared: &Shared,
) -> Result<Option<Charge>, Denied> {
    let Some(quota) = &tenant.quota else {
        return Ok(None);
    };
    let units = quota.weight(facts.shape.prompt_tokens, facts.shape.output_tokens);
    known.units = Some(units);
    let request = LimitedRequest {
        tenant: &tenant.name,
        quota,
        units,
        rank: route.priority,
    };
    let led = shared.is_led();
    let now = shared.clock.now();
    let admitted = shared.quotas.admit(tenant, &request, led, now).await;
    if let Err(retry_after) = admitted {
        return Err(Denied {
            refusal: Refusal::OverQuota,
            retry_after,
        });
    }
    shared.metrics.tenant_admitted(&tenant.name, units);
    let desk = shared.quotas.clone();
    let charge = Charge::new(desk, shared.clock, tenant.clone(), units);
    Ok(Some(charge))
}

/// Whether a request's key is still a tenant's, by the configuration in force.
pub(crate) fn is_still_held(caller: &Caller, shared: &Shared) -> bool {
    let table = shared.view.table();
    table.is_none_or(|table| {
        let tenants = table.tenants();
        !tenants.is_needed() || tenants.find(&caller.key).is_some()
    })
}

/// Path and query, as they came.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(target) => Uri::from(target.clone()),
        None => Uri::from_static("/"),
    }
}

async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BrokenBody),
    }
}
