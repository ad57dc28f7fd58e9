//! Answers operators and instances.

use crate::Shared;
use crate::interface::ControlCall;
use crate::records::ControllerRecord;
use crate::taking::{self, Taking, TakingView};
use bytes::Bytes;
use courseshunt_controller::ProposeError;
use courseshunt_http::{Body, full_body, read_limited, text_response};
use courseshunt_records::emit;
use courseshunt_services::{InstanceState, Registration, validate};
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::RunnerId;
use courseshunt_wire::MAX_COMMAND_BYTES;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Longest document of an operator, in bytes.
const MAX_DOCUMENT_BYTES: usize = MAX_COMMAND_BYTES - ENVELOPE_BYTES;
/// Room for what goes with a document in its command, in bytes.
const ENVELOPE_BYTES: usize = 1024;
/// Longest registration, in bytes.
const MAX_REGISTRATION_BYTES: usize = 256 * 1024;
/// Longest wait for a commit that an instance waits for.
const COMMIT_LIMIT: Duration = Duration::from_millis(900);
/// Longest wait for a commit or read that an operator waits for.
const OPERATOR_LIMIT: Duration = Duration::from_millis(2_500);

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

async fn answer(request: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match shared.interface.read_call(request.method(), &path) {
        Some(ControlCall::PutConfiguration) => put(request, shared).await,
        Some(ControlCall::GetConfiguration) => get(shared).await,
        Some(ControlCall::Register(id)) => register(request, id, shared).await,
        Some(ControlCall::Deregister(id)) => deregister(request, id, shared).await,
        None => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn unavailable(why: &str) -> Response<Body> {
    text_response(StatusCode::SERVICE_UNAVAILABLE, why)
}

fn json(body: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

async fn put(request: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    let body = match read_limited(request.into_body(), MAX_DOCUMENT_BYTES, "operator").await {
        Ok(body) => body,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let configuration = shared.interface.read_configuration(&body);
    let judged = configuration.and_then(|read| validate(&read).map(|()| read.number));
    let number = match judged {
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
    let command = Command::PutServices {
        number,
        document: body.to_vec(),
    };
    let committed = commit(command, OPERATOR_LIMIT, shared).await;
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

async fn commit(
    command: Command,
    limit: Duration,
    shared: &Shared,
) -> Result<CommandReply, ProposeError> {
    let finished = tokio::time::timeout(limit, shared.replica.submit(command)).await;
    finished.unwrap_or(Err(ProposeError::Undecided))
}

async fn get(shared: &Arc<Shared>) -> Response<Body> {
    let barrier = tokio::time::timeout(OPERATOR_LIMIT, shared.replica.read_barrier()).await;
    if !matches!(barrier, Ok(Ok(_))) {
        return unavailable("the newest configuration is not known");
    }
    let state = shared.replica.state();
    if state.services.number == 0 {
        return unavailable("there is no configuration yet");
    }
    json(Bytes::from(state.services.document.clone()))
}

async fn register(
    request: Request<Incoming>,
    id: RunnerId,
    shared: &Arc<Shared>,
) -> Response<Body> {
    let body = read_limited(request.into_body(), MAX_REGISTRATION_BYTES, "instance").await;
    let Ok(body) = body else {
        return text_response(StatusCode::BAD_REQUEST, "the registration can't be read");
    };
    let registration = match shared.interface.read_registration(id.clone(), &body) {
        Ok(registration) => registration,
        Err(problem) => return refuse_registration(&id, &problem, shared),
    };
    let id = registration.id.clone();
    shared.metrics.registration();
    let leaving = registration.state == InstanceState::Draining;
    let taken = take_registration(registration, shared);
    if leaving {
        return record_leaving(&id, false, shared).await;
    }
    match taken {
        Taking::Take => {
            let own = shared.settings.listen.control.map(|own| own.to_string());
            json(shared.interface.registration_answer(own.as_deref()))
        }
        Taking::TryAnother => unavailable("the leader is not reached from here"),
    }
}

/// Refuses what can't be read whole, and tells so.
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
    let body = read_limited(request.into_body(), MAX_REGISTRATION_BYTES, "instance").await;
    let Ok(body) = body else {
        return text_response(StatusCode::BAD_REQUEST, "the message can't be read");
    };
    match shared.interface.read_departure(id.clone(), &body) {
        Ok(life) => record_leaving(&life, true, shared).await,
        Err(problem) => refuse_registration(&id, &problem, shared),
    }
}

/// Takes a registration here, or for the leader; tells whether it counts.
fn take_registration(registration: Registration, shared: &Shared) -> Taking {
    let now = shared.clock.now();
    let leads = shared.replica.leads();
    if !leads {
        shared.relay.offer(registration, now);
        return taking::decide(TakingView {
            leads,
            hears_leader: shared.replica.status().borrow().leader.is_some(),
            out_of_reach_for: shared.relay.out_of_reach_for(now),
        });
    }
    let leaving = registration.state == InstanceState::Draining;
    let mut engine = shared.engine();
    if leaving {
        engine.leave(&registration.id);
    }
    let news = engine.register(registration, now);
    drop(engine);
    if news || leaving {
        shared.wake.notify_one();
    }
    Taking::Take
}

/// Commits that an instance takes no more work, so that no later leader lacks it.
async fn record_leaving(id: &RunnerId, ended: bool, shared: &Arc<Shared>) -> Response<Body> {
    let known = shared.replica.state().services.is_recorded(id, ended);
    if !known {
        let command = Command::RecordLeaving {
            instance: id.clone(),
            ended,
        };
        let committed = commit(command, COMMIT_LIMIT, shared).await;
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
