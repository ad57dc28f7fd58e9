//! The way of one request: admission, waiting, attempts, answer.

use crate::Shared;
use crate::attempt::{AttemptOutcome, attempt, is_failure};
use crate::flight::millis;
use crate::interface::RequestFacts;
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::standing::{Standing, judge};
use crate::waiting::{Situation, Waiting, decide};
use bytes::Bytes;
use courseshunt_http::Body;
use courseshunt_records::emit;
use courseshunt_services::routes::pick_target;
use courseshunt_services::{Candidate, InstanceView, RequestKind, Route, RouteTable, Service};
use courseshunt_types::{Millis, RunnerId};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before an instance that turned a request away is asked again.
const PAUSE: Duration = Duration::from_millis(40);
/// Instances that one client attempt is sent to at the most, those included
/// that turned it away.
const MAX_SENDS: u32 = 6;
/// Clients are told to come back after this part of the objective.
const RETRY_AFTER_PART: u64 = 10;
/// A request waits so long for the first configuration of a router, and not
/// for more than this part of its time.
const START_WAIT: Duration = Duration::from_millis(1_500);
const START_PART: f64 = 0.5;
/// Longest pause before a waiting request is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// A request whose route, facts and whole body are known.
pub(crate) struct Admitted {
    pub(crate) head: Parts,
    pub(crate) target: Uri,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) facts: RequestFacts,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// Answers one request.
