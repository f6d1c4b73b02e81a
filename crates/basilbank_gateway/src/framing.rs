//! How the end of an answer's body is marked.

use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
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
        let is_chunked = |value: &hyper::header::HeaderValue| {
            value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("chunked"))
        };
        if headers.get_all(TRANSFER_ENCODING).iter().any(is_chunked) {
            Framing::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Connection
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
