//! Reads the bodies of callers' requests.

use std::time::Duration;

use basilbank::pace::time_for;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use crate::body_budget::{BodyBudget, BudgetExceeded};

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
    /// There is no memory for it.
    NoMemory,
}

impl From<BudgetExceeded> for BodyError {
    fn from(_: BudgetExceeded) -> BodyError {
        BodyError::NoMemory
    }
}

/// Reads a body of at most `max_bytes`. It counts in the budget until its last clone is dropped.
///
/// # Errors
/// Returns why the body can't be used. A body whose announced length is too long, or doesn't fit into
/// the budget, is not read.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if max_bytes < announced {
        return Err(BodyError::TooLong);
    }
    let mut claim = budget.admit(announced)?;
    let (mut body, mut bytes) = (body, BytesMut::with_capacity(announced));
    let start = Instant::now();
    loop {
        let deadline = start + time_for(BASE_TIME, bytes.len());
        let reserved_until = claim.reserved_for().map(|time| start + time);
        let wake = reserved_until.map_or(deadline, |until| until.min(deadline));
        let frame = match timeout_at(wake, body.frame()).await {
            Err(_) if wake < deadline => {
                claim.release_unsent();
                continue;
            }
            Err(_) => return Err(BodyError::TooSlow),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(BodyError::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        if max_bytes < bytes.len() + data.len() {
            return Err(BodyError::TooLong);
        }
        claim.record_arrived(data.len())?;
        bytes.extend_from_slice(&data);
    }
    Ok(if bytes.is_empty() { Bytes::new() } else { claim.attach(bytes.freeze()) })
}
