//! Forwards a stream's events as they arrive.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank::logs::Line;
use basilbank_forward::{effect::Target, tuning::WRITING_TIME};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    attempt::AnswerStream, end_proof::EndProof, endpoint_body::EndpointBody, events::EventSplitter,
    framing::Framing, response::Chunk, router::Router,
};

/// Maximum size of an event, which is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

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
}

/// Forwards complete events only, so that a stream can continue at another endpoint without a
/// partial event in between. A stream that ends inside an event has broken off, whatever its framing
/// says. `on_progress` is called before the events are forwarded that show the progress. A relay that is
/// stopped has forwarded all events up to `last_forwarded` and none after it.
///
/// A silent endpoint doesn't end the relay, since it may write on.
pub async fn relay(
    router: Rc<Router>,
    stream: AnswerStream,
    chunks: mpsc::Sender<Chunk>,
    last_forwarded: LastEventId,
    on_progress: impl Fn(StreamProgress),
) -> RelayEnd {
    let AnswerStream { mut body, connection, keep_alive, stall_timeout, target, .. } = stream;
    let (framing, trace_id, is_events) = (stream.framing, stream.trace_id, stream.is_events);
    let mut is_cut = false;
    let mut events = EventSplitter::default();
    let mut writing = Writing::default();
    while let Some(frame) =
        next_frame(&router, &target, &mut body, stall_timeout, &on_progress).await
    {
        let Ok(frame) = frame else {
            is_cut = true;
            break;
        };
        let Ok(data) = frame.into_data() else { continue };
        let ready = events.push(&data);
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
        if MAX_EVENT_BYTES < events.partial_bytes() {
            return RelayEnd::Broken;
        }
    }
    let proof = end_proof(&body, &events, stream.max_tokens);
    if let Some(proof) = proof {
        log_end(&router, &trace_id, framing, proof, events.partial_bytes());
    }
    let is_whole = proof.map_or(!is_cut, EndProof::is_whole);
    if !is_whole || is_events && events.is_inside_event() {
        return RelayEnd::Broken;
    }
    if let Some(keep_alive) = keep_alive {
        router.keep_connection(target.endpoint, connection, keep_alive);
    }
    let rest = events.take_partial();
    match rest.is_empty() || chunks.send(Chunk::Data(rest)).await.is_ok() {
        true => RelayEnd::Complete,
        false => RelayEnd::Broken,
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
