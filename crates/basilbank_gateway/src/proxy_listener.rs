//! Calls to endpoints for peers whose own path to them is cut.
//!
//! Such a call is made once, by this daemon itself, and never handed on to a further peer. Which
//! endpoint it goes to, what it may cost and whether it is repeated is decided by the peer.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank::{callers::body_budget::BodyClaim, logs::Line};
use basilbank_forward::{effect::Target, event::ProxiedEnd, prelude::*};
use basilbank_wire::{
    ProxyCodec, ProxyEnd, ProxyFailure, ProxyHead, ProxyHeader, ProxyMessage, ProxyPurpose,
    ProxyRequest,
};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Uri};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::spawn_local,
    time::{sleep, timeout},
};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::{
    attempt::parse_keep_alive,
    connections::{AnswerPlace, CallError},
    dialect::OutRequest,
    endpoint_calls::EndpointCall,
    peer_stream,
    proxy_client::{read_headers, wire_headers},
    proxy_intake::{BudgetedCodec, Received},
    relay::Writing,
    router::Router,
};

/// How long a peer's idle connection is kept.
const KEEP_IDLE: Duration = Duration::from_secs(10);

/// Pause after the system can't accept a connection, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Reader = FramedRead<OwnedReadHalf, BudgetedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, ProxyCodec>;

/// Accepts peers until the task is dropped.
pub async fn accept_peers(router: Rc<Router>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(serve_peer(Rc::clone(&router), stream, peer));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the calls on one connection, one after the other.
async fn serve_peer(router: Rc<Router>, stream: TcpStream, peer: SocketAddr) {
    peer_stream::set_options(&stream);
    let (read, write) = stream.into_split();
    let mut reader = FramedRead::new(read, BudgetedCodec::new(router.bodies.clone()));
    let mut writer = FramedWrite::new(write, ProxyCodec::default());
    while let Ok(Some(Ok(received))) = timeout(KEEP_IDLE, reader.next()).await {
        let is_usable = match received {
            Received::Request(request, claim) => {
                let request = claim_body(*request, claim);
                serve_call(&router, request, peer, &mut reader, &mut writer).await
            }
            Received::Other => false,
            Received::NoMemory => {
                router.metrics.count_proxied("body_memory");
                fail(&mut writer, ProxyFailure::Declined).await
            }
        };
        if !is_usable {
            return;
        }
    }
}

/// Returns the request with a body that counts in the budget until it was sent. The headers are copied,
/// since they would keep the memory of the whole frame.
fn claim_body(request: ProxyRequest, claim: BodyClaim) -> ProxyRequest {
    let copy = |header: ProxyHeader| {
        let value = Bytes::copy_from_slice(&header.value);
        ProxyHeader { value, ..header }
    };
    ProxyRequest {
        headers: request.headers.into_iter().map(copy).collect(),
        body: claim.attach(request.body),
        ..request
    }
}

/// Makes one call. Returns whether the connection can carry another one.
async fn serve_call(
    router: &Rc<Router>,
    mut request: ProxyRequest,
    peer: SocketAddr,
    reader: &mut Reader,
    writer: &mut Writer,
) -> bool {
    let received = Instant::now();
    let purpose = match request.purpose() {
        ProxyPurpose::Work => Purpose::Work,
        ProxyPurpose::Release => Purpose::Release,
        ProxyPurpose::Probe => Purpose::Probe,
        ProxyPurpose::Unspecified => return fail(writer, ProxyFailure::Declined).await,
    };
    let now = router.now();
    let software = request.version.and_then(SoftwareVersion::from_wire);
    let admitted =
        router.read(|state| state.admit_proxied(&request.instance, software, purpose, now));
    let target = match admitted {
        Ok(target) => target,
        Err(refusal) => {
            router.metrics.count_proxied(refusal.as_str());
            log_call(&request, peer, refusal.as_str(), received, None);
            let failure = match refusal {
                NotProxied::EndpointUnreachable => ProxyFailure::Unreachable,
                NotProxied::NoPeer | NotProxied::Declined => ProxyFailure::Declined,
            };
            return fail(writer, failure).await;
        }
    };
    let serving = Serving::start(router, &target, &request);
    let (writing, place) = (RefCell::default(), Cell::default());
    let body = RefCell::new(std::mem::take(&mut request.body));
    let call = Call {
        router,
        peer,
        target: &target,
        request: &request,
        body,
        purpose,
        received,
        writing: &writing,
        place: &place,
    };
    // A peer that closes the connection, or sends anything before the answer's end, doesn't want the
    // call any more. Dropping the call closes the connection to the endpoint.
    let end = tokio::select! {
        end = call.run(writer) => end,
        _ = reader.next() => ProxiedEnd::Cancelled,
    };
    serving.end(end, writing.borrow().wrote_on());
    router.metrics.count_proxied(end.as_str());
    log_call(&request, peer, end.as_str(), received, place.get());
    end != ProxiedEnd::Cancelled
}

async fn fail(writer: &mut Writer, failure: ProxyFailure) -> bool {
    writer.send(ProxyMessage::Failure(failure.into())).await.is_ok()
}

/// Logs a caller's call, with the caller's id of it.
fn log_call(
    request: &ProxyRequest,
    peer: SocketAddr,
    outcome: &str,
    received: Instant,
    place: Option<AnswerPlace>,
) {
    if request.trace_id.is_empty() {
        return;
    }
    let line = Line::new("proxied")
        .with("request", &request.trace_id)
        .with("for", peer.ip())
        .with("instance", &request.instance)
        .with("took_ms", received.elapsed().as_millis())
        .with("outcome", outcome);
    let line = place.into_iter().fold(line, |line, place| {
        line.with("connection", place.connection).with("answer", place.answer)
    });
    log::info!("{line}");
}

/// A call in progress. It ends for the reducer also when the task is dropped.
struct Serving {
    router: Rc<Router>,
    endpoint: EndpointKey,
    traits: Option<SharedTraits>,
    started: Instant,
    wrote_on: bool,
    end: ProxiedEnd,
}

impl Serving {
    fn start(router: &Rc<Router>, target: &Target, request: &ProxyRequest) -> Serving {
        router.dispatch(Event::ProxiedCallStarted);
        let with_digest =
            |digest| SharedTraits { digest: Digest(digest), parts: request.parts.clone() };
        Serving {
            router: Rc::clone(router),
            endpoint: target.endpoint,
            traits: request.digest.map(with_digest),
            started: Instant::now(),
            wrote_on: false,
            end: ProxiedEnd::Cancelled,
        }
    }

    fn end(mut self, end: ProxiedEnd, wrote_on: bool) {
        self.end = end;
        self.wrote_on = wrote_on;
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.router.dispatch(Event::ProxiedCallEnded {
            endpoint: self.endpoint,
            traits: self.traits.take(),
            wrote_on: self.wrote_on,
            duration: self.started.elapsed(),
            end: self.end,
        });
    }
}

struct Call<'a> {
    router: &'a Rc<Router>,
    peer: SocketAddr,
    target: &'a Target,
    request: &'a ProxyRequest,
    /// The request's body until it is sent.
    body: RefCell<Bytes>,
    purpose: Purpose,
    received: Instant,
    writing: &'a RefCell<Writing>,
    /// Which answer came, once one has.
    place: &'a Cell<Option<AnswerPlace>>,
}

