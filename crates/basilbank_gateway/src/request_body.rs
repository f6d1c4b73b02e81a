//! Reads the bodies of callers' requests.

use std::time::Duration;

use basilbank::pace::time_for;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// Time for a body before its bytes extend the deadline.
const BASE_TIME: Duration = Duration::from_secs(10);

/// Why a body can't be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It ended early, or its framing is invalid.
    Broken,
    /// It arrives too slowly.
    TooSlow,
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
/// Returns why the body can't be used. A body whose announced length is too long is not read.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if (max_bytes as u64) < body.size_hint().lower() {
        return Err(BodyError::TooLong);
    }
    let (mut body, mut bytes) = (body, BytesMut::new());
    let start = Instant::now();
    loop {
        let deadline = start + time_for(BASE_TIME, bytes.len());
        let frame = match timeout_at(deadline, body.frame()).await {
            Err(_) => return Err(BodyError::TooSlow),
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(_))) => return Err(BodyError::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        if max_bytes < bytes.len() + data.len() {
            return Err(BodyError::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
}