pub(crate) async fn handle(request: Request<Incoming>, shared: Arc<Shared>) -> Response<Body> {
    let arrived = Instant::now();
    let mut response = match admit(request, &shared, arrived).await {
        Ok(admitted) => run(&admitted, &shared).await,
        Err(refusal) => {
            let wait = Millis(300);
            shared.metrics.refusal(refusal.word());
            refusal.response(Some(wait))
        }
    };
    if shared.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn admit(
    request: Request<Incoming>,
    shared: &Arc<Shared>,
    arrived: Instant,
) -> Result<Admitted, Refusal> {
    if shared.closing.is_cancelled() {
        return Err(Refusal::Stopping);
    }
    let (head, body) = request.into_parts();
    let facts = shared.interface.read_request(&head.headers);
    let table = table(shared, &facts, arrived).await?;
    let route = route(&table, &head, shared)?;
    let timeout = facts
        .deadline
        .map_or(route.timeout, |asked| asked.min(route.timeout));
    let deadline = arrived + Duration::from(timeout);
    let target = pick_target(&route.targets, rand::random()).ok_or(Refusal::NoRoute)?;
    let service = table.service(&target.service).ok_or(Refusal::NoRoute)?;
    let service = service.clone();
    let limits = &table.configuration().limits;
    let body = read_body(body, limits.max_body_bytes, deadline).await?;
    let now = shared.clock.now();
    shared.metrics.request();
    shared
        .view
        .arrived(&service.name, &facts.shape, route.objective, now);
    Ok(Admitted {
        target: origin_form(&head.uri),
        head,
        body,
        route,
        service,
        facts,
        arrived,
        deadline,
    })
}

/// The configuration in force. A router that has just started waits a little
/// for its first one.
async fn table(
    shared: &Shared,
    facts: &RequestFacts,
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
    match judge(find(table, head), shared.view.behind_for(), silent_for) {
        Standing::Serve(route) => Ok(route),
        Standing::Deny => Err(Refusal::NoRoute),
        Standing::Behind => Err(Refusal::Behind),
    }
}

fn find(table: &RouteTable, head: &Parts) -> Option<Arc<Route>> {
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = authority.or(host)?;
    table.find(host, head.uri.path()).cloned()
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

/// What is known so far about a request that was sent.
#[derive(Default)]
struct Sends {
    count: u32,
    ran: u32,
    avoid: Vec<RunnerId>,
}

async fn run(admitted: &Admitted, shared: &Arc<Shared>) -> Response<Body> {
    let mut sends = Sends::default();
    loop {
        let chosen = select(admitted, shared, &sends).await;
        let (candidate, view) = match chosen {
            Ok(chosen) => chosen,
            Err(given_up) => {
                let retry_after = given_up.retry_after;
                return refuse(admitted, shared, &sends, given_up.refusal, retry_after);
            }
        };
        sends.count += 1;
        let instance = view.id.clone();
        let outcome = attempt(shared, admitted, candidate, &view, sends.count).await;
        match next(admitted, shared, &mut sends, instance, outcome) {
            Next::Answer(response) => return response,
            Next::Refuse(refusal) => return refuse(admitted, shared, &sends, refusal, None),
            Next::Again => {}
        }
        if sends.avoid.len() > 1 {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

enum Next {
    Answer(Response<Body>),
    Refuse(Refusal),
    Again,
}

fn next(
    admitted: &Admitted,
    shared: &Shared,
    sends: &mut Sends,
    instance: RunnerId,
    outcome: AttemptOutcome,
) -> Next {
    let route = &admitted.route;
    let resumable = route.kind == RequestKind::Streaming && route.resumable;
    let repeatable = route.kind == RequestKind::Safe || resumable;
    let now = shared.clock.now();
    let may_retry = |sends: &Sends| {
        let allowed = sends.count < MAX_SENDS && shared.view.may_retry(&admitted.service.name, now);
        if !allowed {
            shared.metrics.retry_denied();
        }
        allowed
    };
    match outcome {
        AttemptOutcome::Answered(response) => {
            sends.ran += 1;
            let again = repeatable && is_failure(&response);
            if again && sends.ran < admitted.route.max_attempts && may_retry(sends) {
                sends.avoid.push(instance);
                return Next::Again;
            }
            Next::Answer(response)
        }
        AttemptOutcome::NotRun => {
            sends.avoid.push(instance);
            match may_retry(sends) {
                true => Next::Again,
                false => Next::Refuse(Refusal::TurnedAway),
            }
        }
        AttemptOutcome::MayHaveRun => {
            sends.ran += 1;
            sends.avoid.push(instance);
            let again = repeatable && sends.ran < admitted.route.max_attempts;
            match again && may_retry(sends) {
                true => Next::Again,
                false => Next::Refuse(Refusal::Broken),
            }
        }
        AttemptOutcome::TimedOut => Next::Refuse(Refusal::TimedOut),
    }
}

/// The final answer of a request that no instance answered.
fn refuse(
    admitted: &Admitted,
    shared: &Shared,
    sends: &Sends,
    refusal: Refusal,
    retry_after: Option<Millis>,
) -> Response<Body> {
    let wait = Millis(admitted.route.objective.0 / RETRY_AFTER_PART);
    let wait = retry_after.unwrap_or(wait);
    shared.metrics.refusal(refusal.word());
    emit(&RequestRecord::Refused {
        id: &admitted.facts.id,
        route: Some(&admitted.route.name),
        model: Some(&admitted.facts.shape.model),
        reason: refusal.word(),
        may_have_run: refusal.may_have_run(),
        status: refusal.status().as_u16(),
        after_ms: millis(admitted.arrived.elapsed()),
        retry_after_ms: (!refusal.may_have_run()).then_some(wait.0),
        attempts: sends.count,
        configuration: shared.view.number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
    refusal.response(Some(wait))
}

/// A request that waits no longer.
struct GivenUp {
    refusal: Refusal,
    retry_after: Option<Millis>,
}

impl GivenUp {
    fn of(sends: &Sends, retry_after: Millis) -> Self {
        Self {
            refusal: match sends.ran {
                0 => Refusal::NoInstance,
                _ => Refusal::Broken,
            },
            retry_after: Some(retry_after),
        }
    }
}

/// Chooses an instance; waits for one while that makes sense.
async fn select(
    admitted: &Admitted,
    shared: &Arc<Shared>,
    sends: &Sends,
) -> Result<(Candidate, InstanceView), GivenUp> {
    let shape = &admitted.facts.shape;
    let service = &admitted.service;
    let mut changes = shared.view.changes();
    let mut waiting = None;
    loop {
        changes.borrow_and_update();
        let now = shared.clock.now();
        // When all have turned it away, the first of them may be asked again.
        let avoid: &[RunnerId] = match sends.count {
            0..=2 => &sends.avoid,
            _ => &sends.avoid[sends.avoid.len().saturating_sub(1)..],
        };
        if let Some(chosen) = shared.view.choose(service, shape, avoid, now) {
            return Ok(chosen);
        }
        if waiting.is_none() && service.engine.is_some() {
            waiting = Some(shared.view.wait_for(&service.name, shape));
            record_waiting(admitted, shared);
        }
        let until = match decide(&situation(admitted, shared), Instant::now()) {
            Waiting::Until(until) => until,
            Waiting::GiveUp { retry_after } => return Err(GivenUp::of(sends, retry_after)),
        };
        let pause = (Instant::now() + LOOK_AGAIN).min(until);
        let _ = tokio::time::timeout_at(pause, changes.changed()).await;
    }
}

fn record_waiting(admitted: &Admitted, shared: &Shared) {
    let shape = &admitted.facts.shape;
    let service = &admitted.service;
    let expected = shared
        .view
        .expected_at(service, shape, shared.clock.now())
        .map(|at| millis(at.saturating_duration_since(Instant::now())));
    emit(&RequestRecord::Waits {
        id: &admitted.facts.id,
        route: &admitted.route.name,
        service: &service.name,
        model: &shape.model,
        adapter: shape.adapter.as_deref(),
        expected_ms: expected,
        configuration: shared.view.number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
}

/// What the decision on waiting rests on.
fn situation(admitted: &Admitted, shared: &Shared) -> Situation {
    let service = &admitted.service;
    let expected = match service.engine {
        Some(_) => {
            let now = shared.clock.now();
            shared.view.expected_at(service, &admitted.facts.shape, now)
        }
        None => None,
    };
    let asked = admitted.facts.deadline.unwrap_or(admitted.route.timeout);
    Situation {
        arrived: admitted.arrived,
        deadline: admitted.deadline,
        objective: Duration::from(admitted.route.objective),
        patience: shared
            .interface
            .patience(&admitted.route)
            .map(Duration::from),
        returning: asked.0 * 10 < admitted.route.timeout.0 * 9,
        has_models: service.engine.is_some() && shared.view.is_known(service),
        expected,
    }
}
