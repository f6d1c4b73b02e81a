//! Calls to endpoints by way of a peer, for a daemon whose own path to them is cut.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use basilbank::answer_head::check_head;
use basilbank_forward::prelude::*;
use basilbank_wire::{
    ProxyCodec, ProxyFailure, ProxyHead, ProxyHeader, ProxyMessage, ProxyPurpose, ProxyRequest,
};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Frame,
    header::{HeaderName, HeaderValue},
};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::Framed;

use crate::{
    connections::CallError, endpoint_body::BodyBroken, endpoint_calls::EndpointCall, peer_stream,
};

/// Maximum time to connect to a peer: some round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long an idle connection is kept. The peer keeps it for longer.
const KEEP_IDLE: Duration = Duration::from_secs(4);

/// Maximum number of idle connections to one peer.
const MAX_IDLE_PER_PEER: usize = 8;

type PeerStream = Framed<TcpStream, ProxyCodec>;

/// Connections to peers that carry calls to endpoints.
#[derive(Clone, Debug, Default)]
pub struct ProxyClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleStream>>>>,
}

#[derive(Debug)]
struct IdleStream {
    stream: PeerStream,
    expires_at: Instant,
}

impl ProxyClient {
    /// Sends a call to a peer, and waits for the head of the endpoint's answer. `count_bytes` gets
    /// the length of what is sent.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call(
        &self,
        peer: SocketAddr,
        call: EndpointCall<'_>,
        count_bytes: impl Fn(usize),
    ) -> Result<Response<ProxiedBody>, CallError> {
        let started = Instant::now();
        let answer_timeout = call.answer_timeout;
        let mut stream = match self.take_idle(peer) {
            Some(stream) => stream,
            None => connect(peer, answer_timeout).await?,
        };
        let request = ProxyMessage::Request(wire_request(call, started).await?);
        count_bytes(request.wire_bytes());
        let answer = async {
            // The peer may have got the request, or a part of it, when sending fails.
            let sent = stream.send(request).await;
            sent.map_err(|_| CallError::Broken(Damage::Closed))?;
            stream.next().await.and_then(Result::ok).ok_or(CallError::Broken(Damage::Closed))
        };
        let left = answer_timeout.saturating_sub(started.elapsed());
        let message = timeout(left, answer).await.map_err(|_| CallError::Silent)??;
        let head = match message {
            ProxyMessage::Head(head) => head,
            ProxyMessage::Failure(failure) => {
                self.keep(peer, stream);
                return Err(call_error(failure));
            }
            _ => return Err(CallError::Broken(Damage::Garbled)),
        };
        let (is_whole, is_broken_off) = (false, false);
        let (stream, client) = (Some(stream), self.clone());
        let body = ProxiedBody { stream, is_whole, is_broken_off, peer, client };
        response(&head, body).ok_or(CallError::Broken(Damage::Garbled))
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|entry| now < entry.expires_at);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn keep(&self, peer: SocketAddr, stream: PeerStream) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(peer).or_default();
        if list.len() < MAX_IDLE_PER_PEER {
            list.push(IdleStream { stream, expires_at: Instant::now() + KEEP_IDLE });
        }
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<PeerStream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&peer)?;
        while let Some(IdleStream { stream, expires_at }) = list.pop() {
            if Instant::now() < expires_at && is_open(stream.get_ref()) {
                return Some(stream);
            }
        }
        None
    }
}

/// Returns whether the peer has neither closed the connection nor sent anything unasked.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

async fn connect(peer: SocketAddr, answer_timeout: Duration) -> Result<PeerStream, CallError> {
    let connecting = timeout(CONNECT_TIMEOUT.min(answer_timeout), TcpStream::connect(peer));
    let Ok(Ok(stream)) = connecting.await else {
        return Err(CallError::NotProxied(NotProxied::NoPeer));
    };
    peer_stream::set_options(&stream);
    Ok(Framed::new(stream, ProxyCodec::default()))
}

