//! State and limits of an engine, and the pauses of the streams that run there.

use crate::figures::EngineFigures;
use courseshunt_instance_load::InstanceCondition;

/// Limits of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLimits {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Memory for running requests and cached prefixes, in tokens; `None` if it is not declared.
    pub kv_capacity_tokens: Option<u32>,
}

/// Present state of an engine, estimated by a router or a controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineState {
    /// Condition of the instance.
    pub condition: InstanceCondition,
    /// Prompt tokens that wait for prefill, in tokens of a short prompt.
    pub waiting_prompt_tokens: f64,
    /// Limits of the engine.
    pub limits: EngineLimits,
}

impl EngineState {
    /// Factor of all durations at this instance; 1 at usual speed.
    #[must_use]
    pub fn speed_factor(&self) -> f64 {
        self.condition.work_factor * self.condition.slowness
    }

    /// Requests that run, at most one in each slot.
    pub(crate) fn running(&self) -> f64 {
        f64::from(self.condition.running.min(self.slots()))
    }

    /// Requests that run or wait there.
    pub(crate) fn present(&self) -> f64 {
        f64::from(self.condition.running) + f64::from(self.condition.waiting)
    }

    /// The smaller of the declared and the reported number of slots.
    pub(crate) fn slots(&self) -> u32 {
        self.limits.slots.min(self.condition.slots).max(1)
    }

    /// Tokens by which the memory for running requests is exceeded once `further` tokens are
    /// added; 0 if the memory is not declared.
    pub(crate) fn overflow_tokens(&self, figures: &EngineFigures, further: f64) -> f64 {
        let Some(capacity) = self.limits.kv_capacity_tokens else {
            return 0.0;
        };
        let usable = f64::from(capacity) * figures.usable_memory;
        let held = f64::from(self.condition.held_tokens) + further;
        (held - usable).max(0.0)
    }

    /// Longest pause of the streams that run there once `further` prompt tokens wait, in
    /// milliseconds, without preemption.
    pub(crate) fn streams_pause_ms(&self, figures: &EngineFigures, further: f64) -> f64 {
        let tokens = self.waiting_prompt_tokens + further;
        figures.event_beside_prompts_ms(self.running(), tokens) * self.speed_factor()
    }

    /// Pause of a stream that is preempted: it waits for memory, and its tokens are processed
    /// again after the prompts that wait. In milliseconds.
    pub(crate) fn preemption_ms(&self, figures: &EngineFigures) -> f64 {
        let running = self.running().max(1.0);
        let tokens = f64::from(self.condition.held_tokens) / running + self.waiting_prompt_tokens;
        let processing = figures.interleaved_prefill_ms(running, tokens);
        (figures.memory_wait_ms + processing) * self.speed_factor()
    }
}

/// Longest pause that the streams which run at an instance see now, in milliseconds.
/// `waiting_prompt_tokens` wait there for prefill. If the memory is exceeded, it is the pause of
/// a preempted stream.
#[must_use]
pub fn predicted_pause_ms(
    condition: &InstanceCondition,
    waiting_prompt_tokens: u32,
    limits: EngineLimits,
) -> f64 {
    let figures = EngineFigures::default();
    let state = EngineState {
        condition: *condition,
        waiting_prompt_tokens: f64::from(waiting_prompt_tokens),
        limits,
    };
    let pause = state.streams_pause_ms(&figures, 0.0);
    match state.overflow_tokens(&figures, 0.0) > 0.0 {
        true => pause.max(state.preemption_ms(&figures)),
        false => pause,
    }
}
