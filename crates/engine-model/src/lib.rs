//! Predicts how a model engine serves a request beside the requests that it already runs.
//!
//! Invariant: predictions are pure functions of the condition of the instance and of the request.
//!
//! Each prediction answers one kind of load:
//!
//! | prediction | load it answers |
//! |---|---|
//! | [`Prediction::first_event_ms`] | prompts that wait for prefill, and slots that are taken |
//! | [`Prediction::own_pause_ms`] | prompts that are processed beside the stream of the request |
//! | [`Prediction::streams_pause_ms`] | the prompt of the request, beside streams that run there |
//! | [`Prediction::streams_delay_ms`] | the same, for streams whose longest pause does not grow |
//! | [`Prediction::overflow_tokens`] | running requests whose tokens exceed the engine's memory |
//! | [`predicted_pause_ms`] | all of these without a further request, for the placement of models |
//!
//! How an engine works: all running requests decode in one batch, one token each per step. A step
//! takes longer the more requests run. Prompts are processed in chunks, one chunk per step, so
//! that streams are slowed while prompts wait. An event of a stream holds several tokens, so its
//! pause contains several chunks. When the tokens of running requests exceed the memory, the
//! newest of the least urgent requests is preempted and its prompt processed again. All durations
//! grow with the present duration of work and with the slowness of the instance.

mod engine;
mod figures;
mod prediction;

pub use engine::{EngineLimits, EngineState, predicted_pause_ms};
pub use figures::EngineFigures;
pub use prediction::{EngineRequest, Prediction, predict};
