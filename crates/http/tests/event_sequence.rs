//! Events of an event stream, the ids that they state, and the order of these ids.

use courseshunt_http::{EventSequence, MAX_EVENT_ID_BYTES};
use std::time::Instant;

/// What is expected of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Expected {
    events: u64,
    first: Option<&'static str>,
    last: Option<&'static str>,
    out_of_order: u64,
    gaps: u64,
}

const fn ids(events: u64, first: &'static str, last: &'static str) -> Expected {
    Expected {
        events,
        first: Some(first),
        last: Some(last),
        out_of_order: 0,
        gaps: 0,
    }
}

const fn without_ids(events: u64) -> Expected {
    Expected {
        first: None,
        last: None,
        ..ids(events, "", "")
    }
}

const fn unordered(expected: Expected, out_of_order: u64, gaps: u64) -> Expected {
    Expected {
        out_of_order,
        gaps,
        ..expected
    }
}

#[rustfmt::skip]
const STREAMS: [(&str, Expected); 35] = [
    ("", without_ids(0)),
    ("data: a\n\n", without_ids(1)),
    ("\n\n: comment\n\n", without_ids(0)),
    ("id: 1\ndata: a\n\n", ids(1, "1", "1")),
    ("data: a\nid: 1\n\n", ids(1, "1", "1")),
    ("id: 1\r\n\r\nid: 2\r\n\r\n", ids(2, "1", "2")),
    ("id: 1\r\rid: 2\r\r", ids(2, "1", "2")),
    ("id: 1\n\r\nid: 2\r\r\n", ids(2, "1", "2")),
    ("\u{feff}id: 1\n\n", ids(1, "1", "1")),
    // The name ends at the first colon, and only one space after it is left out.
    ("id:1\n\n", ids(1, "1", "1")),
    ("id:  1\n\n", ids(1, " 1", " 1")),
    ("id: a:b\n\n", ids(1, "a:b", "a:b")),
    ("id:\n\n", ids(1, "", "")),
    ("id\n\n", ids(1, "", "")),
    ("id: \n\n", ids(1, "", "")),
    ("i: 1\n\nidx: 2\n\n ID: 3\n\nID: 4\n\nid : 5\n\n:id: 6\n\n", without_ids(5)),
    // The last id of an event counts, and one with NUL counts for nothing.
    ("id: 1\nid: 2\n\n", ids(1, "2", "2")),
    ("id: 1\nid: 2\0\n\n", ids(1, "1", "1")),
    ("id: 2\0\n\nid: 1\n\n", ids(2, "1", "1")),
    // Only the empty line ends an event.
    ("id: 1\n\nid: 2", ids(1, "1", "1")),
    ("id: 1\n\nid: 2\ndata: a\n", ids(1, "1", "1")),
    ("id: 1\n: comment\ndata: a\n\n", ids(1, "1", "1")),
    ("id: 1\n\ndata: a\n\nid: 2\n\n", ids(3, "1", "2")),
    // Order.
    ("id: 1\n\nid: 2\n\nid: 3\n\n", ids(3, "1", "3")),
    ("id: 1\n\nid: 1\n\n", unordered(ids(2, "1", "1"), 1, 0)),
    ("id: 3\n\nid: 2\n\nid: 1\n\n", unordered(ids(3, "3", "1"), 2, 0)),
    ("id: 5\n\nid: 1\n\nid: 2\n\n", unordered(ids(3, "5", "2"), 1, 0)),
    ("id: 1\n\nid: 3\n\nid: 10\n\n", unordered(ids(3, "1", "10"), 0, 2)),
    ("id: 9\n\nid: 10\n\n", ids(2, "9", "10")),
    ("id: 1\nid: 2\n\nid: 2\nid: 3\n\n", ids(2, "2", "3")),
    // Ids that are no whole numbers are not judged.
    ("id: b\n\nid: a\n\nid: a\n\n", ids(3, "b", "a")),
    ("id: 2\n\nid: x\n\nid: 1\n\n", unordered(ids(3, "2", "1"), 1, 0)),
    ("id: 2\n\nid: +1\n\nid: -1\n\nid: 1.5\n\nid: 1 \n\n", ids(5, "2", "1 ")),
    ("id: 2\n\nid: 18446744073709551616\n\nid: 3\n\n", ids(3, "2", "3")),
    ("id: 18446744073709551615\n\nid: 0\n\n", unordered(ids(2, "18446744073709551615", "0"), 1, 0)),
];

fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> EventSequence {
    let mut sequence = EventSequence::default();
    for piece in pieces {
        sequence.push(piece);
    }
    sequence
}

fn assert_is(sequence: &EventSequence, expected: Expected, text: &str) {
    assert_eq!(sequence.events(), expected.events, "{text:?}");
    assert_eq!(sequence.first_id().as_deref(), expected.first, "{text:?}");
    assert_eq!(sequence.last_id().as_deref(), expected.last, "{text:?}");
    let order = sequence.order();
    assert_eq!(order.out_of_order, expected.out_of_order, "{text:?}");
    assert_eq!(order.gaps, expected.gaps, "{text:?}");
    assert_eq!(order.rises(), expected.out_of_order == 0, "{text:?}");
}

#[test]
fn ids_and_their_order_are_read_in_pieces_of_any_length() {
    for (text, expected) in STREAMS {
        let bytes = text.as_bytes();
        for length in 1..=bytes.len().max(1) {
            assert_is(&read(bytes.chunks(length)), expected, text);
        }
    }
}

#[test]
fn ids_and_their_order_are_read_wherever_a_stream_is_split() {
    for (text, expected) in STREAMS {
        let bytes = text.as_bytes();
        for split in 0..=bytes.len() {
            let (first, second) = bytes.split_at(split);
            assert_is(&read([first, &[], second]), expected, text);
        }
    }
}

#[test]
fn a_field_behind_a_part_of_a_byte_order_mark_is_not_an_id() {
    let sequence = read([&b"\xef"[..], b"id: 1\n\n"]);
    assert_eq!((sequence.events(), sequence.first_id()), (1, None));
}

#[test]
fn an_id_that_is_too_long_is_not_kept() {
    let longest = "7".repeat(MAX_EVENT_ID_BYTES);
    let longer = "7".repeat(MAX_EVENT_ID_BYTES + 1);
    for (id, kept) in [(&longest, Some(longest.as_str())), (&longer, None)] {
        let text = format!("id: {id}\n\n");
        for length in [1, 7, text.len()] {
            let sequence = read(text.as_bytes().chunks(length));
            assert_eq!(sequence.last_id().as_deref(), kept);
            assert_eq!(sequence.events(), 1);
        }
    }
    let text = format!("id: 2\n\nid: {longer}\n\nid: 3\n\n");
    let sequence = read([text.as_bytes()]);
    assert_eq!(sequence.last_id().as_deref(), Some("3"));
    assert!(sequence.order().rises());
}

/// Prints the time per byte; `cargo test --release -- --ignored --nocapture` shows it.
#[test]
#[ignore = "measures the cost of reading a stream"]
fn cost_of_reading_a_stream() {
    const EVENTS: u32 = 200_000;
    for data in [8, 64, 512] {
        let line = "x".repeat(data);
        let events = (0..EVENTS).map(|id| format!("id: {id}\ndata: {line}\n\n"));
        let events: Vec<String> = events.collect();
        let bytes: usize = events.iter().map(String::len).sum();
        let begun = Instant::now();
        let sequence = read(events.iter().map(String::as_bytes));
        let took = begun.elapsed();
        assert_eq!(sequence.events(), u64::from(EVENTS));
        let per_byte = took.as_secs_f64() * 1e9 / bytes as f64;
        println!("{data} bytes of data in each event: {per_byte:.2} ns per byte");
    }
}
