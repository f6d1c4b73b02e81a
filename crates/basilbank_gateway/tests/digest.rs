//! The digest of a request.

use basilbank_gateway::digest;
use bytes::Bytes;
use hyper::{Request, http::request::Parts};
use test_case::test_case;

fn head(
    build: impl FnOnce(hyper::http::request::Builder) -> hyper::http::request::Builder,
) -> Parts {
    let request =
        Request::builder().method("POST").uri("/draft/1?page=2").header("host", "a.example");
    build(request).body(()).expect("a request").into_parts().0
}

fn base_digest() -> basilbank_forward::prelude::Digest {
    digest(&head(|request| request), &Bytes::from_static(b"body"))
}

#[test]
fn retry_has_the_same_digest() {
    let head = head(|request| {
        let request = request.header("x-attempt-id", "2").header("x-deadline-remaining", "900");
        request.header("connection", "close")
    });
    assert_eq!(digest(&head, &Bytes::from_static(b"body")), base_digest());
}

#[test_case(&head(|r| r.method("PUT")), b"body"; "method")]
#[test_case(&head(|r| r.uri("/draft/2?page=2")), b"body"; "path")]
#[test_case(&head(|r| r.uri("/draft/1?page=3")), b"body"; "query")]
#[test_case(&head(|r| r.header("authorization", "Bearer b")), b"body"; "credentials")]
#[test_case(&head(|r| r), b"bodz"; "body")]
fn different_request_has_a_different_digest(head: &Parts, body: &'static [u8]) {
    assert_ne!(digest(head, &Bytes::from_static(body)), base_digest());
}
