//! Bad input: each kind gets one answer, one code and one count.

use std::{collections::HashSet, time::Duration};

use basilbank::callers::{EdgeRefusal, ErrorCode};
use basilbank_core::prelude::*;
use test_case::test_case;

use crate::edge::{Edge, REQUEST, WHOLE, config};

const CHAT: &str = "POST /v1/chat/completions";
const TEXT: &str = "POST /v1/completions";
const KEY: &str = "Authorization: Bearer key-a\r\n";

#[test_case(TEXT, KEY, "{", 400, "bad_json"; "not JSON")]
#[test_case(TEXT, KEY, "\u{0}", 400, "bad_json"; "a NUL byte")]
#[test_case(TEXT, KEY, "[]", 400, "bad_request"; "not an object")]
#[test_case(TEXT, KEY, r#"{"prompt": "a"}"#, 400, "bad_request"; "no model")]
#[test_case(TEXT, KEY, r#"{"model": "m"}"#, 400, "bad_request"; "no prompt")]
#[test_case(TEXT, KEY, r#"{"model": "m", "prompt": ["a", "b"]}"#, 400, "unsupported"; "two prompts")]
#[test_case(TEXT, KEY, r#"{"model": "m", "prompt": "a", "max_tokens": 8193}"#, 400, "bad_request"; "too many tokens")]
#[test_case(TEXT, KEY, r#"{"model": "m", "prompt": "a", "max_tokens": 0}"#, 400, "bad_request"; "no tokens")]
#[test_case(TEXT, KEY, r#"{"model": "m", "prompt": "a", "n": 2}"#, 400, "unsupported"; "two answers")]
#[test_case(TEXT, KEY, r#"{"model": "m", "prompt": "a", "stop": "."}"#, 400, "unsupported"; "stop texts")]
#[test_case(CHAT, KEY, r#"{"model": "m", "messages": []}"#, 400, "bad_request"; "no messages")]
#[test_case(CHAT, KEY, r#"{"model": "m", "messages": [{"role": "tool", "content": ""}]}"#, 400, "unsupported"; "tool message")]
#[test_case(CHAT, KEY, r#"{"model": "m", "messages": [{"role": "user", "content": [{"type": "image_url"}]}]}"#, 400, "unsupported"; "image")]
#[test_case(CHAT, KEY, r#"{"model": "m", "messages": [{"role": "user", "content": "a"}], "tools": [{}]}"#, 400, "unsupported"; "tools")]
#[test_case(CHAT, "", WHOLE, 401, "missing_key"; "no key")]
#[test_case(CHAT, "Authorization: Basic a2V5\r\n", WHOLE, 401, "missing_key"; "another scheme")]
#[test_case(CHAT, "Authorization: Bearer \r\n", WHOLE, 401, "missing_key"; "empty key")]
#[test_case(CHAT, "Authorization: Bearer key-a\r\nX-Repeatable: maybe\r\n", WHOLE, 400, "bad_header"; "unclear X-Repeatable")]
#[test_case(CHAT, "Authorization: Bearer key-a\r\nIdempotency-Key: \r\n", WHOLE, 400, "bad_header"; "empty idempotency key")]
#[test_case(CHAT, "Authorization: Bearer key-a\r\nLast-Event-ID: v1.00.00\r\n", WHOLE, 400, "bad_cursor"; "cursor for a whole answer")]
#[test_case("GET /v1/chat/completions", KEY, "", 405, "wrong_method"; "GET of a chat")]
#[test_case("OPTIONS /v1/models", KEY, "", 405, "wrong_method"; "OPTIONS")]
#[test_case("CONNECT test:80", KEY, "", 405, "wrong_method"; "CONNECT")]
#[test_case("GET /v1/embeddings", KEY, "", 404, "unknown_path"; "unknown path")]
fn bad_input(target: &str, headers: &str, body: &str, status: u16, code: &str) {
    let (edge, mut client) = Edge::open();
    let length = body.len();
    client.send(&format!(
        "{target} HTTP/1.1\r\nHost: test\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    ));
    let (head, json) = client.answer();
    assert_eq!((head.status, head.get("x-outcome")), (status, Some("not-run")), "{json}");
    let id = head.get("x-request-id").unwrap();
    assert!(json.contains(&format!(r#""code":"{code}","request_id":"{id}""#)), "{json}");
    assert_eq!(head.get("allow").is_some(), status == 405);
    assert_eq!(head.get("www-authenticate").is_some(), status == 401);
    assert_eq!(edge.refused(), [code]);
    assert!(edge.events.try_recv().is_err(), "the core must not hear of it");
}

#[test]
fn what_is_not_http_is_counted() {
    let (edge, mut client) = Edge::open();
    client.send("hello\r\n\r\n");
    assert_eq!(client.head().status, 400);
    assert!(client.is_closed());
    assert_eq!(edge.refused(), ["bad_http"]);
}

/// A call that the core refuses without accepting it gets an id of its own.
#[test]
fn refusals_of_the_core_are_passed_on_with_all_codes() {
    let (edge, mut client) = Edge::open();
    let mut ids = HashSet::new();
    for refusal in Refusal::ALL.iter().copied() {
        client.post("/v1/chat/completions", "", WHOLE);
        let caller = edge.arrived().caller;
        let after = refusal.is_temporary().then_some(Duration::from_secs(1));
        edge.say(caller, Answer::Refused { refusal, retry_after: after });
        let (head, json) = client.answer();
        let code = ErrorCode::Refused(refusal);
        assert_eq!(head.status, code.status().as_u16());
        assert_eq!(head.get("x-outcome"), Some(code.outcome()));
        assert_eq!(head.get("retry-after").is_some(), after.is_some());
        assert!(json.contains(&format!(r#""code":"{}""#, refusal.as_str())), "{json}");
        ids.insert(head.get("x-request-id").unwrap().to_owned());
    }
    assert_eq!(ids.len(), Refusal::ALL.len());
    assert!(!ids.contains(REQUEST));
    assert_eq!(edge.refused(), [""; 0]);
}

/// Symptom: a client that retries by itself reports a running order as not run, and it is ordered
/// again under a new key. Sequence: the first call's answer is lost; the repeat with the same key finds
/// it running, or finds no majority. Cause: an outcome that speaks of the repeat only.
#[test]
fn a_key_in_doubt_does_not_read_as_not_run() {
    let in_doubt = [Refusal::KeyUnclaimed, Refusal::KeyRunning];
    for refusal in Refusal::ALL.iter().copied() {
        let expected = if in_doubt.contains(&refusal) { "unknown" } else { "not-run" };
        assert_eq!(ErrorCode::Refused(refusal).outcome(), expected, "{refusal:?}");
    }
}

/// Symptom: a counter or a client takes one error for another. Cause: a name used twice.
#[test]
fn codes_are_distinct() {
    let edge = EdgeRefusal::ALL.iter().map(|r| r.as_str());
    let all: Vec<_> = Refusal::ALL.iter().map(|r| r.as_str()).chain(edge).collect();
    assert_eq!(all.iter().collect::<HashSet<_>>().len(), all.len());
}

/// Symptom: a call hangs, or is reported as perhaps run. Sequence: the core's thread has ended; a
/// call comes in. Cause: nobody takes the event.
#[test]
fn without_a_core_nothing_is_run() {
    let mut edge = Edge::start(config());
    let (_, none) = std::sync::mpsc::channel();
    drop(std::mem::replace(&mut edge.events, none));
    let mut client = edge.client();
    client.post("/v1/chat/completions", "", WHOLE);
    let head = client.refused(503, "shutting_down");
    assert_eq!(head.get("x-outcome"), Some("not-run"));
    assert_eq!(head.get("retry-after"), Some("1"));
    assert!(edge.callers.is_empty());
}
