//! A client of a stream, which takes it up again where it broke off.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{BodyEnd, exchange};
use crate::record::Record;

pub const HOST: &str = "ficu95.example";

/// One event of a stream: its id, and the version and the runner that made it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Event {
    pub number: u32,
    pub version: String,
    pub runner: String,
}

/// What a client has seen of its stream.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub events: Vec<Event>,
    /// Whether an answer with success ended as a whole one does.
    pub is_whole: bool,
    /// Statuses of all tries; 0 for a channel that was refused or closed without an answer.
    pub statuses: Vec<u16>,
}

/// A stream that a client asks for.
#[derive(Clone, Debug)]
pub struct Stream {
    pub name: String,
    pub path: String,
    pub events: u32,
    pub deadline: Duration,
    /// Daemons to try, in turn.
    pub fronts: Vec<SocketAddr>,
    /// Tries in all.
    pub tries: usize,
    /// Pause before each further try.
    pub pause: Duration,
}

impl Stream {
    /// Reads the stream to its end, until the tries or the deadline are used up.
    pub fn read(&self, record: &Record) -> Seen {
        static ATTEMPTS: AtomicU64 = AtomicU64::new(1);
        let start = Instant::now();
        let mut seen = Seen::default();
        let mut first_attempt = None;
        for number in 0..self.tries {
            if number != 0 {
                thread::sleep(self.pause);
            }
            let left = self.deadline.saturating_sub(start.elapsed());
            if left < Duration::from_millis(100) {
                break;
            }
            let serial = ATTEMPTS.fetch_add(1, Ordering::SeqCst);
            let attempt = format!("{:08x}{serial:08x}", std::process::id());
            let front = self.fronts[number % self.fronts.len()];
            let resume = match (&first_attempt, seen.events.last()) {
                (Some(first), Some(last)) => {
                    format!("Resumes: {first}\r\nLast-Event-Id: {}\r\n", last.number)
                }
                _ => String::new(),
            };
            let request = format!(
                "POST {}{} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
                 X-Token-Counts: 3200,{}\r\nX-Prompt-Prefix: 5c1e07a2:200,{serial:x}:3000\r\n\
                 X-Deadline-Remaining: {}\r\n{resume}Content-Length: 4\r\n\r\nbody",
                self.path,
                self.name,
                self.events,
                left.as_millis()
            );
            let resumes = if resume.is_empty() { "" } else { " (takes up)" };
            record
                .line(&format!("client {} sends attempt={attempt}{resumes} to {front}", self.name));
            let before = seen.events.len();
            let mut text = String::new();
            let answer = exchange(front, &request, left, |data| {
                text.push_str(&String::from_utf8_lossy(data));
                while let Some((event, rest)) = text.split_once("\n\n") {
                    seen.events.extend(parse(event));
                    text = rest.to_owned();
                }
            });
            if first_attempt.is_none() && !seen.events.is_empty() {
                first_attempt = Some(attempt.clone());
            }
            let (status, end) = match answer {
                Ok((head, end)) => (head.status(), Some(end)),
                Err(_) => (0, None),
            };
            seen.statuses.push(status);
            let got: Vec<_> = seen.events[before..].iter().collect();
            let span = match (got.first(), got.last()) {
                (Some(first), Some(last)) => format!(
                    "events {} to {} of {} from {} ({})",
                    first.number, last.number, self.events, last.runner, last.version
                ),
                _ => "no events".to_owned(),
            };
            record.line(&format!(
                "client {} got attempt={attempt}{resumes}: status {status}, {span}, end {end:?}",
                self.name
            ));
            if status == 200 && end == Some(BodyEnd::Whole) {
                seen.is_whole = true;
                break;
            }
        }
        seen
    }
}

fn parse(event: &str) -> Option<Event> {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    let mut words = data.split(' ');
    let (version, runner) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Event { number: words.next()?.parse().ok()?, version, runner })
}
