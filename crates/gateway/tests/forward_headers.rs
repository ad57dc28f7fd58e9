//! Instructions and outcomes of forwarded requests on the wire, with bad input.

use courseshunt_gateway::forwarding::headers::{
    ForwardInstruction, ForwardOutcome, take_framing, write_framing,
};
use courseshunt_http::BodyFraming;
use courseshunt_types::{Millis, RunnerId};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

fn instruction(tenant: Option<&str>) -> ForwardInstruction {
    ForwardInstruction {
        instance: RunnerId::from("i-1"),
        time_left: Millis(1_234),
        priority: 2,
        tenant: tenant.map(str::to_owned),
    }
}

fn written(instruction: &ForwardInstruction) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-kept", HeaderValue::from_static("1"));
    instruction.write(&mut headers);
    headers
}

#[test]
fn an_instruction_is_read_as_written_and_removed_from_the_headers() {
    for tenant in [None, Some("t-1")] {
        let mut headers = written(&instruction(tenant));
        let taken = ForwardInstruction::take(&mut headers);
        assert_eq!(taken, Ok(instruction(tenant)));
        assert_eq!(headers.len(), 1, "{headers:?}");
    }
}

#[test]
fn headers_that_a_client_sent_are_replaced() {
    let mut headers = HeaderMap::new();
    for name in ["instance", "time-left-ms", "priority", "tenant"] {
        let name = format!("courseshunt-forward-{name}");
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        headers.append(name.clone(), HeaderValue::from_static("9"));
        headers.append(name, HeaderValue::from_static("8"));
    }
    instruction(None).write(&mut headers);
    assert_eq!(
        ForwardInstruction::take(&mut headers),
        Ok(instruction(None))
    );
    assert!(headers.is_empty(), "{headers:?}");
}

#[test]
fn a_malformed_instruction_is_rejected_with_the_header() {
    let cases: [(&str, &[u8]); 7] = [
        ("instance", b""),
        ("instance", b"\xff"),
        ("time-left-ms", b"soon"),
        ("time-left-ms", b"-1"),
        ("time-left-ms", b"99999999999999999999999"),
        ("priority", b"256"),
        ("tenant", b"\xff"),
    ];
    for (name, value) in cases {
        let name = format!("courseshunt-forward-{name}");
        let mut headers = written(&instruction(Some("t-1")));
        let value = HeaderValue::from_bytes(value).expect("a value");
        headers.insert(
            HeaderName::from_bytes(name.as_bytes()).expect("a name"),
            value,
        );
        let error = ForwardInstruction::take(&mut headers).expect_err("it is malformed");
        assert!(error.to_string().contains(&name), "{error}");
    }
    let missing = ForwardInstruction::take(&mut HeaderMap::new());
    assert!(missing.is_err());
}

#[test]
fn an_outcome_is_read_as_written_and_an_unknown_one_may_have_run() {
    let outcomes = [
        ForwardOutcome::Unreachable,
        ForwardOutcome::PathLost,
        ForwardOutcome::NotAccepting,
        ForwardOutcome::Busy,
        ForwardOutcome::Rejected,
        ForwardOutcome::MayHaveRun,
        ForwardOutcome::NotFinal,
    ];
    for outcome in outcomes {
        let mut headers = HeaderMap::new();
        outcome.write(&mut headers);
        assert_eq!(ForwardOutcome::read(&headers), Some(outcome));
        ForwardOutcome::remove(&mut headers);
        assert_eq!(ForwardOutcome::read(&headers), None);
    }
    let mut headers = HeaderMap::new();
    headers.insert(
        "courseshunt-forward-outcome",
        HeaderValue::from_static("new"),
    );
    assert_eq!(
        ForwardOutcome::read(&headers),
        Some(ForwardOutcome::MayHaveRun)
    );
}

#[test]
fn the_framing_of_a_forwarded_response_is_the_instances() {
    for framing in [
        BodyFraming::Length,
        BodyFraming::Chunked,
        BodyFraming::ConnectionClose,
    ] {
        let mut headers = HeaderMap::new();
        let forged = HeaderValue::from_static("length");
        headers.insert("courseshunt-forward-framing", forged);
        headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
        write_framing(&mut headers, framing);
        assert_eq!(take_framing(&mut headers), framing);
        assert_eq!(headers.len(), 1, "{headers:?}");
    }
}

/// A forwarder of an earlier build relays an unframed response in chunks of its own.
#[test]
fn chunks_of_a_forwarder_that_states_no_framing_do_not_count_as_the_instances() {
    let cases = [
        ("transfer-encoding", "chunked", BodyFraming::ConnectionClose),
        ("content-length", "3", BodyFraming::Length),
    ];
    for (name, value, framing) in cases {
        for stated in [None, Some("another")] {
            let mut headers = HeaderMap::new();
            headers.insert(name, HeaderValue::from_static(value));
            let stated = stated.map(HeaderValue::from_static);
            if let Some(stated) = stated {
                headers.insert("courseshunt-forward-framing", stated);
            }
            assert_eq!(take_framing(&mut headers), framing);
        }
    }
}
