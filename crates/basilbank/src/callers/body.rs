//! Bodies: reading a caller's within its limits, and the types of those that go out.

use std::{convert::Infallible, time::Duration};

use basilbank_core::reason::Refusal;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
use hyper::body::{Body, Incoming};

use super::{code::EdgeRefusal, error::ApiError};

/// A body that goes out.
pub type Outgoing = UnsyncBoxBody<Bytes, Infallible>;

/// A body of known length.
#[must_use]
pub fn whole(bytes: Bytes) -> Outgoing {
    Full::new(bytes).boxed_unsync()
}

/// Reads a caller's body.
///
/// # Errors
/// It is too large, too slow, or was broken off.
pub async fn read(body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, ApiError> {
    let announced = body.size_hint().lower();
    if (limit as u64) < announced {
        return Err(too_large(limit));
    }
    let collected = Limited::new(body, limit).collect();
    let Ok(collected) = tokio::time::timeout(timeout, collected).await else {
        return Err(ApiError::edge(EdgeRefusal::SlowBody));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_large(limit)),
        Err(_) => Err(ApiError::edge(EdgeRefusal::BadHttp)),
    }
}

fn too_large(limit: usize) -> ApiError {
    ApiError::early(Refusal::TooLarge)
        .with_message(format!("the body is larger than {limit} bytes"))
}
