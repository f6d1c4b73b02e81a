//! What planned work may do to calls, and the plans of such plays.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use basilbank_soak::{
    callers::{Kind, Record, Seen},
    checks::{Coverage, Evidence, PlannedEvidence},
    plan::{Fault, Routing, Sizes, planned},
    play::{Sent, Silence, Span, Trouble, Work},
    routing::{SECOND_DESK, SECOND_WRITER, configuration},
};
use basilbank_standin::managed::{Arrival, Request, Served};
use test_case::test_case;

const SIZES: Sizes =
    Sizes { daemons: 3, endpoints: 8, plain: 3, prefill: 2, traffic: Duration::from_secs(20) };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call, in milliseconds from the play's start, and whether it was passed on.
struct Call {
    kind: Kind,
    daemon: usize,
    begun: u64,
    ended: u64,
    patience: u64,
    seen: Seen,
    passed: bool,
    is_reset: bool,
}

/// A stream whose daemon cut it, with nothing near that excuses it.
fn cut() -> Call {
    Call {
        kind: Kind::Draft,
        daemon: 0,
        begun: 10_000,
        ended: 14_000,
        patience: 14_000,
        seen: Seen::Broken,
        passed: true,
        is_reset: false,
    }
}

fn record(call: &Call, start: Instant) -> Record {
    Record {
        id: "a".to_owned(),
        kind: call.kind,
        daemon: call.daemon,
        is_first: false,
        line: "POST /draft/a".to_owned(),
        begun: start + ms(call.begun),
        patience: ms(call.patience),
        ended: start + ms(call.ended),
        seen: call.seen.clone(),
        is_reset: call.is_reset,
        events: 0,
        resumed: None,
    }
}

/// What a call that was passed on did at an endpoint.
fn served(record: &Record) -> Served {
    let (at, line, id) = (record.begun + ms(20), record.line.clone(), record.id.clone());
    let request = Request {
        method: "POST".to_owned(),
        target: "/draft/a".to_owned(),
        headers: HashMap::from([("x-attempt-id".to_owned(), id.clone())]),
        body: b"a".to_vec(),
    };
    let refused = matches!(record.seen, Seen::Status(_) | Seen::Closed);
    let ran = if refused { vec![] } else { vec![request] };
    Served { ran, arrived: vec![Arrival { at, line, id }], ..Served::default() }
}

/// Judges a call at a daemon that got SIGTERM at a time, if any, with versions of the configuration.
fn judge(
    call: &Call,
    terminated: Option<u64>,
    versions: &[(u64, Routing)],
) -> (Vec<String>, Coverage) {
    let start = Instant::now();
    let record = record(call, start);
    let served = call.passed.then(|| ("e1".to_owned(), served(&record)));
    let span = |at: u64| {
        let (from, to) = (start + ms(at), Some(start + ms(at + 7450)));
        Span { daemon: 0, trouble: Trouble::Leaving, from, to }
    };
    let spans: Vec<_> = terminated.map(span).into_iter().collect();
    let sent = |(at, routing): &(u64, Routing)| Sent { at: start + ms(*at), routing: *routing };
    let silence = Silence { place: 0, from: record.begun, to: record.ended };
    let work = Work { versions: versions.iter().map(sent).collect(), silences: vec![silence] };
    let records = HashMap::from([(record.id.clone(), record)]);
    let seen = Evidence {
        records: &records,
        served: served.into_iter().collect(),
        spans: &spans,
        serving: &[],
    };
    let evidence = PlannedEvidence { seen, work: &work };
    (evidence.findings(), evidence.coverage())
}

fn findings(call: &Call, terminated: Option<u64>) -> Vec<String> {
    judge(call, terminated, &[(0, Routing::default())]).0
}

#[track_caller]
fn assert_found(findings: &[String], rule: &str, found: bool) {
    let expected: &[&str] = if found { &[rule] } else { &[] };
    let rules = findings.iter().map(|finding| finding.split(' ').next().unwrap_or_default());
    assert_eq!(rules.collect::<Vec<_>>(), expected, "{findings:?}");
}

#[test_case(Seen::Broken, true; "its stream broke off")]
#[test_case(Seen::Closed, true; "its connection ended")]
#[test_case(Seen::Served, false; "it was answered")]
#[test_case(Seen::Status(503), false; "it was refused")]
fn a_call_that_was_passed_on_ends_with_an_answer(seen: Seen, found: bool) {
    assert_found(&findings(&Call { seen, ..cut() }, None), "CUT", found);
}

