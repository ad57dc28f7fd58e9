//! Frames in a file: magic (4 bytes), length (4), CRC-32 (4), content.
//!
//! Each frame of a log segment is written only after the one before it is
//! durable. So a faulty frame with a whole one behind it is damage, and a
//! faulty frame with none behind it is a write that was under way (a torn
//! tail), which nobody relies on.

use crate::error::StorageError;
use std::path::Path;

const MAGIC: [u8; 4] = *b"CSL1";
/// Bytes before the content of a frame.
pub(crate) const HEADER_BYTES: usize = 12;

/// Appends a frame with `content` to `buffer`.
pub(crate) fn encode(content: &[u8], buffer: &mut Vec<u8>) {
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    buffer.extend_from_slice(content);
}

/// Contents of the whole frames of a file, and how many bytes they take.
pub(crate) struct Frames<'a> {
    pub(crate) contents: Vec<&'a [u8]>,
    /// Bytes of whole frames; a torn tail follows when the file is longer.
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
    let whole_behind = (offset + 1..bytes.len()).find(|later| frame_at(bytes, *later).is_some());
    match whole_behind {
        Some(later) => Err(StorageError::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            problem: format!("a faulty record lies before a whole one at offset {later}"),
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
