//! The platform's store, as far as the system may read it.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Wire, world::cannot_run};

/// How long a record stays without being written: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3600);
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct Inner {
    rev: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(Instant, u64, String, Option<Item>)>,
    dropped: u64,
    written: BTreeMap<String, Instant>,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    /// 0: it serves; 1: it is busy and answers 503 to all.
    mode: Arc<AtomicU8>,
}

impl Store {
    pub fn start(at: SocketAddr) -> Store {
        let inner = Inner { rev: 100, ..Inner::default() };
        let store =
            Store { inner: Arc::new((Mutex::new(inner), Condvar::new())), mode: Arc::default() };
        let listener = TcpListener::bind(at).unwrap_or_else(|_| cannot_run("the store's address"));
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let reaped = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                reaped.reap();
            }
        });
        store
    }

    pub fn is_down(&self) -> bool {
        self.mode.load(Ordering::SeqCst) != 0
    }

    /// Makes the store busy, or ends that.
    pub fn set_down(&self, down: bool) {
        self.mode.store(u8::from(down), Ordering::SeqCst);
        let (inner, changed) = &*self.inner;
        if let Ok(mut inner) = inner.lock() {
            // Records that lapsed meanwhile get time to be written again.
            let now = Instant::now();
            inner.written.values_mut().for_each(|at| *at = now);
        }
        changed.notify_all();
    }

    /// Writes an item, unless the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        if self.is_down() {
            return false;
        }
        let (inner, changed) = &*self.inner;
        let Ok(mut inner) = inner.lock() else { return false };
        inner.rev += 1;
        let rev = inner.rev;
        let created = inner.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value: value.as_bytes().to_vec(), rev, created };
        inner.items.insert(key.to_owned(), item.clone());
        inner.log.push((Instant::now(), rev, key.to_owned(), Some(item)));
        if key.starts_with("servers/") {
            inner.written.insert(key.to_owned(), Instant::now());
        }
        changed.notify_all();
        true
    }

    pub fn remove(&self, key: &str) {
        let (inner, changed) = &*self.inner;
        let Ok(mut inner) = inner.lock() else { return };
        if inner.items.remove(key).is_some() {
            inner.rev += 1;
            let rev = inner.rev;
            inner.log.push((Instant::now(), rev, key.to_owned(), None));
        }
        inner.written.remove(key);
        changed.notify_all();
    }

    fn reap(&self) {
        if self.is_down() {
            return;
        }
        let silent: Vec<String> = {
            let Ok(mut inner) = self.inner.0.lock() else { return };
            let now = Instant::now();
            while inner.log.first().is_some_and(|(at, ..)| *at + HISTORY < now) {
                inner.dropped = inner.log.remove(0).1;
            }
            let old = inner.written.iter().filter(|(_, at)| **at + EXPIRY < now);
            old.map(|(key, _)| key.clone()).collect()
        };
        silent.iter().for_each(|key| self.remove(key));
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            if wire.body(&head, |_| {}).is_err() {
                return;
            }
            let (status, body) = self.answer(head.path());
            if answer(&mut wire.stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        thread::sleep(Duration::from_millis(4));
        if self.is_down() {
            return (503, "{}".to_owned());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let get = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
        };
        let prefix = get("prefix").unwrap_or_default();
        let (inner, changed) = &*self.inner;
        let Ok(mut inner) = inner.lock() else { return (503, "{}".to_owned()) };
        match path {
            "/kv-key" => match inner.items.get_key_value(&get("key").unwrap_or_default()) {
                None => (404, format!("{{\"storeRevision\":{}}}", inner.rev)),
                Some((key, item)) => {
                    let text = item_json(key, item);
                    (200, format!("{},\"storeRevision\":{}}}", &text[..text.len() - 1], inner.rev))
                }
            },
            "/kv-range" => {
                let after = get("after").unwrap_or_default();
                let items = inner.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && after < **key);
                let items: Vec<_> = items.map(|(key, item)| item_json(key, item)).collect();
                let items = items.join(",");
                let rev = inner.rev;
                (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{rev}}}"))
            }
            "/kv-watch" => {
                let after: u64 = get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = get("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    if after < inner.dropped {
                        return (410, "{}".to_owned());
                    }
                    let news = inner.log.iter();
                    let news =
                        news.filter(|(_, rev, key, _)| after < *rev && key.starts_with(&prefix));
                    let news = news.map(|(_, rev, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}"),
                    });
                    let news: Vec<String> = news.collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if self.is_down() {
                        return (503, "{}".to_owned());
                    }
                    if !news.is_empty() || left.is_zero() {
                        let (rev, news) = (inner.rev, news.join(","));
                        return (200, format!("{{\"events\":[{news}],\"storeRevision\":{rev}}}"));
                    }
                    inner = match changed.wait_timeout(inner, left) {
                        Ok((inner, _)) => inner,
                        Err(_) => return (503, "{}".to_owned()),
                    };
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let value = base64(&item.value);
    let (rev, created) = (item.rev, item.created);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{created},\"lease\":0}}"
    )
}

pub fn answer(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())
}

fn unescape(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|two| std::str::from_utf8(two).ok());
        let code = code.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = three.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - three.len()));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= three.len() { digit } else { '=' });
        }
    }
    text
}
