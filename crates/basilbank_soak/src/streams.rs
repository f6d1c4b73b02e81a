//! What callers of a stream have of it, over all their tries.

use basilbank_standin::managed::{FIRST_VERSION, event_text};

use crate::callers::Seen;

/// Events of a stream.
pub const EVENTS: u32 = 40;

/// The whole events that a caller has of a stream. They come in order, each once.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Events {
    /// How many.
    pub count: u32,
    /// The version that wrote the first one.
    pub version: Option<String>,
    /// How many the whole stream has.
    pub last: u32,
}

impl Default for Events {
    fn default() -> Events {
        Events::of(EVENTS)
    }
}

impl Events {
    /// None yet, of a stream with so many.
    #[must_use]
    pub fn of(last: u32) -> Events {
        Events { count: 0, version: None, last }
    }

    /// Takes what one try brought, and says what that is. A stream that looks whole has all events.
    pub fn take(&mut self, text: &str, whole: bool) -> Seen {
        let wrong = |part: &str| {
            Seen::Wrong(format!("{part}, {} bytes, whole {whole}: {text:?}", text.len()))
        };
        let (mut rest, mut other) = (text, None);
        while let Some(end) = rest.find("\n\n") {
            let (event, after) = rest.split_at(end + 2);
            let Some(version) = version_of(event, self.count + 1) else {
                return wrong(&misplaced(event, self.count + 1));
            };
            let first = self.version.get_or_insert_with(|| version.to_owned());
            if first != version {
                other.get_or_insert(format!("event {} of {version} after {first}", self.count + 1));
            }
            (self.count, rest) = (self.count + 1, after);
        }
        if let Some(other) = other {
            return Seen::OtherVersion(other);
        }
        match (whole, rest.is_empty() && self.count == self.last) {
            (true, true) => Seen::Served,
            (false, _) if self.begins_next(rest) => Seen::Broken,
            (true, _) if rest.is_empty() => wrong(&format!("ended after {}", self.count)),
            _ => wrong("an event that broke off"),
        }
    }

    /// The stream can go on.
    #[must_use]
    pub fn is_begun(&self) -> bool {
        (1..self.last).contains(&self.count)
    }

    /// An event that broke off is the beginning of the next one.
    fn begins_next(&self, rest: &str) -> bool {
        let version = self.version.as_deref().unwrap_or(FIRST_VERSION);
        let next = event_text(self.count + 1, version);
        rest.is_empty() || self.count < self.last && next.starts_with(rest)
    }
}

/// What is wrong with an event in place of the expected one.
fn misplaced(event: &str, expected: u32) -> String {
    let id = event.lines().find_map(|line| line.strip_prefix("id: ")?.parse::<u32>().ok());
    match id {
        Some(id) if expected < id => format!("event {expected} is missing before {id}"),
        Some(id) if id < expected => format!("event {id} came twice, after {}", expected - 1),
        Some(_) => format!("event {expected} is not its endpoint's"),
        None => "an event without an id".to_owned(),
    }
}

/// The version that wrote an event, if it is the one of this number.
fn version_of(event: &str, number: u32) -> Option<&str> {
    if event == event_text(number, FIRST_VERSION) {
        return Some(FIRST_VERSION);
    }
    let (_, version) = event.trim_end().rsplit_once(" of ")?;
    (event == event_text(number, version)).then_some(version)
}
