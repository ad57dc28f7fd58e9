//! Times that peers name in `Retry-After`, sound and odd ones.

use courseshunt_http::{RetryAfter, read_retry_after};
use courseshunt_types::Millis;
use hyper::header::{DATE, HeaderMap, HeaderValue, RETRY_AFTER};
use std::time::{Duration, SystemTime};

const HOUR: Millis = Millis::from_secs(3_600);

fn read(values: &[&str], date: Option<&str>) -> RetryAfter {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(
            RETRY_AFTER,
            HeaderValue::from_bytes(value.as_bytes()).expect("a value"),
        );
    }
    if let Some(date) = date {
        headers.insert(DATE, HeaderValue::from_str(date).expect("a date"));
    }
    // Sun, 06 Nov 1994 08:49:37 GMT.
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
    read_retry_after(&headers, now)
}

#[test]
fn seconds_are_read_with_fractions_and_bounded() {
    let cases = [
        ("3", Millis(3_000)),
        (" 2.4 ", Millis(2_400)),
        ("0.0004", Millis(1)),
        ("0", Millis(0)),
        ("31536000", HOUR),
        ("18446744073709551616", HOUR),
        ("1e308", HOUR),
    ];
    for (text, expected) in cases {
        assert_eq!(read(&[text], None), RetryAfter::After(expected), "{text}");
    }
}

#[test]
fn what_is_no_time_is_told_apart_from_nothing() {
    assert_eq!(read(&[], None), RetryAfter::Absent);
    for text in ["-5", "NaN", "inf", "1e400", "soon", "", "3 s", "\u{e9}"] {
        assert_eq!(read(&[text], None), RetryAfter::Unreadable, "{text}");
    }
}

#[test]
fn a_date_is_read_by_the_clock_of_its_sender() {
    let date = "Sun, 06 Nov 1994 08:49:40 GMT";
    assert_eq!(read(&[date], None), RetryAfter::After(Millis(3_000)));
    let behind = "Sun, 06 Nov 1994 08:49:30 GMT";
    assert_eq!(
        read(&[date], Some(behind)),
        RetryAfter::After(Millis(10_000))
    );
    let past = "Sun, 06 Nov 1994 08:00:00 GMT";
    assert_eq!(read(&[past], None), RetryAfter::After(Millis(0)));
    let far = "Sat, 06 Nov 2094 08:49:37 GMT";
    assert_eq!(read(&[far], None), RetryAfter::After(HOUR));
}

#[test]
fn of_several_times_the_longest_counts() {
    assert_eq!(
        read(&["1", "x", "4", "2"], None),
        RetryAfter::After(Millis(4_000))
    );
    assert_eq!(read(&["x", "1"], None), RetryAfter::After(Millis(1_000)));
}
