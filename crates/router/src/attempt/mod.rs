//! Attempts to execute a request at a runner, and retries.
//!
//! Invariant: an attempt counts as not run only if no byte of it can have
//! reached a runner, or if the runner itself reports that it did not start. An
//! answer is accepted only if its request id and attempt number match.

mod answer;
mod budget;
mod counts;
mod events;
mod execution;
mod machine;
mod outcome;
mod progress;
mod query;
mod send;
mod service_time;
mod stream;

pub use answer::{MAX_ANSWER_BYTES, read_answer, read_fetched};
pub use budget::RetryBudget;
pub use counts::{AttemptCounts, Count};
pub use events::{EventClass, EventParser, classify_event};
pub use execution::{Execution, Work};
pub use machine::{AttemptEvent, AttemptMachine, AttemptStage};
pub use outcome::{AttemptEnd, AttemptTimes, NotRunCause, UnknownCause};
pub use progress::RequestProgress;
pub use query::{RunnerQuery, cancel_execution, execution_status, fetch_execution};
pub use send::{OpenAttempt, RunnerRequest};
pub use service_time::ServiceTimes;
pub use stream::EventStream;
