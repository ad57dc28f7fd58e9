//! Shared HTTP server and client helpers on `hyper`.

mod body;
mod body_reader;
mod budget_ledger;
mod client;
mod close_delimited;
mod connection_table;
mod error;
mod event_id;
mod event_sequence;
mod final_status;
mod framing;
mod interim;
mod memory_budget;
mod pace;
mod response;
mod retry_after;
mod sending;
mod server;
mod short_reads;

pub use body::{
    Body, BodySender, channel_body, discard_limited, empty_body, full_body, read_in_time,
    read_limited,
};
pub use body_reader::{BodyLimits, BodyProblem, BodyReader, PartlyRead};
pub use budget_ledger::{BodySource, BudgetLimits, SMALL_BODY_BYTES, STOPPED_AFTER_MS};
pub use client::{HttpClient, MAX_RESPONSE_HEAD_BYTES, Reply};
pub use close_delimited::{CloseDelimitedStream, CloseDelimiter, RequestLine};
pub use connection_table::{Admission, ConnectionPlace, ConnectionTable, RequestGuard};
pub use error::HttpError;
pub use event_id::MAX_EVENT_ID_BYTES;
pub use event_sequence::{EventSequence, IdBefore, OutOfOrder, is_event_stream};
pub use final_status::{NoFinalStatus, require_final_status};
pub use framing::{BodyFraming, announces_missing_body};
pub use interim::{InterimLimit, MAX_INTERIM_RESPONSES, TooManyInterim};
pub use memory_budget::{BudgetUsage, MemoryBudget, NotReserved, Reservation};
pub use pace::AcceptPace;
pub use response::{bearer_token, json_response, openai_error, refusal_response, text_response};
pub use retry_after::{RetryAfter, read_asked_rest, read_retry_after};
pub use sending::{SendTracker, TrackedStream};
pub use server::{MAX_HEADER_BYTES, ServerLimits, header_bytes, serve, serve_counted};
pub use short_reads::ShortReads;
