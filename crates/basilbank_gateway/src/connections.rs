//! Connections to endpoints, kept for reuse.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use basilbank_forward::{effect::Target, event::Liveness, prelude::*};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::dialect::OutRequest;

/// Longest wait for a connection: some round trips between data centres. An endpoint behind a
/// partition does not answer at all, and a lost opening packet is sent again after a second only.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection is kept when the endpoint doesn't say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Taken off what the endpoint says: it may close the connection while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections to one endpoint beyond this are closed.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// Limit of the question whether an endpoint lives.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest response head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// How a call failed without an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallError {
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The connection broke, or what came is no answer.
    Broken(Damage),
    /// No answer within the limit.
    Silent,
}

/// A connection to an endpoint. Dropping it closes the connection, so that an endpoint stops working
/// for a call that nobody waits for.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
}

#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The connections that are kept, by endpoint.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<EndpointKey, Vec<IdleConnection>>>,
}

impl Connection {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// The endpoint can't be reached in time.
    pub async fn connect(
        addr: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, CallError> {
        let connected = timeout(connect_timeout, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return Err(CallError::Unreachable) };
        // Without the option the call works, but its last segment may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
            .await;
        let Ok((sender, connection)) = handshake else { return Err(CallError::Unreachable) };
        // Its errors show at the sender and the body.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(Connection { sender, _task: ConnectionTask(task.abort_handle()) })
    }

    /// A request can be sent on it now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    /// There is no answer. The request comes back if it was not sent.
    pub async fn send(
        &mut self,
        request: OutRequest,
        answer_timeout: Duration,
    ) -> Result<Response<Incoming>, (CallError, Option<Box<OutRequest>>)> {
        match timeout(answer_timeout, self.sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut error)) => {
                let unsent = error.take_message().map(Box::new);
                let damage =
                    if error.error().is_parse() { Damage::Garbled } else { Damage::Closed };
                Err((CallError::Broken(damage), unsent))
            }
            Err(_) => Err((CallError::Silent, None)),
        }
    }
}

impl ConnectionPool {
    /// Calls an endpoint: over a kept connection if there is one, else over a new one.
    ///
    /// After `limit` the endpoint is asked by `alive` whether it lives; while it does, the answer is
    /// waited for until `longest`. An endpoint that went dark says nothing on its open connections,
    /// and one that is busy says nothing either: to give the second one up would waste its work.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn call_while_alive(
        &self,
        target: &Target,
        request: OutRequest,
        answer_timeout: Duration,
        max_wait: Duration,
        liveness_request: impl Fn() -> OutRequest,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let end = Instant::now() + max_wait;
        let mut call = pin!(self.call(target, request, max_wait));
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

    /// Whether the endpoint answers over a new connection, whatever it says: a kept one may have gone
    /// silent with what was at its other end.
    pub async fn probe(&self, target: &Target, request: OutRequest) -> Liveness {
        let answer = async {
            let mut connection = Connection::connect(target.addr, LIVENESS_TIMEOUT).await?;
            connection.send(request, LIVENESS_TIMEOUT).await.map_err(|(error, _)| error)
        };
        match answer.await {
            Ok(_) => Liveness::Alive,
            Err(_) => Liveness::Unreachable,
        }
    }

    /// The endpoint answers.
    pub async fn is_alive(&self, target: &Target, request: OutRequest) -> bool {
        let answer = self.call(target, request, LIVENESS_TIMEOUT).await;
        answer.is_ok_and(|(response, _)| response.status().is_success())
    }

    /// Calls an endpoint: over a kept connection if there is one, else over a new one.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn call(
        &self,
        target: &Target,
        request: OutRequest,
        answer_timeout: Duration,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let start = Instant::now();
        let mut request = request;
        while let Some(mut connection) = self.take_idle(target.endpoint) {
            let left = answer_timeout.saturating_sub(start.elapsed());
            match connection.send(request, left).await {
                Ok(response) => return Ok((response, connection)),
                // The endpoint closed the connection before anything was sent on it.
                Err((_, Some(unsent))) => request = *unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let mut connection =
            Connection::connect(target.addr, answer_timeout.min(CONNECT_TIMEOUT)).await?;
        let left = answer_timeout.saturating_sub(start.elapsed());
        match connection.send(request, left).await {
            Ok(response) => Ok((response, connection)),
            Err((_, Some(_))) => Err(CallError::Unreachable),
            Err((error, None)) => Err(error),
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(
        &self,
        endpoint: EndpointKey,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
        let expires_at = Instant::now() + keep_alive;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(endpoint).or_default();
        list.push(IdleConnection { connection, expires_at });
        if MAX_IDLE_PER_ENDPOINT < list.len() {
            list.remove(0);
        }
    }

    /// Closes what is kept open to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointKey) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes what has been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|entry| now < entry.expires_at && !entry.connection.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// The connection that was used last, so that those beyond need can go idle and close.
    fn take_idle(&self, endpoint: EndpointKey) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        while let Some(entry) = list.pop() {
            if now < entry.expires_at && entry.connection.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }
}
