//! State of the reaper between two lists of an endpoint's streams.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{EndpointId, RequestId};

/// A cancelled attempt of which the endpoint has not confirmed the end.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CancelledAttempt {
    /// The request of the attempt.
    pub request: RequestId,
    /// The KV cache or stream that was cancelled, if it was known.
    pub resource: Option<String>,
    /// When it was cancelled.
    pub cancelled_at: Duration,
}

/// An endpoint at which this daemon cancelled something.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CancelWatch {
    /// When its streams are listed next.
    pub check_at: Duration,
    /// When its streams were last listed.
    pub listed_at: Duration,
    /// Cancelled attempts, oldest first.
    pub cancelled: Vec<CancelledAttempt>,
}

/// State of the reaper between two lists of an endpoint's streams.
#[derive(Debug, Default)]
pub struct Reaper {
    /// When this daemon next lists the streams of the endpoints that it owns.
    pub next_list: Duration,
    /// Endpoints at which this daemon cancelled something lately.
    pub watches: BTreeMap<EndpointId, CancelWatch>,
}
