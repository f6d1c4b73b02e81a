//! Cursors and resuming.

use basilbank::callers::ServerConfig;
use basilbank_core::{event::ResumePoint, prelude::*};
use test_case::test_case;

use crate::{
    client::Client,
    edge::{Edge, STREAM, config},
};

/// The cursor of the next event.
fn cursor(client: &mut Client) -> String {
    let chunk = client.chunk().unwrap();
    let (id, data) = chunk.split_once('\n').unwrap();
    assert!(data.starts_with("data: {"), "{chunk}");
    id.strip_prefix("id: ").unwrap().to_owned()
}

/// A stream's cursors, from a daemon of its own.
fn cursors(config: ServerConfig) -> Vec<String> {
    let edge = Edge::start(config);
    let mut client = edge.client();
    let caller = edge.begin(&mut client, STREAM);
    edge.locate(caller, "s1", 0);
    edge.token(caller, 0, "a");
    edge.token(caller, 1, "b");
    edge.locate(caller, "s2", -2);
    edge.token(caller, 2, "c");
    client.head();
    (0..3).map(|_| cursor(&mut client)).collect()
}

/// Resumes from a cursor; the point that the core is given, and the call.
fn resume(edge: &Edge, client: &mut Client, cursor: &str) -> (CallerId, ResumePoint) {
    client.post("/v1/chat/completions", &format!("Last-Event-ID: {cursor}\r\n"), STREAM);
    let call = edge.arrived();
    let CallKind::Completion(draft) = call.kind else { panic!("expected a draft") };
    (call.caller, draft.resume.unwrap())
}

/// Symptom: a token is missing or comes twice after a daemon's death. Sequence: a stream moves to a
/// second endpoint; its daemon dies; the caller resumes through another daemon. Cause: an offset that
/// counts the caller's tokens where it should count the stream's.
#[test_case(0, "s1", 1; "after the first token")]
#[test_case(1, "s1", 2; "after the second token")]
#[test_case(2, "s2", 1; "after the stream went on elsewhere")]
fn any_daemon_resumes_a_stream(token: usize, stream: &str, offset: u32) {
    let cursors = cursors(config());
    let (edge, mut client) = Edge::open();
    let (caller, point) = resume(&edge, &mut client, &cursors[token]);
    let (endpoint, entry) = (EndpointId::of("decode-1"), EntryId::of("writer"));
    assert_eq!(point, ResumePoint { endpoint, stream: stream.to_owned(), offset, entry });
    edge.accept(caller);
    edge.locate(caller, stream, i64::from(offset));
    edge.token(caller, 0, "next");
    client.head();
    let next = cursor(&mut client);
    let (_, point) = resume(&edge, &mut edge.client(), &next);
    assert_eq!((point.stream.as_str(), point.offset), (stream, offset + 1));
}

/// Symptom: a caller reads another's stream. Cause: a cursor that is taken without proof. Each case
/// changes one part of a good cursor.
#[test_case(|c| c.replacen("v1", "v2", 1); "another version")]
#[test_case(|c| flip(c, 3); "endpoint changed")]
#[test_case(|c| flip(c, 42); "offset changed")]
#[test_case(|c| flip(c, c.len() - 1); "tag changed")]
#[test_case(|c| c[..c.len() - 2].to_owned(); "tag cut")]
#[test_case(|c| c[..c.rfind('.').unwrap() + 1].to_owned(); "no tag")]
#[test_case(|c| c.to_ascii_uppercase().replacen('V', "v", 1); "spelt otherwise")]
#[test_case(|c| format!("{c}.00"); "something added")]
#[test_case(|_| String::new(); "nothing")]
fn a_forged_cursor_is_refused_before_the_core(forge: fn(&str) -> String) {
    let cursor = forge(&cursors(config())[1]);
    assert_refused(config(), &cursor, STREAM);
}

fn flip(cursor: &str, at: usize) -> String {
    let other = if cursor.as_bytes()[at] == b'0' { "1" } else { "0" };
    format!("{}{other}{}", &cursor[..at], &cursor[at + 1..])
}

/// Symptom: a team reads another team's text with a cursor that leaked. Cause: a cursor that is not
/// bound to its entry.
#[test]
fn a_cursor_of_another_entry_is_refused() {
    let cursor = &cursors(config())[0];
    assert_refused(config(), cursor, &STREAM.replace("writer", "other"));
}

#[test]
fn a_cursor_from_another_fleet_is_refused() {
    let mut elsewhere = config();
    elsewhere.peer_key = b"another key".to_vec();
    assert_refused(config(), &cursors(elsewhere)[0], STREAM);
}

fn assert_refused(config: ServerConfig, cursor: &str, body: &str) {
    let edge = Edge::start(config);
    let mut client = edge.client();
    client.post("/v1/chat/completions", &format!("Last-Event-ID: {cursor}\r\n"), body);
    client.refused(400, "bad_cursor");
    assert_eq!(edge.refused(), ["bad_cursor"]);
    assert!(edge.events.try_recv().is_err());
}
