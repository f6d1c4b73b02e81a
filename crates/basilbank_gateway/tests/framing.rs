//! What marks the end of an answer's body.

use basilbank_gateway::Framing;
use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use test_case::test_case;

/// Guards against a body that ends with its connection and counts as marked.
#[test_case(&[], None, Framing::Connection; "nothing")]
#[test_case(&[], Some("5"), Framing::Length; "a length")]
#[test_case(&["chunked"], None, Framing::Chunks; "chunks")]
#[test_case(&["Chunked"], Some("5"), Framing::Chunks; "chunks beside a length")]
#[test_case(&["gzip, chunked"], None, Framing::Chunks; "chunks last")]
#[test_case(&["gzip", "chunked"], None, Framing::Chunks; "chunks in the last header")]
#[test_case(&["chunked, gzip"], None, Framing::Connection; "chunks inside")]
#[test_case(&["gzip"], Some("5"), Framing::Connection; "another coding beside a length")]
fn the_framing_is_read_from_the_head(codings: &[&str], length: Option<&str>, framing: Framing) {
    let mut headers = HeaderMap::new();
    for coding in codings {
        headers.append(TRANSFER_ENCODING, coding.parse().expect("a value"));
    }
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, length.parse().expect("a value"));
    }
    assert_eq!(Framing::of(&headers), framing);
}