impl Call<'_> {
    /// Calls the endpoint and passes its answer on.
    async fn run(&self, writer: &mut Writer) -> ProxiedEnd {
        let Some(request) = self.endpoint_request() else {
            return self.fail(writer, ProxyFailure::Declined, ProxiedEnd::Withheld).await;
        };
        let answer_timeout = Duration::from_millis(u64::from(self.request.answer_timeout));
        let (target, purpose) = (self.target, self.purpose);
        let remaining = self.request.remaining.map(|ms| Duration::from_millis(u64::from(ms)));
        let call = EndpointCall { target, request, answer_timeout, purpose, remaining, call: None };
        let (response, connection) = match self.router.call_directly(call).await {
            Ok(answer) => answer,
            Err(error) => {
                let (failure, end) = failure_of(error);
                return self.fail(writer, failure, end).await;
            }
        };
        self.place.set(Some(connection.answer_place()));
        let (head, mut body) = response.into_parts();
        let status = u32::from(head.status.as_u16());
        let wire_head = ProxyHead { status, headers: wire_headers(&head.headers) };
        let wire_head = ProxyMessage::Head(wire_head);
        self.router.count_proxied(self.peer, wire_head.wire_bytes());
        if writer.send(wire_head).await.is_err() {
            return ProxiedEnd::Cancelled;
        }
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return self.fail(writer, ProxyFailure::Broken, ProxiedEnd::Broken).await;
            };
            let Ok(data) = frame.into_data() else { continue };
            self.writing.borrow_mut().record(Instant::now());
            let data = ProxyMessage::Body(data);
            self.router.count_proxied(self.peer, data.wire_bytes());
            if writer.send(data).await.is_err() {
                return ProxiedEnd::Cancelled;
            }
        }
        if let Some(keep_alive) = parse_keep_alive(&head.headers) {
            self.router.connections.keep(self.target.endpoint, connection, keep_alive);
        }
        match writer.send(ProxyMessage::End(ProxyEnd {})).await {
            Ok(()) => ProxiedEnd::Answered,
            Err(_) => ProxiedEnd::Cancelled,
        }
    }

    async fn fail(
        &self,
        writer: &mut Writer,
        failure: ProxyFailure,
        end: ProxiedEnd,
    ) -> ProxiedEnd {
        match fail(writer, failure).await {
            true => end,
            false => ProxiedEnd::Cancelled,
        }
    }

    /// Returns the request to the endpoint, with the time that is left by now.
    fn endpoint_request(&self) -> Option<OutRequest> {
        let mut request = Request::new(Full::new(self.body.take()));
        *request.method_mut() = self.request.method.parse::<Method>().ok()?;
        *request.uri_mut() = self.request.path.parse::<Uri>().ok()?;
        *request.headers_mut() = read_headers(&self.request.headers)?;
        if let Some(remaining) = self.request.remaining {
            let remaining = Duration::from_millis(u64::from(remaining));
            let left = remaining.saturating_sub(self.received.elapsed());
            (self.router.dialect.shorten_deadline)(request.headers_mut(), left);
        }
        Some(request)
    }
}

fn failure_of(error: CallError) -> (ProxyFailure, ProxiedEnd) {
    match error {
        CallError::Unreachable => (ProxyFailure::Unreachable, ProxiedEnd::Unreachable),
        CallError::Withheld | CallError::NotProxied(_) => {
            (ProxyFailure::Declined, ProxiedEnd::Withheld)
        }
        CallError::Broken(_) => (ProxyFailure::Broken, ProxiedEnd::Broken),
        CallError::Silent => (ProxyFailure::Silent, ProxiedEnd::Silent),
    }
}
