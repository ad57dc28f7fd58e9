//! Compression of frame contents and of documents.
//!
//! Invariant: unpacking returns exactly the content that was packed, or an error. No content
//! decompresses to more bytes than the reader allows.
//!
//! A packed content starts with one byte, `PLAIN` or `COMPRESSED`.

use crate::frame::MAX_FRAME_BYTES;
use rkyv::util::AlignedVec;
use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::CParameter;

/// Contents that are shorter are sent uncompressed, because compression would save little and cost
/// CPU time at both ends.
const MIN_COMPRESSED_BYTES: usize = 400;
/// Compression level of the library for frames: the lowest one that also finds repeated names.
const FRAME_LEVEL: i32 = 1;
/// Compression level for differences between documents: the lowest one that searches the whole
/// older document.
const DIFFERENCE_LEVEL: i32 = 3;
/// Bounds of the compression window, as binary logarithms of its length in bytes.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 27;

/// First byte of a content that is not compressed.
const PLAIN: u8 = 0;
/// First byte of a compressed content; its uncompressed length follows (4 bytes, little-endian).
const COMPRESSED: u8 = 1;
/// Length of the header of a compressed content, in bytes.
const COMPRESSED_HEADER_BYTES: usize = 5;

/// Packs the content of a frame, compressed if that makes it shorter.
pub(crate) fn pack(content: &[u8]) -> Vec<u8> {
    let compressed = match content.len() {
        0..MIN_COMPRESSED_BYTES => None,
        _ => compress(content),
    };
    match compressed {
        Some(packed) if packed.len() < content.len() => packed,
        _ => [&[PLAIN], content].concat(),
    }
}

fn compress(content: &[u8]) -> Option<Vec<u8>> {
    let compressed = match zstd::bulk::compress(content, FRAME_LEVEL) {
        Ok(compressed) => compressed,
        Err(error) => {
            log::warn!("wire: compressing a message failed, sending it uncompressed: {error}");
            return None;
        }
    };
    let mut packed = Vec::with_capacity(COMPRESSED_HEADER_BYTES + compressed.len());
    packed.push(COMPRESSED);
    packed.extend_from_slice(&(content.len() as u32).to_le_bytes());
    packed.extend_from_slice(&compressed);
    Some(packed)
}

/// Unpacks the content of a frame into an aligned buffer, as `rkyv` requires.
///
/// # Errors
/// When the packed bytes are truncated or damaged, or the content exceeds [`MAX_FRAME_BYTES`].
pub(crate) fn unpack(packed: &[u8]) -> Result<AlignedVec<16>, String> {
    match packed.split_first() {
        Some((&PLAIN, content)) => {
            let mut aligned = AlignedVec::with_capacity(content.len());
            aligned.extend_from_slice(content);
            Ok(aligned)
        }
        Some((&COMPRESSED, rest)) => decompress(rest),
        Some((other, _)) => Err(format!("unknown packing {other} of a frame's content")),
        None => Err("frame without content".to_owned()),
    }
}

fn decompress(packed: &[u8]) -> Result<AlignedVec<16>, String> {
    let (length, compressed) = packed
        .split_first_chunk::<4>()
        .ok_or("compressed frame truncated before its length field")?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(format!(
            "a content of {length} bytes is too long, the limit is {MAX_FRAME_BYTES}"
        ));
    }
    let mut content = AlignedVec::with_capacity(length);
    content.resize(length, 0);
    let written = zstd::bulk::decompress_to_buffer(compressed, content.as_mut_slice());
    let written = written.map_err(|error| format!("frame decompression failed: {error}"))?;
    if written != length {
        return Err(format!(
            "frame decompressed to {written} bytes instead of {length}"
        ));
    }
    Ok(content)
}

/// Encodes the newer document as its difference from the older one.
///
/// # Errors
/// When compression fails.
pub fn difference(older: &[u8], newer: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut compressor = Compressor::with_dictionary(DIFFERENCE_LEVEL, older)?;
    let window_log = (older.len() + newer.len()).next_power_of_two().ilog2();
    let window_log = window_log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG);
    compressor.set_parameter(CParameter::WindowLog(window_log))?;
    compressor.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
    compressor.compress(newer)
}

/// Restores the newer document, of at most `max_bytes` bytes, from the older one and a difference.
///
/// # Errors
/// When the difference is damaged or was made from another document, or when the newer document is
/// longer.
pub fn apply_difference(
    older: &[u8],
    difference: &[u8],
    max_bytes: usize,
) -> std::io::Result<Vec<u8>> {
    Decompressor::with_dictionary(older)?.decompress(difference, max_bytes)
}
