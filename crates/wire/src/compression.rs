//! Compression of frame contents and of documents.
//!
//! Invariant: what is unpacked is what was packed, or an error; no content opens
//! to more bytes than its reader allows.

use crate::frame::MAX_FRAME_BYTES;
use rkyv::util::AlignedVec;
use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::CParameter;

/// Shorter contents are sent as they are: little is saved, and both ends work.
const LEAST_COMPRESSED_BYTES: usize = 400;
/// Effort of the compression, as the library counts it: the least that also
/// finds repeated names.
const LEVEL: i32 = 1;
/// Effort for differences between documents: the least that searches the whole
/// of the older one.
const DIFFERENCE_LEVEL: i32 = 3;
/// Bounds on how far back the library may refer, as powers of two of bytes.
const SHORTEST_REACH_LOG: u32 = 10;
const LONGEST_REACH_LOG: u32 = 27;

/// First byte of a content that is sent as it is.
const PLAIN: u8 = 0;
/// First byte of a compressed content; its length before compression follows, as
/// four bytes.
const COMPRESSED: u8 = 1;
/// Bytes before the compressed ones.
const COMPRESSED_HEAD_BYTES: usize = 5;

/// Packs the content of a frame: compressed where that makes it shorter.
pub(crate) fn pack(content: &[u8]) -> Vec<u8> {
    let compressed = match content.len() {
        0..LEAST_COMPRESSED_BYTES => None,
        _ => compress(content),
    };
    match compressed {
        Some(packed) if packed.len() < content.len() => packed,
        _ => [&[PLAIN], content].concat(),
    }
}

fn compress(content: &[u8]) -> Option<Vec<u8>> {
    let compressed = match zstd::bulk::compress(content, LEVEL) {
        Ok(compressed) => compressed,
        Err(error) => {
            log::warn!("wire: a message is sent uncompressed: {error}");
            return None;
        }
    };
    let mut packed = Vec::with_capacity(COMPRESSED_HEAD_BYTES + compressed.len());
    packed.push(COMPRESSED);
    packed.extend_from_slice(&(content.len() as u32).to_le_bytes());
    packed.extend_from_slice(&compressed);
    Some(packed)
}

/// The content that was packed, aligned for reading.
///
/// # Errors
/// When the packed bytes are cut short, damaged, or stand for too long a content.
pub(crate) fn unpack(packed: &[u8]) -> Result<AlignedVec<16>, String> {
    match packed.split_first() {
        Some((&PLAIN, content)) => {
            let mut aligned = AlignedVec::with_capacity(content.len());
            aligned.extend_from_slice(content);
            Ok(aligned)
        }
        Some((&COMPRESSED, rest)) => decompress(rest),
        Some((other, _)) => Err(format!("packing {other} is not known here")),
        None => Err("a frame is empty".to_owned()),
    }
}

fn decompress(packed: &[u8]) -> Result<AlignedVec<16>, String> {
    let (length, compressed) = packed
        .split_first_chunk::<4>()
        .ok_or("a compressed frame is cut short")?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(format!("a content of {length} bytes is too long"));
    }
    let mut content = AlignedVec::with_capacity(length);
    content.resize(length, 0);
    let written = zstd::bulk::decompress_to_buffer(compressed, content.as_mut_slice());
    let written = written.map_err(|error| format!("a frame can't be decompressed: {error}"))?;
    if written != length {
        return Err(format!("a frame holds {written} bytes instead of {length}"));
    }
    Ok(content)
}

/// A document as its difference from an older one.
///
/// # Errors
/// When the library can't compress it.
pub fn difference(older: &[u8], newer: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut compressor = Compressor::with_dictionary(DIFFERENCE_LEVEL, older)?;
    let reach = (older.len() + newer.len()).next_power_of_two().ilog2();
    let reach = reach.clamp(SHORTEST_REACH_LOG, LONGEST_REACH_LOG);
    compressor.set_parameter(CParameter::WindowLog(reach))?;
    compressor.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
    compressor.compress(newer)
}

/// The newer document, of at most `longest` bytes.
///
/// # Errors
/// When the difference is damaged, was made from another document, or stands for
/// more bytes.
pub fn apply_difference(
    older: &[u8],
    difference: &[u8],
    longest: usize,
) -> std::io::Result<Vec<u8>> {
    Decompressor::with_dictionary(older)?.decompress(difference, longest)
}
