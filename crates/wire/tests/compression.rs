//! Contract of the compression: what is packed comes back, damage is told.

use courseshunt_types::Revision;
use courseshunt_wire::compression::{apply_difference, difference};
use courseshunt_wire::{Message, decode, encode};

const HEADER_BYTES: usize = 9;
const LONGEST: usize = 8 * 1024 * 1024;

/// A document of so many entries, each with a name of its own.
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
fn a_difference_is_as_short_as_what_changed() {
    let older = document(0..9_000);
    let newer = [
        document(0..4_000),
        document(9_000..9_100),
        document(4_000..9_000),
    ]
    .concat();
    let short = difference(&older, &newer).unwrap();
    assert!(short.len() < 4_000, "{} bytes", short.len());
    assert_eq!(apply_difference(&older, &short, LONGEST).unwrap(), newer);
}

#[test]
fn a_difference_from_nothing_is_the_document() {
    let newer = document(0..100);
    let whole = difference(&[], &newer).unwrap();
    assert_eq!(apply_difference(&[], &whole, LONGEST).unwrap(), newer);
    assert!(whole.len() < newer.len() / 3);
}

#[test]
fn a_difference_stands_for_no_more_than_its_reader_allows() {
    let newer = vec![0_u8; 1_000_000];
    let short = difference(&[], &newer).unwrap();
    assert!(apply_difference(&[], &short, 999_999).is_err());
}

#[test]
fn a_frame_that_opens_to_too_much_is_refused() {
    let mut content = vec![1];
    content.extend_from_slice(&u32::MAX.to_le_bytes());
    content.extend_from_slice(&[0; 20]);
    let read = decode(&content, crc32fast::hash(&content));
    assert!(read.unwrap_err().contains("too long"));
}

#[test]
fn short_messages_are_sent_as_they_are() {
    let message = Message::Confirmed {
        revision: Revision(4),
    };
    let frame = encode(&message).unwrap();
    assert_eq!(frame[HEADER_BYTES], 0);
}
