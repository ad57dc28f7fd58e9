//! Document of the router's current configuration, to which differences are applied.
//!
//! Invariant: applying a difference gives the leader's document byte for byte, or an error;
//! after an error the full document is requested.

use courseshunt_services::digest::document_digest;
use courseshunt_wire::MAX_FRAME_BYTES;
use courseshunt_wire::compression::apply_difference;

/// Maximum length of a document, in bytes: that of one message.
const MAX_DOCUMENT_BYTES: usize = MAX_FRAME_BYTES;

/// The current document and its version number.
#[derive(Debug, Default)]
pub struct CurrentDocument {
    number: u64,
    document: Vec<u8>,
    needs_full_document: bool,
}

impl CurrentDocument {
    /// Version number of the document that a difference may be based on; 0 stands for the empty
    /// document.
    #[must_use]
    pub fn base(&self) -> u64 {
        match self.needs_full_document {
            true => 0,
            false => self.number,
        }
    }

    /// Applies a difference to the current document, or to the empty one if `base` is 0.
    ///
    /// # Errors
    /// A description of the problem, if the difference is based on another document or does not
    /// give the document with this digest.
    pub fn apply(&mut self, base: u64, digest: u64, difference: &[u8]) -> Result<Vec<u8>, String> {
        let applied = self.try_apply(base, digest, difference);
        self.needs_full_document = applied.is_err();
        applied
    }

    /// Replaces the current document.
    pub fn set(&mut self, number: u64, document: Vec<u8>) {
        self.number = number;
        self.document = document;
    }

    fn try_apply(&self, base: u64, digest: u64, difference: &[u8]) -> Result<Vec<u8>, String> {
        let previous = match base {
            0 => &[][..],
            _ if base == self.number => &self.document,
            _ => {
                return Err(format!(
                    "difference is based on configuration {base}, but {} is current",
                    self.number
                ));
            }
        };
        let document = apply_difference(previous, difference, MAX_DOCUMENT_BYTES);
        let document = document.map_err(|error| error.to_string())?;
        match document_digest(&document) == digest {
            true => Ok(document),
            false => Err("digest of the document does not match the announced one".to_owned()),
        }
    }
}
