//! What the core and the engines are told of a draft.

use basilbank_core::prelude::*;
use sha2::{Digest, Sha256};
use test_case::test_case;

use crate::edge::{Edge, config};

#[test_case(r#"{"role": "user", "content": "a b"}"#, "", "user: a b\nassistant:", 256; "a text")]
#[test_case(r#"{"role": "user", "content": [{"type": "text", "text": "a "}, {"type": "text", "text": "b"}]}"#, "", "user: a b\nassistant:", 256; "parts")]
#[test_case(r#"{"role": "assistant", "content": null}"#, "", "assistant: \nassistant:", 256; "no content")]
#[test_case(r#"{"role": "system", "content": "s"}, {"role": "user", "content": "u"}"#, "", "system: s\nuser: u\nassistant:", 256; "two messages")]
#[test_case(r#"{"role": "user", "content": "a"}"#, r#", "max_tokens": 8192, "n": 1, "stop": null"#, "user: a\nassistant:", 8192; "most tokens")]
#[test_case(r#"{"role": "user", "content": "a"}"#, r#", "max_completion_tokens": 5, "max_tokens": 9"#, "user: a\nassistant:", 5; "newer field first")]
#[test_case(r#"{"role": "user", "content": "a"}"#, r#", "tools": [], "logprobs": false, "seed": 1, "user": {}"#, "user: a\nassistant:", 256; "defaults and unknown fields")]
fn a_chat_becomes_a_prompt(messages: &str, fields: &str, prompt: &str, max_tokens: u32) {
    let edge = Edge::start(config());
    let body = format!(r#"{{"model": "writer", "messages": [{messages}]{fields}}}"#);
    let mut client = edge.client();
    client.post("/v1/chat/completions", "Idempotency-Key: k-1\r\n", &body);
    let call = edge.arrived();
    let CallKind::Completion(draft) = &call.kind else { panic!("expected a draft, got {call:?}") };
    assert_eq!(edge.callers.draft(call.caller).unwrap().prompt, prompt);
    assert_eq!((draft.max_tokens, draft.resume.as_ref()), (max_tokens, None));
    assert_eq!(draft.prompt_tokens as usize, prompt.split_whitespace().count());
    assert_eq!((call.idempotency_key.as_deref(), call.repeatable), (Some("k-1"), None));
    assert_eq!(call.key, <KeyHash>::from(Sha256::digest(b"key-a")));
}
