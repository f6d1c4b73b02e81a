//! Calls to endpoints.
//!
//! Everything that is sent to an endpoint is sent from here, and every answer passes here. So what
//! an endpoint states about itself is read from all its answers, whatever they answer, and is kept
//! to by all that is sent.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank_forward::{
    effect::Target, event::Liveness, prelude::*, state::relays::data_centre_hash,
};
use hyper::{Response, StatusCode};
use tokio::time::timeout;

use crate::{
    belonging::AnswerOrigin,
    carried_ids::SentId,
    connections::{CallError, Connection},
    dialect::OutRequest,
    direct_body::DirectBody,
    endpoint_body::EndpointBody,
    metrics::Sender,
    router::Router,
    sent_bytes::{SentPurpose, request_bytes},
};

/// Timeout of a liveness check.
pub(crate) const LIVENESS_TIMEOUT: Duration = Duration::from_millis(250);

/// An answer's head and the rest of its body, with the connection that carries it; `None` if a peer
/// passes it on.
pub type EndpointAnswer = (Response<EndpointBody>, Option<Connection>);

/// A call to an endpoint.
#[derive(Debug)]
pub struct EndpointCall<'a> {
    /// The endpoint, and the peer that makes the call if this daemon doesn't.
    pub target: &'a Target,
    /// The request.
    pub request: OutRequest,
    /// Time to wait for the head of the answer.
    pub answer_timeout: Duration,
    /// What the call is for.
    pub purpose: Purpose,
    /// Time until the caller stops waiting, if the call is a caller's.
    pub remaining: Option<Duration>,
    /// The caller's call, if there is one.
    pub call: Option<&'a Call>,
}

impl<'a> EndpointCall<'a> {
    /// Creates a call that this daemon makes for itself.
    #[must_use]
    pub fn own(
        target: &'a Target,
        request: OutRequest,
        answer_timeout: Duration,
        purpose: Purpose,
    ) -> EndpointCall<'a> {
        EndpointCall { target, request, answer_timeout, purpose, remaining: None, call: None }
    }
}

