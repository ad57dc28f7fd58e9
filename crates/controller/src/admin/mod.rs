//! The operators' API: `/admin/v1/...` as JSON, and health pages.

mod explain;
mod metrics;
mod operators;

pub use operators::{OperatorRole, Operators};

use crate::ControllerContext;
use crate::replica::ProposeError;
use courseshunt_http::{Body, bearer_token, json_response, read_limited, text_response};
use courseshunt_state::{
    ChangeRequest, Command, CommandError, CommandReply, ConfigurationConflict,
};
use courseshunt_types::DeploymentDocument;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// Longest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// The handler for [`courseshunt_http::serve`].
pub fn handler(
    context: ControllerContext,
    operators: Operators,
) -> impl Fn(Request<Incoming>, SocketAddr) -> ResponseFuture + Clone + Send + Sync + 'static {
    let operators = Arc::new(operators);
    move |request, _| {
        let context = context.clone();
        let operators = operators.clone();
        Box::pin(async move { answer(request, &context, &operators).await })
    }
}

async fn answer(
    request: Request<Incoming>,
    context: &ControllerContext,
    operators: &Operators,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => return text_response(StatusCode::OK, "ok\n"),
        "/readyz" => return ready(context),
        "/metrics" => return text_response(StatusCode::OK, metrics::page(context)),
        _ => {}
    }
    let role = bearer_token(request.headers()).and_then(|token| operators.role_of(token));
    let Some(role) = role else {
        return failure(StatusCode::UNAUTHORIZED, "unauthorized", "unknown token");
    };
    match (request.method(), path.as_str()) {
        (&Method::POST, "/admin/v1/changes") if role >= OperatorRole::Apply => {
            change(request, context).await
        }
        (&Method::POST, "/admin/v1/changes") => failure(
            StatusCode::FORBIDDEN,
            "forbidden",
            "the role `apply` is needed",
        ),
        (&Method::GET, "/admin/v1/deployments") => deployments(context),
        (&Method::GET, "/admin/v1/status") => status(context),
        (&Method::GET, path) if path.starts_with(explain::PREFIX) => {
            explain::page(context, &path[explain::PREFIX.len()..])
        }
        _ => failure(StatusCode::NOT_FOUND, "not_found", "no such page"),
    }
}

fn failure(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    json_response(
        status,
        &json!({"error": {"code": code, "message": message}}),
    )
}

fn ready(context: &ControllerContext) -> Response<Body> {
    match context.replica.status().borrow().leader {
        Some(_) => text_response(StatusCode::OK, "ready\n"),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no leader\n"),
    }
}

async fn change(request: Request<Incoming>, context: &ControllerContext) -> Response<Body> {
    let body = match read_limited(request.into_body(), MAX_BODY_BYTES, "operator").await {
        Ok(body) => body,
        Err(error) => {
            let message = error.to_string();
            return failure(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message);
        }
    };
    let change: ChangeRequest = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(error) => {
            let message = error.to_string();
            return failure(StatusCode::BAD_REQUEST, "invalid_request", &message);
        }
    };
    let command = Command::ChangeConfiguration(change);
    match context.replica.submit(command).await {
        Ok(reply) => change_reply(&reply),
        Err(ProposeError::Undecided) => {
            let message = "it is not known whether the change was accepted; send it again";
            failure(StatusCode::SERVICE_UNAVAILABLE, "undecided", message)
        }
        Err(error) => {
            let message = error.to_string();
            failure(StatusCode::SERVICE_UNAVAILABLE, "not_accepted", &message)
        }
    }
}

fn change_reply(reply: &CommandReply) -> Response<Body> {
    match reply {
        CommandReply::Configured { revision } => {
            json_response(StatusCode::OK, &json!({"revision": revision}))
        }
        CommandReply::Refused(CommandError::Configuration { conflict }) => conflict_reply(conflict),
        other => {
            let message = format!("unexpected reply {other:?}");
            failure(StatusCode::INTERNAL_SERVER_ERROR, "internal", &message)
        }
    }
}

fn conflict_reply(conflict: &ConfigurationConflict) -> Response<Body> {
    match conflict {
        ConfigurationConflict::SameVersion {
            name,
            version,
            winner,
        } => {
            let message = format!("version {version} of {name} is taken by other content");
            let content = json!({"error": {
                "code": "same_version", "message": message, "winner": winner,
            }});
            json_response(StatusCode::CONFLICT, &content)
        }
        ConfigurationConflict::LowerVersion { name, current } => {
            let message = format!("{name} has version {current} already");
            let content = json!({"error": {
                "code": "lower_version", "message": message, "current": current,
            }});
            json_response(StatusCode::CONFLICT, &content)
        }
        ConfigurationConflict::ChangeReused { revision } => {
            let message = format!("this change id was used for revision {revision}");
            failure(StatusCode::CONFLICT, "change_reused", &message)
        }
        ConfigurationConflict::Invalid { name, problem } => {
            let message = format!("{name}: {problem}");
            failure(
                StatusCode::UNPROCESSABLE_ENTITY,
                "invalid_document",
                &message,
            )
        }
    }
}

fn deployments(context: &ControllerContext) -> Response<Body> {
    let state = context.replica.state();
    let documents: Vec<&DeploymentDocument> = state
        .configuration
        .deployments
        .values()
        .map(|stored| &stored.document)
        .collect();
    json_response(StatusCode::OK, &documents)
}

fn status(context: &ControllerContext) -> Response<Body> {
    let status = context.replica.status().borrow().clone();
    let state = context.replica.state();
    let routers = context.routers.all();
    let routers = routers.iter().map(|router| {
        json!({"router": router.endpoint.router, "revision": router.revision,
               "http_address": router.http_address})
    });
    let replicas = state.placement.replicas.values().map(|record| {
        json!({"deployment": record.replica.deployment, "runner": record.replica.runner,
               "phase": format!("{:?}", record.phase), "fence": record.fence})
    });
    let content = json!({
        "id": context.settings.id,
        "role": format!("{:?}", status.role),
        "term": status.term,
        "leader": status.leader,
        "applied": status.applied,
        "revision": status.revision,
        "routers": routers.collect::<Vec<_>>(),
        "replicas": replicas.collect::<Vec<_>>(),
    });
    json_response(StatusCode::OK, &content)
}
