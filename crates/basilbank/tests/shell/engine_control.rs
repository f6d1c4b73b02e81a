//! Cancellations, reapings and orders.

use std::{
    io::Write,
    sync::{Mutex, mpsc::channel},
};

use basilbank_core::{
    effect::EngineCall,
    event::{EngineEvent, EngineReport, Failure},
    ids::VmId,
};
use test_case::test_case;

use crate::{
    responder::{PATIENCE, Responder, STREAM_HEAD, answer},
    rig::{OWNER, REQUEST, Rig, attempt, endpoint_id},
};

const FIRST: &str = "{\"request\":\"0000000000000abc\",\"attempt\":3,\"stream\":\"s1\"}\n";

fn cancel(key: u64, endpoint: &str, held: Option<&str>) -> EngineCall {
    let (attempt, endpoint) = (attempt(key), endpoint_id(endpoint));
    EngineCall::Cancel { attempt, endpoint, request: REQUEST, held: held.map(str::to_owned) }
}

/// Symptom: a caller leaves while its prefill runs; the endpoint's memory stays held until the
/// reader's time limit. Sequence: the reader waits for the prefill's answer, the core cancels.
/// Cause: the cancel waits for the reader, which nothing can wake. Here the endpoint answers the
/// prefill only after it has seen the cancel. Then the answer comes for an attempt that is dead: the
/// core must not hear of it, and its KV cache is freed too.
#[test]
fn a_cancel_does_not_wait_for_the_reader() {
    let (release, held) = channel::<()>();
    let (release, held) = (Mutex::new(release), Mutex::new(held));
    let done = r#"{"request":"0000000000000abc","attempt":3,"handle":"k7","tokens":7}"#;
    let endpoint = Responder::start(move |seen, stream| {
        if seen.line == "POST /prefill" {
            held.lock().unwrap().recv_timeout(PATIENCE).unwrap();
            return stream.write_all(answer(200, done).as_bytes()).unwrap();
        }
        stream.write_all(answer(200, "{}").as_bytes()).unwrap();
        let _ = release.lock().unwrap().send(());
    });
    let rig = Rig::new(endpoint.address);
    rig.call(rig.prefill(1));
    assert_eq!(endpoint.next().line, "POST /prefill");
    rig.call(cancel(1, "p1", None));
    assert_eq!(endpoint.next().line, "DELETE /requests/0000000000000abc/3");
    assert_eq!(endpoint.next().line, "DELETE /kv/k7");
    assert!(rig.is_quiet());
}

/// Symptom: a stream runs to its end for nobody. Sequence: the core cancels while the endpoint
/// imports; the cancel overtakes the call, and the stream starts afterwards. Cause: nobody knows
/// the stream's name but the reader, which just stops.
#[test]
fn a_stream_that_starts_after_its_cancel_is_cancelled() {
    let (release, held) = channel::<()>();
    let (release, held) = (Mutex::new(release), Mutex::new(held));
    let endpoint = Responder::start(move |seen, stream| {
        if seen.line == "POST /decode" {
            held.lock().unwrap().recv_timeout(PATIENCE).unwrap();
            let lines = format!("{STREAM_HEAD}{FIRST}");
            stream.write_all(lines.as_bytes()).unwrap();
            return stream.shutdown(std::net::Shutdown::Both).unwrap();
        }
        stream.write_all(answer(200, "{}").as_bytes()).unwrap();
        let _ = release.lock().unwrap().send(());
    });
    let rig = Rig::new(endpoint.address);
    rig.call(rig.decode(1));
    assert_eq!(endpoint.next().line, "POST /decode");
    rig.call(cancel(1, "d1", None));
    assert_eq!(endpoint.next().line, "DELETE /requests/0000000000000abc/3");
    assert_eq!(endpoint.next().line, format!("DELETE /streams/s1?{OWNER}"));
    assert!(rig.is_quiet());
}

