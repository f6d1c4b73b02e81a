//! Streamed answers.

use basilbank_core::prelude::*;

use crate::edge::{Edge, config};

const STREAM: &str = r#"{"model": "writer", "stream": true, "stream_options": {"include_usage": true},
    "messages": [{"role": "user", "content": "two tall cabinets"}]}"#;

/// Symptom: callers see no token until the answer is whole. Sequence: the first token is given to the
/// server; the second only after the caller has read the first. Cause: a server that collects chunks
/// before it writes them; here the caller would wait for ever.
#[test]
fn tokens_arrive_one_by_one() {
    let edge = Edge::start(config());
    let mut client = edge.client();
    client.post("/v1/chat/completions", "", STREAM);
    let caller = edge.arrived().caller;
    edge.accept(caller);
    edge.token(caller, 0, "Sure");
    let head = client.head();
    assert_eq!(head.status, 200);
    assert_eq!(head.get("content-type"), Some("text/event-stream"));
    assert_eq!(head.get("x-request-id"), Some("0000000000000001"));
    for offset in 0..3 {
        let chunk = client.chunk().unwrap();
        assert!(chunk.contains("chat.completion.chunk"), "{chunk}");
        edge.token(caller, offset + 1, "next");
    }
    client.chunk().unwrap();
    edge.done(caller, 4);
    assert!(client.chunk().unwrap().contains(r#""finish_reason":"stop""#));
    assert!(client.chunk().unwrap().contains(r#""total_tokens":11"#));
    assert_eq!(client.chunk().unwrap(), "data: [DONE]\n\n");
    assert_eq!(client.chunk(), None);
    assert!(edge.callers.is_empty());
}

/// Symptom: a slot stays taken by a request that nobody waits for. Sequence: a request is accepted
/// and queued; its caller disconnects. Cause: a server that looks at its socket only when it writes.
#[test]
fn a_caller_that_leaves_while_queued_is_noticed() {
    let edge = Edge::start(config());
    let mut client = edge.client();
    client.post("/v1/chat/completions", "", STREAM);
    let caller = edge.arrived().caller;
    edge.say(caller, Answer::Accepted { request: RequestId(1), entry: EntryId::of("writer") });
    drop(client);
    assert_eq!(edge.left(), caller);
    assert!(edge.callers.is_empty());
}
