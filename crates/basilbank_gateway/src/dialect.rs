//! What the gateway has to know of a platform's requests and answers.

use std::time::Duration;

use basilbank_forward::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode, header::HeaderName, http::request::Parts};

/// A request to an endpoint.
pub type OutRequest = Request<Full<Bytes>>;

/// The platform's header names, formats and requests, as functions. None of them makes decisions.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Parses a caller's request head. The gateway fills in the digest.
    pub parse_call: fn(RequestId, &Parts) -> Result<Call, InvalidCall>,
    /// Builds the request of an attempt. The last argument is the id of the last event that the
    /// caller has received, if a stream continues at this endpoint.
    pub attempt_request: fn(&Parts, &Bytes, &Attempt, Option<&str>) -> OutRequest,
    /// Reads the id of the last event that the caller of a request has received.
    pub last_event_id: fn(&HeaderMap) -> Option<&str>,
    /// Lowers the time that a request says its caller still waits; a request that says none stays.
    pub shorten_deadline: fn(&mut HeaderMap, Duration),
    /// Reads the id of the caller's attempt from a request to an endpoint, or from an answer that
    /// echoes it.
    pub attempt_id: fn(&HeaderMap) -> Option<&str>,
    /// Returns whether an answer says that its endpoint has not run the request.
    pub is_refusal: fn(StatusCode, &HeaderMap) -> bool,
    /// Classifies an answer that belongs to the request by its head.
    pub classify_answer: fn(&Op, &Response<()>) -> AnswerKind,
    /// Reads how many calls per second the endpoint accepts from all daemons together, if the
    /// answer states it.
    pub call_limit: fn(&HeaderMap) -> Option<f64>,
    /// Returns whether the headers of an endpoint's answer say that the endpoint is leaving.
    pub is_leaving: fn(&HeaderMap) -> bool,
    /// Reads for how long the endpoint wants nothing from this daemon, if the answer asks for that.
    pub requested_pause: fn(StatusCode, &HeaderMap) -> Option<Duration>,
    /// Returns the headers of an endpoint's answer that nothing reads.
    pub unread_from_endpoint: fn(StatusCode, &HeaderMap) -> Vec<HeaderName>,
    /// Returns the headers of a caller's request that nothing reads.
    pub unread_from_caller: fn(&HeaderMap) -> Vec<HeaderName>,
    /// Parses the body of an answer that is meant for the router itself.
    pub parse_control_answer: fn(&Op, &[u8]) -> Option<Outcome>,
    /// Builds the request that frees a KV cache.
    pub free_request: fn(&str) -> OutRequest,
    /// Builds the request that releases a held slot.
    pub release_hold_request: fn(&str) -> OutRequest,
    /// Builds the request that asks an instance whether it is alive.
    pub liveness_request: fn(&str) -> OutRequest,
    /// Reads when the process started, in milliseconds of Unix time, from its answer to a liveness
    /// request.
    pub parse_start_time: fn(&[u8]) -> Option<u64>,
    /// Builds the order to change the stage, for a holder with a fencing number.
    pub order_request: fn(Stage, &str, u64, &str) -> OutRequest,
    /// Returns the HTTP status of a refusal.
    pub refusal_status: fn(Refusal) -> StatusCode,
}

/// What an answer's head says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerKind {
    /// The endpoint did not run the call.
    NotRun(NotRun),
    /// The answer is for the caller.
    Forward,
    /// The answer is meant for the router itself.
    Control,
    /// The answer lacks the mark of endpoints' answers: the call may have run.
    Unclear,
}

/// A request that can't be parsed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct InvalidCall {
    /// The caller's id for the request, or empty.
    pub trace_id: String,
    /// Stable reason for the refusal.
    pub reason: &'static str,
}
