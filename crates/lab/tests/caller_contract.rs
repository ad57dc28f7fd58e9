//! Contract of the callers' interface: bad input gets a clear error object,
//! runs nowhere, and disturbs no other request.

mod support;

use courseshunt_lab::site::Site;
use std::net::SocketAddr;
use support::{RawAnswer, TENANT_TOKEN, exchange, request, small_site};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";
const GOOD_BODY: &str =
    r#"{"model":"agro","max_tokens":4,"messages":[{"role":"user","content":"good"}]}"#;

/// One bad request and what it must get.
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    status: u16,
    code: &'static str,
}

fn token() -> String {
    format!("authorization: Bearer {TENANT_TOKEN}")
}

fn case(name: &'static str, bytes: Vec<u8>, status: u16, code: &'static str) -> Case {
    Case {
        name,
        bytes,
        status,
        code,
    }
}

fn body_case(name: &'static str, body: &[u8], status: u16, code: &'static str) -> Case {
    case(name, request("POST", CHAT, &[token()], body), status, code)
}

fn header_case(name: &'static str, header: &str, code: &'static str, status: u16) -> Case {
    let headers = [token(), header.to_owned()];
    let bytes = request("POST", CHAT, &headers, GOOD_BODY.as_bytes());
    case(name, bytes, status, code)
}

/// A request of which only the first part of the body is sent.
fn half_sent() -> Vec<u8> {
    let mut bytes = request("POST", CHAT, &[token()], GOOD_BODY.as_bytes());
    bytes.truncate(bytes.len() - 10);
    bytes
}

fn bodies() -> Vec<Case> {
    let nested = format!("{}{}", "[".repeat(5000), "]".repeat(5000));
    let large = vec![b' '; 1024 * 1024 + 1];
    let invalid = "invalid_request";
    vec![
        body_case("empty", b"", 400, invalid),
        body_case("no JSON", b"{\"model\": ", 400, invalid),
        body_case("no UTF-8", b"{\"model\": \"\xff\xfe\"}", 400, invalid),
        body_case("nested deeply", nested.as_bytes(), 400, invalid),
        body_case("no object", b"[1, 2]", 400, invalid),
        body_case("no model", b"{\"messages\": []}", 400, invalid),
        body_case(
            "model is a number",
            b"{\"model\":7,\"prompt\":\"x\"}",
            400,
            invalid,
        ),
        body_case("no prompt", b"{\"model\":\"agro\"}", 400, invalid),
        body_case(
            "no tokens wanted",
            b"{\"model\":\"agro\",\"prompt\":\"x\",\"max_tokens\":0}",
            400,
            invalid,
        ),
        body_case(
            "negative tokens",
            b"{\"model\":\"agro\",\"prompt\":\"x\",\"max_tokens\":-5}",
            400,
            invalid,
        ),
        body_case(
            "unknown model",
            b"{\"model\":\"none\",\"prompt\":\"x\"}",
            404,
            "unknown_model",
        ),
        body_case(
            "unknown adapter",
            b"{\"model\":\"agro:none\",\"prompt\":\"x\"}",
            404,
            "unknown_model",
        ),
        body_case(
            "model of another tenant",
            b"{\"model\":\"foreign\",\"prompt\":\"x\"}",
            404,
            "unknown_model",
        ),
        body_case("too long", &large, 413, "too_large"),
    ]
}

fn heads() -> Vec<Case> {
    let body = GOOD_BODY.as_bytes();
    let long = format!("x-long: {}", "a".repeat(40 * 1024));
    let invalid = "invalid_request";
    let never = "x-courseshunt-repeat: never";
    let long_key = format!("idempotency-key: {}", "k".repeat(300));
    let wrong = "authorization: Bearer wrong".to_owned();
    let no_bearer = "authorization: Basic abc".to_owned();
    vec![
        header_case("unknown class", "x-courseshunt-class: urgent", invalid, 400),
        header_case(
            "deadline is no number",
            "x-courseshunt-deadline-ms: soon",
            invalid,
            400,
        ),
        header_case("never without a key", never, invalid, 400),
        header_case(
            "unknown repeat rule",
            "x-courseshunt-repeat: twice",
            invalid,
            400,
        ),
        header_case("empty key", "idempotency-key: ", invalid, 400),
        header_case("long key", &long_key, invalid, 400),
        header_case("headers too long", &long, "headers_too_large", 431),
        case(
            "no token",
            request("POST", CHAT, &[], body),
            401,
            "unauthorized",
        ),
        case(
            "wrong token",
            request("POST", CHAT, &[wrong], body),
            401,
            "unauthorized",
        ),
        case(
            "other scheme",
            request("POST", CHAT, &[no_bearer], body),
            401,
            "unauthorized",
        ),
        case(
            "no such page",
            request("GET", "/v2/none", &[token()], b""),
            404,
            "not_found",
        ),
        case(
            "wrong method",
            request("GET", CHAT, &[token()], b""),
            405,
            "method_not_allowed",
        ),
        case("half sent", half_sent(), 408, "request_timeout"),
    ]
}

