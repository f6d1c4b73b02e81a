//! Forwards a stream's events as they arrive.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank::logs::Line;
use basilbank_forward::{effect::Target, prelude::Damage, tuning::WRITING_TIME};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    attempt::AnswerStream,
    end_proof::EndProof,
    endpoint_body::EndpointBody,
    event_order::EventOrder,
    events::{EventSplitter, count_filled},
    framing::Framing,
    response::Chunk,
    router::Router,
};

/// Maximum size of an event, which is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Maximum number of bytes without an event that holds a part of the answer.
const MAX_UNFILLED_BYTES: usize = 64 << 10;

/// Maximum time in which bytes come, and no event that holds a part of the answer. Callers wait no
/// longer for the next one.
const MAX_UNFILLED_TIME: Duration = Duration::from_secs(2);

/// Number of events beyond the maximum number of tokens, for those that hold no token.
const EXTRA_EVENTS: usize = 16;

/// Progress of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StreamProgress {
    /// The first event has come.
    FirstEvent,
    /// Events have come for [`WRITING_TIME`].
    WroteOn,
    /// Nothing has come for this long, and the endpoint answers no liveness request.
    Silent(Duration),
    /// Something has come after a silence.
    Resumed,
}

/// Id of the last event that was forwarded to the caller, by whichever attempt.
pub type LastEventId = Rc<RefCell<Option<String>>>;

/// For how long an endpoint has been writing an answer.
#[derive(Debug, Default)]
pub struct Writing {
    since: Option<Instant>,
    wrote_on: bool,
}

impl Writing {
    /// Records that a piece of the answer has come, and returns the progress that it shows for the
    /// first time.
    pub fn record(&mut self, now: Instant) -> Option<StreamProgress> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return Some(StreamProgress::FirstEvent);
        };
        let is_new = !self.wrote_on && since + WRITING_TIME <= now;
        self.wrote_on |= is_new;
        is_new.then_some(StreamProgress::WroteOn)
    }

    /// Returns whether pieces have come for [`WRITING_TIME`].
    #[must_use]
    pub fn wrote_on(&self) -> bool {
        self.wrote_on
    }
}

/// How a stream ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RelayEnd {
    /// It is complete.
    Complete,
    /// It broke off, or nothing proves that it is complete.
    Broken,
    /// The way to the peer that passed it on was lost.
    Closed,
    /// What came is more than a stream for the call can be.
    Endless,
    /// An event came whose id doesn't follow the one before it.
    Misplaced(Damage),
}

