//! Answers in one piece.

use basilbank_core::prelude::*;

use crate::edge::{Edge, REQUEST, WHOLE};

#[test]
fn a_whole_answer_has_its_text_and_usage() {
    let (edge, mut client) = Edge::open();
    let caller = edge.begin(&mut client, WHOLE);
    assert_eq!(edge.callers.draft(caller).unwrap().prompt, "user: hi\nassistant:");
    edge.locate(caller, "s1", 0);
    edge.token(caller, 0, "Good ");
    edge.token(caller, 1, "day");
    edge.done(caller, 2);
    let head = client.head();
    assert_eq!((head.status, head.get("x-request-id")), (200, Some(REQUEST)));
    let expected = r#"{"id":"chatcmpl-0000000000000001","object":"chat.completion","created":1700000000,"model":"writer","choices":[{"index":0,"message":{"role":"assistant","content":"Good day"},"logprobs":null,"finish_reason":"stop"}],"usage":{"prompt_tokens":7,"completion_tokens":2,"total_tokens":9,"prompt_tokens_details":{"cached_tokens":3}}}"#;
    assert_eq!(client.body(&head), expected);
    assert!(edge.callers.is_empty());
}

/// Symptom: half an answer, or an error in the shape of a success. Sequence: tokens have come, then
/// the decode endpoint dies and the core gives up. Cause: a server that has sent its status with the
/// first token. A status of 502 proves that nothing was sent before.
#[test]
fn a_whole_answer_is_not_begun_before_its_outcome() {
    let (edge, mut client) = Edge::open();
    let caller = edge.begin(&mut client, WHOLE);
    edge.token(caller, 0, "Good ");
    edge.say(caller, Answer::Unknown);
    let head = client.refused(502, "unknown");
    assert_eq!(head.get("x-outcome"), Some("unknown"));
}

#[test]
fn one_connection_carries_several_calls() {
    let (edge, mut client) = Edge::open();
    for _ in 0..3 {
        let caller = edge.begin(&mut client, WHOLE);
        edge.done(caller, 0);
        let head = client.head();
        assert_eq!(head.status, 200);
        client.body(&head);
    }
}
