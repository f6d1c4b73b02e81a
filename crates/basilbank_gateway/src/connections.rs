//! Connections to endpoints, kept for reuse.

use std::{
    cell::RefCell,
    collections::HashMap,
    future::poll_fn,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use basilbank::answer_head::check_head;
use basilbank_forward::{effect::Target, prelude::*};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{
    carried_ids::{CarriedIds, SentId},
    dialect::OutRequest,
    inbound::Inbound,
    read_guard::{GuardedStream, MAX_HEAD_BYTES, ReadGuard},
    stray_answers::StrayAnswers,
};

/// Maximum time to connect: some round trips between data centres. An endpoint behind a partition
/// does not answer at all, and a lost SYN packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection is kept if the endpoint doesn't state its keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Subtracted from the endpoint's keep-alive time, because the endpoint may close the connection
/// while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of idle connections to one endpoint; the oldest is closed beyond that.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

static NEXT_SERIAL: AtomicU64 = AtomicU64::new(1);

/// How a call failed without an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallError {
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The peer that was to make the call did not make it: nothing was sent to the endpoint.
    NotProxied(NotProxied),
    /// Nothing was sent, since the endpoint wants nothing of this kind any more.
    Withheld,
    /// The connection broke, or the answer was invalid.
    Broken(Damage),
    /// No answer came within the timeout.
    Silent,
}

/// Why no connection could be made.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectError {
    /// Nothing listens at the address.
    Refused,
    /// No answer in time, or another error.
    Other,
}

/// A connection to an endpoint. Dropping it closes the connection, so that the endpoint stops
/// working on a call that nobody waits for.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Number of the connection in this process.
    serial: u64,
    /// Number of answers that it has carried.
    answers: u32,
    carried: CarriedIds,
    opened_at: Instant,
    inbound: Inbound,
    _task: ConnectionTask,
}

/// Which answer an answer is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AnswerPlace {
    /// Number of the connection in this process.
    pub connection: u64,
    /// Its number among the answers on that connection, from 1 on.
    pub answer: u32,
}

/// The HTTP library's side of a connection.
type HttpConnection = http1::Connection<TokioIo<GuardedStream>, Full<Bytes>>;

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

/// Idle connections, by endpoint.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<EndpointKey, Vec<IdleConnection>>>,
    /// Those that were idle when their endpoint became unreachable. Each may have been cut, and would
    /// cost the call that is sent over it, or may still prove that the endpoint's process lives.
    doubtful: RefCell<HashMap<EndpointKey, Vec<IdleConnection>>>,
    strays: RefCell<StrayAnswers>,
}

impl Connection {
    /// Connects within `connect_timeout`.
    ///
    /// # Errors
    /// Returns an error if the endpoint can't be reached in time.
    pub async fn connect(
        addr: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, CallError> {
        let connected = Connection::connect_unless_refused(addr, connect_timeout).await;
        connected.map_err(|_| CallError::Unreachable)
    }

    /// Connects within `connect_timeout`, and tells a refused connection from others.
    ///
    /// # Errors
    /// Returns an error if the endpoint can't be reached in time.
    pub async fn connect_unless_refused(
        addr: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        let stream = match timeout(connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Other),
        };
        // The call works without the option, but its last segment may be delayed until an
        // acknowledgement.
        let _ = stream.set_nodelay(true);
        let guard = Rc::new(ReadGuard::default());
        let stream = Rc::new(RefCell::new(stream));
        let shared = Rc::downgrade(&stream);
        let stream = GuardedStream::new(stream, Rc::clone(&guard));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
            .await;
        let Ok((sender, connection)) = handshake else { return Err(ConnectError::Other) };
        let task = tokio::task::spawn_local(run_connection(connection, Rc::clone(&guard)));
        let task = ConnectionTask(task.abort_handle());
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
        let opened_at = Instant::now();
        let (answers, carried) = (0, CarriedIds::default());
        let inbound = Inbound { guard, stream: shared };
        Ok(Connection { sender, serial, answers, carried, opened_at, inbound, _task: task })
    }

