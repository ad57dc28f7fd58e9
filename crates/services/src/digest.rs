//! Digests of what a router knows of the instances, so that a leader sends it
//! only what differs.
//!
//! Cost: one hash for each instance; a digest has a fixed size.

use crate::instance::{InstanceState, InstanceView};
use courseshunt_types::RunnerId;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Parts into which the instances are divided by a hash of their identity.
pub const BUCKET_COUNT: usize = 64;

/// The part that an instance belongs to.
#[must_use]
pub fn bucket_of(id: &RunnerId) -> usize {
    let hash = xxh3_64(id.as_str().as_bytes());
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}

/// Digest of a configuration's document.
#[must_use]
pub fn document_digest(document: &[u8]) -> u64 {
    xxh3_64(document)
}

/// One digest for each part; equal digests stand for equal views, but for the
/// time that loads still take.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceDigests(Vec<u64>);

impl Default for InstanceDigests {
    fn default() -> Self {
        Self(vec![0; BUCKET_COUNT])
    }
}

impl InstanceDigests {
    /// The digests of these views, in any order.
    pub fn of<'a>(views: impl IntoIterator<Item = &'a InstanceView>) -> Self {
        let mut digests = Self::default();
        for view in views {
            digests.toggle(view);
        }
        digests
    }

    /// Puts a view in, or takes it out again.
    pub fn toggle(&mut self, view: &InstanceView) {
        self.0[bucket_of(&view.id)] ^= digest(view);
    }

    /// Parts in which the other differs.
    pub fn differing_buckets<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        let own = self.0.iter().enumerate();
        own.filter(|(bucket, digest)| other.0.get(*bucket) != Some(*digest))
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
