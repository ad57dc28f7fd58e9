//! The way of one request once it is admitted: waiting, attempts, answer.

use crate::Shared;
use crate::admission::{Caller, QUARANTINE_RETURN, admit, is_still_held};
use crate::attempt::{AttemptOutcome, attempt, is_failure};
use crate::flight::millis;
use crate::interface::RequestMetadata;
use crate::quota_desk::Charge;
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::waiting::{self, WaitContext, WaitDecision, decide};
use bytes::Bytes;
use courseshunt_http::Body;
use courseshunt_records::emit;
use courseshunt_services::{Candidate, InstanceView, RequestKind, Route, Service};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before an instance that turned a request away is asked again.
const PAUSE: Duration = Duration::from_millis(40);
/// The first time after which the only holder of a model is asked again, as a divisor of
/// the objective: with doubled ones after it, four tries lie within the objective.
const FIRST_REST_PART: u32 = 16;
/// Instances that one client attempt is sent to at the most, those included
/// that turned it away.
const MAX_SENDS: u32 = 6;
/// Clients are told to come back after this part of the objective.
const RETRY_AFTER_PART: u64 = 10;
/// Longest pause before a waiting request is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// A request whose route, caller and whole body are known.
pub(crate) struct Admitted {
    pub(crate) head: Parts,
    pub(crate) target: Uri,
    pub(crate) body: Bytes,
    /// What it asks: see [`courseshunt_services::RequestContent`].
    pub(crate) content: Digest,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) facts: RequestMetadata,
    /// Whose it is; none where no key is needed.
    pub(crate) caller: Option<Caller>,
    /// What it counts within its tenant's limit.
    pub(crate) charge: Option<Charge>,
    /// Rank: the tenant's, else the route's.
    pub(crate) priority: u8,
    pub(crate) arrived: Instant,
    /// For timers, which may fire late.
    pub(crate) deadline: Instant,
    /// The same moment on the clock that counts sleep: nothing is sent from then on.
    pub(crate) expires_at: Timestamp,
}

impl Admitted {
    /// Whose it is.
    pub(crate) fn tenant(&self) -> Option<&str> {
        let caller = self.caller.as_ref();
        caller.map(|caller| caller.tenant.name.as_str())
    }

    /// What it counts within its tenant's limit.
    pub(crate) fn units(&self) -> Option<u32> {
        self.charge.as_ref().map(Charge::units)
    }

    /// Notes whether it may have run by now.
    fn set_used(&self, used: bool) {
        if let Some(charge) = &self.charge {
            charge.set_used(used);
        }
    }
}

