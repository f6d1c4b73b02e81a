//! A caller's body.

use std::time::Duration;

use basilbank::pace::time_for;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// Time for a body besides what its bytes earn.
const BASE_TIME: Duration = Duration::from_secs(10);

/// Why a body is not had.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It broke off, or is framed wrongly.
    Broken,
    /// It comes too slowly.
    TooSlow,
}

/// Reads a body of at most so many bytes.
///
/// # Errors
/// There is none that can be used. One that says that it is too long isn't waited for.
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
