//! Reads the bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use super::{
    body_budget::{BodyBudget, BodyClaim, BudgetExceeded},
    segments::Segments,
};
use crate::pace::time_for;

/// While memory is short, a body that brings less than [`PROGRESS_BYTES`] in this time is given up.
const PROGRESS_TIME: Duration = Duration::from_secs(2);

/// Bytes in [`PROGRESS_TIME`] from a caller who gets on: a bad mobile connection's.
const PROGRESS_BYTES: usize = 32 << 10;

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length in bytes.
    pub max_bytes: usize,
    /// Time for the body before its bytes extend the deadline.
    pub base_time: Duration,
}

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

/// Reads a body. It counts in the budget until its last clone is dropped.
///
/// # Errors
/// Returns why the body can't be used. A body whose announced length is too long, or doesn't fit into
/// the budget, is not read.
pub async fn read_body<B>(
    mut body: B,
    limits: BodyLimits,
    budget: &BodyBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if limits.max_bytes < announced {
        return Err(BodyError::TooLong);
    }
    let start = Instant::now();
    let mut arriving = Arriving::new(budget.admit(announced)?, announced, start);
    loop {
        let deadline = start + time_for(limits.base_time, arriving.claim.arrived());
        let wake = arriving.next_check(start).min(deadline);
        let frame = match timeout_at(wake, body.frame()).await {
            Err(_) if wake < deadline => {
                arriving.check(start, wake)?;
                continue;
            }
            Err(_) => return Err(BodyError::TooSlow),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(BodyError::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        if limits.max_bytes < arriving.claim.arrived() + data.len() {
            return Err(BodyError::TooLong);
        }
        arriving.push(&data)?;
    }
    arriving.into_bytes()
}

/// A body of which a part has arrived.
struct Arriving {
    claim: BodyClaim,
    segments: Segments,
    /// When the progress was last looked at, and what had arrived by then.
    checked: (Instant, usize),
}

impl Arriving {
    fn new(claim: BodyClaim, announced: usize, now: Instant) -> Arriving {
        Arriving { claim, segments: Segments::new(announced), checked: (now, 0) }
    }

    /// Returns when the reservation or the progress is to be looked at.
    fn next_check(&self, start: Instant) -> Instant {
        let progress = self.checked.0 + PROGRESS_TIME;
        self.claim.reserved_for().map_or(progress, |time| progress.min(start + time))
    }

    /// Ends a reservation that was not used in time, and gives up a body that doesn't get on while
    /// memory is short: a crowd of them would keep out all others.
    fn check(&mut self, start: Instant, now: Instant) -> Result<(), BudgetExceeded> {
        if self.claim.reserved_for().is_some_and(|time| start + time <= now) {
            self.claim.release_unsent();
        }
        let (at, arrived) = self.checked;
        if now < at + PROGRESS_TIME {
            return Ok(());
        }
        self.checked = (now, self.claim.arrived());
        match self.claim.arrived() < arrived + PROGRESS_BYTES && self.claim.is_memory_short() {
            true => Err(BudgetExceeded),
            false => Ok(()),
        }
    }

    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        self.claim.record_arrived(data.len());
        self.claim.hold(self.segments.held_after(data.len()))?;
        self.segments.push(data).map_err(|_| BodyError::NoMemory)
    }

    /// Returns the body in one piece.
    fn into_bytes(self) -> Result<Bytes, BodyError> {
        let Arriving { mut claim, segments, .. } = self;
        if claim.arrived() == 0 {
            return Ok(Bytes::new());
        }
        let is_joined = segments.is_divided();
        let body = segments.into_bytes().map_err(|_| BodyError::NoMemory)?;
        if is_joined {
            claim.hold(body.len())?;
        }
        Ok(claim.attach(body))
    }
}
