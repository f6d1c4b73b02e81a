//! How a platform spells what the gateway sends and receives.

use basilbank_forward::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, http::request::Parts};

/// A request that goes out.
pub type OutRequest = Request<Full<Bytes>>;

/// The platform's names, formats and calls, as functions. None of them decides anything.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Reads what decisions need from a caller's request head. The digest is the gateway's to fill in.
    pub parse_call: fn(RequestId, &Parts) -> Result<Call, InvalidCall>,
    /// Writes the request of an attempt. The last argument is the last event that the caller has,
    /// when a stream goes on at this endpoint.
    pub attempt_request: fn(&Parts, &Bytes, &Attempt, Option<&str>) -> OutRequest,
    /// Reads an answer's head.
    pub classify_answer: fn(&Call, &Op, &Response<()>) -> AnswerKind,
    /// Reads how many calls a second the endpoint takes from all daemons together, if it says so.
    pub call_limit: fn(&Response<()>) -> Option<f64>,
    /// Reads the body of an answer that is meant for the router itself.
    pub parse_control_answer: fn(&Op, &[u8]) -> Option<Outcome>,
    /// Writes the request that frees a KV cache.
    pub free_request: fn(&str) -> OutRequest,
    /// Writes the request that gives a held slot back.
    pub release_hold_request: fn(&str) -> OutRequest,
    /// Writes the request that asks an instance whether it lives.
    pub liveness_request: fn(&str) -> OutRequest,
    /// Writes the order to change the stage, for a holder with a fencing number.
    pub order_request: fn(Stage, &str, u64, &str) -> OutRequest,
    /// The status for an answer of the router's own.
    pub refusal_status: fn(Refusal) -> StatusCode,
}

/// What an answer's head says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerKind {
    /// The endpoint did not run the call.
    NotRun(NotRun),
    /// It is the answer, to be passed on.
    Forward,
    /// It is meant for the router itself.
    Control,
    /// It belongs to another call, or lacks what marks an endpoint's answer: the call may have run.
    Unclear,
}

/// A request that can't be taken.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct InvalidCall {
    /// Its caller's id, if there is one.
    pub trace_id: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