/// Forwards complete events only, so that a stream can continue at another endpoint without a
/// partial event in between. A stream that ends inside an event has broken off, whatever its framing
/// says, and so has one whose events' ids don't rise, from `resume_after` on.
///
/// `on_progress` is called before the events are forwarded that show the progress. A relay that is
/// stopped has forwarded all events up to `last_forwarded` and none after it.
///
/// A silent endpoint doesn't end the relay, since it may write on.
pub async fn relay(
    router: Rc<Router>,
    stream: AnswerStream,
    chunks: mpsc::Sender<Chunk>,
    resume_after: Option<String>,
    last_forwarded: LastEventId,
    on_progress: impl Fn(StreamProgress),
) -> RelayEnd {
    let mut held = HeldEvents::new(&stream);
    let AnswerStream { mut body, connection, keep_alive, stall_timeout, target, .. } = stream;
    let (framing, trace_id, is_events) = (stream.framing, stream.trace_id, stream.is_events);
    let mut is_cut = false;
    let order = is_events.then(|| EventOrder::after(resume_after.as_deref()));
    let mut events = EventSplitter::new(order);
    let mut writing = Writing::default();
    let mut claim = router.bodies.claim_answer();
    while let Some(frame) =
        next_frame(&router, &target, &mut body, stall_timeout, &on_progress).await
    {
        let Ok(frame) = frame else {
            is_cut = true;
            break;
        };
        let Ok(data) = frame.into_data() else { continue };
        let ready = events.push(&data);
        let Some(ready) = held.pass(ready, &events) else { return RelayEnd::Endless };
        claim.resize(held.bytes() + events.partial_bytes()).await;
        if !ready.is_empty() {
            if let Some(progress) = writing.record(Instant::now()) {
                on_progress(progress);
            }
            if chunks.send(Chunk::Data(ready)).await.is_err() {
                return RelayEnd::Broken;
            }
            if let Some(id) = events.last_event_id() {
                last_forwarded.replace(Some(id.to_owned()));
            }
        }
        if let Some(damage) = check_order(&router, &trace_id, &target, &mut events) {
            return RelayEnd::Misplaced(damage);
        }
        if MAX_EVENT_BYTES < events.partial_bytes() {
            return RelayEnd::Endless;
        }
    }
    let proof = end_proof(&body, &events, stream.max_tokens);
    if let Some(proof) = proof {
        log_end(&router, &trace_id, framing, proof, events.partial_bytes());
    }
    let is_whole = proof.map_or(!is_cut, EndProof::is_whole);
    match body.damage() {
        Damage::Endless if is_cut => return RelayEnd::Endless,
        Damage::Closed if is_cut => return RelayEnd::Closed,
        _ => {}
    }
    if !is_whole || is_events && events.is_inside_event() {
        return RelayEnd::Broken;
    }
    if let Some(keep_alive) = keep_alive {
        router.keep_connection(target.endpoint, connection, keep_alive);
    }
    let rest = held.take_with(&events.take_partial());
    match rest.is_empty() || chunks.send(Chunk::Data(rest)).await.is_ok() {
        true => RelayEnd::Complete,
        false => RelayEnd::Broken,
    }
}

/// Counts and logs what an attempt's events skipped, and one that doesn't belong to the stream. Returns
/// what the latter shows.
fn check_order(
    router: &Router,
    trace_id: &str,
    target: &Target,
    events: &mut EventSplitter,
) -> Option<Damage> {
    let order = events.order()?;
    let line = |name| Line::new(name).with("request", trace_id).with("instance", &target.instance);
    if let Some(gap) = order.take_gap() {
        router.metrics.count_event_order("gap");
        log::info!("{}", line("stream_gap").with("skipped", gap));
    }
    let misplaced = order.misplaced()?;
    let damage = misplaced.damage();
    router.metrics.count_event_order(damage.as_str());
    let line = line("stream_misplaced")
        .with("damage", damage.as_str())
        .with("came", misplaced.id)
        .with("after", misplaced.after);
    log::info!("{line}");
    Some(damage)
}

/// Events that hold no part of the answer, as comments: they have no id, and no data where the stream
/// doesn't go on elsewhere. They are held until one follows that does, so that nothing is passed on of
/// an endpoint that writes them for ever.
#[derive(Debug)]
struct HeldEvents {
    events: BytesMut,
    /// When an event last held a part of the answer.
    filled_at: Instant,
    /// Number of such events until then.
    filled: usize,
    /// Maximum number of these; `None` if the stream may hold any number, or no events at all.
    max_filled: Option<usize>,
    is_events: bool,
    /// Whether the stream may go on at another endpoint.
    is_resumable: bool,
}

impl HeldEvents {
    fn new(stream: &AnswerStream) -> HeldEvents {
        let max_tokens = stream.max_tokens.filter(|max| 0 < *max);
        HeldEvents {
            events: BytesMut::new(),
            filled_at: Instant::now(),
            filled: 0,
            max_filled: max_tokens.map(|max| (max as usize).saturating_add(EXTRA_EVENTS)),
            is_events: stream.is_events,
            is_resumable: stream.stall_timeout.is_some(),
        }
    }

