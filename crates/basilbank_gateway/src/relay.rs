//! Forwards a stream's events as they arrive.

use std::{rc::Rc, time::Duration};

use basilbank::logs::Line;
use basilbank_forward::effect::Target;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    attempt::AnswerStream, endpoint_body::EndpointBody, framing::Framing, response::Chunk,
    router::Router,
};

/// Maximum size of an event, which is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How a stream ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RelayEnd {
    /// Whether the stream is complete.
    pub is_complete: bool,
    /// Id of the last event that was forwarded completely.
    pub last_event_id: Option<String>,
}

/// Forwards complete events only, so that a stream can continue at another endpoint without a
/// partial event in between.
pub async fn relay(
    router: Rc<Router>,
    stream: AnswerStream,
    chunks: mpsc::Sender<Chunk>,
) -> RelayEnd {
    let AnswerStream { mut body, connection, keep_alive, stall_timeout, target, .. } = stream;
    let (framing, trace_id) = (stream.framing, stream.trace_id);
    let mut events = EventSplitter::default();
    while let Some(frame) = next_frame(&router, &target, &mut body, stall_timeout).await {
        let Ok(frame) = frame else {
            return RelayEnd { is_complete: false, last_event_id: events.last_event_id };
        };
        let Ok(data) = frame.into_data() else { continue };
        let ready = events.push(&data);
        if !ready.is_empty() && chunks.send(Chunk::Data(ready)).await.is_err() {
            return RelayEnd { is_complete: false, last_event_id: events.last_event_id };
        }
        if MAX_EVENT_BYTES < events.partial.len() {
            return RelayEnd { is_complete: false, last_event_id: events.last_event_id };
        }
    }
    if let Some(keep_alive) = keep_alive {
        router.keep_connection(target.endpoint, connection, keep_alive);
    }
    let rest = events.partial.split().freeze();
    log_end(&router, &trace_id, framing, rest.len());
    let is_complete = rest.is_empty() || chunks.send(Chunk::Data(rest)).await.is_ok();
    RelayEnd { is_complete, last_event_id: events.last_event_id }
}

/// Counts the end of a stream's body, and logs an end whose framing doesn't prove that the stream is
/// complete, or that came inside an event.
fn log_end(router: &Router, trace_id: &str, framing: Framing, unfinished_bytes: usize) {
    let is_unfinished = unfinished_bytes != 0;
    router.metrics.count_stream_end(framing, is_unfinished);
    if is_unfinished || framing == Framing::Connection {
        let line = Line::new("stream_end")
            .with("request", trace_id)
            .with("framing", framing.as_str())
            .with("unfinished_bytes", unfinished_bytes);
        log::info!("{line}");
    }
}

/// Returns the next frame, or an error if neither the stream nor its endpoint answers.
async fn next_frame(
    router: &Rc<Router>,
    target: &Target,
    body: &mut EndpointBody,
    stall_timeout: Option<Duration>,
) -> Option<Result<Frame<Bytes>, StreamBroken>> {
    let Some(stall_timeout) = stall_timeout else {
        return body.frame().await.map(|f| f.map_err(|_| StreamBroken));
    };
    loop {
        if let Ok(frame) = timeout(stall_timeout, body.frame()).await {
            return frame.map(|frame| frame.map_err(|_| StreamBroken));
        }
        if !router.is_alive(target, (router.dialect.liveness_request)(&target.instance)).await {
            return Some(Err(StreamBroken));
        }
    }
}

/// The stream broke off or stalled.
struct StreamBroken;

/// Splits a stream of bytes into complete events.
#[derive(Debug, Default)]
struct EventSplitter {
    partial: BytesMut,
    last_event_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete by now. A blank line ends an event.
    fn push(&mut self, data: &[u8]) -> Bytes {
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial[from..]) else { return Bytes::new() };
        let ready = self.partial.split_to(from + end).freeze();
        if let Some(id) = last_event_id(&ready) {
            self.last_event_id = Some(id);
        }
        ready
    }
}

/// Returns the position after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    Some(String::from_utf8_lossy(id.trim_ascii()).into_owned())
}