/// Answers one request.
pub(crate) async fn handle(request: Request<Incoming>, shared: Arc<Shared>) -> Response<Body> {
    let arrived = Instant::now();
    let mut response = match admit(request, &shared, arrived).await {
        Ok(admitted) => run(&admitted, &shared).await,
        Err(denied) => denied.refusal.response(Some(denied.retry_after)),
    };
    if shared.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// What is known so far about a request that was sent.
#[derive(Default)]
struct Sends {
    count: u32,
    ran: u32,
    avoid: Vec<RunnerId>,
    /// When the last of them ended.
    ended_at: Option<Instant>,
    /// When it was refused a turn at an instance that names a limit.
    turn_refused_at: Option<Instant>,
}

impl Sends {
    /// Whether a turn may be asked for: not again at once, since nothing may have changed.
    fn may_ask_for_turn(&self) -> bool {
        self.turn_refused_at.is_none_or(|at| at.elapsed() >= PAUSE)
    }

    /// Whether an instance that failed it may be asked again: after a part of the
    /// objective, and each time after twice as long, so that a full instance gets time
    /// and the tries spread over the objective.
    fn rested(&self, objective: Millis) -> bool {
        let first = Duration::from(objective) / FIRST_REST_PART;
        let doublings = self.count.saturating_sub(1).min(MAX_SENDS);
        let rest = PAUSE.max(first * 2_u32.pow(doublings));
        self.ended_at.is_some_and(|at| at.elapsed() >= rest)
    }
}

async fn run(admitted: &Admitted, shared: &Arc<Shared>) -> Response<Body> {
    let mut sends = Sends::default();
    loop {
        let chosen = select(admitted, shared, &sends).await;
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(given_up) => {
                let retry_after = given_up.retry_after;
                return refuse(admitted, shared, &sends, given_up.refusal, retry_after);
            }
        };
        sends.count += 1;
        let instance = chosen.view.id.clone();
        let in_turn = chosen.patience > Millis(0);
        admitted.set_used(true);
        let outcome = attempt(shared, admitted, chosen, sends.count).await;
        sends.ended_at = Some(Instant::now());
        if in_turn && matches!(outcome, AttemptOutcome::NotSent) {
            sends.turn_refused_at = sends.ended_at;
        }
        let did_not_run = matches!(outcome, AttemptOutcome::NotRun | AttemptOutcome::NotSent);
        admitted.set_used(!did_not_run || sends.ran > 0);
        match next(admitted, shared, &mut sends, instance, outcome) {
            Next::Answer(response) => return response,
            Next::Refuse(refusal) => {
                let retry_after = return_after(admitted, shared);
                return refuse(admitted, shared, &sends, refusal, retry_after);
            }
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
        AttemptOutcome::NotSent => {
            sends.count -= 1;
            Next::Again
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

/// When to come back after a refusal, if all instances that could serve the request have
/// asked for rest; none: soon.
fn return_after(admitted: &Admitted, shared: &Shared) -> Option<Millis> {
    let situation = situation(admitted, shared);
    situation
        .in_backoff
        .then(|| waiting::retry_after(&situation, Instant::now()))
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
        tenant: admitted.tenant(),
        units: admitted.units(),
        model: Some(&admitted.facts.shape.model),
        reason: refusal.word(),
        may_have_run: refusal.may_have_run(),
        status: refusal.status().as_u16(),
        content: (refusal == Refusal::Quarantined).then(|| admitted.content.short()),
        after_ms: millis(admitted.arrived.elapsed()),
        retry_after_ms: (!refusal.may_have_run()).then_some(wait.0),
        attempts: sends.count,
        configuration: shared.view.number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
    refusal.response(Some(wait))
}

/// An instance that was chosen for a request.
pub(crate) struct Chosen {
    pub(crate) candidate: Candidate,
    pub(crate) view: InstanceView,
    /// How long the request may wait for its turn there, if the instance names a limit.
    pub(crate) patience: Millis,
}

impl Chosen {
    fn at_once((candidate, view): (Candidate, InstanceView)) -> Self {
        Self {
            candidate,
            view,
            patience: Millis(0),
        }
    }
}

/// A request that waits no longer.
struct GivenUp {
    refusal: Refusal,
    retry_after: Option<Millis>,
}

impl GivenUp {
    /// The router ends; another one may be asked at once.
    fn stopping(sends: &Sends) -> Self {
        Self {
            refusal: match sends.ran {
                0 => Refusal::Stopping,
                _ => Refusal::Broken,
            },
            retry_after: Some(Millis(0)),
        }
    }

    /// It may not be sent, or not once more.
    fn quarantined(sends: &Sends) -> Self {
        Self {
            refusal: match sends.ran {
                0 => Refusal::Quarantined,
                _ => Refusal::Broken,
            },
            retry_after: Some(QUARANTINE_RETURN),
        }
    }

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
) -> Result<Chosen, GivenUp> {
    let shape = &admitted.facts.shape;
    let service = &admitted.service;
    let mut changes = shared.view.changes();
    let mut waiting = None;
    let mut is_told = false;
    loop {
        changes.borrow_and_update();
        let now = shared.clock.now();
        if !has_key(admitted, shared) {
            return Err(GivenUp {
                refusal: Refusal::UnknownKey,
                retry_after: None,
            });
        }
        if shared.giving_up.is_cancelled() {
            return Err(GivenUp::stopping(sends));
        }
        if is_quarantined(admitted, shared) {
            return Err(GivenUp::quarantined(sends));
        }
        // When all have turned it away, the first of them may be asked again.
        let avoid: &[RunnerId] = match sends.count {
            0..=2 => &sends.avoid,
            _ => &sends.avoid[sends.avoid.len().saturating_sub(1)..],
        };
        if let Some(chosen) = shared.view.choose(service, shape, avoid, now) {
            return Ok(Chosen::at_once(chosen));
        }
        // Without this a request whose model has one holder would wait for another copy
        // until its client leaves.
        if sends.rested(admitted.route.objective)
            && let Some(chosen) = shared.view.choose(service, shape, &[], now)
        {
            return Ok(Chosen::at_once(chosen));
        }
        if waiting.is_none() && service.engine.is_some() {
            waiting = Some(shared.view.wait_for(&service.name, shape));
        }
        let situation = situation(admitted, shared);
        let is_known = service.engine.is_some() || situation.expected_at.is_some();
        if is_known && !std::mem::replace(&mut is_told, true) {
            record_waiting(admitted, shared, &situation);
        }
        let until = match decide(&situation, Instant::now()) {
            WaitDecision::Until(until) => until,
            WaitDecision::GiveUp { retry_after } => return Err(GivenUp::of(sends, retry_after)),
        };
        if situation.can_request_permit
            && sends.may_ask_for_turn()
            && let Some((candidate, view)) = shared.view.choose_turn(service, shape, now)
        {
            let patience = waiting::max_permit_wait(&situation, Instant::now());
            return Ok(Chosen {
                candidate,
                view,
                patience: Millis(millis(patience)),
            });
        }
        let pause = next_look(&situation).min(until);
        tokio::select! {
            _ = tokio::time::timeout_at(pause, changes.changed()) => {}
            () = shared.giving_up.cancelled() => {}
        }
    }
}

/// Whether its caller's key is still a tenant's, where one is needed.
fn has_key(admitted: &Admitted, shared: &Shared) -> bool {
    let caller = admitted.caller.as_ref().filter(|_| !admitted.route.public);
    caller.is_none_or(|caller| is_still_held(caller, shared))
}

fn is_quarantined(admitted: &Admitted, shared: &Shared) -> bool {
    let silent_for = shared.view.feed_age();
    shared.quarantine.holds(&admitted.content, silent_for)
}

/// Whether a request that was chosen an instance is not to be sent after all.
pub(crate) fn is_withdrawn(admitted: &Admitted, shared: &Shared) -> bool {
    !has_key(admitted, shared) || is_quarantined(admitted, shared)
}

/// When a waiting request is looked at again, unless something changes before.
fn next_look(situation: &WaitContext) -> Instant {
    let now = Instant::now();
    let expected = situation.expected_at.filter(|at| *at > now);
    expected.into_iter().fold(now + LOOK_AGAIN, Instant::min)
}

fn record_waiting(admitted: &Admitted, shared: &Shared, situation: &WaitContext) {
    let shape = &admitted.facts.shape;
    let now = Instant::now();
    let expected = situation.expected_at;
    let expected = expected.map(|at| millis(at.saturating_duration_since(now)));
    emit(&RequestRecord::Waits {
        id: &admitted.facts.id,
        route: &admitted.route.name,
        service: &admitted.service.name,
        model: &shape.model,
        adapter: shape.adapter.as_deref(),
        expected_ms: expected,
        configuration: shared.view.number(),
        feed_age_ms: millis(shared.view.feed_age()),
    });
}

/// What the decision on waiting rests on.
fn situation(admitted: &Admitted, shared: &Shared) -> WaitContext {
    let service = &admitted.service;
    let now = shared.clock.now();
    let expected = shared.view.expected(service, &admitted.facts.shape, now);
    let asked = admitted.facts.deadline.unwrap_or(admitted.route.timeout);
    WaitContext {
        arrived: admitted.arrived,
        deadline: admitted.deadline,
        objective: Duration::from(admitted.route.objective),
        first_byte_timeout: shared
            .interface
            .first_byte_timeout(&admitted.route)
            .map(Duration::from),
        is_client_retry: asked.0 * 10 < admitted.route.timeout.0 * 9,
        can_load_model: service.engine.is_some() && shared.view.is_known(service),
        expected_at: expected.map(|expected| expected.at),
        in_backoff: expected.is_some_and(|expected| expected.pushed_back),
        can_request_permit: expected.is_some_and(|expected| expected.in_turn),
    }
}
