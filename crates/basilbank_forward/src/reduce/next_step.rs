//! The next step of a request, which `plain` and `completion` decide and `step` carries out.

use std::time::Duration;

use crate::{
    effect::Op,
    endpoint::EndpointKey,
    reason::{Refusal, Retry},
    state::{Usage, requests::Step},
};

/// The next step of a request.
#[derive(Debug)]
pub enum NextStep {
    /// Send an attempt to an endpoint.
    Dispatch(Dispatch),
    /// Wait for the outcome of an attempt.
    Wait,
    /// Wait until this time.
    WaitUntil(Duration),
    /// Wait for capacity at a decode endpoint.
    WaitForCapacity,
    /// Wait until this time: there is capacity, but completions of peers go first.
    WaitForTurn(Duration),
    /// Wait for a permit for an endpoint with a call limit.
    WaitForPermit,
    /// Wait until the first endpoint of the service no longer wants a pause.
    WaitForPause(Duration),
    /// End the request with a refusal or failure.
    GiveUp(Refusal),
}

/// An attempt to send.
#[derive(Debug)]
pub struct Dispatch {
    /// The endpoint to send it to.
    pub endpoint: EndpointKey,
    /// The operation that the endpoint carries out.
    pub op: Op,
    /// The step of the request that the attempt belongs to.
    pub step: Step,
    /// The usage to count at the endpoint.
    pub usage: Usage,
    /// Time to wait for an answer.
    pub timeout: Duration,
    /// Whether it counts against the route's attempts.
    pub counted: bool,
    /// The reason if this is an extra call, which draws on the retry budget.
    pub retry: Option<Retry>,
}
