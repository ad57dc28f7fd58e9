//! HTTP handlers of the control address, for operators and instances, and of the metrics address.
//!
//! Invariant: a configuration, or the notice that an instance leaves, is acknowledged only once it
//! is committed.

use crate::Shared;
use crate::call_body::{self, CallBody};
use crate::interface::{ControlCall, Heartbeat};
use crate::records::ControllerRecord;
use crate::registration_admission::{self, Admission, AdmissionView, RelayObstacle};
use crate::software_versions;
use bytes::Bytes;
use courseshunt_controller::ProposeError;
use courseshunt_http::{Body, full_body, text_response};
use courseshunt_records::emit;
use courseshunt_services::{InstanceState, validate};
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::RunnerId;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of a commit that an instance waits for.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time limit of a commit or read that an operator waits for.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(2_500);

type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// The handler of the control address.
pub(crate) fn handler(
    shared: Arc<Shared>,
) -> impl Fn(Request<Incoming>, SocketAddr) -> Answer + Clone + Send + Sync + 'static {
    move |request, _peer| {
        let shared = shared.clone();
        Box::pin(async move { answer(request, &shared).await })
    }
}

/// Answers a call, at the latest when the last answers of a planned stop are due.
async fn answer(request: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    tokio::select! {
        biased;
        response = call(request, shared) => response,
        () = shared.last_answers_due.cancelled() => {
            unavailable("the controller is stopping; the call may have taken effect")
        }
    }
}

