//! One attempt at a runner, and what may follow it.
//!
//! Invariant: an attempt is called not-run only while no byte of it can have
//! reached a runner, or when the runner itself says that it did not start. An
//! answer is taken only when its request identity and attempt match.

mod answer;
mod budget;
mod counts;
mod events;
mod execution;
mod machine;
mod outcome;
mod query;
mod send;
mod service_time;
mod stream;

pub use answer::{MAX_ANSWER_BYTES, read_answer, read_fetched};
pub use budget::RetryBudget;
pub use counts::{AttemptCounts, Count};
pub use events::{EventParser, EventVerdict, judge_event};
pub use execution::{Execution, Work};
pub use machine::{AttemptEvent, AttemptMachine, AttemptStage};
pub use outcome::{AttemptEnd, AttemptTimes, NotRunCause, UnknownCause};
pub use query::{RunnerQuery, cancel_execution, execution_status, fetch_execution};
pub use send::{OpenAttempt, RunnerRequest};
pub use service_time::ServiceTimes;
pub use stream::EventStream;
