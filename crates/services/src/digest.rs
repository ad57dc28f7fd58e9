//! Digests of sets of instance views, so that a controller sends a follower only the views
//! that differ.
//!
//! Invariant: equal sets of views have equal digests, in any order and whatever time their
//! loads still take.
//!
//! Cost: one hash for each instance; the digests have a fixed size.

use crate::instance::{InstanceState, InstanceView};
use courseshunt_types::RunnerId;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Number of buckets into which instances are divided by a hash of their identity.
pub const BUCKET_COUNT: usize = 64;

/// The bucket of an instance, below [`BUCKET_COUNT`].
#[must_use]
pub fn bucket_of(id: &RunnerId) -> usize {
    let hash = xxh3_64(id.as_str().as_bytes());
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}

/// Digest of a configuration document.
#[must_use]
pub fn document_digest(document: &[u8]) -> u64 {
    xxh3_64(document)
}

/// One digest for each bucket. Equal digests mean equal views, except for the remaining time
/// of loads, which is not hashed.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceDigests(Vec<u64>);

impl Default for InstanceDigests {
    fn default() -> Self {
        Self(vec![0; BUCKET_COUNT])
    }
}

impl InstanceDigests {
    /// Computes the digests of a set of views, in any order.
    pub fn of<'a>(views: impl IntoIterator<Item = &'a InstanceView>) -> Self {
        let mut digests = Self::default();
        for view in views {
            digests.toggle(view);
        }
        digests
    }

    /// Adds a view, or removes one that was added before.
    pub fn toggle(&mut self, view: &InstanceView) {
        self.0[bucket_of(&view.id)] ^= digest(view);
    }

    /// Buckets whose digest differs from that of `other`.
    pub fn differing_buckets<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        let digests = self.0.iter().enumerate();
        digests
            .filter(|(bucket, digest)| other.0.get(*bucket) != Some(*digest))
            .map(|(bucket, _)| bucket)
    }
}

fn digest(view: &InstanceView) -> u64 {
    let mut hash = Xxh3::new();
    let mut text = |text: &str| {
        hash.update(&(text.len() as u64).to_le_bytes());
        hash.update(text.as_bytes());
    };
    text(view.id.as_str());
    text(&view.service);
    text(&view.address);
    text(view.zone.as_str());
    for model in &view.models {
        text(model.name.as_str());
        text(&model.version.to_string());
        for adapter in &model.adapters {
            text(adapter);
        }
        text("");
    }
    for (model, _) in &view.loading {
        text(model.as_str());
    }
    hash.update(&view.slots.to_le_bytes());
    hash.update(&[u8::from(view.state == InstanceState::Ready)]);
    hash.digest()
}
