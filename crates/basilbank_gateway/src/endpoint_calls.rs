//! Calls to endpoints.
//!
//! Everything that is sent to an endpoint is sent from here, and every answer passes here. So what
//! an endpoint states about itself is read from all its answers, whatever they answer, and is kept
//! to by all that is sent.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank_forward::{effect::Target, event::Liveness, prelude::*};
use hyper::{Response, StatusCode, body::Incoming};
use tokio::time::timeout;

use crate::{
    connections::{CallError, Connection},
    dialect::OutRequest,
    metrics::Sender,
    router::Router,
};

/// Timeout of a liveness check.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(250);

/// An answer's head and the rest of its body, with the connection that carries it.
pub type EndpointAnswer = (Response<Incoming>, Connection);

impl Router {
    /// Calls an endpoint and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call_endpoint(
        self: &Rc<Self>,
        target: &Target,
        request: OutRequest,
        answer_timeout: Duration,
        purpose: Purpose,
    ) -> Result<EndpointAnswer, CallError> {
        let may_send = || self.may_send(target, purpose);
        let (response, connection) =
            self.connections.call(target, request, answer_timeout, may_send).await?;
        self.read_statements(target, &response);
        Ok((response, connection))
    }

    /// Calls an endpoint with work for a caller.
    ///
    /// After `answer_timeout` the endpoint is asked by `liveness_request` whether it is alive;
    /// while it is, the answer is awaited until `max_wait`. Neither an unreachable endpoint nor a
    /// busy one sends anything on its open connections, and giving up the busy one would waste its
    /// work.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call_while_alive(
        self: &Rc<Self>,
        target: &Target,
        request: OutRequest,
        answer_timeout: Duration,
        max_wait: Duration,
        liveness_request: impl Fn() -> OutRequest,
    ) -> Result<EndpointAnswer, CallError> {
        let end = Instant::now() + max_wait;
        let mut call = pin!(self.call_endpoint(target, request, max_wait, Purpose::Work));
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match timeout(answer_timeout.min(left), &mut call).await {
                Ok(answer) => return answer,
                Err(_) if end <= Instant::now() => return Err(CallError::Silent),
                Err(_) => {}
            }
            if !self.is_alive(target, liveness_request()).await {
                return Err(CallError::Silent);
            }
        }
    }

    /// Returns whether the endpoint answers a liveness request successfully. One that wants a pause
    /// is not asked, and counts as alive.
    pub async fn is_alive(self: &Rc<Self>, target: &Target, request: OutRequest) -> bool {
        match self.call_endpoint(target, request, LIVENESS_TIMEOUT, Purpose::Probe).await {
            Ok((response, _)) => response.status().is_success(),
            Err(error) => error == CallError::Withheld,
        }
    }

    fn may_send(&self, target: &Target, purpose: Purpose) -> bool {
        self.read(|state| state.may_send(target.endpoint, purpose, self.now()))
    }

    /// Checks whether the endpoint answers over a new connection, whatever the answer is. An idle
    /// connection may have been cut off together with the process at its other end.
    pub async fn probe_endpoint(self: &Rc<Self>, target: &Target, request: OutRequest) -> Liveness {
        let answer = async {
            let mut connection = Connection::connect(target.addr, LIVENESS_TIMEOUT).await?;
            if !self.may_send(target, Purpose::Probe) {
                return Err(CallError::Withheld);
            }
            connection.send(request, LIVENESS_TIMEOUT).await.map_err(|(error, _)| error)
        };
        match answer.await {
            Ok(response) => {
                self.read_statements(target, &response);
                Liveness::Alive
            }
            Err(CallError::Withheld) => Liveness::Withheld,
            Err(_) => Liveness::Unreachable,
        }
    }

    /// Reads what an answer states about its endpoint.
    fn read_statements<T>(self: &Rc<Self>, target: &Target, answer: &Response<T>) {
        let (status, headers) = (answer.status(), answer.headers());
        let unread = (self.dialect.unread_from_endpoint)(status, headers);
        self.metrics.count_unread(Sender::Endpoint, unread);
        // Another instance has the address now, and says this of itself.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let endpoint = target.endpoint;
        if let Some(rate) = (self.dialect.call_limit)(headers) {
            self.dispatch(Event::CallLimit { endpoint, rate: Some(rate) });
        }
        if (self.dialect.is_leaving)(headers) {
            self.dispatch(Event::EndpointLeaving(endpoint));
        }
        if let Some(pause) = (self.dialect.requested_pause)(status, headers) {
            self.dispatch(Event::PauseRequested { endpoint, pause });
        }
    }
}