    /// Returns what may be passed on now, or `None` if the stream can't be an answer any more.
    fn pass(&mut self, ready: Bytes, events: &EventSplitter) -> Option<Bytes> {
        if !self.is_events || ready.is_empty() {
            return Some(ready);
        }
        // Only an id says where a stream may go on.
        let filled = match self.is_resumable {
            true => events.count_ids(),
            false => self.filled + count_filled(&ready),
        };
        let now = Instant::now();
        if self.filled < filled {
            (self.filled, self.filled_at) = (filled, now);
            let is_answer = self.max_filled.is_none_or(|max| filled <= max);
            return is_answer.then(|| self.take_with(&ready));
        }
        self.events.extend_from_slice(&ready);
        let is_late = self.is_resumable && self.filled_at + MAX_UNFILLED_TIME < now;
        let is_answer = self.events.len() <= MAX_UNFILLED_BYTES && !is_late;
        is_answer.then(Bytes::new)
    }

    fn bytes(&self) -> usize {
        self.events.len()
    }

    /// Takes what is held, followed by more.
    fn take_with(&mut self, more: &Bytes) -> Bytes {
        if self.events.is_empty() {
            return more.clone();
        }
        self.events.extend_from_slice(more);
        self.events.split().freeze()
    }
}

/// Returns what proves that a stream is whole, or why nothing does; `None` if its connection broke.
///
/// Each event has at least one token. So a stream of as many events as the caller wants tokens is whole
/// even if the process that wrote them has ended since.
fn end_proof(
    body: &EndpointBody,
    events: &EventSplitter,
    max_tokens: Option<u32>,
) -> Option<EndProof> {
    let proof = body.proof()?;
    let count = u32::try_from(events.count_ids()).unwrap_or(u32::MAX);
    let has_all = max_tokens.is_some_and(|max| 0 < max && max <= count);
    Some(if has_all && !proof.is_whole() { EndProof::Tokens } else { proof })
}

/// Counts the end of a stream's body, and logs an end whose framing doesn't prove that the stream is
/// complete, or that came inside an event.
fn log_end(
    router: &Router,
    trace_id: &str,
    framing: Framing,
    proof: EndProof,
    unfinished_bytes: usize,
) {
    let is_unfinished = unfinished_bytes != 0;
    router.metrics.count_stream_end(framing, proof, is_unfinished);
    if is_unfinished || framing == Framing::Connection {
        let line = Line::new("stream_end")
            .with("request", trace_id)
            .with("framing", framing.as_str())
            .with("proof", proof.as_str())
            .with("unfinished_bytes", unfinished_bytes);
        log::info!("{line}");
    }
}

/// Returns the next frame, or an error if the body breaks off. A silent endpoint is reported, and
/// waited for.
pub async fn next_frame(
    router: &Rc<Router>,
    target: &Target,
    body: &mut EndpointBody,
    stall_timeout: Option<Duration>,
    on_progress: &impl Fn(StreamProgress),
) -> Option<Result<Frame<Bytes>, StreamBroken>> {
    let waiting = Instant::now();
    let mut is_silent = false;
    let frame = loop {
        let Some(stall_timeout) = stall_timeout else { break body.frame().await };
        if let Ok(frame) = timeout(stall_timeout, body.frame()).await {
            break frame;
        }
        let request = || (router.dialect.liveness_request)(&target.instance);
        let is_alive = router.is_alive(target, request);
        let is_alive = tokio::select! {
            biased;
            frame = body.frame() => break frame,
            is_alive = is_alive => is_alive,
        };
        if !is_alive {
            is_silent = true;
            on_progress(StreamProgress::Silent(waiting.elapsed()));
        }
    };
    if is_silent && matches!(frame, Some(Ok(_))) {
        on_progress(StreamProgress::Resumed);
    }
    frame.map(|frame| frame.map_err(|_| StreamBroken))
}

/// The body broke off.
#[derive(Clone, Copy, Debug)]
pub struct StreamBroken;
