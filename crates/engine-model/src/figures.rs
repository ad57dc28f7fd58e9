//! Figures of a model engine at usual speed.

/// Durations and sizes by which an engine at usual speed is predicted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFigures {
    /// Duration of one step with one running request, in milliseconds.
    pub step_ms: f64,
    /// Time that each further running request adds to a step, in milliseconds. An estimate: no
    /// measurement separates it from the time of prompts.
    pub step_ms_per_request: f64,
    /// Prompt tokens that are processed per millisecond. `services` has rounded values for instances
    /// that do not report their load.
    pub prefill_tokens_per_ms: f64,
    /// Largest number of prompt tokens that one step processes. An estimate: engines do not report
    /// it.
    pub chunk_tokens: f64,
    /// Tokens in one event of a stream, which is the number of steps between two events.
    pub event_tokens: f64,
    /// Prompt tokens that are expected to arrive together during a stream, for each request that
    /// runs beside it.
    pub later_prompt_tokens_per_request: f64,
    /// Fraction of the memory that the tokens of running requests may fill. The rest is for cached
    /// prefixes that running requests use, which are not counted with them, and for requests of
    /// other routers that are not reported yet.
    pub usable_memory: f64,
    /// Time until a preempted request gets memory again, in milliseconds: about half of the time
    /// that a stream of 300 tokens takes.
    pub memory_wait_ms: f64,
    /// Time until one of the running requests ends when all slots are taken, in milliseconds,
    /// multiplied by the number of slots: the duration of a stream of 300 tokens.
    pub slot_time_ms: f64,
}

impl Default for EngineFigures {
    fn default() -> Self {
        Self {
            step_ms: 4.43,
            step_ms_per_request: 0.1,
            prefill_tokens_per_ms: 38.1,
            chunk_tokens: 2_048.0,
            event_tokens: 6.0,
            later_prompt_tokens_per_request: 300.0,
            usable_memory: 0.9,
            memory_wait_ms: 1_000.0,
            slot_time_ms: 2_000.0,
        }
    }
}

impl EngineFigures {
    /// Duration of one step in which `running` requests get a token, in milliseconds.
    pub(crate) fn step_duration_ms(&self, running: f64) -> f64 {
        self.step_ms + self.step_ms_per_request * (running - 1.0).max(0.0)
    }

    /// Time between two events of a stream beside which no prompt is processed, in milliseconds.
    pub(crate) fn event_ms(&self, running: f64) -> f64 {
        self.event_tokens * self.step_duration_ms(running)
    }

    /// Time between two events of a stream while `prompt_tokens` are processed, in milliseconds.
    pub(crate) fn event_beside_prompts_ms(&self, running: f64, prompt_tokens: f64) -> f64 {
        let tokens = prompt_tokens.min(self.event_tokens * self.chunk_tokens);
        self.event_ms(running) + self.prefill_ms(tokens)
    }

    /// Time to process prompt tokens without decode steps, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms
    }

    /// Time to process prompt tokens between the decode steps of `running` requests, in
    /// milliseconds.
    pub(crate) fn interleaved_prefill_ms(&self, running: f64, tokens: f64) -> f64 {
        let steps = tokens / self.chunk_tokens;
        let decoding = match running > 0.0 {
            true => steps * self.step_duration_ms(running),
            false => 0.0,
        };
        self.prefill_ms(tokens) + decoding
    }
}
