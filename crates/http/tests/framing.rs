//! Where the body of a response ends.

use courseshunt_http::{BodyFraming, EventSequence, announces_missing_body, is_event_stream};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode};

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = HeaderName::from_static(name);
        headers.append(name, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn only_a_length_or_chunks_mark_the_end_of_a_body() {
    let length = ("content-length", "3");
    let cases: [(&[(&str, &str)], BodyFraming); 7] = [
        (&[length], BodyFraming::Length),
        (&[("transfer-encoding", "chunked")], BodyFraming::Chunked),
        (
            &[("transfer-encoding", "gzip, Chunked")],
            BodyFraming::Chunked,
        ),
        (
            &[("transfer-encoding", "chunked"), length],
            BodyFraming::Chunked,
        ),
        (
            &[("transfer-encoding", "gzip"), length],
            BodyFraming::ConnectionClose,
        ),
        (&[("connection", "close")], BodyFraming::ConnectionClose),
        (&[], BodyFraming::ConnectionClose),
    ];
    for (lines, framing) in cases {
        let read = BodyFraming::of_response(&Method::POST, StatusCode::OK, &headers(lines));
        assert_eq!(read, framing, "{lines:?}");
    }
    for status in [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED] {
        let read = BodyFraming::of_response(&Method::POST, status, &HeaderMap::new());
        assert_eq!(read, BodyFraming::Length);
    }
    let to_head = BodyFraming::of_response(&Method::HEAD, StatusCode::OK, &HeaderMap::new());
    assert_eq!(to_head, BodyFraming::Length);
}

#[test]
fn an_event_stream_is_recognised_by_its_media_type() {
    for value in ["text/event-stream", "Text/Event-Stream; charset=utf-8"] {
        assert!(is_event_stream(&headers(&[("content-type", value)])));
    }
    for value in ["application/json", "text/event-stream-not"] {
        assert!(!is_event_stream(&headers(&[("content-type", value)])));
    }
    assert!(!is_event_stream(&HeaderMap::new()));
}

/// The texts with whether they end inside an event.
const STREAMS: [(&str, bool); 24] = [
    ("", false),
    ("\u{feff}", false),
    ("\u{feff}data: a\n\n", false),
    ("\u{feff}data: a\n", true),
    ("data: a\n\n", false),
    ("data: a\r\n\r\n", false),
    ("data: a\r\r", false),
    ("data: a\r\n\r", false),
    ("data: a\n\r\n", false),
    ("id: 1\ndata: a\n\ndata: b\n\n", false),
    ("data: a\n\n\n\n", false),
    ("data: a\n\n: comment\n", false),
    ("data: a\n\n: comm", false),
    ("data: a\n: comment\n\n", false),
    ("data: a\n: comment\n", true),
    ("d", true),
    ("data: a", true),
    ("data: a\n", true),
    ("data: a\r\n", true),
    ("data: a\r", true),
    ("id: 1\n", true),
    ("data: a\n\nid: 2", true),
    ("data: a\n\ndata: b\r\n", true),
    ("data: a\u{feff}\n", true),
];

#[test]
fn a_stream_ends_inside_an_event_until_an_empty_line() {
    for (text, is_inside) in STREAMS {
        let bytes = text.as_bytes();
        for split in 0..=bytes.len() {
            let mut sequence = EventSequence::default();
            for piece in [&bytes[..split], &bytes[split..]] {
                sequence.push(piece).expect("events in order");
            }
            assert_eq!(sequence.is_inside_event(), is_inside, "{text:?} at {split}");
        }
    }
}

/// Method, status and head of a response, and whether it announces a body that it does not have.
type AnnouncedBody<'a> = (Method, u16, &'a [(&'static str, &'static str)], bool);

/// Bytes behind a response without a body were taken for the next response.
#[test]
fn a_response_without_a_body_may_announce_one() {
    let length = ("content-length", "3");
    let chunks = ("transfer-encoding", "chunked");
    let none = ("content-length", "0");
    let cases: [AnnouncedBody<'_>; 9] = [
        (Method::POST, 204, &[length], true),
        (Method::POST, 204, &[chunks], true),
        (Method::POST, 204, &[none], false),
        (Method::POST, 204, &[], false),
        (Method::GET, 304, &[length], true),
        (Method::HEAD, 200, &[length], true),
        (Method::HEAD, 200, &[], false),
        (Method::GET, 200, &[length], false),
        (Method::POST, 200, &[chunks], false),
    ];
    for (method, code, lines, expected) in cases {
        let status = StatusCode::from_u16(code).expect("a status");
        let announced = announces_missing_body(&method, status, &headers(lines));
        assert_eq!(announced, expected, "{method} {code} {lines:?}");
    }
}
