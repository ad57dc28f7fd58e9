//! The document of the configuration that a router has: newer ones come as
//! differences from it.
//!
//! Invariant: what is applied is the leader's document byte for byte, or an error;
//! after an error the whole document is asked for.

use courseshunt_services::digest::document_digest;
use courseshunt_wire::MAX_FRAME_BYTES;
use courseshunt_wire::compression::apply_difference;

/// Longest document, in bytes: what one message carries.
const LONGEST_DOCUMENT: usize = MAX_FRAME_BYTES;

/// See the module.
#[derive(Debug, Default)]
pub struct CurrentDocument {
    number: u64,
    document: Vec<u8>,
    needs_whole: bool,
}

impl CurrentDocument {
    /// Number of the document that differences may be told from; 0 for the empty
    /// one.
    #[must_use]
    pub fn base(&self) -> u64 {
        match self.needs_whole {
            true => 0,
            false => self.number,
        }
    }

    /// The document that a difference makes out of the one held, or out of the
    /// empty one when `base` is 0.
    ///
    /// # Errors
    /// What is wrong, when it is told from another document or does not lead to
    /// the one with this digest.
    pub fn apply(&mut self, base: u64, digest: u64, difference: &[u8]) -> Result<Vec<u8>, String> {
        let applied = self.applied(base, digest, difference);
        self.needs_whole = applied.is_err();
        applied
    }

    /// Holds a document from now on.
    pub fn hold(&mut self, number: u64, document: Vec<u8>) {
        self.number = number;
        self.document = document;
    }

    fn applied(&self, base: u64, digest: u64, difference: &[u8]) -> Result<Vec<u8>, String> {
        let older = match base {
            0 => &[][..],
            _ if base == self.number => &self.document,
            _ => return Err(format!("it changes {base}, and {} is held", self.number)),
        };
        let document = apply_difference(older, difference, LONGEST_DOCUMENT);
        let document = document.map_err(|error| error.to_string())?;
        match document_digest(&document) == digest {
            true => Ok(document),
            false => Err("the document has another digest".to_owned()),
        }
    }
}
