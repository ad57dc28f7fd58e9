//! Pages for the members of the control group.

use super::replies::failure;
use crate::ControllerContext;
use courseshunt_consensus::MembershipChange;
use courseshunt_http::{Body, json_response, read_limited};
use courseshunt_state::Command;
use courseshunt_types::ControllerId;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use std::net::SocketAddr;

/// Path of the list of members.
pub const LIST: &str = "/admin/v1/members";
/// Path of membership changes.
pub const CHANGES: &str = "/admin/v1/members/changes";
/// Largest body of a change, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// A membership change in the form that operators send.
#[derive(Debug, serde::Deserialize)]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
enum MemberChange {
    Add {
        member: ControllerId,
        wire_address: SocketAddr,
    },
    Promote {
        member: ControllerId,
    },
    Replace {
        lost: ControllerId,
        learner: ControllerId,
    },
    Remove {
        member: ControllerId,
    },
}

/// Lists the members. Only the leader has their replication progress.
pub async fn list(context: &ControllerContext) -> Response<Body> {
    let view = context.replica.members().await;
    let addresses = context.peers.addresses();
    let members = view.membership.all().into_iter().map(|id| {
        let progress = view.progress.iter().find(|one| one.member == id);
        json!({
            "member": id,
            "votes": view.membership.is_voter(id),
            "wire_address": addresses.get(id).map(|address| address.to_string()),
            "matched": progress.map(|one| one.matched),
            "silent_ms": progress.and_then(|one| one.silent_for),
        })
    });
    let content = json!({
        "answered_by": context.settings.id,
        "leader": context.replica.status().borrow().leader,
        "commit": view.commit,
        "settled": view.settled,
        "members": members.collect::<Vec<_>>(),
    });
    json_response(StatusCode::OK, &content)
}

/// Executes one change and responds once it is committed.
pub async fn change(request: Request<Incoming>, context: &ControllerContext) -> Response<Body> {
    let body = match read_limited(request.into_body(), MAX_BODY_BYTES, "operator").await {
        Ok(body) => body,
        Err(error) => {
            let message = error.to_string();
            return failure(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message);
        }
    };
    let change: MemberChange = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(error) => {
            let message = error.to_string();
            return failure(StatusCode::BAD_REQUEST, "invalid_request", &message);
        }
    };
    match execute(change, context).await {
        Ok(response) => response,
        Err(message) => failure(StatusCode::CONFLICT, "not_changed", &message),
    }
}

async fn execute(
    change: MemberChange,
    context: &ControllerContext,
) -> Result<Response<Body>, String> {
    let change = match change {
        MemberChange::Add {
            member,
            wire_address,
        } => {
            record_address(member, wire_address, context).await?;
            MembershipChange::AddLearner(member)
        }
        MemberChange::Promote { member } => MembershipChange::Promote(member),
        MemberChange::Replace { lost, learner } => MembershipChange::Replace { lost, learner },
        MemberChange::Remove { member } => MembershipChange::Remove(member),
    };
    let index = context.replica.change_membership(change).await?;
    Ok(json_response(StatusCode::OK, &json!({"index": index})))
}

/// Records the address of a new member. It comes before the membership change, since the other
/// members must be able to connect to the new one.
async fn record_address(
    member: ControllerId,
    wire_address: SocketAddr,
    context: &ControllerContext,
) -> Result<(), String> {
    let command = Command::RecordMember {
        member,
        wire_address: wire_address.to_string(),
    };
    let recorded = context.replica.submit(command).await;
    recorded.map(|_| ()).map_err(|error| error.to_string())
}
