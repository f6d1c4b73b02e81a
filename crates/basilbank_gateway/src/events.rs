//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

use crate::event_order::EventOrder;

/// Splits a stream of bytes into complete events, up to one whose id doesn't follow those before it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// What the ids are checked with; `None` if the bytes are no events.
    order: Option<EventOrder>,
    /// Bytes of the event that is not complete yet.
    partial: BytesMut,
    last_event_id: Option<String>,
    /// Number of complete events that have an id.
    ids: usize,
}

impl EventSplitter {
    /// Creates a splitter that checks the ids of events.
    #[must_use]
    pub fn new(order: Option<EventOrder>) -> EventSplitter {
        EventSplitter { order, ..EventSplitter::default() }
    }

    /// Returns the check of the events' ids.
    pub fn order(&mut self) -> Option<&mut EventOrder> {
        self.order.as_mut()
    }

    /// Adds bytes and returns all events that are complete by now. A blank line ends an event.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let from = self.partial.len().saturating_sub(MAX_LINE_ENDS_BYTES - 1);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial[from..]) else { return Bytes::new() };
        let mut ready = self.partial.split_to(from + end).freeze();
        if let Some(order) = &mut self.order {
            ready.truncate(ordered_bytes(order, &ready));
        }
        self.ids += event_ids(&ready).count();
        if let Some(id) = last_event_id(&ready) {
            self.last_event_id = Some(id);
        }
        ready
    }

    /// Returns the number of complete events that have an id.
    #[must_use]
    pub fn count_ids(&self) -> usize {
        self.ids
    }

    /// Returns the number of bytes of the event that is not complete.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the stream would break off inside an event if it ended now. Line ends after
    /// the last event belong to none.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.partial.iter().any(|byte| !is_line_end(*byte))
    }

    /// Takes the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }
}

/// Maximum number of bytes of the two line ends that end an event.
const MAX_LINE_ENDS_BYTES: usize = 4;

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the position after the last blank line. A line ends with CR LF, LF or CR.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let (mut end, mut at, mut is_blank) = (None, 0, false);
    while let Some(byte) = bytes.get(at) {
        let is_pair = bytes[at..].starts_with(b"\r\n");
        at += if is_pair { 2 } else { 1 };
        if is_line_end(*byte) && is_blank {
            end = Some(at);
        }
        is_blank = is_line_end(*byte);
    }
    end
}

/// Returns the number of bytes of the events before one that doesn't belong to the stream.
fn ordered_bytes(order: &mut EventOrder, events: &[u8]) -> usize {
    let mut rest = events;
    while !rest.is_empty() {
        let (event, after) = Event::split(rest);
        if !order.check(&event) {
            break;
        }
        rest = after;
    }
    events.len() - rest.len()
}

/// A server-sent event.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Event<'a> {
    /// Its id, as it was written.
    pub id: Option<&'a [u8]>,
}

impl Event<'_> {
    /// Reads the first event, and returns what follows its blank line.
    #[must_use]
    pub fn split(events: &[u8]) -> (Event<'_>, &[u8]) {
        let (mut event, mut rest) = (Event::default(), events);
        while !rest.is_empty() {
            let line;
            (line, rest) = split_line(rest);
            if line.is_empty() {
                break;
            }
            event.id = line.strip_prefix(b"id:").or(event.id);
        }
        (event, rest)
    }
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let id = event_ids(events).next_back()?;
    Some(String::from_utf8_lossy(id.trim_ascii()).into_owned())
}

fn event_ids(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    let lines = events.split(|byte| is_line_end(*byte));
    lines.filter_map(|line| line.strip_prefix(b"id:"))
}

/// Returns the number of events that have an id or data. Others, as comments, hold nothing of an answer.
#[must_use]
pub fn count_filled(events: &[u8]) -> usize {
    let (mut rest, mut count, mut is_filled) = (events, 0, false);
    while !rest.is_empty() {
        let line;
        (line, rest) = split_line(rest);
        if line.is_empty() {
            count += usize::from(std::mem::take(&mut is_filled));
        }
        is_filled |= line.starts_with(b"id:") || line.starts_with(b"data:");
    }
    count + usize::from(is_filled)
}

/// Returns the first line without its end, and what follows it.
fn split_line(bytes: &[u8]) -> (&[u8], &[u8]) {
    let Some(end) = bytes.iter().position(|byte| is_line_end(*byte)) else { return (bytes, &[]) };
    let (line, rest) = bytes.split_at(end);
    (line, rest.strip_prefix(b"\r\n").unwrap_or(&rest[1..]))
}