impl Router {
    /// Calls an endpoint, by way of a peer if the target says so, and waits for the head of its
    /// answer.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call_endpoint(
        self: &Rc<Self>,
        call: EndpointCall<'_>,
    ) -> Result<EndpointAnswer, CallError> {
        let target = call.target;
        let Some(peer) = target.via else {
            let (response, connection) = self.call_directly(call).await?;
            return Ok((response.map(EndpointBody::Direct), Some(connection)));
        };
        if !self.may_send(target, call.purpose) {
            return Err(CallError::Withheld);
        }
        let due = self.attempt_id(&call.request);
        let purpose = call.purpose;
        match self.proxy_client.call(peer, call, |bytes| self.count_proxied(peer, bytes)).await {
            Ok(response) => {
                self.read_statements(target, &response);
                let due = due.as_deref();
                self.check_answer(purpose, due, target, &response, AnswerOrigin::Peer)?;
                Ok((response.map(|body| EndpointBody::Proxied(Box::new(body))), None))
            }
            Err(error) => {
                self.metrics.count_proxy_failure(error);
                Err(error)
            }
        }
    }

    /// Calls an endpoint over a connection of this daemon and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call_directly(
        self: &Rc<Self>,
        call: EndpointCall<'_>,
    ) -> Result<(Response<DirectBody>, Connection), CallError> {
        let EndpointCall { target, request, answer_timeout, purpose, remaining, .. } = call;
        let may_send = || self.may_send(target, purpose);
        let bytes = request_bytes(&request);
        let due = self.attempt_id(&request);
        let remaining = remaining.unwrap_or(Duration::MAX);
        let sent = due.as_deref().map(|id| SentId { id, remaining });
        let answer = self.connections.call(target, request, sent, answer_timeout, may_send).await;
        if !matches!(answer, Err(CallError::Unreachable | CallError::Withheld)) {
            self.count_request(target, bytes);
        }
        let (response, connection) = answer?;
        self.read_statements(target, &response);
        let origin = AnswerOrigin::Direct(connection.answer_place());
        let due = due.as_deref();
        self.check_answer(purpose, due, target, &response, origin).inspect_err(|_| {
            self.connections.record_stray(target.endpoint);
        })?;
        Ok((DirectBody::take(self, target, response, &connection), connection))
    }

    /// Keeps a connection for reuse after its answer was read to the end.
    pub fn keep_connection(
        &self,
        endpoint: EndpointKey,
        connection: Option<Connection>,
        keep_alive: Option<Duration>,
    ) {
        if let Some(connection) = connection {
            self.connections.keep(endpoint, connection, keep_alive);
        }
    }

    /// Calls an endpoint with work for a caller, and waits for at most the call's `answer_timeout`.
    ///
    /// After `probe_after` the endpoint is asked by `liveness_request` whether it is alive, and again
    /// after the same time. Neither an unreachable endpoint nor a busy one sends anything on its open
    /// connections. If there is no answer to either, `on_silence` is called with the time since the
    /// call began. The call goes on: its endpoint may answer later.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call_while_alive(
        self: &Rc<Self>,
        call: EndpointCall<'_>,
        probe_after: Duration,
        liveness_request: impl Fn() -> OutRequest,
        on_silence: impl Fn(Duration),
    ) -> Result<EndpointAnswer, CallError> {
        let started = Instant::now();
        let (target, end) = (call.target, started + call.answer_timeout);
        let mut call = pin!(self.call_endpoint(call));
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match timeout(probe_after.min(left), &mut call).await {
                Ok(answer) => return answer,
                Err(_) if end <= Instant::now() => return Err(CallError::Silent),
                Err(_) => {}
            }
            let is_alive = self.is_alive(target, &liveness_request);
            let is_alive = tokio::select! {
                biased;
                answer = &mut call => return answer,
                is_alive = is_alive => is_alive,
            };
            if !is_alive {
                on_silence(started.elapsed());
            }
        }
    }

    /// Counts the bytes of a message about a call that a daemon makes for another one. A peer that
    /// has connected has another port than it has for datagrams.
    pub fn count_proxied(&self, peer: SocketAddr, bytes: usize) {
        let data_centre = self.read(|state| state.peers.data_centre_at(peer.ip()));
        self.metrics.sent_bytes.count(SentPurpose::Proxied, data_centre, bytes);
    }

    /// Counts the bytes of a request that was sent to an endpoint.
    pub(crate) fn count_request(&self, target: &Target, bytes: usize) {
        let data_centre = self.read(|state| {
            let endpoint = state.directory.get(target.endpoint);
            endpoint.map_or(0, |endpoint| data_centre_hash(&endpoint.info.data_centre))
        });
        self.metrics.sent_bytes.count(SentPurpose::Endpoint, data_centre, bytes);
    }

    /// Returns the id that the answer to a request must carry.
    pub(crate) fn attempt_id(&self, request: &OutRequest) -> Option<String> {
        (self.dialect.attempt_id)(request.headers()).map(str::to_owned)
    }

    pub(crate) fn may_send(&self, target: &Target, purpose: Purpose) -> bool {
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
            self.count_request(target, request_bytes(&request));
            connection.send(request, LIVENESS_TIMEOUT).await.map_err(|(error, _)| error)
        };
        match answer.await {
            Ok(response) => {
                self.read_statements(target, &response);
                Liveness::Alive
            }
            Err(CallError::Withheld) => Liveness::Withheld,
            Err(CallError::Silent) => Liveness::Silent,
            Err(_) => Liveness::Unreachable,
        }
    }

    /// Lets a peer check whether the endpoint answers it, and returns why it doesn't.
    pub async fn probe_by_peer(
        self: &Rc<Self>,
        target: &Target,
        request: OutRequest,
    ) -> Option<NotProxied> {
        let call = EndpointCall::own(target, request, LIVENESS_TIMEOUT, Purpose::Probe);
        match self.call_endpoint(call).await {
            Ok(_) => None,
            Err(CallError::NotProxied(failure)) => Some(failure),
            Err(CallError::Withheld) => Some(NotProxied::Declined),
            Err(_) => Some(NotProxied::EndpointUnreachable),
        }
    }

    /// Reads what an answer states about its endpoint.
    pub(crate) fn read_statements<T>(self: &Rc<Self>, target: &Target, answer: &Response<T>) {
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
