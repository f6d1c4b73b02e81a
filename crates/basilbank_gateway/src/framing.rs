//! How the end of an answer's body is marked.

use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
};

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// By a length that the head states.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection. An orderly end alone doesn't prove that the body is complete.
    Connection,
}

impl Framing {
    /// Returns the framing of an answer that has a body.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Framing {
        // With any transfer coding the length doesn't count, and only chunks as the last one mark
        // the end.
        let last_coding = |value: &HeaderValue| {
            let text = value.to_str().unwrap_or_default();
            text.rsplit(',').next().unwrap_or_default().trim().eq_ignore_ascii_case("chunked")
        };
        match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            Some(value) if last_coding(value) => Framing::Chunks,
            Some(_) => Framing::Connection,
            None if headers.contains_key(CONTENT_LENGTH) => Framing::Length,
            None => Framing::Connection,
        }
    }

    /// Returns the stable name for logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}
