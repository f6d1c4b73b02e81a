//! What endpoints say of themselves.

use basilbank_core::{
    effect::EngineCall,
    event::{EngineEvent, EngineReport},
};

use crate::{
    responder::{answer, say},
    rig::{Rig, endpoint_id},
};

fn report(rig: &Rig) -> String {
    let EngineEvent::Report { report, .. } = rig.next() else { panic!("no report") };
    format!("{report:?}")
}

/// Cache events are asked for from the last one seen, also after a failure between.
#[test]
fn load_and_cache_events_are_read_on() {
    let rig = Rig::start(|seen, stream| {
        let body = match seen.line.as_str() {
            "GET /load" => {
                r#"{"running":3,"queued":1,"age_ms":40,"model":"m","version":"v7","role":"decode","fence":2}"#
            }
            "GET /cache?after=0" => r#"{"seq":5,"added":["00000000000000ff"],"evicted":[]}"#,
            "GET /cache?after=5" => r#"{"seq":9,"gap":true,"evicted":["0000000000000010"]}"#,
            other => panic!("{other}"),
        };
        say(stream, &answer(200, body));
    });
    let load = "Load { running: 3, queued: 1, age: 40ms, leaving: false, model: \"m\", version: \"v7\", adapter: \"\", role: Some(Decode), fence: 2 }";
    rig.call(EngineCall::ReadLoad { endpoint: endpoint_id("p1") });
    assert_eq!(report(&rig), load);
    assert_eq!(report(&rig), "Cache { added: [255], evicted: [], gap: false }");
    rig.call(EngineCall::ReadLoad { endpoint: endpoint_id("p1") });
    assert_eq!(report(&rig), load);
    assert_eq!(report(&rig), "Cache { added: [], evicted: [16], gap: true }");
}

#[test]
fn an_endpoint_that_does_not_report_is_silent() {
    let rig = Rig::fixed(500, "{}");
    rig.call(EngineCall::ReadLoad { endpoint: endpoint_id("p1") });
    assert_eq!(report(&rig), "NoResponse");
    rig.call(EngineCall::ListStreams { endpoint: endpoint_id("p1") });
    assert_eq!(report(&rig), "NoResponse");
}

/// A row that can't be read is left out: better not to reap a stream than to reap another's.
#[test]
fn streams_are_listed_with_their_owners() {
    let rig = Rig::fixed(
        200,
        r#"{"streams":[
            {"stream":"s1","kv":false,"vm":"0000000000000007","incarnation":9,"request":"0000000000000abc","attempt":1,"offset":4,"idle_ms":50},
            {"stream":"s2","vm":"nobody","incarnation":9,"request":"0000000000000abc"}]}"#,
    );
    rig.call(EngineCall::ListStreams { endpoint: endpoint_id("d1") });
    let EngineEvent::Report { report: EngineReport::Streams(streams), .. } = rig.next() else {
        panic!("no list");
    };
    assert_eq!(streams.len(), 1);
    assert_eq!((streams[0].vm.0, streams[0].incarnation, streams[0].request), (7, 9, 0xabc));
    assert_eq!(streams[0].idle.as_millis(), 50);
}
