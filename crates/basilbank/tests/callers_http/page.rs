//! `docs/CALLERS.md` says what the server does.

use std::collections::BTreeMap;

use basilbank::callers::{EdgeRefusal, ErrorCode};
use basilbank_config::ApiLimits;
use basilbank_core::prelude::*;
use serde_json::Value;

use crate::edge::Edge;

const PAGE: &str = include_str!("../../../../docs/CALLERS.md");

/// The text of a fenced block, by its info string.
fn block(info: &str) -> &'static str {
    let (_, rest) = PAGE.split_once(&format!("```{info}\n")).unwrap();
    rest.split_once("```").unwrap().0
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

#[test]
fn the_request_has_the_answer_of_the_page() {
    let (edge, mut client) = Edge::open();
    let caller = edge.begin(&mut client, block("json request"));
    edge.token(caller, 0, "Two tall cabinets");
    edge.done(caller, 3);
    assert_eq!(json(&client.answer().1), json(block("json answer")));
}

#[test]
fn the_stream_is_as_on_the_page() {
    let (edge, mut client) = Edge::open();
    let mut request = json(block("json request"));
    request["stream"] = Value::Bool(true);
    let caller = edge.begin(&mut client, &request.to_string());
    edge.locate(caller, "s1", 0);
    edge.token(caller, 0, "Two");
    edge.done(caller, 1);
    client.head();
    let mut text = String::new();
    while let Some(chunk) = client.chunk() {
        text += &chunk;
    }
    let (cursor, events) = text.split_once('\n').unwrap();
    let (expected_cursor, expected) = block("text stream").split_once('\n').unwrap();
    assert_eq!(cursor.split('.').next(), expected_cursor.split('.').next());
    assert_eq!(events, expected);
}

#[test]
fn the_error_is_as_on_the_page() {
    let (edge, mut client) = Edge::open();
    let caller = edge.begin(&mut client, block("json request"));
    edge.say(caller, Answer::Refused { refusal: Refusal::WaitTimedOut, retry_after: None });
    assert_eq!(json(&client.answer().1), json(block("json error")));
}

#[test]
fn the_default_limits_are_as_on_the_page() {
    let limits = ApiLimits::default();
    let expected = format!(
        "{} MiB for a body, {} KiB for headers, {} seconds for headers to arrive and {} for a body, \
         {} connections.",
        limits.max_body_bytes >> 20,
        limits.max_header_bytes >> 10,
        limits.header_timeout.as_secs(),
        limits.body_timeout.as_secs(),
        limits.max_connections
    );
    assert!(PAGE.contains(&expected), "{expected}");
    let idle = format!("closed after {} seconds without", limits.header_timeout.as_secs());
    assert!(PAGE.contains(&idle), "{idle}");
}

/// Symptom: a client is written for a code or status that never comes. Cause: a page that was not
/// changed with the code.
#[test]
fn the_table_of_errors_is_complete_and_right() {
    let mut expected = BTreeMap::new();
    for refusal in Refusal::ALL.iter().copied() {
        let code = ErrorCode::Refused(refusal);
        expected.insert(code.as_str(), row(code, refusal.is_temporary()));
    }
    for refusal in EdgeRefusal::ALL.iter().copied() {
        let code = ErrorCode::Edge(refusal);
        expected.insert(code.as_str(), row(code, refusal.retry_after().is_some()));
    }
    expected.insert("unknown", row(ErrorCode::Unknown, false));
    let section = PAGE.split("\n## ").find(|s| s.starts_with("Errors")).unwrap();
    let rows = section.lines().filter_map(|line| {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let code = cells.get(1)?.strip_prefix('`')?.strip_suffix('`')?;
        Some((code, cells.get(2..5)?.join(" ")))
    });
    let rows: Vec<_> = rows.collect();
    assert_eq!(rows.len(), expected.len(), "a code is missing, or is there twice");
    assert_eq!(rows.into_iter().collect::<BTreeMap<_, _>>(), expected);
}

fn row(code: ErrorCode, retries: bool) -> String {
    let retry_after = if retries { "yes" } else { "no" };
    format!("{} {} {retry_after}", code.status().as_u16(), code.outcome())
}
