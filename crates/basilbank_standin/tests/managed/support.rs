//! What the tests share.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{Answer, World, WorldSpec, call};

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(15);

/// A world with one daemon.
pub fn world() -> World {
    World::start(&WorldSpec::default()).expect("a world")
}

/// Waits for a condition.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// An id that no other call has: no connection carries an id twice.
pub fn next_id() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    format!("a{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A plain call.
pub fn plain(to: SocketAddr, line: &str, body: &[u8]) -> Answer {
    let id = next_id();
    let headers =
        [("host", "shop.example"), ("x-attempt-id", &id), ("x-deadline-remaining", "4000")];
    call(to, line, &headers, body).expect("an answer")
}

/// A draft of some events, on the same prompt each time.
pub fn draft(to: SocketAddr, path: &str, events: u32) -> Answer {
    draft_on(to, path, &next_id(), "d1:1000", events)
}

/// A draft with an id, a prompt of some tokens, and some events.
pub fn draft_of(to: SocketAddr, path: &str, id: &str, tokens: u32, events: u32) -> Answer {
    // Each has a session of its own.
    let session =
        id.bytes().fold(0, |sum: u32, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    draft_on(to, path, id, &format!("{session:x}:{tokens}"), events)
}

/// A draft on a prompt of these parts.
pub fn draft_on(to: SocketAddr, path: &str, id: &str, parts: &str, events: u32) -> Answer {
    let sizes = parts.split(',').filter_map(|part| part.split_once(':')?.1.parse::<u32>().ok());
    let counts = format!("{},{events}", sizes.sum::<u32>());
    let headers = [
        ("host", "shop.example"),
        ("x-attempt-id", id),
        ("x-deadline-remaining", "8000"),
        ("x-token-counts", counts.as_str()),
        ("x-prompt-prefix", parts),
    ];
    call(to, &format!("POST {path}"), &headers, b"prompt").expect("an answer")
}

/// All events of a stream, each once and in order.
pub fn stream_of(events: u32) -> String {
    (1..=events).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect()
}
