//! Configuration changes: accept, dry run, and wait until in force at all routers.

use super::operators::Operator;
use super::replies::{conflict, failure};
use crate::ControllerContext;
use crate::feed::reports::other_members;
use crate::replica::ProposeError;
use courseshunt_http::{Body, json_response, read_limited};
use courseshunt_state::{ChangeRequest, Command, CommandError, CommandReply, ValidationOutcome};
use courseshunt_types::{ControllerId, Revision};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Longest wait for a revision to be in force, in seconds.
const MAX_WAIT_SECONDS: u64 = 300;
/// Interval of the check whether a revision is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a change, from the query of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ChangeOptions {
    /// Only validate the change.
    dry_run: bool,
    /// Longest wait until the change is in force at all routers.
    wait: Option<Duration>,
}

impl ChangeOptions {
    fn parse(query: &str) -> Result<Self, String> {
        let mut options = Self::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=').unwrap_or((pair, "")) {
                ("dry_run", "" | "true") => options.dry_run = true,
                ("wait_seconds", seconds) => options.wait = Some(parse_wait(seconds)?),
                _ => {
                    let allowed = "dry_run, wait_seconds=N";
                    return Err(format!("`{pair}` is no option; allowed: {allowed}"));
                }
            }
        }
        Ok(options)
    }
}

fn parse_wait(seconds: &str) -> Result<Duration, String> {
    let number = seconds.parse().ok();
    let number = number.filter(|number| (1..=MAX_WAIT_SECONDS).contains(number));
    let number = number.ok_or_else(|| format!("wait_seconds must be from 1 to {MAX_WAIT_SECONDS}"));
    number.map(Duration::from_secs)
}

/// Answers `POST /admin/v1/changes`.
pub async fn answer(
    request: Request<Incoming>,
    context: &ControllerContext,
    operator: &Operator,
) -> Response<Body> {
    let options = match ChangeOptions::parse(request.uri().query().unwrap_or_default()) {
        Ok(options) => options,
        Err(message) => return failure(StatusCode::BAD_REQUEST, "invalid_request", &message),
    };
    let body = match read_limited(request.into_body(), MAX_BODY_BYTES, "operator").await {
        Ok(body) => body,
        Err(error) => {
            let message = error.to_string();
            return failure(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message);
        }
    };
    let mut change: ChangeRequest = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(error) => {
            let message = error.to_string();
            return failure(StatusCode::BAD_REQUEST, "invalid_request", &message);
        }
    };
    change.operator.clone_from(&operator.name);
    match options.dry_run {
        true => dry_run(&change, context).await,
        false => accept(change, context, options.wait).await,
    }
}

/// Validates a change against everything committed before, and returns its effects.
async fn dry_run(change: &ChangeRequest, context: &ControllerContext) -> Response<Body> {
    if let Err(error) = context.replica.read_barrier().await {
        return unavailable(&error);
    }
    let state = context.replica.state();
    let limits = state.fleet_limits();
    let (revision, changes) = match state.configuration.validate(change, &limits) {
        Ok(ValidationOutcome::AlreadyApplied(revision)) => (revision, Vec::new()),
        Ok(ValidationOutcome::Changes(changes)) => {
            let changes = changes.into_iter().collect();
            (state.configuration.revision.next(), changes)
        }
        Err(refused) => return conflict(&refused),
    };
    let content = json!({"dry_run": true, "revision": revision, "changes": changes});
    json_response(StatusCode::OK, &content)
}

async fn accept(
    change: ChangeRequest,
    context: &ControllerContext,
    wait: Option<Duration>,
) -> Response<Body> {
    let (operator, change_id) = (change.operator.clone(), change.change_id.clone());
    let command = Command::ChangeConfiguration(change);
    match context.replica.submit(command).await {
        Ok(CommandReply::Configured { revision }) => {
            log::info!("admin: change {change_id:?} by {operator} accepted as revision {revision}");
            accepted(revision, context, wait).await
        }
        Ok(CommandReply::Refused(CommandError::Configuration { conflict: refused })) => {
            log::info!("admin: change {change_id:?} by {operator} refused: {refused:?}");
            conflict(&refused)
        }
        Ok(other) => {
            let message = format!("unexpected reply {other:?}");
            failure(StatusCode::INTERNAL_SERVER_ERROR, "internal", &message)
        }
        Err(error) => unavailable(&error),
    }
}

fn unavailable(error: &ProposeError) -> Response<Body> {
    if *error == ProposeError::Undecided {
        let message = "it is not known whether the change was accepted; send it again";
        return failure(StatusCode::SERVICE_UNAVAILABLE, "undecided", message);
    }
    let message = error.to_string();
    if matches!(error, ProposeError::TooLong { .. }) {
        return failure(StatusCode::PAYLOAD_TOO_LARGE, "too_long", &message);
    }
    failure(StatusCode::SERVICE_UNAVAILABLE, "not_accepted", &message)
}

async fn accepted(
    revision: Revision,
    context: &ControllerContext,
    wait: Option<Duration>,
) -> Response<Body> {
    let mut content = json!({"revision": revision});
    if let Some(limit) = wait {
        let missing = wait_in_force(revision, context, limit).await;
        content["in_force"] = Value::from(missing.is_empty());
        content["lagging"] = Value::from(missing.lagging);
        content["unheard"] = json!(missing.controllers);
    }
    let current = context.replica.state().configuration.revision;
    content["current_revision"] = json!(current.max(revision));
    json_response(StatusCode::OK, &content)
}

/// Processes that prevent a revision from being confirmed as in force at all routers.
struct Missing {
    /// Routers with a lower revision.
    lagging: Vec<Value>,
    /// Controllers that have not reported their routers yet.
    controllers: Vec<ControllerId>,
}

impl Missing {
    async fn collect(revision: Revision, context: &ControllerContext) -> Self {
        let others = other_members(context).await;
        Self {
            lagging: super::pages::lagging(context, revision),
            controllers: context
                .routers
                .controllers_without_report(others, context.clock.now()),
        }
    }

    fn is_empty(&self) -> bool {
        self.lagging.is_empty() && self.controllers.is_empty()
    }
}

/// Waits until the revision is in force at every live router; returns what is missing after
/// `limit`.
async fn wait_in_force(
    revision: Revision,
    context: &ControllerContext,
    limit: Duration,
) -> Missing {
    let deadline = tokio::time::Instant::now() + limit;
    loop {
        let missing = Missing::collect(revision, context).await;
        if missing.is_empty() || tokio::time::Instant::now() >= deadline {
            return missing;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
