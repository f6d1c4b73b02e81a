//! Callers that leave are noticed at every step.

use std::time::Duration;

use basilbank::callers::Delivery;
use basilbank_config::ApiLimits;
use basilbank_core::prelude::*;
use test_case::test_case;

use crate::edge::{Edge, STREAM, WHOLE, config};

/// Symptom: a slot stays taken by a request that nobody waits for. Sequence: a request is accepted
/// and queued, or its tokens are being collected; its caller disconnects. Cause: a server that looks
/// at its socket only when it writes; or one that stops looking once there are bytes after the
/// request, as there are when a client ends its body with a line break.
#[test_case(STREAM, 0, ""; "queued for a stream")]
#[test_case(WHOLE, 0, ""; "queued for a whole answer")]
#[test_case(WHOLE, 2, ""; "while a whole answer is collected")]
#[test_case(WHOLE, 0, "\r\n"; "with a line break after the body")]
#[test_case(STREAM, 0, "GET /v1/models HTTP/1.1\r\n"; "with half a request after the first")]
fn a_caller_that_leaves_before_its_answer_is_noticed(body: &str, tokens: u32, beyond: &str) {
    let (edge, mut client) = Edge::open();
    client.post_with("/v1/chat/completions", "", body, beyond);
    let caller = edge.arrived().caller;
    edge.accept(caller);
    for offset in 0..tokens {
        edge.token(caller, offset, "text");
    }
    drop(client);
    assert_eq!(edge.left(), caller);
    assert!(edge.callers.is_empty());
}

/// Symptom: a decode goes on to its last token for nobody. Sequence: a stream has begun and the next
/// token is slow; the caller disconnects. Cause: a departure that shows only at a failing write.
#[test]
fn a_caller_that_leaves_between_tokens_is_noticed() {
    let (edge, mut client) = Edge::open();
    let caller = edge.stream(&mut client);
    drop(client);
    assert_eq!(edge.left(), caller);
    assert_eq!(edge.callers.answer(caller, Answer::Unknown), Delivery::Gone);
}

#[test]
fn a_caller_that_leaves_a_plain_call_is_noticed() {
    let (edge, mut client) = Edge::open();
    client.post("/desk/orders", "X-Repeatable: false\r\n", "one worktop");
    let call = edge.arrived();
    assert_eq!(call.repeatable, Some(false));
    edge.accept(call.caller);
    drop(client);
    assert_eq!(edge.left(), call.caller);
    assert!(edge.callers.is_empty());
}

/// Symptom: a request runs whose body was never whole. Sequence: a caller sends half of its body and
/// disconnects; another one calls. Cause: a server that takes the end of a connection for the end of
/// a body.
#[test]
fn a_caller_that_leaves_within_its_body_is_never_heard_of() {
    let (edge, mut client) = Edge::open();
    client.send("POST /desk/orders HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-a\r\n");
    client.send("Content-Length: 11\r\n\r\none w");
    drop(client);
    let mut client = edge.client();
    client.post("/desk/other", "", "");
    let call = edge.arrived();
    assert!(
        matches!(&call.kind, CallKind::Plain(plain) if plain.path == "/desk/other"),
        "{call:?}"
    );
}

/// Symptom: a connection and its request stay open for ever. Sequence: a stream has begun; the caller
/// stays connected but stops reading, so the buffers on the way fill up. Cause: TCP never gives up on
/// a closed window.
#[test]
fn a_caller_that_stops_reading_is_cut_off() {
    let limits = ApiLimits { max_backlog_tokens: 64, ..ApiLimits::default() };
    let config = config().with_limits(limits).with_write_timeout(Duration::from_millis(100));
    let edge = Edge::start(config);
    let mut client = edge.client();
    let caller = edge.begin(&mut client, STREAM);
    let text = "x".repeat(1 << 16);
    let tokens = |offset| Answer::Tokens { offset, texts: vec![text.clone()] };
    let sent =
        (0..10_000).take_while(|n| edge.callers.answer(caller, tokens(*n)) == Delivery::Sent);
    assert!(sent.count() < 10_000);
    assert_eq!(edge.left(), caller);
    drop(client);
}
