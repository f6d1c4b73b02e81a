//! What the reaper remembers between two lists of an endpoint's streams.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{EndpointId, RequestId};

/// A cancelled attempt whose end at the endpoint has not been seen yet.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CancelledAttempt {
    /// The request.
    pub request: RequestId,
    /// The KV cache or stream that was cancelled, if it was known.
    pub resource: Option<String>,
    /// When.
    pub cancelled_at: Duration,
}

/// An endpoint where something was cancelled.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CancelWatch {
    /// When to list its streams.
    pub check_at: Duration,
    /// When its streams were asked for last.
    pub listed_at: Duration,
    /// What was cancelled, oldest first.
    pub cancelled: Vec<CancelledAttempt>,
}

/// What the reaper remembers between two lists of an endpoint's streams.
#[derive(Debug, Default)]
pub struct Reaper {
    /// When this daemon next lists the endpoints that it is the steward of.
    pub next_list: Duration,
    /// Endpoints where this daemon cancelled something lately.
    pub watches: BTreeMap<EndpointId, CancelWatch>,
}
