//! Operators' API: `/admin/v1/...` in JSON, and health and metrics pages.
//!
//! Invariant: every page under `/admin/v1/` requires a token with the role of the page.

mod changes;
mod drain;
mod explain;
mod members;
mod metrics;
mod operators;
mod overview;
mod pages;
mod replies;

pub use operators::{DIGEST_PREFIX, Operator, OperatorRole, Operators};

use crate::ControllerContext;
use courseshunt_http::{Body, bearer_token, json_response, text_response};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use replies::failure;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Returns the request handler for [`courseshunt_http::serve`].
pub fn handler(
    context: ControllerContext,
    operators: Operators,
) -> impl Fn(Request<Incoming>, SocketAddr) -> ResponseFuture + Clone + Send + Sync + 'static {
    let operators = Arc::new(operators);
    move |request, _| {
        let context = context.clone();
        let operators = operators.clone();
        Box::pin(async move {
            tokio::select! {
                biased;
                response = answer(request, &context, &operators) => response,
                () = context.stop.cancelled() => stopping(),
            }
        })
    }
}

/// The response to a call that still waits at a planned stop.
fn stopping() -> Response<Body> {
    let message = "the controller is stopping; a change may have taken effect";
    failure(StatusCode::SERVICE_UNAVAILABLE, "stopping", message)
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
        "/metrics" => return text_response(StatusCode::OK, metrics::page(context).await),
        _ => {}
    }
    let operator = bearer_token(request.headers()).and_then(|token| operators.bearer(token));
    let Some(operator) = operator else {
        return failure(StatusCode::UNAUTHORIZED, "unauthorized", "unknown token");
    };
    let Some((method, role)) = page_rule(&path) else {
        return failure(StatusCode::NOT_FOUND, "not_found", "no such page");
    };
    if request.method() != method {
        let message = format!("{path} takes {method}");
        return failure(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            &message,
        );
    }
    if operator.role < role {
        let message = format!("the role `{}` is needed", role.as_str());
        return failure(StatusCode::FORBIDDEN, "forbidden", &message);
    }
    page(request, &path, context, operator).await
}

/// Method and role that a page requires.
fn page_rule(path: &str) -> Option<(Method, OperatorRole)> {
    match path {
        "/admin/v1/changes" => Some((Method::POST, OperatorRole::Apply)),
        members::CHANGES => Some((Method::POST, OperatorRole::Operate)),
        members::LIST => Some((Method::GET, OperatorRole::Read)),
        drain::PATH => Some((Method::POST, OperatorRole::Operate)),
        "/admin/v1/deployments"
        | "/admin/v1/configuration"
        | "/admin/v1/history"
        | "/admin/v1/overview"
        | "/admin/v1/status" => Some((Method::GET, OperatorRole::Read)),
        path if path.starts_with(explain::PREFIX) => Some((Method::GET, OperatorRole::Read)),
        _ => None,
    }
}

async fn page(
    request: Request<Incoming>,
    path: &str,
    context: &ControllerContext,
    operator: &Operator,
) -> Response<Body> {
    match path {
        "/admin/v1/changes" => changes::answer(request, context, operator).await,
        members::CHANGES => members::change(request, context).await,
        members::LIST => members::list(context).await,
        drain::PATH => drain::answer(request, context).await,
        "/admin/v1/deployments" => pages::deployments(context),
        "/admin/v1/configuration" => pages::configuration(context),
        "/admin/v1/history" => {
            let query = request.uri().query().unwrap_or_default();
            pages::history(context, query)
        }
        "/admin/v1/overview" => json_response(StatusCode::OK, &overview::overview(context).await),
        "/admin/v1/status" => pages::status(context),
        _ => explain::page(context, path.trim_start_matches(explain::PREFIX)),
    }
}

fn ready(context: &ControllerContext) -> Response<Body> {
    match context.replica.status().borrow().leader {
        Some(_) => text_response(StatusCode::OK, "ready\n"),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no leader\n"),
    }
}
