//! Endpoints whose answers have malformed heads.

use basilbank_core::{
    effect::EngineCall,
    event::{EngineEvent, Failure},
};
use test_case::test_case;

use crate::{responder::say, rig::Rig};

/// How a sound body is written.
#[derive(Clone, Copy)]
enum Written {
    AsItIs,
    InChunks,
}
use Written::{AsItIs, InChunks};

const ORDER: &str = "ordered two oak worktops";
const PREFILLED: &str = r#"{"request":"0000000000000abc","attempt":3,"handle":"k1","tokens":7}"#;

/// Statuses, lines of heads, and how the body behind them is written.
const MALFORMED: [(&str, &str, Written); 26] = [
    ("000", "", AsItIs),
    ("099", "", AsItIs),
    ("101", "", AsItIs),
    ("600", "", AsItIs),
    ("999", "", AsItIs),
    ("20", "", AsItIs),
    ("2000", "", AsItIs),
    ("204", "transfer-encoding: chunked\r\n", InChunks),
    ("204", "content-length: 9\r\n", AsItIs),
    ("200", "content-length 9\r\n", AsItIs),
    ("200", "content-length:\r\n", AsItIs),
    ("200", "content-length: 1x4\r\n", AsItIs),
    ("200", "content-length: -9\r\n", AsItIs),
    ("200", "content-length: +9\r\n", AsItIs),
    ("200", "content-length: 9999\r\n", AsItIs),
    ("200", "content-length: 9\r\ncontent-length: 9\r\n", AsItIs),
    ("200", "content-length: 9\r\ntransfer-encoding: chunked\r\n", InChunks),
    ("200", "transfer-encoding: chunkd\r\n", InChunks),
    ("200", "transfer-encoding: chunked, identity\r\n", InChunks),
    ("200", "transfer-encoding: gzip, chunked\r\n", InChunks),
    ("200", "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n", InChunks),
    ("200", "x bad: 1\r\n", AsItIs),
    ("200", "x-bad : 1\r\n", AsItIs),
    ("200", "x\x01bad: 1\r\n", AsItIs),
    ("200", "x-bad: 1\0\r\n", AsItIs),
    ("200", "no field at all\r\n", AsItIs),
];

fn bytes_of((status, lines, written): (&str, &str, Written), body: &str) -> String {
    let body = match written {
        AsItIs => body.to_owned(),
        InChunks => format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
    };
    format!("HTTP/1.1 {status} X\r\n{lines}\r\n{body}")
}

/// Guards against malformed answers that are taken for whole ones.
#[test_case(ORDER, Rig::order; "plain")]
#[test_case(PREFILLED, Rig::prefill; "prefill")]
fn an_answer_whose_head_is_malformed_is_broken(body: &str, call: impl Fn(&Rig, u64) -> EngineCall) {
    let failures = MALFORMED.map(|malformed| {
        let rig = Rig::closing(bytes_of(malformed, body));
        rig.call(call(&rig, 1));
        (malformed.0, malformed.1, format!("{:?}", rig.next()))
    });
    let is_broken = |event: &str| event.starts_with("Failed") && event.contains("Broken");
    let wrong: Vec<_> = failures.iter().filter(|(.., event)| !is_broken(event)).collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against the first part of a body that passes for the whole one.
#[test_case("200", "content-length: 9\r\n"; "a length that is too short")]
#[test_case("200", "content-length: 0\r\n"; "no length")]
#[test_case("200", "content-length: 9\r\nconnection: close\r\n"; "closing")]
#[test_case("204", ""; "no content")]
fn an_answer_whose_length_is_too_short_is_broken(status: &str, lines: &str) {
    let bytes = bytes_of((status, lines, AsItIs), ORDER);
    let rig = Rig::closing(bytes.clone());
    assert_eq!(rig.failure_of(rig.order(1)), Failure::Broken);
    let rig = Rig::start(move |_, stream| say(stream, &bytes));
    assert_eq!(rig.failure_of(rig.order(1)), Failure::Broken);
}

/// Guards against a whole answer that is lost because another one follows it.
#[test]
fn an_answer_before_another_one_is_whole() {
    let lines = format!("content-length: {}\r\n", ORDER.len());
    let bytes = bytes_of(("200", &lines, AsItIs), ORDER).repeat(2);
    let rig = Rig::closing(bytes);
    rig.call(rig.order(1));
    let event = rig.next();
    assert!(matches!(event, EngineEvent::Answered { status: 200, .. }), "{event:?}");
}
