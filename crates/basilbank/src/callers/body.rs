//! Bodies that go out.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// A body that goes out.
pub type Outgoing = UnsyncBoxBody<Bytes, Infallible>;

/// A body of known length.
#[must_use]
pub fn whole(bytes: Bytes) -> Outgoing {
    Full::new(bytes).boxed_unsync()
}
