//! Calls to plain services.

use std::{
    io::Read,
    time::{Duration, Instant},
};

use basilbank_core::{
    event::{EngineEvent, Failure},
    ids::{AttemptKey, CallerId, EndpointId, RequestId},
};
use bytes::Bytes;
use ureq::{
    Body,
    http::{HeaderMap, Method, Request, Response},
};

use crate::{
    callers::{HeldPlain, PlainAnswer, from_service, segments::Segments},
    engine::{
        Worker, agent,
        received::{self, Pieces},
        unmarked::{is_deserted, is_unmarked},
    },
};

/// The header by which a plain service proves that nothing was run.
const NOT_RUN: &str = "x-not-run";

/// Bytes of an answer that are read at once.
const READ_BYTES: usize = 8 << 10;

/// A call to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainCall {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The caller.
    pub caller: CallerId,
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Give up after this.
    pub timeout: Duration,
}

impl Worker {
    /// Makes the call and keeps its answer for the core to dispose of.
    pub fn plain(&self, call: &PlainCall) {
        if !self.attempts.is_live(call.attempt) {
            return;
        }
        let answer = match self.run_plain(call) {
            Ok(answer) => answer,
            Err(failure) => return self.fail(call.attempt, failure),
        };
        let (attempt, status) = (call.attempt, answer.status);
        self.callers.hold_answer(attempt, answer);
        if self.attempts.forget(attempt) {
            self.send(EngineEvent::Answered { attempt, status });
        } else {
            self.callers.drop_answer(attempt);
        }
    }

    fn run_plain(&self, call: &PlainCall) -> Result<PlainAnswer, Failure> {
        let held = self.callers.plain(call.caller).ok_or(Failure::Unreachable)?;
        let base = self.base(call.endpoint).ok_or(Failure::Unreachable)?;
        let request = self.request(&held, &base, call).ok_or(Failure::Unreachable)?;
        let method = request.method().clone();
        received::forget_excess();
        let mut response = self.send_plain(request, &held.body).map_err(|e| agent::failure(&e))?;
        if response.status() == 503 && is_not_run(response.headers()) {
            return Err(Failure::Full);
        }
        let body = self.read_answer(&mut response, Instant::now() + call.timeout)?;
        if received::has_excess() {
            return Err(Failure::Broken);
        }
        if is_unmarked(&method, &response) && self.has_ended(call.endpoint) {
            return Err(Failure::Broken);
        }
        Ok(answer(&response, body))
    }

    /// Reads an answer's body, each part once there is memory for it.
    fn read_answer(&self, response: &mut Response<Body>, end: Instant) -> Result<Bytes, Failure> {
        let limit = u64::try_from(self.config.answer).unwrap_or(u64::MAX);
        let mut reader = Pieces(response.body_mut().with_config().limit(limit).reader());
        let mut claim = self.callers.bodies.claim_answer();
        let (mut body, mut part) = (Segments::new(0), [0; READ_BYTES]);
        loop {
            let count = reader.read(&mut part).map_err(|_| Failure::Broken)?;
            if count == 0 {
                break;
            }
            let held = body.held_after(count);
            claim.resize_blocking(held, end).map_err(|_| Failure::Broken)?;
            body.push(&part[..count]).map_err(|_| Failure::Broken)?;
        }
        Ok(claim.attach(body.into_bytes().map_err(|_| Failure::Broken)?))
    }

    /// Whether an endpoint's process has ended unexpectedly: its connections close in an orderly way
    /// then, also in the middle of a body. One that is leaving, or out of the catalogue, may end
    /// after its last answer.
    fn has_ended(&self, endpoint: EndpointId) -> bool {
        let names = self.published.names();
        let is_expected = names.view.endpoint(endpoint).is_none_or(|e| e.leaving);
        !is_expected && self.published.address(endpoint).is_some_and(|a| is_deserted(&a))
    }

    fn request(&self, held: &HeldPlain, base: &str, call: &PlainCall) -> Option<Request<()>> {
        let request = Request::builder();
        let mut request =
            request.method(held.method.as_str()).uri(format!("{base}{}", held.target));
        for (name, value) in &held.headers {
            request = request.header(name, value.as_ref());
        }
        request = request.header("x-request-id", call.request.to_string());
        let request = request.body(()).ok()?;
        let config = self.agent.configure_request(request);
        let config = config.timeout_per_read(Some(call.timeout));
        Some(config.timeout_global(Some(call.timeout)).build())
    }

    fn send_plain(
        &self,
        request: Request<()>,
        body: &Bytes,
    ) -> Result<Response<Body>, ureq::Error> {
        let takes_body = matches!(*request.method(), Method::POST | Method::PUT | Method::PATCH);
        if body.is_empty() && !takes_body {
            return self.agent.run(request);
        }
        self.agent.run(request.map(|()| body.as_ref()))
    }
}

fn is_not_run(headers: &HeaderMap) -> bool {
    headers.get(NOT_RUN).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"true"))
}

fn answer(response: &Response<Body>, body: Bytes) -> PlainAnswer {
    let headers = from_service(response.headers());
    PlainAnswer { status: response.status().as_u16(), headers, body }
}
