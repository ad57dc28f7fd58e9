//! `GET /admin/v1/explain/NAME`: explains why a deployment is or is not loaded.

use super::failure;
use crate::ControllerContext;
use crate::scheduler::explain;
use courseshunt_http::{Body, json_response};
use courseshunt_types::DeploymentName;
use hyper::{Response, StatusCode};
use serde_json::json;

/// Path before the deployment's name.
pub const PREFIX: &str = "/admin/v1/explain/";

/// The page for the deployment `name`. Only the leader plans, so only the leader can explain; any
/// other member returns the leader's id.
pub fn page(context: &ControllerContext, name: &str) -> Response<Body> {
    let status = context.replica.status().borrow().clone();
    if !status.leads() {
        let content = json!({"error": {
            "code": "not_leader",
            "message": "only the leader plans; ask it",
            "leader": status.leader,
        }});
        return json_response(StatusCode::MISDIRECTED_REQUEST, &content);
    }
    match explain(context, &DeploymentName::from(name)) {
        Some(explanation) => json_response(StatusCode::OK, &explanation),
        None => {
            let message = format!("deployment {name} is not configured");
            failure(StatusCode::NOT_FOUND, "unknown_deployment", &message)
        }
    }
}
