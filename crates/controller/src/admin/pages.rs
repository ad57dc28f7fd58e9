//! Read-only pages of the operators' API.

use crate::ControllerContext;
use courseshunt_http::{Body, json_response};
use courseshunt_types::{DeploymentDocument, Revision};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

/// Number of history entries when the query contains no limit.
const DEFAULT_HISTORY: usize = 20;

/// Page with all deployments in force.
pub fn deployments(context: &ControllerContext) -> Response<Body> {
    let state = context.replica.state();
    let stored = state.configuration.deployments.values();
    let documents: Vec<&DeploymentDocument> = stored.map(|one| &one.document).collect();
    json_response(StatusCode::OK, &documents)
}

/// Page with all documents in force and their revision.
pub fn configuration(context: &ControllerContext) -> Response<Body> {
    let state = context.replica.state();
    let configuration = &state.configuration;
    let deployments = configuration.deployments.values();
    let tenants = configuration.tenants.values();
    let models = configuration.models.values();
    let content = json!({
        "revision": configuration.revision,
        "deployments": deployments.map(|one| &one.document).collect::<Vec<_>>(),
        "tenants": tenants.map(|one| &one.document).collect::<Vec<_>>(),
        "models": models.map(|one| &one.document).collect::<Vec<_>>(),
    });
    json_response(StatusCode::OK, &content)
}

/// Page with the accepted changes, the newest first; `query` may be `limit=N`.
pub fn history(context: &ControllerContext, query: &str) -> Response<Body> {
    let limit = query.strip_prefix("limit=");
    let limit = limit.and_then(|number| number.parse().ok());
    let limit = limit.unwrap_or(DEFAULT_HISTORY);
    let state = context.replica.state();
    let entries = state.configuration.history.iter().rev().take(limit);
    json_response(StatusCode::OK, &entries.collect::<Vec<_>>())
}

/// Live routers at which a lower revision than `revision` is in force.
pub fn lagging(context: &ControllerContext, revision: Revision) -> Vec<Value> {
    let routers = context.routers.all().into_iter();
    let stale = routers.filter(|router| router.revision < revision);
    let items = stale.map(|one| json!({"router": one.endpoint.router, "revision": one.revision}));
    items.collect()
}

/// Page with the state of the control group, routers and replicas.
pub fn status(context: &ControllerContext) -> Response<Body> {
    let status = context.replica.status().borrow().clone();
    let lagging = lagging(context, status.revision);
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
        "lagging": lagging,
        "replicas": replicas.collect::<Vec<_>>(),
    });
    json_response(StatusCode::OK, &content)
}