#[test_case(201, false, false, true; "after it was read")]
#[test_case(199, false, false, false; "as it came")]
#[test_case(201, true, false, false; "unread")]
#[test_case(201, true, true, true; "passed on")]
fn a_call_may_cross_a_close(after: u64, is_reset: bool, passed: bool, found: bool) {
    let ended = 10_000 + after;
    let call = Call { seen: Seen::Closed, passed, is_reset, ended, ..cut() };
    assert_found(&findings(&call, None), "CUT", found);
}

#[test_case(4000, 13_930, true; "before its deadline")]
#[test_case(4000, 13_950, false; "at its deadline")]
#[test_case(20_000, 23_930, true; "before its timeout")]
#[test_case(20_000, 23_950, false; "at its timeout")]
fn a_call_may_end_at_its_deadline(patience: u64, ended: u64, found: bool) {
    assert_found(&findings(&Call { patience, ended, ..cut() }, None), "CUT", found);
}

#[test_case(8001, 9000, false; "the former version may be in force")]
#[test_case(7999, 9000, true; "the former version is no longer in force")]
#[test_case(9000, 10_100, true; "a version that came later")]
fn a_timeout_excuses_only_while_its_version_may_be_in_force(second: u64, third: u64, found: bool) {
    let short = Routing { streams: ms(4000), ..Routing::default() };
    let long = Routing::default();
    let versions = match third {
        // The short timeout is that of the first version, else of the last one.
        9000 => [(0, short), (second, long), (third, long)],
        _ => [(0, long), (second, long), (third, short)],
    };
    assert_found(&judge(&cut(), None, &versions).0, "CUT", found);
}

#[test_case(Kind::Stock, 14_930, true; "a plain call before the timeout of plain ones")]
#[test_case(Kind::Stock, 14_950, false; "a plain call at the timeout of plain ones")]
#[test_case(Kind::Once, 14_950, true; "a stream at the timeout of plain ones")]
fn timeouts_are_those_of_the_kind_of_call(kind: Kind, ended: u64, found: bool) {
    assert_found(&findings(&Call { kind, ended, ..cut() }, None), "CUT", found);
}

#[test_case(0, 10_000, 16_660, true; "before the last sixth of the grace period")]
#[test_case(0, 10_000, 16_670, false; "in the last sixth of the grace period")]
#[test_case(0, 12_600, 17_440, false; "sent before three seconds after SIGTERM")]
#[test_case(1, 10_000, 16_670, true; "by another daemon")]
fn a_call_may_be_cut_at_its_daemons_end(daemon: usize, begun: u64, ended: u64, found: bool) {
    let call = Call { daemon, begun, ended, ..cut() };
    assert_found(&findings(&call, Some(10_000)), "CUT", found);
}

#[test_case(13_000, 1; "three seconds after SIGTERM")]
#[test_case(13_001, 2; "later")]
fn a_call_that_is_sent_too_late_may_not_be_cut_at_its_daemons_end(begun: u64, found: usize) {
    let call = Call { begun, ended: 17_440, ..cut() };
    assert_eq!(findings(&call, Some(10_000)).len(), found, "it may not be taken either");
}

/// A finding of the first report: a stream was taken 3.2 s after SIGTERM and cut 4.2 s later.
#[test]
fn the_incidents_stream_is_found_twice() {
    let call = Call { begun: 13_227, ended: 17_442, ..cut() };
    let rules = findings(&call, Some(10_000));
    assert_eq!(rules.len(), 2, "{rules:?}");
    assert!(rules[0].starts_with("CUT") && rules[1].starts_with("LATE_TAKEN"), "{rules:?}");
}

#[test_case(12_590, 14_000, true, false; "before it refuses")]
#[test_case(12_610, 14_000, true, true; "its deadline lies beyond the daemon's end")]
#[test_case(12_610, 4700, true, false; "its deadline lies before the daemon's end")]
#[test_case(12_610, 14_000, false, false; "it was not passed on")]
fn a_late_call_is_refused(begun: u64, patience: u64, passed: bool, found: bool) {
    let seen = if passed { Seen::Served } else { Seen::Status(503) };
    let call = Call { begun, ended: begun + 100, patience, passed, seen, ..cut() };
    assert_found(&findings(&call, Some(10_000)), "LATE_TAKEN", found);
}

