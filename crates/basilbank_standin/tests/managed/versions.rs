//! Endpoints show which version of their software wrote what.

use basilbank_standin::managed::{
    Answer, Caches, DESK, EndpointSpec, FIRST_VERSION, ManagedEndpoint, call, event_text,
};

use crate::support::stream_of;

fn start(instance: &str, stage: &'static str, caches: &Caches) -> ManagedEndpoint {
    let spec = EndpointSpec { version: "v2", ..EndpointSpec::model(instance, stage) };
    ManagedEndpoint::start(spec, caches).expect("an endpoint")
}

fn ask(endpoint: &ManagedEndpoint, more: &[(&str, &str)]) -> Answer {
    let headers = [("x-attempt-id", "a"), ("x-token-counts", "1000,3")];
    let headers: Vec<_> = headers.iter().chain(more).copied().collect();
    call(endpoint.address(), "POST /draft/a", &headers, b"a").expect("an answer")
}

fn events_of(version: &str) -> String {
    (1..=3).map(|n| event_text(n, version)).collect()
}

#[test]
fn events_and_entries_show_the_version() {
    let mut endpoint = start("a", "decode", &Caches::default());
    assert_eq!(endpoint.entry(DESK, "ready")["version"], "v2");
    assert_eq!(ask(&endpoint, &[]).text(), events_of("v2"));
    assert_ne!(events_of("v2"), events_of("v3"));
    let served = endpoint.restart_as(0, FIRST_VERSION).expect("its next start");
    assert_eq!(served.version, "v2");
    assert_eq!(endpoint.entry(DESK, "ready")["version"], "v1");
    assert_eq!(ask(&endpoint, &[]).text(), stream_of(3));
    assert_eq!(endpoint.served().version, "v1");
}

#[test]
fn a_kv_cache_that_was_taken_shows_who_read_the_prompt() {
    let caches = Caches::default();
    let (reader, mut writer) = (start("a", "prefill", &caches), start("b", "decode", &caches));
    writer.restart_as(0, FIRST_VERSION).expect("its next start");
    let read = ask(&reader, &[("x-stage", "prefill")]);
    let body: serde_json::Value = serde_json::from_slice(&read.body).expect("JSON");
    let source = format!("{}/{}", reader.listed_at(), body["kvHandle"].as_str().expect("a handle"));
    assert_eq!(ask(&writer, &[("x-kv-source", &source)]).status, 200);
    let taken = writer.served().taken;
    assert_eq!(taken.len(), 1);
    assert_eq!((taken[0].id.as_str(), taken[0].read_by), ("a", "v2"));
}
