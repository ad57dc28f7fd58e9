//! Events of an event stream, the ids that they state, and the order of these ids.

use courseshunt_http::{EventSequence, IdBefore, MAX_EVENT_ID_BYTES, OutOfOrder};
use std::time::Instant;

/// What is expected of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Expected {
    events: u64,
    first: Option<&'static str>,
    last: Option<&'static str>,
    gaps: u64,
}

const fn ids(events: u64, first: &'static str, last: &'static str) -> Expected {
    Expected {
        events,
        first: Some(first),
        last: Some(last),
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

const fn with_gaps(expected: Expected, gaps: u64) -> Expected {
    Expected { gaps, ..expected }
}

#[rustfmt::skip]
const STREAMS: [(&str, Expected); 31] = [
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
    ("id: 1\n\nid: 3\n\nid: 10\n\n", with_gaps(ids(3, "1", "10"), 2)),
    ("id: 9\n\nid: 10\n\n", ids(2, "9", "10")),
    ("id: 0\n\nid: 18446744073709551615\n\n", with_gaps(ids(2, "0", "18446744073709551615"), 1)),
    // Ids that are no whole numbers are not judged.
    ("id: b\n\nid: a\n\nid: a\n\n", ids(3, "b", "a")),
    ("id: 2\n\nid: x\n\nid: 3\n\n", ids(3, "2", "3")),
    ("id: 2\n\nid: +1\n\nid: -1\n\nid: 1.5\n\nid: 1 \n\n", ids(5, "2", "1 ")),
    ("id: 2\n\nid: 18446744073709551616\n\nid: 3\n\n", ids(3, "2", "3")),
];

/// A stream with an event that is out of order.
struct Unordered {
    /// The stream up to this event, and from it on.
    parts: [&'static str; 2],
    /// What counts of the first part.
    expected: Expected,
    id: u64,
    before: u64,
}

const fn unordered(
    parts: [&'static str; 2],
    expected: Expected,
    id: u64,
    before: u64,
) -> Unordered {
    Unordered {
        parts,
        expected,
        id,
        before,
    }
}

#[rustfmt::skip]
const UNORDERED: [Unordered; 10] = [
    unordered(["id: 1\n\n", "id: 1\n\n"], ids(1, "1", "1"), 1, 1),
    unordered(["id: 3\n\n", "id: 2\n\nid: 1\n\n"], ids(1, "3", "3"), 2, 3),
    unordered(["id: 4\n\nid: 5\n\n", "id: 1\n\nid: 2\n\n"], ids(2, "4", "5"), 1, 5),
    unordered(["id: 1\n\nid: 7\n\n", "data: a\nid: 2\ndata: b\n\n"], with_gaps(ids(2, "1", "7"), 1), 2, 7),
    unordered(["id: 10\n\n", "id: 9\n\n"], ids(1, "10", "10"), 9, 10),
    unordered(["id: 2\n\nid: x\n\n", "id: 1\n\n"], ids(2, "2", "x"), 1, 2),
    unordered(["id: 2\r\n\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"], ids(2, "2", "2"), 2, 2),
    unordered(["\u{feff}id: 2\r\r: comment\r", "event: a\rid: 2\r\r"], ids(1, "2", "2"), 2, 2),
    unordered(["id: 18446744073709551615\n\n", "id: 0\n\n"], ids(1, "18446744073709551615", "18446744073709551615"), 0, u64::MAX),
    // The last id of an event counts.
    unordered(["id: 2\n\n", "id: 1\nid: 2\n\n"], ids(1, "2", "2"), 2, 2),
];

fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> EventSequence {
    let mut sequence = EventSequence::default();
    for piece in pieces {
        sequence.push(piece).expect("events in order");
    }
    sequence
}

/// The bytes that precede an event that is out of order, and the error.
fn read_unordered<'a>(
    sequence: &mut EventSequence,
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> (Vec<u8>, OutOfOrder) {
    let mut passed_on = Vec::new();
    for piece in pieces {
        match sequence.push(piece) {
            Ok(()) => passed_on.extend_from_slice(piece),
            Err(cause) => {
                passed_on.extend_from_slice(&piece[..cause.preceding_bytes]);
                return (passed_on, cause);
            }
        }
    }
    panic!("all events are in order: {sequence:?}");
}

fn assert_is(sequence: &EventSequence, expected: Expected, text: &str) {
    assert_eq!(sequence.events(), expected.events, "{text:?}");
    assert_eq!(sequence.first_id().as_deref(), expected.first, "{text:?}");
    assert_eq!(sequence.last_id().as_deref(), expected.last, "{text:?}");
    assert_eq!(sequence.gaps(), expected.gaps, "{text:?}");
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
fn an_event_that_is_out_of_order_and_what_follows_it_do_not_count() {
    for stream in &UNORDERED {
        let text = stream.parts.concat();
        let mut sequence = EventSequence::default();
        let (passed_on, cause) = read_unordered(&mut sequence, [text.as_bytes()]);
        assert_eq!(passed_on, stream.parts[0].as_bytes(), "{text:?}");
        assert_eq!(cause.id, stream.id, "{text:?}");
        assert_eq!(cause.before, IdBefore::Event(stream.before), "{text:?}");
        assert_is(&sequence, stream.expected, &text);
        assert_eq!(sequence.ids_out_of_order(), 1, "{text:?}");
    }
}

/// What is passed on is in order and holds the same events, wherever the stream is split; an event
/// whose beginning was passed on stays without its end.
#[test]
fn an_event_that_is_out_of_order_is_not_passed_on_wherever_a_stream_is_split() {
    for stream in &UNORDERED[..UNORDERED.len() - 1] {
        let text = stream.parts.concat();
        let bytes = text.as_bytes();
        let splits = (0..=bytes.len()).map(|split| bytes.split_at(split));
        let splits = splits.map(|(first, second)| vec![first, second]);
        let pieces = (1..=bytes.len()).map(|length| bytes.chunks(length).collect());
        for pieces in splits.chain(pieces) {
            let mut sequence = EventSequence::default();
            let (passed_on, cause) = read_unordered(&mut sequence, pieces);
            assert_eq!(cause.id, stream.id, "{text:?}");
            assert_eq!(cause.before, IdBefore::Event(stream.before), "{text:?}");
            assert_is(&sequence, stream.expected, &text);
            assert!(bytes.starts_with(&passed_on), "{text:?}");
            assert!(passed_on.len() >= stream.parts[0].len() - 1, "{text:?}");
            assert_is(&read([passed_on.as_slice()]), stream.expected, &text);
        }
    }
}

/// Bytes that are passed on can't be taken back, so that an event that goes on behind them is judged
/// by what it states so far.
#[test]
fn an_event_is_judged_by_the_last_id_of_the_bytes_that_arrived() {
    let events = b"id: 2\n\nid: 2\nid: 3\n\n";
    assert_is(&read([&events[..]]), ids(2, "2", "3"), "whole");
    let (first, second) = events.split_at(13);
    let mut sequence = EventSequence::default();
    let (passed_on, cause) = read_unordered(&mut sequence, [first, second]);
    assert_eq!((passed_on.as_slice(), cause.id), (&events[..7], 2));
}

#[test]
fn a_stream_that_is_resumed_goes_on_behind_the_last_event() {
    for first in ["id: 7", "id: 6", "id: 1"] {
        let text = format!("{first}\n\nid: 8\n\n");
        let mut sequence = EventSequence::resuming("7");
        let (passed_on, cause) = read_unordered(&mut sequence, [text.as_bytes()]);
        assert!(passed_on.is_empty());
        assert_eq!(cause.before, IdBefore::Resumption(7));
    }
    let sound = [
        ("7", 8, 0),
        ("7", 9, 1),
        ("x", 1, 0),
        ("", 1, 0),
        ("+7", 1, 0),
    ];
    for (last_event_id, first, gaps) in sound {
        let mut sequence = EventSequence::resuming(last_event_id);
        let text = format!("id: {first}\n\n");
        assert_eq!(sequence.push(text.as_bytes()), Ok(()), "{last_event_id}");
        assert_eq!(sequence.gaps(), gaps, "{last_event_id}");
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
    assert_eq!(sequence.ids_out_of_order(), 0);
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
