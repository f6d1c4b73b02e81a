//! Cancellations, reapings and orders.

use std::sync::{Mutex, mpsc::channel};

use basilbank_core::{
    effect::EngineCall,
    event::{EngineEvent, EngineReport, Failure},
    ids::VmId,
};
use test_case::test_case;

use crate::{
    responder::{PATIENCE, STREAM_HEAD, answer, close_after, say},
    rig::{OWNER, REQUEST, Rig, attempt, endpoint_id},
};

const FIRST: &str = "{\"request\":\"0000000000000abc\",\"attempt\":3,\"stream\":\"s1\"}\n";

fn cancel(key: u64, endpoint: &str, held: Option<&str>) -> EngineCall {
    let (attempt, endpoint) = (attempt(key), endpoint_id(endpoint));
    EngineCall::Cancel { attempt, endpoint, request: REQUEST, resource: held.map(str::to_owned) }
}

const PREFILLED: &str = r#"{"request":"0000000000000abc","attempt":3,"handle":"k7","tokens":7}"#;

/// Symptom: a caller leaves while its prefill runs; the endpoint's memory stays held until the
/// reader's time limit. Or: a stream runs to its end for nobody. Sequence: the reader waits for the
/// prefill's answer, or for the import; the core cancels; the cancel overtakes the call. Cause: the
/// cancel waits for the reader, which nothing can wake; or the reader, which alone learns the name of
/// what is held, just stops. Here the endpoint answers the call only after it has seen the cancel. The
/// core must not hear of the answer, and what it names is freed too.
#[test_case("p1", answer(200, PREFILLED), "/kv/k7"; "prefill")]
#[test_case("d1", format!("{STREAM_HEAD}{FIRST}"), &format!("/streams/s1?{OWNER}"); "decode")]
fn a_cancel_does_not_wait_and_what_comes_after_it_is_freed(at: &str, late: String, freed: &str) {
    let (release, held) = channel::<()>();
    let (release, held) = (Mutex::new(release), Mutex::new(held));
    let rig = Rig::patient(move |seen, stream| {
        if seen.line.starts_with("POST") {
            held.lock().unwrap().recv_timeout(PATIENCE).unwrap();
            return close_after(stream, &late);
        }
        say(stream, &answer(200, "{}"));
        let _ = release.lock().unwrap().send(());
    });
    rig.call(if at == "p1" { rig.prefill(1) } else { rig.decode(1) });
    assert_eq!(rig.seen().line, if at == "p1" { "POST /prefill" } else { "POST /decode" });
    rig.call(cancel(1, at, None));
    assert_eq!(rig.seen().line, "DELETE /requests/0000000000000abc/3");
    assert_eq!(rig.seen().line, format!("DELETE {freed}"));
    assert!(rig.is_quiet());
}

/// Symptom: a prefill whose connection broke runs on, and its KV cache with it. Sequence: the call
/// fails, and the core cancels it afterwards. Cause: the attempt's number, by which the endpoint
/// knows it, was forgotten with the failure.
#[test]
fn a_failed_attempt_can_still_be_cancelled() {
    let rig = Rig::start(|seen, stream| {
        if seen.line == "POST /prefill" {
            return close_after(stream, "");
        }
        say(stream, &answer(200, "{}"));
    });
    assert_eq!(rig.failure_of(rig.prefill(1)), Failure::Broken);
    rig.call(cancel(1, "p1", None));
    assert_eq!(rig.seen().line, "POST /prefill");
    assert_eq!(rig.seen().line, "DELETE /requests/0000000000000abc/3");
}

/// Symptom: a caller who came back through another daemon is cut off. Sequence: that daemon takes
/// the stream over; this one hears late that its caller left and cancels. Cause: a cancel that does
/// not say whose stream it means.
#[test]
fn a_named_stream_is_cancelled_only_while_it_is_this_daemons() {
    let rig = Rig::fixed(200, "{}");
    rig.call(cancel(1, "d1", Some("s1")));
    assert_eq!(rig.seen().line, format!("DELETE /streams/s1?{OWNER}"));
    rig.call(cancel(1, "p1", Some("k1")));
    assert_eq!(rig.seen().line, "DELETE /kv/k1");
}

#[test]
fn a_cancel_is_tried_again() {
    let failures = Mutex::new(2);
    let rig = Rig::start(move |_, stream| {
        let mut left = failures.lock().unwrap();
        if 0 < *left {
            *left -= 1;
            return close_after(stream, "");
        }
        say(stream, &answer(200, "{}"));
    });
    rig.call(cancel(1, "p1", Some("k1")));
    for _ in 0..3 {
        assert_eq!(rig.seen().line, "DELETE /kv/k1");
    }
}

/// Symptom: an endpoint's memory stays held after a router's restart. Sequence: a caller leaves, the
/// shutdown's last request ends with that, and the process exits. Cause: nobody waits for the
/// cancel, which is on its way.
#[test]
fn a_drained_engine_has_delivered_its_cancels() {
    let (sender, delivered) = channel();
    let sender = Mutex::new(sender);
    let rig = Rig::start(move |_, stream| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        sender.lock().unwrap().send(()).unwrap();
        say(stream, &answer(200, "{}"));
    });
    rig.call(cancel(1, "p1", Some("k1")));
    rig.engine.drain();
    assert_eq!(delivered.try_recv(), Ok(()));
}

#[test]
fn a_reaped_stream_must_still_be_its_owners() {
    let rig = Rig::fixed(200, "{}");
    let (stream, vm) = ("s3".to_owned(), VmId(0x55));
    let reap = EngineCall::Reap { endpoint: endpoint_id("d1"), stream, vm, incarnation: 4 };
    rig.call(reap);
    let line = "DELETE /streams/s3?vm=0000000000000055&incarnation=4";
    assert_eq!(rig.seen().line, line);
}

#[test_case(200, r#"{"fence":8}"#, "OrderAccepted { fence: 8 }"; "taken")]
#[test_case(409, r#"{"fence":9}"#, "OrderFenced { fence: 9 }"; "fenced")]
#[test_case(500, r#"{"fence":8}"#, "NoResponse"; "failed")]
#[test_case(200, "{}", "NoResponse"; "nonsense")]
fn an_order_ends_in_a_report(status: u16, body: &str, expected: &str) {
    let rig = Rig::fixed(status, body);
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
    let sent: serde_json::Value = serde_json::from_str(&rig.seen().body).unwrap();
    assert_eq!((sent["fence"].as_u64(), sent["version"].as_str()), (Some(8), Some("v8")));
}
