//! The cases, and what they share.

pub mod framing;
pub mod holders;
pub mod parts;
pub mod rejoined;
pub mod versions;

use std::sync::Arc;

use crate::{
    runner::{Runner, Spec},
    store::Store,
    world::Site,
};

pub const HOST: &str = "ficu95.example";
pub const WRITER: &str = "huvo11a";
pub const DESK: &str = "wuno96b";

/// The configuration: streams that may be resumed and that may not, and plain routes of both kinds.
pub fn configuration() -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 service: &str,
                 most: u32,
                 resumable: bool| {
        let (timeout, target) = if kind == "streaming" { (14000, 900) } else { (1200, 150) };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{most},\"sticky\":{sticky},\
             \"resumable\":{resumable},\"targetGapMs\":300}}",
            sticky = kind == "streaming",
        )
    };
    let routes = [
        route("r-scope", "/lohu930/", "streaming", WRITER, 1, false),
        route("r-refit", "/pufi791/", "streaming", WRITER, 2, true),
        route("r-stock", "/pule252/", "non_idempotent", DESK, 1, false),
        route("r-sheet", "/puxa403/", "idempotent", DESK, 2, false),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{WRITER}\",\
         \"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvTokens\":40718,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,\
         \"moves\":true,\"backups\":true,\"stride\":8,\"most\":12,\"kvHoldS\":0.5,\"switchS\":6.0,\
         \"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{DESK}\",\"healthPath\":\"/health\",\"maxConns\":96,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Starts the store with its configuration.
pub fn start_store(site: &Site) -> Store {
    let store = Store::start(site.store);
    store.put("op/config", &configuration());
    store
}

/// Starts a runner at an address of its own.
pub fn start_runner(
    site: &Site,
    store: &Store,
    host: u8,
    stage: &str,
    version: &str,
) -> Arc<Runner> {
    let service = if stage.is_empty() { DESK } else { WRITER };
    let spec = Spec {
        id: format!("i-{host:04x}"),
        service: service.to_owned(),
        version: version.to_owned(),
        stage: stage.to_owned(),
        zone: "hall-a".to_owned(),
        addr: site.net.at(host, 8080),
        slots: if stage.is_empty() { 6 } else { 64 },
        gap_ms: 30,
        work_ms: 30,
    };
    Runner::start(spec, store, &site.record)
}

/// The head of a client's request for a stream.
pub fn stream_head(prefix: &str, id: &str, number: usize, tokens: u64, more: &str) -> String {
    prompt_head(prefix, id, &parts_of(number), tokens, more)
}

/// The same for a prompt of these parts.
pub fn prompt_head(prefix: &str, id: &str, parts: &str, tokens: u64, more: &str) -> String {
    format!(
        "POST {prefix}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 460,{tokens}\r\nX-Prompt-Prefix: {parts}\r\n\
         X-Deadline-Remaining: 14000\r\n{more}Content-Length: {}\r\n\r\n",
        stream_body(parts).len()
    )
}

/// The body of a request for a stream: no two prompts are alike.
pub fn stream_body(parts: &str) -> Vec<u8> {
    format!("prompt of {parts}").into_bytes()
}

/// The parts of a client's prompt.
pub fn parts_of(number: usize) -> String {
    format!("5c1e07a2:200,{number:08x}:260")
}
