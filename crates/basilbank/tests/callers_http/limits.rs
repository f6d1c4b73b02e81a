//! Limits of sizes, times and numbers.

use std::time::Duration;

use basilbank_config::ApiLimits;

use crate::edge::{Edge, WHOLE, config};

fn limited(change: impl Fn(&mut ApiLimits)) -> Edge {
    let mut limits = ApiLimits::default();
    change(&mut limits);
    Edge::start(config().with_limits(limits))
}

/// Symptom: a few slow clients take all connections. Sequence: one caller sends half a header and
/// then nothing; others call meanwhile. Cause: no limit on the time for headers, or one that holds up
/// other connections.
#[test]
fn a_slow_header_is_cut_off_while_others_are_served() {
    let edge = limited(|l| l.header_timeout = Duration::from_secs(1));
    let mut slow = edge.client();
    slow.send("POST /v1/chat/completions HTTP/1.1\r\nHost: te");
    for _ in 0..5 {
        let mut client = edge.client();
        let caller = edge.begin(&mut client, WHOLE);
        edge.done(caller, 0);
        assert_eq!(client.head().status, 200);
    }
    let head = slow.refused(408, "slow_header");
    assert_eq!(head.get("connection"), Some("close"));
    assert_eq!(head.get("x-outcome"), Some("not-run"));
    assert!(slow.is_closed());
    assert_eq!(edge.refused(), ["slow_header"]);
}

#[test]
fn an_idle_connection_is_closed_without_a_word() {
    let edge = limited(|l| l.header_timeout = Duration::from_secs(1));
    let mut client = edge.client();
    let caller = edge.begin(&mut client, WHOLE);
    edge.done(caller, 0);
    client.answer();
    client.send("\r\n");
    assert!(client.is_closed());
    assert_eq!(edge.refused(), [""; 0]);
}

#[test]
fn a_slow_body_is_cut_off() {
    let edge = limited(|l| l.body_timeout = Duration::from_millis(100));
    let mut client = edge.client();
    client.send("POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-a\r\n");
    client.send("Content-Length: 50\r\n\r\n{");
    client.refused(408, "slow_body");
    assert!(client.is_closed());
    assert_eq!(edge.refused(), ["slow_body"]);
}

/// Symptom: the caller sees a broken connection and can't know why. Sequence: it sends a body over
/// the limit and reads the answer only then. Cause: a server that closes its socket with bytes
/// unread, which resets the connection before the answer was read.
#[test]
fn an_oversized_body_is_refused_while_it_is_sent() {
    let edge = limited(|l| l.max_body_bytes = 1000);
    let mut client = edge.client();
    client.post("/v1/completions", "", &"x".repeat(2 << 20));
    client.refused(413, "too_large");
    let mut client = edge.client();
    client.send("POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-a\r\n");
    client.send("Transfer-Encoding: chunked\r\n\r\n7d0\r\n");
    client.send(&"x".repeat(2000));
    assert_eq!(client.head().status, 413);
    assert_eq!(edge.refused(), ["too_large"; 2]);
}

#[test]
fn oversized_headers_are_refused() {
    let edge = limited(|l| l.max_header_bytes = 1000);
    let mut client = edge.client();
    client.post("/v1/completions", &format!("X-Long: {}\r\n", "x".repeat(1000)), "{}");
    client.refused(431, "headers_too_large");
    let mut client = edge.client();
    client.post("/v1/completions", &format!("X-Long: {}\r\n", "x".repeat(5000)), "{}");
    assert_eq!(client.head().status, 431);
    assert!(client.is_closed());
    assert_eq!(edge.refused(), ["headers_too_large"; 2]);
}

#[test]
fn connections_over_the_limit_are_told_so() {
    let edge = limited(|l| l.max_connections = 1);
    let mut first = edge.client();
    let caller = edge.begin(&mut first, WHOLE);
    let mut second = edge.client();
    let head = second.refused(503, "connections");
    assert_eq!(head.get("retry-after"), Some("1"));
    assert!(second.is_closed());
    edge.done(caller, 0);
    assert_eq!(first.head().status, 200);
    assert_eq!(edge.refused(), ["connections"]);
}
