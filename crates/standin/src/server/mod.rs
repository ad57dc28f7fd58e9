//! The models behind sockets.

mod completion;
mod platform;
mod runner;
mod store;

pub use completion::answer_word;
pub use platform::PlatformServer;
pub use runner::{Execution, ExecutionEnd, RunnerServer};
pub use store::StoreServer;

use courseshunt_http::{Body, json_response};
use hyper::{Response, StatusCode};

fn not_found() -> Response<Body> {
    let content = serde_json::json!({"error": {"message": "no such page"}});
    json_response(StatusCode::NOT_FOUND, &content)
}
