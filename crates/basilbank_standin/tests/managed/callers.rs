//! What callers may send, and what goes on to endpoints.

use std::{io::Write, net::TcpStream, thread, time::Duration};

use basilbank_standin::managed::{Misdeed, call, exchange};
use test_case::test_case;

use crate::support::{eventually, plain, stream_of, world};

#[test]
fn a_call_goes_on_unchanged_and_so_does_its_answer() {
    let world = world();
    let headers = [
        ("host", "shop.example"),
        ("x-attempt-id", "a7"),
        ("x-deadline-remaining", "3000"),
        ("x-own", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
    ];
    let answer = call(world.callers(0), "POST /stock/a%20b?q=1&r=%2F", &headers, b"order");
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.header("x-server-seal"), Some("seal"));
    assert!(answer.text().starts_with("POST /stock/a%20b?q=1&r=%2F by plain-"));
    let ran: Vec<_> = world.plain.iter().flat_map(|e| e.served().ran).collect();
    assert_eq!(ran.len(), 1);
    assert_eq!(ran[0].body, b"order");
    assert_eq!(ran[0].header("x-attempt-id"), Some("a7"));
    assert_eq!(ran[0].header("x-own"), Some("kept"));
    assert_eq!(ran[0].header("x-hop"), None);
    let left: u64 = ran[0].header("x-deadline-remaining").and_then(|v| v.parse().ok()).unwrap_or(0);
    assert!((1..=3000).contains(&left), "{left}");
}

/// Symptom: an endpoint took another request's KV cache.
/// Sequence: a caller sent a header that is the router's to set.
/// Cause: all headers were passed on.
#[test_case("x-kv-source", "10.0.0.1:1/abc")]
#[test_case("x-kv-hold", "h")]
#[test_case("x-stage", "prefill")]
#[test_case("x-pin-ms", "4000")]
#[test_case("x-kv-backup", "10.0.0.1:1")]
#[test_case("kv-fetch", "10.0.0.1:1")]
#[test_case("x-request-priority", "0")]
#[test_case("x-expect-version", "1")]
fn headers_of_the_router_are_not_taken_from_callers(name: &str, value: &str) {
    let world = world();
    let headers = [("host", "shop.example"), ("x-attempt-id", "a1"), (name, value)];
    let answer = call(world.callers(0), "GET /sheet/1", &headers, b"").expect("an answer");
    assert_eq!(answer.status, 200);
    let ran: Vec<_> = world.plain.iter().flat_map(|e| e.served().ran).collect();
    assert_eq!(ran[0].header(name), None);
}

#[test_case("GET /nowhere/1", &[("host", "shop.example"), ("x-attempt-id", "a")], 404; "no route")]
#[test_case("GET /sheet/1", &[("host", "other.example"), ("x-attempt-id", "a")], 404; "no host's route")]
#[test_case("GET /sheet/1", &[("host", "shop.example")], 400; "no id")]
#[test_case("GET /sheet/1", &[("x-attempt-id", "a")], 400; "no host")]
#[test_case("GET /sheet/1", &[("host", "shop.example"), ("x-attempt-id", "a"), ("x-deadline-remaining", "soon")], 400; "no number")]
#[test_case("POST /draft/1", &[("host", "shop.example"), ("x-attempt-id", "a"), ("x-token-counts", "many")], 400; "no counts")]
fn a_wrong_request_gets_one_clear_answer(line: &str, headers: &[(&str, &str)], status: u16) {
    let world = world();
    let answer = call(world.callers(0), line, headers, b"").expect("an answer");
    assert_eq!(answer.status, status);
    assert!(answer.text().contains("error"), "{}", answer.text());
    let metrics = call(world.ready(0), "GET /metrics", &[], b"").expect("metrics").text();
    assert!(metrics.contains("basilbank_forward_refused_total{reason="), "{metrics}");
    assert!(world.plain.iter().all(|e| e.served().ran.is_empty()));
}

#[test]
fn a_body_beyond_the_limit_is_refused() {
    let world = world();
    let answer = plain(world.callers(0), "POST /stock/1", &[b'x'; 70_000]);
    assert_eq!(answer.status, 413);
}

#[test]
fn a_head_beyond_the_limit_is_refused() {
    let world = world();
    let long = "x".repeat(40_000);
    let headers = [("host", "shop.example"), ("x-attempt-id", "a"), ("x-long", long.as_str())];
    let answer = call(world.callers(0), "GET /sheet/1", &headers, b"").expect("an answer");
    assert_eq!(answer.status, 431);
}

