//! What prefill and decode endpoints do, and what the core hears of it.

use std::{net::SocketAddr, sync::mpsc::channel};

use basilbank_core::{
    effect::EngineCall,
    event::{EngineEvent, Failure},
};
use test_case::test_case;

use crate::{
    responder::{PATIENCE, STREAM_HEAD, say},
    rig::{OWNER, REQUEST, Rig, attempt, endpoint_id},
};

const FIRST: &str = r#"{"request":"0000000000000abc","attempt":3,"stream":"s1"}"#;

#[test]
fn a_prefill_that_succeeds() {
    let body = r#"{"request":"0000000000000abc","attempt":3,"handle":"k1","tokens":7,"cached":2,"bytes":900,"spent_ms":12}"#;
    let rig = Rig::fixed(200, body);
    rig.call(rig.prefill(1));
    let EngineEvent::Prefilled {
        handle, prompt_tokens, cached_tokens, bytes, prefill_time, ..
    } = rig.next()
    else {
        panic!("no prefill");
    };
    assert_eq!((handle.as_str(), prompt_tokens, cached_tokens, bytes), ("k1", 7, 2, 900));
    assert_eq!(prefill_time.as_millis(), 12);
    let seen = rig.seen();
    assert_eq!(seen.line, "POST /prefill");
    let sent: serde_json::Value = serde_json::from_str(&seen.body).unwrap();
    assert_eq!(sent["prompt"], "two oak worktops");
    assert_eq!(sent["model"], "writer");
    assert_eq!(sent["owner"]["vm"], "0000000000000007");
}

/// Symptom: a call that may not be repeated is told 'unknown' though nothing was sent. Sequence: the
/// endpoint's process is gone, its port refuses. Cause: all failures are taken for alike.
#[test]
fn a_refused_connection_is_unreachable() {
    // Nothing can listen at port 0.
    let rig = Rig::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    assert_eq!(rig.failure_of(rig.prefill(1)), Failure::Unreachable);
    assert_eq!(rig.failure_of(rig.decode(2)), Failure::Unreachable);
}

#[test_case(r#"{"not_run":true,"reason":"full"}"#, Failure::Full; "full")]
#[test_case(r#"{"not_run":true,"reason":"leaving"}"#, Failure::Leaving; "leaving")]
#[test_case(r#"{"not_run":true,"reason":"evicted"}"#, Failure::Evicted; "evicted")]
#[test_case(r#"{"not_run":true,"reason":"model"}"#, Failure::Refused; "model")]
#[test_case(r#"{"not_run":true}"#, Failure::Refused; "no reason")]
#[test_case(r#"{"not_run":false,"reason":"full"}"#, Failure::Broken; "no proof")]
#[test_case("busy", Failure::Broken; "no json")]
fn a_503_counts_by_its_proof(body: &str, expected: Failure) {
    let rig = Rig::fixed(503, body);
    assert_eq!(rig.failure_of(rig.prefill(1)), expected);
    assert_eq!(rig.failure_of(rig.decode(2)), expected);
}

/// Symptom: a caller gets another's answer. Sequence: an endpoint, or a proxy before it, mixes two
/// answers up. Cause: answers are taken for the request that waits for one.
#[test_case(r#"{"request":"0000000000000abd","attempt":3,"handle":"k","tokens":1}"#; "another request")]
#[test_case(r#"{"request":"0000000000000abc","attempt":2,"handle":"k","tokens":1}"#; "another attempt")]
#[test_case(r#"{"handle":"k","tokens":1}"#; "nobody")]
fn an_answer_to_another_prefill_is_dropped(body: &str) {
    let rig = Rig::fixed(200, body);
    assert_eq!(rig.failure_of(rig.prefill(1)), Failure::Broken);
}

/// Anything that breaks after bytes went out may have run.
#[test_case(""; "no answer")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"; "half an answer")]
#[test_case("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"; "status 500")]
#[test_case("not HTTP at all"; "nonsense")]
fn what_breaks_after_sending_is_broken(bytes: &'static str) {
    let rig = Rig::closing(bytes);
    assert_eq!(rig.failure_of(rig.prefill(1)), Failure::Broken);
    assert_eq!(rig.failure_of(rig.decode(2)), Failure::Broken);
}

/// Endpoints that stream these lines to all.
fn stream(lines: &[&str]) -> Rig {
    Rig::closing(format!("{STREAM_HEAD}{}\n", lines.join("\n")))
}