    /// Returns which answer the last one is.
    #[must_use]
    pub fn answer_place(&self) -> AnswerPlace {
        AnswerPlace { connection: self.serial, answer: self.answers }
    }

    /// When the connection was made.
    #[must_use]
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// What comes over the connection.
    #[must_use]
    pub fn inbound(&self) -> Inbound {
        self.inbound.clone()
    }

    /// Returns whether a request can be sent now.
    fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Starts to wait for the next request: nothing may come until it is sent.
    pub fn await_request(&self) {
        self.inbound.guard.await_request();
    }

    /// Returns whether the next request can be sent, and its answer can't be taken for another one that
    /// has come already.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.is_ready() && !self.has_stray()
    }

    /// Returns whether something has come although no answer is due.
    fn has_stray(&self) -> bool {
        self.inbound.guard.has_stray() || self.inbound.has_unread()
    }

    fn record_sent(&mut self, sent: Option<SentId<'_>>) {
        if let Some(sent) = sent {
            self.carried.record(sent, Instant::now());
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Returns an error if there is no answer, or an invalid one, together with the request if it was not
    /// sent.
    pub async fn send(
        &mut self,
        request: OutRequest,
        answer_timeout: Duration,
    ) -> Result<Response<Incoming>, (CallError, Option<Box<OutRequest>>)> {
        self.inbound.guard.await_head();
        let answer = timeout(answer_timeout, self.sender.try_send_request(request)).await;
        self.inbound.guard.end();
        match answer {
            Ok(Ok(response)) => {
                self.answers = self.answers.saturating_add(1);
                let (status, version) = (response.status(), response.version());
                let checked = check_head(status, version, response.headers());
                checked.map_err(|_| (CallError::Broken(Damage::Garbled), None))?;
                Ok(response)
            }
            Ok(Err(mut error)) => {
                let unsent = error.take_message().map(Box::new);
                let damage = match error.error().is_parse() {
                    _ if self.inbound.guard.is_exceeded() => Damage::Endless,
                    true => Damage::Garbled,
                    false => Damage::Closed,
                };
                Err((CallError::Broken(damage), unsent))
            }
            Err(_) => Err((CallError::Silent, None)),
        }
    }
}

/// Carries requests and answers until the connection ends. Its errors are returned by the sender and the
/// body.
async fn run_connection(mut connection: HttpConnection, guard: Rc<ReadGuard>) {
    let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    guard.record_left(&connection.into_parts().read_buf);
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && self.connection.is_ready()
    }

    fn has_carried(&self, sent: Option<SentId<'_>>) -> bool {
        sent.is_some_and(|sent| self.connection.carried.contains(sent.id))
    }
}

impl ConnectionPool {
    /// Records that an endpoint has written something that belongs to no request. Calls to it get new
    /// connections for a while.
    pub fn record_stray(&self, endpoint: EndpointKey) {
        self.strays.borrow_mut().record(endpoint, Instant::now());
        self.close_idle(endpoint);
    }

    /// Returns the number of endpoints to which calls get new connections.
    #[must_use]
    pub fn count_distrusted(&self) -> usize {
        self.strays.borrow().count_distrusted(Instant::now())
    }

    fn is_distrusted(&self, endpoint: EndpointKey) -> bool {
        self.strays.borrow().is_distrusted(endpoint, Instant::now())
    }

