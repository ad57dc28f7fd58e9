//! Shape of a request's prompt, and the work of processing it.

use super::DEFAULT_TOKENS_PER_MS;
use super::prefixes::PrefixKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Assumed processing time that grows with the square of the prompt length, in milliseconds per
/// million pairs of tokens.
const MS_PER_MILLION_TOKEN_PAIRS: f64 = 0.5;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixPart {
    /// Identity; equal parts have the same one.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Properties of a request that determine where it can run and how much work it is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PromptShape {
    /// Name of the model; empty for a plain service.
    pub model: String,
    /// Name of the adapter, if the request needs one.
    pub adapter: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub output_tokens: u32,
    /// Parts of the prompt, in order; the last one is not shared with other requests.
    pub parts: Vec<PrefixPart>,
}

impl PromptShape {
    /// Keys of the prompt's prefixes, one for each part, with their lengths in tokens.
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

    /// Key of the longest prefix that the request may share with others, by which its preferred
    /// instance is determined.
    pub(super) fn affinity_key(&self, keys: &[PrefixKey]) -> Option<u64> {
        let shared = keys.len().checked_sub(2)?;
        keys.get(shared).map(|(key, _)| *key)
    }
}

/// Work to process a prompt of which `cached` tokens are cached, in tokens of a short prompt.
/// The work of long prompts grows faster than their length.
pub(super) fn work_tokens(prompt: u32, cached: u32) -> u32 {
    let square = |tokens: u32| f64::from(tokens).powi(2) / 1e6;
    let pairs = square(prompt) - square(cached);
    let extra = pairs * MS_PER_MILLION_TOKEN_PAIRS * DEFAULT_TOKENS_PER_MS;
    (prompt - cached) + extra as u32
}