/// The call arrives at its endpoint 20 ms after it was sent.
#[test_case(12_719, false; "before the call arrived")]
#[test_case(12_721, true; "after the call arrived")]
fn a_late_call_has_the_timeout_of_a_version_that_came_as_it_was_read(sent: u64, found: bool) {
    let short = Routing { streams: ms(1000), ..Routing::default() };
    let versions = [(0, Routing::default()), (sent, short)];
    let call = Call { begun: 12_700, ended: 13_800, seen: Seen::Status(504), ..cut() };
    assert_found(&judge(&call, Some(10_000), &versions).0, "LATE_TAKEN", found);
}

#[test]
fn a_play_counts_the_cases_that_it_came_to() {
    let late = Call { begun: 12_700, ended: 12_800, patience: 1500, seen: Seen::Served, ..cut() };
    let versions = [(0, Routing::default())];
    let (_, coverage) = judge(&late, Some(10_000), &versions);
    assert_eq!(coverage, Coverage { late: 1, late_passed: 1, ..Coverage::default() });
    let (_, coverage) = judge(&Call { ended: 17_440, ..cut() }, Some(10_000), &versions);
    assert_eq!(coverage, Coverage { cut_at_end: 1, ..Coverage::default() });
    let (_, coverage) = judge(&Call { ended: 23_990, ..cut() }, None, &versions);
    assert_eq!(coverage, Coverage { timed_out: 1, ..Coverage::default() });
}

#[test]
fn silences_change_nothing_else_in_a_plan() {
    for seed in 0..50 {
        let mut with = planned(seed, SIZES, true);
        let all = with.len();
        with.retain(|(_, fault)| !matches!(fault, Fault::Silence(..)));
        assert!(with.len() < all);
        assert_eq!(with, planned(seed, SIZES, false));
    }
}

#[test]
fn a_plan_of_planned_work_holds_nothing_else() {
    let faults = (0..50).flat_map(|seed| planned(seed, SIZES, true));
    let mut seen = [false; 8];
    for (at, fault) in faults {
        assert!(at <= SIZES.traffic.mul_f64(0.7));
        let kind = match fault {
            Fault::Terminate(_) => 0,
            Fault::TerminateAgain(_) => 1,
            Fault::TerminateTwice(_) => 2,
            Fault::Retune(_) => 3,
            Fault::Reconfigure(_) => 4,
            Fault::Retire(_) => 5,
            Fault::Join(..) => 6,
            Fault::Silence(endpoint, time) => {
                assert!(endpoint < SIZES.endpoints + 5);
                assert!(ms(500) <= time && time <= ms(1500));
                7
            }
            other => panic!("{other:?}"),
        };
        seen[kind] = true;
    }
    assert_eq!(seen, [true; 8]);
}

#[test]
fn restarts_overlap_and_the_last_version_has_all_routes() {
    for seed in 0..50 {
        let plan = planned(seed, SIZES, false);
        let is_restart =
            |fault: &Fault| matches!(fault, Fault::Terminate(_) | Fault::TerminateTwice(_));
        let times: Vec<_> =
            plan.iter().filter(|(_, fault)| is_restart(fault)).map(|(at, _)| *at).collect();
        assert!(3 <= times.len(), "seed {seed}");
        assert!(times.windows(2).all(|pair| pair[1] - pair[0] < ms(8000)), "seed {seed}");
        let mut versions = plan.iter().filter_map(|(_, fault)| match fault {
            Fault::Reconfigure(routing) => Some(*routing),
            _ => None,
        });
        assert_eq!(versions.next_back(), Some(Routing::default()), "seed {seed}");
    }
}

#[test]
fn a_version_says_what_planned_work_wants() {
    let routing = Routing {
        plain: ms(1000),
        streams: ms(3000),
        plain_moved: true,
        streams_moved: false,
        dropped: Some("/once/"),
    };
    let value = configuration(7, routing);
    let routes = value["routes"].as_array().expect("routes");
    let route = |prefix: &str| routes.iter().find(|route| route["prefix"] == prefix);
    let sheet = route("/sheet/").expect("a plain route");
    assert_eq!((&sheet["service"], &sheet["timeoutMs"]), (&SECOND_DESK.into(), &1000.into()));
    let draft = route("/draft/").expect("a route of streams");
    assert_eq!((&draft["service"], &draft["timeoutMs"]), (&"writer".into(), &3000.into()));
    assert!(route("/once/").is_none());
    let services = value["services"].as_array().expect("services");
    assert!(services.iter().any(|service| service["name"] == SECOND_WRITER));
}