    /// Calls an endpoint over an idle connection that has carried no request with the id of this one,
    /// or else over a new one. Connecting takes time, so `may_send` is asked right before the request is
    /// sent.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call(
        &self,
        target: &Target,
        request: OutRequest,
        sent: Option<SentId<'_>>,
        answer_timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let start = Instant::now();
        let mut request = request;
        while let Some(mut connection) = self.take_idle(target.endpoint, sent) {
            let left = answer_timeout.saturating_sub(start.elapsed());
            if !may_send() {
                return Err(CallError::Withheld);
            }
            connection.record_sent(sent);
            match connection.send(request, left).await {
                Ok(response) => return Ok((response, connection)),
                // The endpoint closed the connection before anything was sent.
                Err((_, Some(unsent))) => request = *unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let mut connection =
            Connection::connect(target.addr, answer_timeout.min(CONNECT_TIMEOUT)).await?;
        if !may_send() {
            return Err(CallError::Withheld);
        }
        connection.record_sent(sent);
        let left = answer_timeout.saturating_sub(start.elapsed());
        match connection.send(request, left).await {
            Ok(response) => Ok((response, connection)),
            Err((_, Some(_))) => Err(CallError::Unreachable),
            Err((error, None)) => Err(error),
        }
    }

    /// Keeps a connection for reuse after its answer was read to the end.
    pub fn keep(
        &self,
        endpoint: EndpointKey,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        if connection.sender.is_closed() || self.is_distrusted(endpoint) {
            return;
        }
        connection.await_request();
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
        let expires_at = Instant::now() + keep_alive;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(endpoint).or_default();
        list.push(IdleConnection { connection, expires_at });
        if MAX_IDLE_PER_ENDPOINT < list.len() {
            list.remove(0);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointKey) {
        self.idle.borrow_mut().remove(&endpoint);
        self.doubtful.borrow_mut().remove(&endpoint);
    }

    /// Sends no more calls over the idle connections to an endpoint.
    pub fn doubt_idle(&self, endpoint: EndpointKey) {
        if let Some(list) = self.idle.borrow_mut().remove(&endpoint) {
            self.doubtful.borrow_mut().insert(endpoint, list);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut strays = Vec::new();
        for lists in [&self.idle, &self.doubtful] {
            let mut lists = lists.borrow_mut();
            for (endpoint, list) in lists.iter_mut() {
                if list.iter().any(|entry| entry.connection.inbound.guard.has_stray()) {
                    strays.push(*endpoint);
                }
                list.retain(|entry| now < entry.expires_at && !entry.connection.sender.is_closed());
            }
            lists.retain(|_, list| !list.is_empty());
        }
        self.strays.borrow_mut().forget_old(now);
        strays.into_iter().for_each(|endpoint| self.record_stray(endpoint));
    }

    /// Returns the connection that was used last of those that have carried no request with the id, so
    /// that surplus connections become idle and close.
    fn take_idle(&self, endpoint: EndpointKey, sent: Option<SentId<'_>>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        if list.iter().any(|entry| entry.connection.inbound.guard.has_stray()) {
            drop(idle);
            self.record_stray(endpoint);
            return None;
        }
        list.retain(|entry| entry.is_usable(now));
        let index = list.iter().rposition(|entry| !entry.has_carried(sent))?;
        let connection = list.remove(index).connection;
        drop(idle);
        if connection.has_stray() {
            self.record_stray(endpoint);
            return None;
        }
        Some(connection)
    }

    /// Returns the connection that was opened first, over which only the process itself may be asked
    /// whether it lives.
    pub fn take_oldest(&self, endpoint: EndpointKey) -> Option<Connection> {
        let now = Instant::now();
        let (mut idle, mut doubtful) = (self.idle.borrow_mut(), self.doubtful.borrow_mut());
        let lists = [idle.get_mut(&endpoint), doubtful.get_mut(&endpoint)];
        let oldest = lists.into_iter().flatten().filter_map(|list| {
            list.retain(|entry| entry.is_usable(now));
            let opened = list.iter().map(|entry| entry.connection.opened_at);
            let (index, opened_at) = opened.enumerate().min_by_key(|(_, at)| *at)?;
            Some((opened_at, index, list))
        });
        let (_, index, list) = oldest.min_by_key(|(opened_at, ..)| *opened_at)?;
        Some(list.remove(index).connection)
    }
}
