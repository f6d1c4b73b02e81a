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
const CONNECT: Duration = Duration::from_millis(250);

/// How long a connection is kept when the endpoint doesn't say how long it keeps it.
const KEPT: Duration = Duration::from_secs(4);

/// Taken off what the endpoint says: it may close the connection while a request is on its way.
const KEPT_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections to one endpoint beyond this are closed.
const IDLE_MOST: usize = 16;

/// Limit of the question whether an endpoint lives.
const ALIVE: Duration = Duration::from_millis(250);

/// Largest response head in bytes.
const HEAD_BYTES: usize = 32 << 10;

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
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: Task,
}

#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    link: Link,
    until: Instant,
}

/// The connections that are kept, by endpoint.
#[derive(Debug, Default)]
pub struct Links {
    idle: RefCell<HashMap<EndpointKey, Vec<Idle>>>,
}

impl Link {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// The endpoint can't be reached in time.
    pub async fn connect(addr: SocketAddr, limit: Duration) -> Result<Link, CallError> {
        let connected = timeout(limit, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return Err(CallError::Unreachable) };
        // Without the option the call works, but its last segment may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
            .await;
        let Ok((sender, connection)) = handshake else { return Err(CallError::Unreachable) };
        // Its errors show at the sender and the body.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(Link { sender, _task: Task(task.abort_handle()) })
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
        limit: Duration,
    ) -> Result<Response<Incoming>, (CallError, Option<Box<OutRequest>>)> {
        match timeout(limit, self.sender.try_send_request(request)).await {
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

impl Links {
    /// Calls an endpoint: over a kept connection if there is one, else over a new one.
    ///
    /// After `limit` the endpoint is asked by `alive` whether it lives; while it does, the answer is
    /// waited for until `longest`. An endpoint that went dark says nothing on its open connections,
    /// and one that is busy says nothing either: to give the second one up would waste its work.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn call_patiently(
        &self,
        target: &Target,
        request: OutRequest,
        limit: Duration,
        longest: Duration,
        alive: impl Fn() -> OutRequest,
    ) -> Result<(Response<Incoming>, Link), CallError> {
        let end = Instant::now() + longest;
        let mut call = pin!(self.call(target, request, longest));
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match timeout(limit.min(left), &mut call).await {
                Ok(answer) => return answer,
                Err(_) if end <= Instant::now() => return Err(CallError::Silent),
                Err(_) => {}
            }
            if !self.lives(target, alive()).await {
                return Err(CallError::Silent);
            }
        }
    }

    /// Whether the endpoint answers over a new connection, whatever it says: a kept one may have gone
    /// silent with what was at its other end.
    pub async fn probe(&self, target: &Target, request: OutRequest) -> Liveness {
        let answer = async {
            let mut link = Link::connect(target.addr, ALIVE).await?;
            link.send(request, ALIVE).await.map_err(|(error, _)| error)
        };
        match answer.await {
            Ok(_) => Liveness::Alive,
            Err(_) => Liveness::Unreachable,
        }
    }

    /// The endpoint answers.
    pub async fn lives(&self, target: &Target, request: OutRequest) -> bool {
        let answer = self.call(target, request, ALIVE).await;
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
        limit: Duration,
    ) -> Result<(Response<Incoming>, Link), CallError> {
        let begun = Instant::now();
        let mut request = request;
        while let Some(mut link) = self.take(target.endpoint) {
            let left = limit.saturating_sub(begun.elapsed());
            match link.send(request, left).await {
                Ok(response) => return Ok((response, link)),
                // The endpoint closed the connection before anything was sent on it.
                Err((_, Some(back))) => request = *back,
                Err((error, None)) => return Err(error),
            }
        }
        let mut link = Link::connect(target.addr, limit.min(CONNECT)).await?;
        let left = limit.saturating_sub(begun.elapsed());
        match link.send(request, left).await {
            Ok(response) => Ok((response, link)),
            Err((_, Some(_))) => Err(CallError::Unreachable),
            Err((error, None)) => Err(error),
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, endpoint: EndpointKey, link: Link, kept: Option<Duration>) {
        if link.sender.is_closed() {
            return;
        }
        let kept = kept.unwrap_or(KEPT).saturating_sub(KEPT_MARGIN);
        let until = Instant::now() + kept;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(endpoint).or_default();
        list.push(Idle { link, until });
        if IDLE_MOST < list.len() {
            list.remove(0);
        }
    }

    /// Closes what is kept open to an endpoint.
    pub fn forget(&self, endpoint: EndpointKey) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|kept| now < kept.until && !kept.link.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// The connection that was used last, so that those beyond need can go idle and close.
    fn take(&self, endpoint: EndpointKey) -> Option<Link> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        while let Some(kept) = list.pop() {
            if now < kept.until && kept.link.is_ready() {
                return Some(kept.link);
            }
        }
        None
    }
}
