//! Frames in a file: magic (4 bytes), length (4), CRC-32 (4), content.
//!
//! Invariant: each frame of a log segment is written only after the one before
//! it is durable. An invalid frame followed by a valid one is therefore damage.
//! An invalid frame without a valid one after it is a write that was in progress
//! (a torn tail) and was never reported as durable.

use crate::error::StorageError;
use std::path::Path;

const MAGIC: [u8; 4] = *b"CSL1";
/// Size of the header before the content of a frame, in bytes.
pub(crate) const HEADER_BYTES: usize = 12;

/// Appends a frame with the given content to `buffer`.
pub(crate) fn encode(content: &[u8], buffer: &mut Vec<u8>) {
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    buffer.extend_from_slice(content);
}

/// Contents of the valid frames of a file, and their total size.
pub(crate) struct Frames<'a> {
    pub(crate) contents: Vec<&'a [u8]>,
    /// Size of the valid frames, in bytes; a torn tail follows if the file is longer.
    pub(crate) valid_bytes: usize,
}

/// Reads the frames of a file. A torn tail is dropped.
pub(crate) fn decode<'a>(path: &Path, bytes: &'a [u8]) -> Result<Frames<'a>, StorageError> {
    let mut contents = Vec::new();
    let mut offset = 0;
    while let Some(content) = frame_at(bytes, offset) {
        contents.push(content);
        offset += HEADER_BYTES + content.len();
    }
    let valid_after = (offset + 1..bytes.len()).find(|later| frame_at(bytes, *later).is_some());
    match valid_after {
        Some(later) => Err(StorageError::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            problem: format!("an invalid frame is followed by a valid one at offset {later}"),
        }),
        None => Ok(Frames {
            contents,
            valid_bytes: offset,
        }),
    }
}

fn frame_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    if header[0..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let content = bytes.get(start..start.checked_add(length)?)?;
    (crc32fast::hash(content) == checksum).then_some(content)
}
