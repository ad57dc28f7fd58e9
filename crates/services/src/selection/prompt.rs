//! What is known of a request's prompt, and the work of reading it.

use super::DEFAULT_TOKENS_PER_MS;
use super::prefixes::PrefixKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time of reading that grows with the square of the prompt, in milliseconds
/// for a million pairs of tokens, until measured.
const MS_PER_MILLION_PAIRS: f64 = 0.5;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixPart {
    /// Identity; equal parts have equal ones.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What is known of a request's work.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PromptShape {
    /// The model, empty for a plain service.
    pub model: String,
    /// The adapter, if any.
    pub adapter: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to go out at the most.
    pub output_tokens: u32,
    /// Parts of the prompt, in order; the last belongs to the request alone.
    pub parts: Vec<PrefixPart>,
}

impl PromptShape {
    /// Keys of the prompt's beginnings, one for each part, with the tokens up
    /// to there.
    pub(super) fn prefix_keys(&self) -> Vec<PrefixKey> {
        let mut key = xxh3_64(self.model.as_bytes());
        if let Some(adapter) = &self.adapter {
            key = xxh3_64_with_seed(adapter.as_bytes(), key);
        }
        let mut tokens = 0;
        let keys = self.parts.iter().map(|part| {
            key = xxh3_64_with_seed(&part.id.to_le_bytes(), key);
            tokens += part.tokens;
            (key, tokens)
        });
        keys.collect()
    }

    /// Key of what the request shares with others.
    pub(super) fn home_key(&self, keys: &[PrefixKey]) -> Option<u64> {
        let shared = keys.len().checked_sub(2)?;
        keys.get(shared).map(|(key, _)| *key)
    }
}

/// What is to be read beyond `kept`, in tokens of a short prompt: long prompts
/// take more than their length.
pub(super) fn work_tokens(prompt: u32, kept: u32) -> u32 {
    let square = |tokens: u32| f64::from(tokens).powi(2) / 1e6;
    let pairs = square(prompt) - square(kept);
    let extra = pairs * MS_PER_MILLION_PAIRS * DEFAULT_TOKENS_PER_MS;
    (prompt - kept) + extra as u32
}
