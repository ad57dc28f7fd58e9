//! JSON responses of the operators' API.

use courseshunt_http::{Body, json_response};
use courseshunt_state::ConfigurationConflict;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

/// An error response: `{"error": {"code", "message"}}`.
pub fn failure(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    json_response(
        status,
        &json!({"error": {"code": code, "message": message}}),
    )
}

/// The response to a refused batch. It contains the document, the field, and the digest of the
/// document that won.
pub fn conflict(conflict: &ConfigurationConflict) -> Response<Body> {
    let (status, content) = conflict_parts(conflict);
    json_response(status, &json!({"error": content}))
}

fn conflict_parts(conflict: &ConfigurationConflict) -> (StatusCode, Value) {
    match conflict {
        ConfigurationConflict::SameVersion {
            document,
            version,
            winner,
        } => {
            let message = format!("{document}: version {version} is taken by other content");
            let content = json!({
                "code": "same_version", "message": message, "document": document,
                "field": "version", "winner": winner,
            });
            (StatusCode::CONFLICT, content)
        }
        ConfigurationConflict::LowerVersion { document, current } => {
            let message = format!("{document}: version {current} is there already");
            let content = json!({
                "code": "lower_version", "message": message, "document": document,
                "field": "version", "current": current,
            });
            (StatusCode::CONFLICT, content)
        }
        ConfigurationConflict::ChangeReused { revision } => {
            let message =
                format!("this change id was used for other content, as revision {revision}");
            let content = json!({
                "code": "change_reused", "message": message, "revision": revision,
            });
            (StatusCode::CONFLICT, content)
        }
        ConfigurationConflict::Invalid {
            document,
            field,
            problem,
        } => {
            let message = format!("{document}: field `{field}`: {problem}");
            let content = json!({
                "code": "invalid_document", "message": message, "document": document,
                "field": field, "problem": problem,
            });
            (StatusCode::UNPROCESSABLE_ENTITY, content)
        }
    }
}