/// Symptom: an endpoint ran a request that no caller had sent.
/// Sequence: a request had both a length and chunks, and a second request in what one of them covers.
/// Cause: the two ends disagreed on where the first request ends.
#[test_case("content-length: 6\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /sheet/9 HTTP/1.1\r\n\r\n"; "length and chunks")]
#[test_case("transfer-encoding: chunked\r\n\r\nzz\r\nGET /sheet/9 HTTP/1.1\r\n\r\n"; "no chunk")]
#[test_case("content-length: 3\r\ncontent-length: 30\r\n\r\nabcGET /sheet/9 HTTP/1.1\r\n\r\n"; "two lengths")]
fn a_smuggled_request_is_not_run(rest: &str) {
    let world = world();
    let stream = TcpStream::connect(world.callers(0)).expect("a connection");
    let head = "POST /stock/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: a1\r\n";
    // Either an answer or a closed connection is right.
    let _ = exchange(&stream, format!("{head}{rest}").as_bytes());
    let ran: Vec<_> = world.plain.iter().flat_map(|e| e.served().ran).collect();
    assert!(ran.iter().all(|request| !request.target.contains('9')), "{ran:?}");
}

#[test]
fn one_connection_serves_many_requests() {
    let world = world();
    let stream = TcpStream::connect(world.callers(0)).expect("a connection");
    for n in 0..5 {
        let text =
            format!("GET /sheet/{n} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: a{n}\r\n\r\n");
        let answer = exchange(&stream, text.as_bytes()).expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("x-attempt-id"), Some(format!("a{n}").as_str()));
    }
}

/// Symptom: endpoints worked for callers that had left.
/// Sequence: a caller closed its connection while its call was at an endpoint.
/// Cause: the endpoint's connection stayed open.
#[test]
fn a_caller_that_leaves_ends_its_stream_at_the_endpoint() {
    let world = world();
    let mut stream = TcpStream::connect(world.callers(0)).expect("a connection");
    let text = "POST /draft/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: d\r\n\
                x-token-counts: 1000,100000\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(text.as_bytes()).expect("sent");
    let running = || world.model.iter().any(|e| !e.served().ran.is_empty());
    eventually("the draft runs", running);
    thread::sleep(Duration::from_millis(20));
    drop(stream);
    eventually("the endpoint sees it", || world.model.iter().any(|e| e.served().abandoned == 1));
}

#[test]
fn a_call_that_takes_too_long_is_answered_in_time() {
    let world = world();
    for endpoint in &world.plain {
        endpoint.misbehave(Misdeed::Silent);
    }
    let headers =
        [("host", "shop.example"), ("x-attempt-id", "a1"), ("x-deadline-remaining", "400")];
    let answer = call(world.callers(0), "POST /stock/1", &headers, b"x").expect("an answer");
    assert_eq!(answer.status, 504, "it may have run: nothing may promise that it has not");
}

#[test]
fn a_head_that_does_not_end_is_answered_and_counted() {
    let world = world();
    let stream = TcpStream::connect(world.callers(0)).expect("a connection");
    let answer = exchange(&stream, b"GET /sheet/1 HTTP/1.1\r\nhost: shop").expect("an answer");
    assert_eq!((answer.status, answer.whole), (408, true));
    assert_eq!(answer.text(), "{\"error\":\"slow_header\"}\n");
    let metrics = call(world.ready(0), "GET /metrics", &[], b"").expect("metrics").text();
    assert!(metrics.contains("refused_total{reason=\"slow_header\"} 1"), "{metrics}");
}

/// Guards against a daemon that ends by the sum of a clock and a caller's time.
#[test]
fn the_longest_time_that_a_caller_can_name_is_no_fault() {
    let world = world();
    let headers = [
        ("host", "shop.example"),
        ("x-attempt-id", "long"),
        ("x-deadline-remaining", "18446744073709551615"),
        ("x-token-counts", "1000,8"),
        ("x-prompt-prefix", "abc:1000"),
    ];
    let stream = call(world.callers(0), "POST /draft/long", &headers, b"x").expect("an answer");
    assert_eq!((stream.status, stream.text()), (200, stream_of(8)));
    let plain = call(world.callers(0), "GET /sheet/long", &headers[..3], b"").expect("an answer");
    assert_eq!(plain.status, 200);
}
