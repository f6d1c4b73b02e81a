//! A stand-in for the platform's store: `/kv-key`, `/kv-range` and `/kv-watch` as PROTOCOL.md has them.
//! Runners write their entries by `PUT /entry/ID`, which is this stand-in's own.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, respond};

/// A runner writes its entry about as often.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

const PREFIX: &str = "servers/";

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    written: Instant,
}

#[derive(Default)]
struct Inside {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Changes, in order: revision, key, and the value or nothing.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

#[derive(Clone)]
pub struct Store {
    inside: Arc<(Mutex<Inside>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store { inside: Arc::default(), address };
        store.lock().rev = 1;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(&stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an item. A runner's entry of which nothing but `seq` has changed stays as it is.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut inside = self.lock();
        if let Some(item) = inside.items.get_mut(key) {
            item.written = Instant::now();
            if without_seq(&item.value) == without_seq(value) {
                return;
            }
        }
        inside.rev += 1;
        let rev = inside.rev;
        let item = Item { value: value.to_vec(), rev, written: Instant::now() };
        inside.items.insert(key.to_owned(), item);
        inside.history.push((rev, key.to_owned(), Some(value.to_vec())));
        self.inside.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut inside = self.lock();
        if inside.items.remove(key).is_some() {
            inside.rev += 1;
            let rev = inside.rev;
            inside.history.push((rev, key.to_owned(), None));
            self.inside.1.notify_all();
        }
    }

    /// Returns the ids of the listed runners.
    pub fn listed(&self) -> Vec<String> {
        let inside = self.lock();
        let ids = inside.items.keys().filter_map(|key| key.strip_prefix(PREFIX));
        ids.map(str::to_owned).collect()
    }

    /// Removes the entries of runners that have been silent for three intervals.
    fn expire(&self) {
        let is_silent = |(key, item): (&String, &Item)| {
            (key.starts_with(PREFIX) && HEARTBEAT * 3 < item.written.elapsed()).then(|| key.clone())
        };
        let silent: Vec<_> = self.lock().items.iter().filter_map(is_silent).collect();
        silent.iter().for_each(|key| self.remove(key));
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            if let Some(id) = path.strip_prefix("/entry/") {
                match head.method() {
                    "PUT" => self.put(&format!("{PREFIX}{id}"), &body),
                    _ => self.remove(&format!("{PREFIX}{id}")),
                }
                respond(stream, "200 OK", &[], b"")?;
                continue;
            }
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(known, _)| *known == name).map(|(_, value)| unescape(value))
            };
            let answer = match path {
                "/kv-key" => self.item(&parameter("key").unwrap_or_default()),
                "/kv-range" => Some(self.range(&parameter("prefix").unwrap_or_default())),
                "/kv-watch" => {
                    let number = |name| parameter(name).and_then(|text| text.parse::<u64>().ok());
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                    let prefix = parameter("prefix").unwrap_or_default();
                    Some(self.watch(&prefix, number("after").unwrap_or(0), wait))
                }
                _ => None,
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            match answer {
                Some(text) => respond(stream, "200 OK", &headers, text.as_bytes())?,
                None => respond(stream, "404 Not Found", &headers, b"{}")?,
            }
        }
        Ok(())
    }

    fn item(&self, key: &str) -> Option<String> {
        let inside = self.lock();
        let item = inside.items.get(key)?;
        let text = item_json(key, item.rev, &item.value);
        Some(format!("{},\"storeRevision\":{}}}", text.trim_end_matches('}'), inside.rev))
    }

    fn range(&self, prefix: &str) -> String {
        let inside = self.lock();
        let items = inside.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<_> = items.map(|(key, i)| item_json(key, i.rev, &i.value)).collect();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{}}}", inside.rev)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut inside = self.lock();
        loop {
            let is_new = |(rev, key, _): &&(u64, String, Option<Vec<u8>>)| {
                after < *rev && key.starts_with(prefix)
            };
            let events =
                inside.history.iter().filter(is_new).map(|(rev, key, value)| match value {
                    Some(value) => item_json(key, *rev, value),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}"),
                });
            let events: Vec<_> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"storeRevision\":{}}}", inside.rev);
            }
            let waited = self.inside.1.wait_timeout(inside, left);
            inside = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item_json(key: &str, rev: u64, value: &[u8]) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{rev},\"lease\":0}}"
    )
}

fn without_seq(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value).into_owned();
    let Some((before, rest)) = text.split_once("\"seq\":") else { return text };
    before.to_owned() + rest.trim_start_matches(|c: char| c.is_ascii_digit())
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = (*first == b'%').then(|| std::str::from_utf8(tail.get(..2)?).ok()).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |n: usize| u32::from(group.get(n).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { letter } else { '=' });
        }
    }
    text
}
