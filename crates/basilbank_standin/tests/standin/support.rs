//! What the tests of the stand-ins share.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Any free port of loopback.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A client that reports statuses as answers.
pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(Duration::from_secs(10))).build().new_agent()
}

/// Calls and reads the answer: its status and its JSON.
pub fn get(agent: &ureq::Agent, url: &str) -> (u16, Value) {
    let mut answer = agent.get(url).call().unwrap();
    (answer.status().as_u16(), serde_json::from_reader(answer.body_mut().as_reader()).unwrap())
}

/// Posts JSON and reads the answer: its status and its JSON.
pub fn post(agent: &ureq::Agent, url: &str, body: &Value) -> (u16, Value) {
    let mut answer = agent.post(url).send(body.to_string()).unwrap();
    (answer.status().as_u16(), serde_json::from_reader(answer.body_mut().as_reader()).unwrap())
}

/// The body of a prefill.
pub fn prefill(request: &str, prompt: &str, continuation: &str) -> Value {
    json!({
        "request": request, "attempt": 0, "owner": {"vm": "00000000000000aa", "incarnation": 7},
        "model": "writer", "prompt": prompt, "continuation": continuation, "priority": 1,
        "source_dc": "hall-a",
    })
}

/// The body of a decode.
pub fn decode(request: &str, source: SocketAddr, handle: &str, max_tokens: u32) -> Value {
    json!({
        "request": request, "attempt": 0, "owner": {"vm": "00000000000000aa", "incarnation": 7},
        "model": "writer", "source": source, "handle": handle, "max_tokens": max_tokens,
        "priority": 1,
    })
}

/// Lines of an answer, until its end or until the connection breaks.
pub fn lines(answer: ureq::http::Response<ureq::Body>) -> impl Iterator<Item = Value> {
    let lines = BufReader::new(answer.into_body().into_reader()).lines();
    lines.map_while(Result::ok).map(|line| serde_json::from_str(&line).unwrap())
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(20), "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