#[test]
fn a_decode_streams_its_lines() {
    let rig = stream(&[
        FIRST,
        r#"{"offset":0,"texts":["oak"]}"#,
        r#"{"offset":1,"texts":[" at"," 40"]}"#,
        r#"{"done":"stop","tokens":3}"#,
    ]);
    rig.call(rig.decode(1));
    assert!(matches!(rig.next(), EngineEvent::Started { stream, .. } if stream == "s1"));
    assert!(matches!(rig.next(), EngineEvent::Tokens { offset: 0, texts, .. } if texts == ["oak"]));
    assert!(
        matches!(rig.next(), EngineEvent::Tokens { offset: 1, texts, .. } if texts == [" at", " 40"])
    );
    let end = rig.next();
    assert!(matches!(end, EngineEvent::Finished { tokens: 3, reason, .. } if reason == "stop"));
    let sent: serde_json::Value = serde_json::from_str(&rig.seen().body).unwrap();
    assert_eq!(sent["source"], rig.address().to_string());
    assert_eq!((sent["handle"].as_str(), sent["max_tokens"].as_u64()), (Some("k1"), Some(16)));
}

/// Symptom: half a quote passes for a whole one. Sequence: the decode endpoint dies after some
/// tokens, and its connection closes like after a whole answer. Cause: the end of the connection is
/// taken for the end of the stream.
///
/// Symptom: two daemons cut each other off from one stream. Sequence: the caller comes back through
/// another daemon, which takes its stream over. Cause: that looks like a broken connection.
#[test_case(&[FIRST, r#"{"offset":0,"texts":["oak"]}"#], Failure::Broken; "broken")]
#[test_case(&[FIRST, r#"{"offset":0,"texts":["oak"]}"#, r#"{"taken":true}"#], Failure::TakenOver; "taken over")]
fn a_stream_without_its_last_line_has_not_ended(lines: &[&str], expected: Failure) {
    let rig = stream(lines);
    rig.call(rig.decode(1));
    assert!(matches!(rig.next(), EngineEvent::Started { .. }));
    assert!(matches!(rig.next(), EngineEvent::Tokens { .. }));
    assert_eq!(rig.failure(), expected);
    assert!(rig.is_quiet());
}

#[test_case(r#"{"request":"0000000000000abd","attempt":3,"stream":"s1"}"#; "another request")]
#[test_case(r#"{"request":"0000000000000abc","attempt":4,"stream":"s1"}"#; "another attempt")]
#[test_case("nonsense"; "nonsense")]
fn a_stream_of_another_is_dropped(line: &str) {
    let rig = stream(&[line]);
    assert_eq!(rig.failure_of(rig.decode(1)), Failure::Broken);
    assert!(rig.is_quiet());
}

/// Symptom: a request waits for ever. Sequence: the endpoint takes the call, and the KV cache's
/// transfer stalls; or it streams and then hangs. Cause: a read without a time limit.
#[test_case("", Failure::Stalled; "before the stream starts")]
#[test_case("{\"request\":\"0000000000000abc\",\"attempt\":3,\"stream\":\"s1\"}\n", Failure::Broken; "after it has started")]
fn a_silent_endpoint_is_given_up(line: &'static str, expected: Failure) {
    let (release, held) = channel::<()>();
    let held = std::sync::Mutex::new(held);
    let rig = Rig::start(move |_, stream| {
        say(stream, STREAM_HEAD);
        say(stream, line);
        let _ = held.lock().unwrap().recv_timeout(PATIENCE);
    });
    rig.call(rig.decode(1));
    if !line.is_empty() {
        assert!(matches!(rig.next(), EngineEvent::Started { .. }));
    }
    assert_eq!(rig.failure(), expected);
    drop(release);
}

#[test]
fn a_stream_is_resumed_under_this_daemons_name() {
    let rig = stream(&[r#"{"offset":4,"texts":["x"]}"#, r#"{"done":"stop","tokens":5}"#]);
    rig.call(resume(1));
    assert!(matches!(rig.next(), EngineEvent::Started { stream, .. } if stream == "s9"));
    assert!(matches!(rig.next(), EngineEvent::Tokens { offset: 4, .. }));
    assert!(matches!(rig.next(), EngineEvent::Finished { tokens: 5, .. }));
    assert_eq!(rig.seen().line, format!("GET /streams/s9?from=4&{OWNER}"));
}

fn resume(key: u64) -> EngineCall {
    EngineCall::Resume {
        attempt: attempt(key),
        caller: Default::default(),
        request: REQUEST,
        endpoint: endpoint_id("d1"),
        stream: "s9".to_owned(),
        offset: 4,
    }
}

/// Symptom: a caller's tokens stop. Sequence: its endpoint's entry is removed from the catalogue
/// while the answer comes in. Cause: the address is looked up anew for each call.
#[test_case(false; "in the catalogue")]
#[test_case(true; "out of it, and still called")]
fn a_stream_that_is_gone_can_not_be_resumed(removed: bool) {
    let rig = Rig::fixed(404, "{}");
    if removed {
        rig.published.publish_catalogue(&Default::default());
    }
    assert_eq!(rig.failure_of(resume(1)), Failure::Evicted);
}
