//! Content digests.

use sha2::{Digest as _, Sha256};

/// SHA-256 digest of a content. Its text form is 64 lowercase hexadecimal digits.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Digest of several parts, each of which may be missing. The length of each part is hashed in
    /// front of it, with `u64::MAX` for a missing one, so that different splits of the same bytes
    /// have different digests.
    #[must_use]
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = Option<&'a [u8]>>) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            let length = part.map_or(u64::MAX, |part| part.len() as u64);
            hash.update(length.to_le_bytes());
            hash.update(part.unwrap_or_default());
        }
        Self(hash.finalize().into())
    }

    /// The first 16 hexadecimal digits, for log lines.
    #[must_use]
    pub fn short(&self) -> String {
        self.to_string()[..16].to_owned()
    }

    /// Parses 64 hexadecimal digits; `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0_u8; 32];
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        for (position, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[position * 2..position * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

impl serde::Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| serde::de::Error::custom("expected 64 hexadecimal digits"))
    }
}
