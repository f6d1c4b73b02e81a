//! Streamed answers.

use std::time::Duration;

use basilbank_core::prelude::*;
use test_case::test_case;

use crate::edge::{Edge, REQUEST, STREAM};

const WITH_USAGE: &str = r#"{"model": "writer", "stream": true, "prompt": "two tall cabinets",
    "stream_options": {"include_usage": true}, "max_tokens": 9, "temperature": 0.2}"#;

/// Symptom: callers see no token until the answer is whole. Sequence: the first token is given to the
/// server, each further one only after the caller has read the one before. Cause: a server that
/// collects chunks before it writes them; here the caller would wait for ever.
#[test]
fn tokens_arrive_one_by_one() {
    let (edge, mut client) = Edge::open();
    let caller = edge.begin(&mut client, STREAM);
    edge.token(caller, 0, "Sure");
    let head = client.head();
    assert_eq!(head.status, 200);
    assert_eq!(head.get("content-type"), Some("text/event-stream"));
    assert_eq!(head.get("x-request-id"), Some(REQUEST));
    for offset in 1..4 {
        let chunk = client.chunk().unwrap();
        assert!(chunk.starts_with(r#"data: {"id":"chatcmpl-0000000000000001""#), "{chunk}");
        assert_eq!(chunk.contains(r#""role":"assistant""#), offset == 1, "{chunk}");
        edge.token(caller, offset, "next");
    }
    assert!(client.chunk().unwrap().contains(r#""delta":{"content":"next"}"#));
    edge.done(caller, 4);
    assert!(
        client.chunk().unwrap().contains(r#""delta":{},"logprobs":null,"finish_reason":"stop""#)
    );
    assert_eq!(client.chunk().unwrap(), "data: [DONE]\n\n");
    assert_eq!(client.chunk(), None);
    assert!(edge.callers.is_empty());
}

#[test]
fn tokens_that_come_together_are_events_of_their_own_and_usage_follows() {
    let (edge, mut client) = Edge::open();
    client.post("/v1/completions", "", WITH_USAGE);
    let call = edge.arrived();
    let CallKind::Completion(draft) = &call.kind else { panic!("expected a draft, got {call:?}") };
    assert_eq!((draft.model.as_str(), draft.prompt_tokens, draft.max_tokens), ("writer", 3, 9));
    assert_eq!(edge.callers.draft(call.caller).unwrap().prompt, "two tall cabinets");
    edge.accept(call.caller);
    let texts = vec!["a".to_owned(), "b".to_owned()];
    edge.say(call.caller, Answer::Tokens { offset: 0, texts });
    edge.done(call.caller, 2);
    client.head();
    assert!(client.chunk().unwrap().contains(r#""text":"a""#));
    assert!(client.chunk().unwrap().contains(r#""text":"b""#));
    assert!(client.chunk().unwrap().contains(r#""finish_reason":"stop""#));
    let usage = r#""choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,"total_tokens":9,"prompt_tokens_details":{"cached_tokens":3}}"#;
    assert!(client.chunk().unwrap().contains(usage));
    assert_eq!(client.chunk().unwrap(), "data: [DONE]\n\n");
}

/// Symptom: a request that waited and was then refused reads as a success. Sequence: it is accepted,
/// queued and refused. Cause: a server that sends status 200 when it accepts.
#[test]
fn a_refusal_before_the_first_token_has_its_status() {
    let (edge, mut client) = Edge::open();
    let caller = edge.begin(&mut client, STREAM);
    let after = Some(Duration::from_millis(1200));
    edge.say(caller, Answer::Refused { refusal: Refusal::WaitTimedOut, retry_after: after });
    let (head, body) = client.answer();
    assert_eq!((head.status, head.get("retry-after")), (503, Some("2")));
    assert_eq!((head.get("x-outcome"), head.get("x-request-id")), (Some("not-run"), Some(REQUEST)));
    assert!(body.contains(r#""code":"waited_out","request_id":"0000000000000001""#));
    assert_eq!(edge.refused(), [""; 0], "the core counts its refusals itself");
}

/// Symptom: half an answer passes for a whole one. Sequence: a stream has begun; the core says that
/// it can't be finished, or the call is forgotten. Cause: an end without a sign that it is none.
#[test_case(Some(Answer::Unknown); "the core says so")]
#[test_case(None; "the call is forgotten")]
fn a_stream_that_can_not_be_finished_ends_in_an_error_event(last: Option<Answer>) {
    let (edge, mut client) = Edge::open();
    let caller = edge.stream(&mut client);
    match last {
        Some(answer) => edge.say(caller, answer),
        None => edge.callers.close(caller),
    }
    let error = client.chunk().unwrap();
    assert!(error.starts_with("event: error\ndata: {\"error\":{"), "{error}");
    assert!(error.contains(r#""code":"unknown","request_id":"0000000000000001""#), "{error}");
    assert_eq!(client.chunk(), None);
}
