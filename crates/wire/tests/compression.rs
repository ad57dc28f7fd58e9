//! Compression of frames and documents: content survives a round trip, and oversized content is
//! rejected.

use courseshunt_types::Revision;
use courseshunt_wire::compression::{apply_difference, difference};
use courseshunt_wire::{Message, decode, encode};

const HEADER_BYTES: usize = 9;
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// A document with one entry for each number, each with a unique name.
fn document(entries: std::ops::Range<u32>) -> Vec<u8> {
    let entry = |number: u32| {
        let name = number.wrapping_mul(2_654_435_761);
        format!(
            "{{\"name\":\"r-{name:08x}\",\"host\":\"{name:x}.example\",\"timeout\":15000,\"objective\":5000,\"priority\":1}},"
        )
    };
    entries.map(entry).collect::<String>().into_bytes()
}

#[test]
fn difference_is_proportional_to_the_change() {
    let older = document(0..9_000);
    let newer = [
        document(0..4_000),
        document(9_000..9_100),
        document(4_000..9_000),
    ]
    .concat();
    let short = difference(&older, &newer).unwrap();
    assert!(short.len() < 4_000, "{} bytes", short.len());
    assert_eq!(apply_difference(&older, &short, MAX_BYTES).unwrap(), newer);
}

#[test]
fn difference_from_the_empty_document_restores_the_document() {
    let newer = document(0..100);
    let full = difference(&[], &newer).unwrap();
    assert_eq!(apply_difference(&[], &full, MAX_BYTES).unwrap(), newer);
    assert!(full.len() < newer.len() / 3);
}

#[test]
fn difference_that_exceeds_the_size_limit_is_rejected() {
    let newer = vec![0_u8; 1_000_000];
    let short = difference(&[], &newer).unwrap();
    assert!(apply_difference(&[], &short, 999_999).is_err());
}

#[test]
fn frame_whose_content_exceeds_the_limit_is_rejected() {
    let mut content = vec![1];
    content.extend_from_slice(&u32::MAX.to_le_bytes());
    content.extend_from_slice(&[0; 20]);
    let read = decode(&content, crc32fast::hash(&content));
    assert!(read.unwrap_err().contains("too long"));
}

#[test]
fn short_messages_are_not_compressed() {
    let message = Message::Confirmed {
        revision: Revision(4),
    };
    let frame = encode(&message).unwrap();
    assert_eq!(frame[HEADER_BYTES], 0);
}