/// Symptom: a prefill whose connection broke runs on, and its KV cache with it. Sequence: the call
/// fails, and the core cancels it afterwards. Cause: the attempt's number, by which the endpoint
/// knows it, was forgotten with the failure.
#[test]
fn a_failed_attempt_can_still_be_cancelled() {
    let endpoint = Responder::start(|seen, stream| {
        if seen.line == "POST /prefill" {
            return stream.shutdown(std::net::Shutdown::Both).unwrap();
        }
        stream.write_all(answer(200, "{}").as_bytes()).unwrap();
    });
    let rig = Rig::new(endpoint.address);
    rig.call(rig.prefill(1));
    assert_eq!(rig.failure(), Failure::Broken);
    rig.call(cancel(1, "p1", None));
    assert_eq!(endpoint.next().line, "POST /prefill");
    assert_eq!(endpoint.next().line, "DELETE /requests/0000000000000abc/3");
}

/// Symptom: a caller who came back through another daemon is cut off. Sequence: that daemon takes
/// the stream over; this one hears late that its caller left and cancels. Cause: a cancel that does
/// not say whose stream it means.
#[test]
fn a_named_stream_is_cancelled_only_while_it_is_this_daemons() {
    let endpoint = Responder::fixed(200, "{}");
    let rig = Rig::new(endpoint.address);
    rig.call(cancel(1, "d1", Some("s1")));
    assert_eq!(endpoint.next().line, format!("DELETE /streams/s1?{OWNER}"));
    rig.call(cancel(1, "p1", Some("k1")));
    assert_eq!(endpoint.next().line, "DELETE /kv/k1");
}

#[test]
fn a_cancel_is_tried_again() {
    let failures = Mutex::new(2);
    let endpoint = Responder::start(move |_, stream| {
        let mut left = failures.lock().unwrap();
        if 0 < *left {
            *left -= 1;
            return stream.shutdown(std::net::Shutdown::Both).unwrap();
        }
        stream.write_all(answer(200, "{}").as_bytes()).unwrap();
    });
    let rig = Rig::new(endpoint.address);
    rig.call(cancel(1, "p1", Some("k1")));
    for _ in 0..3 {
        assert_eq!(endpoint.next().line, "DELETE /kv/k1");
    }
}

/// Symptom: an endpoint's memory stays held after a router's restart. Sequence: a caller leaves, the
/// shutdown's last request ends with that, and the process exits. Cause: nobody waits for the
/// cancel, which is on its way.
#[test]
fn a_drained_engine_has_delivered_its_cancels() {
    let (sender, delivered) = channel();
    let sender = Mutex::new(sender);
    let endpoint = Responder::start(move |_, stream| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        sender.lock().unwrap().send(()).unwrap();
        stream.write_all(answer(200, "{}").as_bytes()).unwrap();
    });
    let rig = Rig::new(endpoint.address);
    rig.call(cancel(1, "p1", Some("k1")));
    rig.engine.drain();
    assert_eq!(delivered.try_recv(), Ok(()));
}

#[test]
fn a_reaped_stream_must_still_be_its_owners() {
    let endpoint = Responder::fixed(200, "{}");
    let rig = Rig::new(endpoint.address);
    let (stream, vm) = ("s3".to_owned(), VmId(0x55));
    let reap = EngineCall::Reap { endpoint: endpoint_id("d1"), stream, vm, incarnation: 4 };
    rig.call(reap);
    let line = "DELETE /streams/s3?vm=0000000000000055&incarnation=4";
    assert_eq!(endpoint.next().line, line);
}

#[test_case(200, r#"{"fence":8}"#, "Ordered { fence: 8 }"; "taken")]
#[test_case(409, r#"{"fence":9}"#, "Fenced { fence: 9 }"; "fenced")]
#[test_case(500, r#"{"fence":8}"#, "Silent"; "failed")]
#[test_case(200, "{}", "Silent"; "nonsense")]
fn an_order_ends_in_a_report(status: u16, body: &str, expected: &str) {
    let endpoint = Responder::fixed(status, body);
    let rig = Rig::new(endpoint.address);
    rig.call(EngineCall::Order {
        endpoint: endpoint_id("d1"),
        fence: 8,
        model: "writer".to_owned(),
        version: "v8".to_owned(),
        adapter: String::new(),
        role: "decode",
    });
    let EngineEvent::Report { report, .. } = rig.next() else { panic!("no report") };
    assert_eq!(format!("{report:?}"), expected);
    assert!(!matches!(report, EngineReport::Load { .. }));
    let sent: serde_json::Value = serde_json::from_str(&endpoint.next().body).unwrap();
    assert_eq!((sent["fence"].as_u64(), sent["version"].as_str()), (Some(8), Some("v8")));
}
