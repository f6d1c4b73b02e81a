//! A caller's body.

use std::time::Duration;

use basilbank::pace::time_for;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// Time for a body besides what its bytes earn.
const TIME: Duration = Duration::from_secs(10);

/// Why a body is not had.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BadBody {
    /// It is longer than allowed.
    TooLong,
    /// It broke off, or is framed wrongly.
    Broken,
    /// It comes too slowly.
    Slow,
}

/// Reads a body of at most so many bytes.
///
/// # Errors
/// There is none that can be used. One that says that it is too long isn't waited for.
pub async fn read_body<B>(body: B, most: usize) -> Result<Bytes, BadBody>
where
    B: Body<Data = Bytes> + Unpin,
{
    if (most as u64) < body.size_hint().lower() {
        return Err(BadBody::TooLong);
    }
    let (mut body, mut bytes) = (body, BytesMut::new());
    let begun = Instant::now();
    loop {
        let end = begun + time_for(TIME, bytes.len());
        let frame = match timeout_at(end, body.frame()).await {
            Err(_) => return Err(BadBody::Slow),
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(_))) => return Err(BadBody::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        if most < bytes.len() + data.len() {
            return Err(BadBody::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
}
