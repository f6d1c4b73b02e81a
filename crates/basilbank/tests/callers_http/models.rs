//! What a team may use.

use std::sync::Arc;

use basilbank_core::prelude::*;
use sha2::{Digest, Sha256};
use test_case::test_case;

use crate::edge::{Edge, config};

const LIST: &str = r#"{"object":"list","data":[{"id":"writer","object":"model","created":0,"owned_by":"basilbank"},{"id":"big one","object":"model","created":0,"owned_by":"basilbank"}]}"#;

#[test_case("/v1/models", "key-a", 200, LIST; "all")]
#[test_case("/v1/models/writer", "key-a", 200, r#""id":"writer""#; "one")]
#[test_case("/v1/models/big%20one", "key-a", 200, r#""id":"big one""#; "one with a blank")]
#[test_case("/v1/models/other", "key-a", 404, r#""code":"unknown_model""#; "another team's")]
#[test_case("/v1/models", "key-b", 401, r#""code":"unknown_key""#; "wrong key")]
fn models_of_a_key(path: &str, key: &str, status: u16, expected: &str) {
    let known: [u8; 32] = Sha256::digest(b"key-a").into();
    let names = vec!["writer".to_owned(), "big one".to_owned()];
    let lookup = Arc::new(
        move |key: &[u8; 32]| {
            if *key == known { Ok(names.clone()) } else { Err(Refusal::UnknownKey) }
        },
    );
    let edge = Edge::start(config().with_models(lookup));
    let mut client = edge.client();
    client.send(&format!("GET {path} HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {key}\r\n\r\n"));
    let (head, body) = client.answer();
    assert_eq!(head.status, status);
    assert!(body.contains(expected));
    assert!(head.get("x-request-id").is_some());
}

/// Symptom: clients give up on a good key after a restart. Sequence: a daemon has started and has no
/// catalogue yet; a caller asks what it may use. Cause: "no such key" in place of "not yet".
#[test]
fn without_a_catalogue_no_key_is_called_unknown() {
    let (_edge, mut client) = Edge::open();
    client.send("GET /v1/models HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer key-a\r\n\r\n");
    let head = client.refused(503, "not_ready");
    assert_eq!(head.get("retry-after"), Some("1"));
}
