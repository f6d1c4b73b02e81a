//! What the reaper remembers between two lists of an endpoint's streams.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{EndpointId, RequestId};

/// A cancelled attempt whose end at the endpoint has not been seen yet.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Cancelled {
    /// The request.
    pub request: RequestId,
    /// The KV cache or stream that was cancelled, if it was known.
    pub held: Option<String>,
    /// When.
    pub at: Duration,
}

/// An endpoint where something was cancelled.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Watch {
    /// When to list its streams.
    pub due: Duration,
    /// When its streams were asked for last.
    pub asked: Duration,
    /// What was cancelled, oldest first.
    pub cancelled: Vec<Cancelled>,
}

/// What the reaper remembers between two lists of an endpoint's streams.
#[derive(Debug, Default)]
pub struct Reaper {
    /// When this daemon next lists the endpoints that it is the steward of.
    pub due: Duration,
    /// Endpoints where this daemon cancelled something lately.
    pub watches: BTreeMap<EndpointId, Watch>,
}
