//! Framing of records in a file: length, checksum, content.

use crate::error::StorageError;
use courseshunt_consensus::{Entry, HardState};
use std::path::Path;

/// Bytes before the content of a record: length (4) and CRC-32 (4).
pub const HEADER_BYTES: usize = 8;
/// Longest content of one record, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// One record of the log file.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Record {
    /// New hard state.
    HardState(HardState),
    /// An entry; replaces the one at its index and all after it.
    Entry(Entry),
}

/// Appends `record`, framed, to `buffer`.
pub fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let content = rkyv::to_bytes::<rkyv::rancor::Error>(record).unwrap_or_default();
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buffer.extend_from_slice(&content);
}

/// Records of a file, and how many bytes of it are whole records.
pub struct Decoded {
    /// The records.
    pub records: Vec<Record>,
    /// Bytes of whole records; a torn tail follows when the file is longer.
    pub valid_bytes: usize,
}

/// Reads all records of a file's content. A faulty last record is a torn tail.
pub fn decode_all(path: &Path, content: &[u8]) -> Result<Decoded, StorageError> {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(frame) = next_frame(&content[offset..]) {
        let length = frame.content.len();
        let Some(record) = read_record(frame) else {
            let end = offset + HEADER_BYTES + length;
            if end == content.len() {
                break;
            }
            return Err(StorageError::Damaged {
                path: path.to_owned(),
                offset: offset as u64,
                problem: "checksum or content of the record is wrong".to_owned(),
            });
        };
        records.push(record);
        offset += HEADER_BYTES + length;
    }
    Ok(Decoded {
        records,
        valid_bytes: offset,
    })
}

struct Frame<'a> {
    checksum: u32,
    content: &'a [u8],
}

fn next_frame(bytes: &[u8]) -> Option<Frame<'_>> {
    let length = u32::from_le_bytes(bytes.get(0..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let content = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    Some(Frame { checksum, content })
}

fn read_record(frame: Frame<'_>) -> Option<Record> {
    if frame.content.is_empty() || crc32fast::hash(frame.content) != frame.checksum {
        return None;
    }
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(frame.content.len());
    aligned.extend_from_slice(frame.content);
    rkyv::from_bytes::<Record, rkyv::rancor::Error>(&aligned).ok()
}
