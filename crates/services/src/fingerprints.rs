//! Fingerprints of a request: what it may share with other requests that do the same harm.
//!
//! Invariant: requests of one tenant for one service that share an adapter, a part of their
//! prompts or their whole content have the same fingerprint of it at every router, whatever else
//! they hold. The tenant is part of each fingerprint, so that nobody has requests of another
//! tenant held back.

use crate::selection::PromptShape;
use courseshunt_types::Digest;
use std::sync::Arc;

/// Maximum number of a prompt's parts that have fingerprints: the first ones.
const MAX_PARTS: usize = 32;
const ADAPTER: &[u8] = b"adapter";
const PART: &[u8] = b"part";

/// See the module. In order: the adapter, each part of the prompt, the content; so that what comes
/// later is shared by fewer requests as a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fingerprints(Arc<[Digest]>);

impl Fingerprints {
    /// Fingerprints of a request with this prompt and this digest of its content.
    #[must_use]
    pub fn new(tenant: Option<&str>, service: &str, shape: &PromptShape, content: Digest) -> Self {
        let of = |kind: &[u8], values: [&[u8]; 2]| {
            let tenant = tenant.map(str::as_bytes);
            let fixed = [Some(kind), tenant, Some(service.as_bytes())];
            Digest::of_parts(fixed.into_iter().chain(values.map(Some)))
        };
        let model = shape.model.as_bytes();
        let adapter = shape.adapter.as_ref();
        let adapter = adapter.map(|adapter| of(ADAPTER, [model, adapter.as_bytes()]));
        let parts = shape.parts.iter().take(MAX_PARTS);
        let parts = parts.map(|part| of(PART, [&part.id.to_le_bytes(), &[]]));
        let all = adapter.into_iter().chain(parts).chain([content]);
        Self(all.collect())
    }

    /// The fingerprint of the content alone.
    #[must_use]
    pub fn of_content(content: Digest) -> Self {
        Self(Arc::new([content]))
    }

    /// Digest of the content.
    #[must_use]
    pub fn content(&self) -> Digest {
        self.0.last().copied().unwrap_or_default()
    }

    /// All of them, from the broadest to the narrowest.
    #[must_use]
    pub fn all(&self) -> &[Digest] {
        &self.0
    }
}
