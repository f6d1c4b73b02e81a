//! What comes next for a call, as `plain` and `draft` say it and `step` carries it out.

use std::time::Duration;

use crate::{
    effect::Op,
    endpoint::EndpointKey,
    reason::{Refusal, Retry},
    state::{Share, requests::Step},
};

/// What comes next for a call.
#[derive(Debug)]
pub enum NextStep {
    /// A call to an endpoint.
    Dispatch(Dispatch),
    /// Nothing until an attempt comes to something.
    Wait,
    /// Nothing until then.
    WaitUntil(Duration),
    /// Nothing until there is room at a decode endpoint.
    WaitForCapacity,
    /// Nothing until then: there is room, and drafts of peers go first.
    WaitForTurn(Duration),
    /// Nothing until there is a permit for an endpoint with a limit.
    WaitForPermit,
    /// It is given up.
    GiveUp(Refusal),
}

/// A call to an endpoint.
#[derive(Debug)]
pub struct Dispatch {
    /// Where to.
    pub endpoint: EndpointKey,
    /// What to do.
    pub op: Op,
    /// Which step it is.
    pub step: Step,
    /// What to count there.
    pub share: Share,
    /// How long to wait.
    pub timeout: Duration,
    /// It counts against the route's attempts.
    pub counted: bool,
    /// It is beyond the first of its call, for this reason, and draws on the retry budget.
    pub retry: Option<Retry>,
}
