//! Bodies of the stand-in's completions.

use courseshunt_types::Digest;
use serde_json::{Value, json};

/// The word that the stand-in generates at `position` for a prompt. Callers
/// can check with it that a whole answer belongs to their own request.
#[must_use]
pub fn answer_word(prompt: &str, position: u32) -> String {
    let digest = Digest::of(prompt.as_bytes()).to_string();
    format!("{}-{position} ", &digest[..8])
}

/// What the stand-in reads from a request.
#[derive(Debug, Clone)]
pub(super) struct CompletionRequest {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

/// Tokens generated when a request names no number.
const DEFAULT_MAX_TOKENS: u32 = 16;

impl CompletionRequest {
    pub(super) fn parse(body: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let messages = value.get("messages").map(Value::to_string);
        let prompt = value.get("prompt").map(Value::to_string);
        let max_tokens = value.get("max_tokens").and_then(Value::as_u64);
        let max_tokens = max_tokens.and_then(|number| u32::try_from(number).ok());
        Some(Self {
            model: value.get("model")?.as_str()?.to_owned(),
            prompt: messages.or(prompt)?,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: value
                .get("stream")
                .and_then(Value::as_bool)
                .unwrap_or(false),
        })
    }

    pub(super) fn whole(&self, request: &str, text: &str) -> Value {
        json!({
            "id": request,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }],
            "usage": {
                "prompt_tokens": self.prompt_tokens(),
                "completion_tokens": self.max_tokens,
                "total_tokens": self.prompt_tokens() + self.max_tokens,
            },
        })
    }

    pub(super) fn chunk(&self, request: &str, position: u32, word: &str, last: bool) -> String {
        let finish = last.then_some("length");
        let chunk = json!({
            "id": request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "position": position,
            "choices": [{"index": 0, "delta": {"content": word}, "finish_reason": finish}],
        });
        format!("data: {chunk}\n\n")
    }

    /// A rough count: four bytes of text are a token.
    pub(super) fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len() / 4 + 1).unwrap_or(u32::MAX)
    }
}
