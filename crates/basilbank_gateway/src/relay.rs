//! Passes a stream's events on as they come.

use std::{rc::Rc, time::Duration};

use basilbank_forward::effect::Target;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::{sync::mpsc, time::timeout};

use crate::{answer::Piece, calls::Stream, router::Router};

/// Largest event that is kept back until it is whole.
const EVENT: usize = 1 << 20;

/// How a stream ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Ended {
    /// It ended whole.
    pub whole: bool,
    /// The id of the last event that was passed on whole.
    pub last: Option<String>,
}

/// Passes whole events on, so that a stream can go on elsewhere without a torn event between.
pub async fn relay(router: Rc<Router>, stream: Stream, pieces: mpsc::Sender<Piece>) -> Ended {
    let Stream { mut body, link, kept, stall, target, .. } = stream;
    let mut events = Events::default();
    while let Some(frame) = next(&router, &target, &mut body, stall).await {
        let Ok(frame) = frame else { return Ended { whole: false, last: events.last } };
        let Ok(data) = frame.into_data() else { continue };
        let ready = events.take(&data);
        if !ready.is_empty() && pieces.send(Piece::Data(ready)).await.is_err() {
            return Ended { whole: false, last: events.last };
        }
        if EVENT < events.partial.len() {
            return Ended { whole: false, last: events.last };
        }
    }
    if let Some(kept) = kept {
        router.links.keep(target.endpoint, link, kept);
    }
    let rest = events.partial.split().freeze();
    let whole = rest.is_empty() || pieces.send(Piece::Data(rest)).await.is_ok();
    Ended { whole, last: events.last }
}

/// The next frame; an error when the stream is silent and its endpoint too.
async fn next(
    router: &Router,
    target: &Target,
    body: &mut Incoming,
    stall: Option<Duration>,
) -> Option<Result<Frame<Bytes>, Broken>> {
    let Some(stall) = stall else { return body.frame().await.map(|f| f.map_err(|_| Broken)) };
    loop {
        if let Ok(frame) = timeout(stall, body.frame()).await {
            return frame.map(|frame| frame.map_err(|_| Broken));
        }
        if !router.links.lives(target, (router.dialect.alive)(&target.instance)).await {
            return Some(Err(Broken));
        }
    }
}

/// The stream broke off, or is silent.
struct Broken;

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
struct Events {
    partial: BytesMut,
    last: Option<String>,
}

impl Events {
    /// All events that are whole by now. A blank line ends an event.
    fn take(&mut self, data: &[u8]) -> Bytes {
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_end(&self.partial[from..]) else { return Bytes::new() };
        let ready = self.partial.split_to(from + end).freeze();
        if let Some(id) = last_id(&ready) {
            self.last = Some(id);
        }
        ready
    }
}

/// Where the last blank line ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

/// The id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    Some(String::from_utf8_lossy(id.trim_ascii()).into_owned())
}