async fn wire_request(call: EndpointCall<'_>, started: Instant) -> Result<ProxyRequest, CallError> {
    let (head, body) = call.request.into_parts();
    // The body is in memory, so that reading it can't fail.
    let body = body.collect().await.map_err(|_| CallError::Broken(Damage::Garbled))?.to_bytes();
    let purpose = match call.purpose {
        Purpose::Work => ProxyPurpose::Work,
        Purpose::Release => ProxyPurpose::Release,
        Purpose::Probe => ProxyPurpose::Probe,
        // Only this daemon may give its orders.
        Purpose::Order => return Err(CallError::Withheld),
    };
    let left = |time: Duration| to_millis(time.saturating_sub(started.elapsed()));
    Ok(ProxyRequest {
        trace_id: call.call.map(|call| call.trace_id.clone()).unwrap_or_default(),
        digest: call.call.map(|call| call.digest.0),
        parts: call.call.map_or_else(Vec::new, |call| call.traits().parts),
        version: (call.purpose == Purpose::Work).then(|| call.target.software.to_wire()),
        instance: call.target.instance.clone(),
        purpose: purpose.into(),
        answer_timeout: left(call.answer_timeout),
        remaining: call.remaining.map(left),
        method: head.method.to_string(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers: wire_headers(&head.headers),
        body,
    })
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns headers as they are sent between daemons.
pub fn wire_headers(headers: &HeaderMap) -> Vec<ProxyHeader> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        ProxyHeader { name: name.as_str().to_owned(), value }
    };
    headers.iter().map(header).collect()
}

/// Reads headers that a daemon has sent, or returns `None` if one of them is invalid.
pub fn read_headers(headers: &[ProxyHeader]) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for ProxyHeader { name, value } in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(map)
}

fn response(head: &ProxyHead, body: ProxiedBody) -> Option<Response<ProxiedBody>> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(u16::try_from(head.status).ok()?).ok()?;
    *response.headers_mut() = read_headers(&head.headers)?;
    check_head(response.status(), response.version(), response.headers()).ok()?;
    Some(response)
}

fn call_error(failure: i32) -> CallError {
    match ProxyFailure::try_from(failure) {
        Ok(ProxyFailure::Declined) => CallError::NotProxied(NotProxied::Declined),
        Ok(ProxyFailure::Unreachable) => CallError::NotProxied(NotProxied::EndpointUnreachable),
        Ok(ProxyFailure::Silent) => CallError::Silent,
        Ok(ProxyFailure::Broken | ProxyFailure::Unspecified) | Err(_) => {
            CallError::Broken(Damage::Closed)
        }
    }
}

/// The body of an answer that a peer passes on. Dropping it before its end closes the connection to
/// the peer, which then ends the call.
#[derive(Debug)]
pub struct ProxiedBody {
    /// `None` after the end.
    stream: Option<PeerStream>,
    /// Whether the peer has said that the body is whole.
    is_whole: bool,
    /// Whether the peer has said that the endpoint broke it off.
    is_broken_off: bool,
    peer: SocketAddr,
    client: ProxyClient,
}

impl ProxiedBody {
    /// Returns whether the body has ended, and the peer has proof that it is whole.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Returns why the body broke off: the endpoint's answer, as the peer says, or the way to the peer.
    #[must_use]
    pub fn damage(&self) -> Damage {
        if self.is_broken_off { Damage::CutOff } else { Damage::Closed }
    }

    /// Polls for the next piece of the body.
    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBroken>>> {
        let Some(stream) = &mut self.stream else { return Poll::Ready(None) };
        let message = ready!(stream.poll_next_unpin(context));
        match message {
            Some(Ok(ProxyMessage::Body(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Ok(ProxyMessage::End(_))) => {
                self.is_whole = true;
                if let Some(stream) = self.stream.take() {
                    self.client.keep(self.peer, stream);
                }
                Poll::Ready(None)
            }
            message => {
                self.is_broken_off = matches!(message, Some(Ok(ProxyMessage::Failure(_))));
                self.stream = None;
                Poll::Ready(Some(Err(BodyBroken)))
            }
        }
    }
}
