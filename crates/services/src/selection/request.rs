//! A request as the selection of its instance needs it.

use super::prompt::PromptShape;
use courseshunt_types::Millis;

/// Priority that is assumed for a request without one.
const DEFAULT_RANK: u8 = 1;
/// Objective that is assumed for a request without one.
const DEFAULT_OBJECTIVE: Millis = Millis(2_000);

/// Properties of a request that determine the selection of its instance.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// Where it can run, and its work.
    pub shape: &'a PromptShape,
    /// Longest time to the first event with which the request meets its objective.
    pub objective: Millis,
    /// Longest pause of its stream with which the request meets its objective; `None` if it is
    /// not a stream or has no such objective.
    pub longest_pause: Option<Millis>,
    /// Longest pause that all routes to the service allow for their streams, which is assumed for
    /// the streams that run at an instance; `None` if no route bounds it.
    pub streams_longest_pause: Option<Millis>,
    /// Priority of the tenant or the route; 0 is the most urgent.
    pub rank: u8,
    /// Memory of an engine of the service for running requests and cached prefixes, in tokens;
    /// `None` if it is not declared.
    pub kv_capacity_tokens: Option<u32>,
}

impl<'a> From<&'a PromptShape> for SelectionRequest<'a> {
    /// A request with the default objective and priority.
    fn from(shape: &'a PromptShape) -> Self {
        Self {
            shape,
            objective: DEFAULT_OBJECTIVE,
            longest_pause: None,
            streams_longest_pause: None,
            rank: DEFAULT_RANK,
            kv_capacity_tokens: None,
        }
    }
}