async fn call(request: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match shared.interface.read_call(request.method(), &path) {
        Some(ControlCall::PutConfiguration) => put(request, shared).await,
        Some(ControlCall::GetConfiguration) => get(shared).await,
        Some(ControlCall::Register(id)) => register(request, id, shared).await,
        Some(ControlCall::Deregister(id)) => deregister(request, id, shared).await,
        None => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn unavailable(reason: &str) -> Response<Body> {
    text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
}

fn json(body: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

async fn put(request: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    let body = match call_body::read(CallBody::Document, request.into_body(), shared).await {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let configuration = shared.interface.read_configuration(&body);
    let validated = configuration.and_then(|read| validate(&read).map(|()| read.number));
    let number = match validated {
        Ok(number) => number,
        Err(error) => {
            shared.metrics.configuration("refused");
            emit(&ControllerRecord::Configuration {
                number: None,
                outcome: "refused",
                problem: Some(&error.to_string()),
            });
            return text_response(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    let committed = tokio::time::timeout(OPERATOR_TIMEOUT, store(number, &body, shared)).await;
    let committed = committed.unwrap_or(Err(ProposeError::Undecided));
    let outcome = match &committed {
        Ok(_) => "committed",
        Err(_) => "undecided",
    };
    shared.metrics.configuration(outcome);
    emit(&ControllerRecord::Configuration {
        number: Some(number),
        outcome,
        problem: committed.as_ref().err().map(ToString::to_string).as_deref(),
    });
    match committed {
        Ok(_) => json(Bytes::from_static(b"{}")),
        Err(error) => unavailable(&error.to_string()),
    }
}

/// Commits the document with the sizes that earlier ones listed. Two documents that are committed at
/// the same time do not see each other's sizes.
async fn store(
    number: u64,
    document: &[u8],
    shared: &Shared,
) -> Result<CommandReply, ProposeError> {
    shared.replica.read_barrier().await?;
    let older = shared.replica.state().services.document.clone();
    let document = shared.interface.document_to_store(document, &older);
    let command = Command::PutServices { number, document };
    shared.replica.submit(command).await
}

async fn commit(
    command: Command,
    limit: Duration,
    shared: &Shared,
) -> Result<CommandReply, ProposeError> {
    let finished = tokio::time::timeout(limit, shared.replica.submit(command)).await;
    finished.unwrap_or(Err(ProposeError::Undecided))
}

async fn get(shared: &Arc<Shared>) -> Response<Body> {
    let barrier = tokio::time::timeout(OPERATOR_TIMEOUT, shared.replica.read_barrier()).await;
    if !matches!(barrier, Ok(Ok(_))) {
        return unavailable("the newest configuration is not known");
    }
    let state = shared.replica.state();
    if state.services.number == 0 {
        return unavailable("there is no configuration yet");
    }
    json(Bytes::from(
        shared
            .interface
            .document_for_operator(&state.services.document),
    ))
}

async fn register(
    request: Request<Incoming>,
    id: RunnerId,
    shared: &Arc<Shared>,
) -> Response<Body> {
    let body = match call_body::read(CallBody::Registration, request.into_body(), shared).await {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let heartbeat = match shared.interface.read_registration(id.clone(), &body) {
        Ok(heartbeat) => heartbeat,
        Err(problem) => return refuse_registration(&id, &problem, shared),
    };
    let id = heartbeat.registration.id.clone();
    shared.metrics.registration();
    let leaving = heartbeat.registration.state == InstanceState::Draining;
    let admission = accept_heartbeat(heartbeat, shared);
    if leaving {
        return record_leaving(&id, false, shared).await;
    }
    match admission {
        Admission::Accept => {
            let own = shared.settings.listen.control.map(|own| own.to_string());
            json(shared.interface.registration_answer(own.as_deref()))
        }
        Admission::TryAnother(obstacle) => reject_unrelayed(&id, obstacle),
    }
}

/// Rejects a registration that can't be relayed soon, and records why.
fn reject_unrelayed(id: &RunnerId, obstacle: RelayObstacle) -> Response<Body> {
    emit(&ControllerRecord::RegistrationNotRelayed {
        instance: id.as_str(),
        reason: obstacle.name(),
        link_down_ms: obstacle.link_down_for().map(|elapsed| elapsed.0),
    });
    let reason = obstacle.name();
    unavailable(&format!("the leader is not reached from here: {reason}"))
}

/// Rejects a message of an instance that can't be read in full, and records it.
fn refuse_registration(id: &RunnerId, problem: &str, shared: &Shared) -> Response<Body> {
    shared.metrics.registration_refused();
    emit(&ControllerRecord::RegistrationRefused {
        instance: id.as_str(),
        problem,
    });
    text_response(StatusCode::BAD_REQUEST, problem)
}

async fn deregister(
    request: Request<Incoming>,
    id: RunnerId,
    shared: &Arc<Shared>,
) -> Response<Body> {
    let body = match call_body::read(CallBody::Registration, request.into_body(), shared).await {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    match shared.interface.read_departure(id.clone(), &body) {
        Ok(instance) => record_leaving(&instance, true, shared).await,
        Err(problem) => refuse_registration(&id, &problem, shared),
    }
}

/// Notes the software version, and applies the registration if this member leads, otherwise queues it
/// for the leader; returns whether it is to be acknowledged.
fn accept_heartbeat(heartbeat: Heartbeat, shared: &Shared) -> Admission {
    let now = shared.clock.now();
    software_versions::note_heartbeat(&heartbeat, now, shared);
    let registration = heartbeat.registration;
    let leads = shared.replica.leads();
    if !leads {
        shared.relay.enqueue(registration, now);
        return registration_admission::decide(AdmissionView {
            leads,
            has_leader: shared.replica.status().borrow().leader.is_some(),
            leader_unreachable_for: shared.relay.leader_unreachable_for(now),
        });
    }
    let leaving = registration.state == InstanceState::Draining;
    let mut engine = shared.engine();
    if leaving {
        engine.mark_leaving(&registration.id);
    }
    let is_change = engine.register(registration, now);
    drop(engine);
    if is_change || leaving {
        shared.wake.notify_one();
    }
    Admission::Accept
}

/// Commits that an instance accepts no more work, so that it is not lost with this leader.
async fn record_leaving(id: &RunnerId, ended: bool, shared: &Arc<Shared>) -> Response<Body> {
    let known = shared.replica.state().services.is_recorded(id, ended);
    if !known {
        let command = Command::RecordLeaving {
            instance: id.clone(),
            ended,
        };
        let committed = commit(command, COMMIT_TIMEOUT, shared).await;
        emit(&ControllerRecord::Leaves {
            instance: id.as_str(),
            ends: ended,
            committed: committed.is_ok(),
            problem: committed.as_ref().err().map(ToString::to_string).as_deref(),
        });
        if let Err(error) = committed {
            return unavailable(&error.to_string());
        }
    }
    json(shared.interface.registration_answer(None))
}

/// The handler of the metrics address.
pub(crate) fn metrics_handler(
    shared: Arc<Shared>,
) -> impl Fn(Request<Incoming>, SocketAddr) -> Answer + Clone + Send + Sync + 'static {
    move |_request, _peer| {
        let shared = shared.clone();
        Box::pin(async move { text_response(StatusCode::OK, shared.metrics_page()) })
    }
}
