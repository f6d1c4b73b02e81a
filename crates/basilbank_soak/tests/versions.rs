//! Streams and prompts of several versions: what callers make of them, and the checks.

use std::time::{Duration, Instant};

use basilbank_soak::{
    callers::{Kind, Record, Resumed, Seen},
    checks::Evidence,
    play::{Serving, Span, Trouble},
    streams::{EVENTS, Events},
};
use basilbank_standin::managed::{Served, TakenCache, event_text};
use test_case::test_case;

/// When decode endpoints begin to serve, before the calls.
const BEFORE: Duration = Duration::from_secs(4);

fn text(numbers: impl Iterator<Item = u32>, version: &str) -> String {
    numbers.map(|n| event_text(n, version)).collect()
}

#[test_case("v1")]
#[test_case("v2")]
fn a_stream_goes_on_over_tries(version: &str) {
    let mut events = Events::default();
    let torn = text(1..=5, version) + "id: 6\ndata: tok";
    assert_eq!(events.take(&torn, false), Seen::Broken);
    assert_eq!(events.take("", false), Seen::Broken);
    assert!(events.is_begun());
    assert_eq!(events.take(&text(6..=EVENTS, version), true), Seen::Served);
    assert_eq!((events.count, events.version.as_deref()), (EVENTS, Some(version)));
    assert!(!events.is_begun());
}

/// Guards against a finding that doesn't say what is wrong with a stream.
#[test_case(&text(7..=EVENTS, "v1"), "event 6 is missing before 7"; "missing")]
#[test_case(&text(5..=EVENTS, "v1"), "event 5 came twice, after 5"; "twice")]
#[test_case(&(text(6..=8, "v1") + &text(7..=EVENTS, "v1")), "event 7 came twice, after 8"; "going back")]
#[test_case(&text(6..=EVENTS - 1, "v1"), "ended after 39"; "an early end")]
#[test_case(&(text(6..=EVENTS, "v1") + "id"), "an event that broke off"; "torn")]
fn what_is_wrong_with_a_stream_is_named(rest: &str, expected: &str) {
    let mut events = Events::default();
    assert_eq!(events.take(&text(1..=5, "v1"), false), Seen::Broken);
    let Seen::Wrong(what) = events.take(rest, true) else { panic!("it is taken for sound") };
    assert!(what.starts_with(expected), "{what}");
}

#[test_case(&text(7..=EVENTS, "v1"); "an event is missing")]
#[test_case(&text(5..=EVENTS, "v1"); "an event comes twice")]
#[test_case(&text(6..=EVENTS - 1, "v1"); "the last event is missing")]
#[test_case(&text(6..=EVENTS + 1, "v1"); "an event too many")]
#[test_case(&(text(6..=EVENTS, "v1") + "id"); "a torn event at the end")]
fn a_stream_that_goes_on_wrong(rest: &str) {
    let mut events = Events::default();
    assert_eq!(events.take(&text(1..=5, "v1"), false), Seen::Broken);
    assert!(matches!(events.take(rest, true), Seen::Wrong(_)));
}

#[test_case(&["v1", "v2"], true; "the first one and another")]
#[test_case(&["v2", "v3"], true; "two others")]
#[test_case(&["v2", "v1", "v2"], true; "there and back")]
#[test_case(&["v2", "v2", "v2"], false; "one")]
fn events_of_several_versions_are_found(versions: &[&str], found: bool) {
    let part = |n: usize| n as u32 * 5 + 1..=n as u32 * 5 + 5;
    let whole: String = (0..versions.len()).map(|n| text(part(n), versions[n])).collect();
    let in_one = Events::default().take(&whole, false);
    assert_eq!(matches!(in_one, Seen::OtherVersion(_)), found, "in one answer: {in_one:?}");
    let mut events = Events::default();
    let tries = (0..versions.len()).map(|n| events.take(&text(part(n), versions[n]), false));
    let mixed = tries.filter(|seen| matches!(seen, Seen::OtherVersion(_))).count();
    assert_eq!(mixed != 0, found, "over tries");
}

