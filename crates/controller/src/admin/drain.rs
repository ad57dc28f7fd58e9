//! `POST /admin/v1/drains`: requests the graceful shutdown of a router or runner.

use super::replies::failure;
use crate::ControllerContext;
use crate::replica::ProposeError;
use courseshunt_http::{Body, json_response, read_limited};
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::{RouterId, RunnerId};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;

/// Path of the page.
pub const PATH: &str = "/admin/v1/drains";
/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The process to drain.
#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum DrainRequest {
    /// `{"router": ID}`
    Router(RouterId),
    /// `{"runner": ID}`
    Runner(RunnerId),
}

/// Answers one request.
pub async fn answer(request: Request<Incoming>, context: &ControllerContext) -> Response<Body> {
    let body = read_limited(request.into_body(), MAX_BODY_BYTES, "operator").await;
    let drain = body
        .ok()
        .and_then(|body| serde_json::from_slice::<DrainRequest>(&body).ok());
    let Some(drain) = drain else {
        let message = "the body must be {\"router\": ID} or {\"runner\": ID}";
        return failure(StatusCode::BAD_REQUEST, "invalid_request", message);
    };
    let command = match drain {
        DrainRequest::Router(router) => {
            let mut known = context.routers.all().into_iter();
            let known = known.find(|one| one.endpoint.router == router);
            let incarnation = known.map(|one| one.endpoint.incarnation);
            Command::DrainRouter {
                router,
                incarnation,
            }
        }
        DrainRequest::Runner(runner) => Command::DrainRunner { runner },
    };
    match context.replica.submit(command).await {
        Ok(CommandReply::Refused(error)) => {
            failure(StatusCode::NOT_FOUND, "not_found", &error.to_string())
        }
        Ok(_) => json_response(StatusCode::ACCEPTED, &json!({"draining": true})),
        Err(ProposeError::Undecided) => {
            let message = "it is not known whether the drain was accepted; send it again";
            failure(StatusCode::SERVICE_UNAVAILABLE, "undecided", message)
        }
        Err(error) => {
            let message = error.to_string();
            failure(StatusCode::SERVICE_UNAVAILABLE, "not_accepted", &message)
        }
    }
}