async fn good(address: SocketAddr) -> RawAnswer {
    exchange(
        address,
        &request("POST", CHAT, &[token()], GOOD_BODY.as_bytes()),
    )
    .await
}

fn check_refusal(case: &Case, answer: &RawAnswer) {
    let name = case.name;
    assert_eq!(answer.status, case.status, "{name}: {answer:?}");
    assert_eq!(answer.field("/error/code"), case.code, "{name}: {answer:?}");
    assert_eq!(answer.field("/error/type"), case.code, "{name}");
    assert_eq!(answer.field("/error/outcome"), "not-run", "{name}");
    assert!(!answer.field("/error/message").is_empty(), "{name}");
    assert_eq!(answer.header("x-courseshunt-outcome"), "not-run", "{name}");
    assert_eq!(answer.header("content-type"), "application/json", "{name}");
}

fn executions(site: &Site) -> usize {
    let counts = site.runners.iter().map(|runner| runner.executions().len());
    counts.sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_and_disturb_nothing() {
    let site = small_site().await;
    let address = site.routers[0].http_address;
    assert_eq!(good(address).await.status, 200);
    let mut answered = 1;
    for case in bodies().iter().chain(&heads()) {
        let (answer, neighbour) = tokio::join!(exchange(address, &case.bytes), good(address));
        check_refusal(case, &answer);
        assert_eq!(neighbour.status, 200, "beside {}: {neighbour:?}", case.name);
        answered += 1;
    }
    assert_eq!(executions(&site), answered, "only the good requests ran");
    site.stop().await;
}

/// What is no HTTP at all gets no error object; the connection closes and
/// nothing else notices.
#[tokio::test(flavor = "multi_thread")]
async fn broken_connections_disturb_nothing() {
    let site = small_site().await;
    let address = site.routers[0].http_address;
    let endless = format!(
        "GET / HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "a".repeat(300 * 1024)
    );
    let cases: [(&str, &[u8], u16); 4] = [
        (
            "no HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n",
            400,
        ),
        ("unknown version", b"GET / HTTP/9.9\r\n\r\n", 400),
        (
            "two lengths",
            b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
            400,
        ),
        ("headers beyond the buffer", endless.as_bytes(), 431),
    ];
    for (name, bytes, status) in cases {
        let answer = exchange(address, bytes).await;
        assert_eq!(answer.status, status, "{name}: {answer:?}");
        assert_eq!(good(address).await.status, 200, "after {name}");
    }
    for length in [1, 20, half_sent().len()] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&half_sent()[..length]).await.unwrap();
        drop(stream);
        assert_eq!(good(address).await.status, 200, "after a cut at {length}");
    }
    let done = executions(&site);
    assert_eq!(done, 7, "only the good requests ran");
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn good_requests_have_the_documented_form() {
    let site = small_site().await;
    let address = site.routers[0].http_address;
    let whole = good(address).await;
    assert_eq!(whole.status, 200);
    assert_eq!(whole.header("x-courseshunt-outcome"), "done");
    assert!(whole.header("x-request-id").starts_with("req-"));
    assert!(!whole.field("/choices/0/message/content").is_empty());

    let body = GOOD_BODY.replace("\"max_tokens\"", "\"stream\":true,\"max_tokens\"");
    let stream = exchange(address, &request("POST", CHAT, &[token()], body.as_bytes())).await;
    assert_eq!(stream.header("content-type"), "text/event-stream");
    let events = stream.body.matches("data: {").count();
    assert_eq!(events, 4, "{stream:?}");
    assert!(stream.body.contains("data: [DONE]"), "{stream:?}");

    let models = exchange(address, &request("GET", "/v1/models", &[token()], b"")).await;
    assert_eq!(models.field("/data/0/id"), "agro");
    assert!(!models.body.contains("foreign"));
    site.stop().await;
}