/// A stream: taken up again, or a new one.
fn record(n: usize, begun: Instant, resumed: bool, events: u32) -> Record {
    let resumed = resumed.then(|| Resumed { first: "s0".to_owned(), version: "v1".to_owned() });
    Record {
        id: format!("s{n}"),
        kind: Kind::Draft,
        daemon: 0,
        is_first: false,
        line: "POST /draft/s0".to_owned(),
        begun,
        patience: Duration::from_secs(4),
        ended: begun + Duration::from_millis(200),
        seen: if events == 0 { Seen::Status(503) } else { Seen::Broken },
        is_reset: false,
        events,
        resumed,
    }
}

fn serving(place: usize, version: &'static str, from: Instant) -> Serving {
    Serving { place, version, start: 0, from, to: None }
}

fn judge(
    records: &[Record],
    served: Vec<(String, Served)>,
    spans: &[Span],
    serving: &[Serving],
) -> Vec<String> {
    let records = records.iter().map(|record| (record.id.clone(), record.clone())).collect();
    Evidence { records: &records, served, spans, serving }.findings()
}

#[track_caller]
fn assert_rule(findings: &[String], rule: &str) {
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(findings[0].starts_with(rule), "{findings:?}");
}

#[test]
fn a_stream_of_two_versions_is_a_finding() {
    let seen = Seen::OtherVersion("event 6 of v2 after v1".to_owned());
    let record = Record { seen, ..record(0, Instant::now(), false, 9) };
    assert_rule(&judge(&[record], vec![], &[], &[]), "ORDER");
}

#[test_case("v1", 0; "by the same version")]
#[test_case("v2", 1; "by another version")]
fn a_kv_cache_of_another_version_is_a_finding(read_by: &'static str, found: usize) {
    let taken = vec![TakenCache { id: "s0".to_owned(), read_by }];
    let served = Served { version: "v1", taken, ..Served::default() };
    assert_eq!(judge(&[], vec![("e1".to_owned(), served)], &[], &[]).len(), found);
}

/// Twenty new streams that begin, and twenty that are taken up again, some of which go on.
fn streams(begun: Instant, gone_on: usize) -> Vec<Record> {
    let new = (0..20).map(|n| record(n, begun, false, 1));
    let again = (0..20).map(|n| record(20 + n, begun, true, u32::from(n < gone_on)));
    new.chain(again).collect()
}

#[test_case(10, 0; "half as many")]
#[test_case(9, 1; "fewer")]
fn streams_that_do_not_go_on_are_found(gone_on: usize, found: usize) {
    let begun = Instant::now() + BEFORE;
    let both = [serving(0, "v1", begun - BEFORE), serving(1, "v1", begun - BEFORE)];
    assert_eq!(judge(&streams(begun, gone_on), vec![], &[], &both).len(), found);
}

#[test_case("v1", Duration::ZERO, 1; "two endpoints of the version")]
#[test_case("v2", Duration::ZERO, 0; "one endpoint of the version")]
#[test_case("v1", BEFORE, 0; "one has just begun")]
fn streams_whose_version_does_not_serve_may_end(
    version: &'static str,
    late: Duration,
    found: usize,
) {
    let begun = Instant::now() + BEFORE;
    let from = begun - BEFORE;
    let both = [serving(0, "v1", from), serving(1, version, from + late), serving(2, "v2", from)];
    assert_eq!(judge(&streams(begun, 0), vec![], &[], &both).len(), found);
}

#[test_case(0, 0; "at the daemon in trouble")]
#[test_case(1, 1; "at another one")]
fn streams_at_daemons_in_trouble_may_end(daemon: usize, found: usize) {
    let begun = Instant::now() + BEFORE;
    let both = [serving(0, "v1", begun - BEFORE), serving(1, "v1", begun - BEFORE)];
    let span = Span { daemon, trouble: Trouble::NoStore, from: begun, to: None };
    assert_eq!(judge(&streams(begun, 0), vec![], &[span], &both).len(), found);
}

#[test]
fn a_refusal_of_a_stream_that_was_taken_up_again_promises_that_nothing_ran() {
    let record = record(1, Instant::now(), true, 0);
    let mut run = basilbank_standin::managed::Request {
        method: "POST".to_owned(),
        target: "/draft/s0".to_owned(),
        body: b"s0".to_vec(),
        ..Default::default()
    };
    run.headers.insert("x-attempt-id".to_owned(), record.id.clone());
    let served = Served { ran: vec![run], ..Served::default() };
    assert_rule(&judge(&[record], vec![("e1".to_owned(), served)], &[], &[]), "REFUSED");
}
