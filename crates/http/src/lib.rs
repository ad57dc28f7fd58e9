//! Shared HTTP server and client helpers on `hyper`.

mod body;
mod client;
mod error;
mod pace;
mod response;
mod server;

pub use body::{Body, BodySender, channel_body, empty_body, full_body, read_in_time, read_limited};
pub use client::{HttpClient, Reply};
pub use error::HttpError;
pub use pace::AcceptPace;
pub use response::{bearer_token, json_response, openai_error, refusal_response, text_response};
pub use server::{MAX_HEADER_BYTES, ServerLimits, header_bytes, serve};
