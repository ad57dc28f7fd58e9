//! The models behind sockets.

mod completion;
mod connections;
mod engine;
mod executions;
mod fault;
mod platform;
mod runner;
mod store;

pub use completion::answer_word;
pub use executions::{Execution, ExecutionEnd};
pub use fault::{FaultPlan, FaultPoint, RunnerFault};
pub use platform::PlatformServer;
pub use runner::RunnerServer;
pub use store::StoreServer;

use courseshunt_http::{Body, json_response};
use hyper::{Response, StatusCode};

fn not_found() -> Response<Body> {
    let content = serde_json::json!({"error": {"message": "no such page"}});
    json_response(StatusCode::NOT_FOUND, &content)
}
