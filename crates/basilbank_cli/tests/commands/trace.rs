//! A request's way, from the logs of many daemons.

use basilbank_cli::Status;
use test_case::test_case;

use crate::common::command;

const ONE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/vm-1.log");
const ALL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/all.log");

#[test]
fn a_request_is_shown_by_time_with_what_explains_it() {
    let ran = command(&["trace", "a1", ONE, ALL], "", &[]);
    let events: Vec<_> = ran
        .out
        .lines()
        .map(|line| {
            let (before, event) = line.split_once("event=").expect("an event");
            (before.contains('*'), event.split(' ').next().unwrap_or_default().to_owned())
        })
        .collect();
    let expected = [
        (false, "store_lost"),
        (false, "endpoint_dark"),
        (true, "arrived"),
        (true, "send"),
        (true, "came"),
        (true, "ended"),
    ];
    let expected: Vec<_> = expected.map(|(own, event)| (own, event.to_owned())).into();
    assert_eq!(events, expected, "{}", ran.out);
    assert_eq!(ran.status, Status::Ok);
}

#[test]
fn times_count_from_the_requests_first_line() {
    let ran = command(&["trace", "a1", ONE], "", &[]);
    let times: Vec<_> = ran.out.lines().map(|l| l.split(" ms").next().unwrap().trim()).collect();
    assert_eq!(times, ["-200.0", "0.0", "0.2", "250.0", "300.0"], "{}", ran.out);
}

#[test]
fn json_has_the_pairs_of_each_line() {
    let ran = command(&["trace", "a1", ONE, "--json"], "", &[]);
    let lines: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(lines[0]["error"], "no answer in time");
    assert_eq!(lines[3]["outcome"], "unreachable");
    assert_eq!(lines[3]["daemon"], ONE);
}

#[test]
fn a_log_can_come_from_standard_input() {
    let text = std::fs::read_to_string(ONE).expect("the log");
    let ran = command(&["trace", "a2", "-"], &text, &[]);
    assert!(ran.out.contains("event=arrived request=a2"), "{}", ran.out);
}

#[test_case(&["trace", "a9", ONE], Status::Found; "no such request")]
#[test_case(&["trace", "a1", "/nowhere.log"], Status::Usage; "no such file")]
#[test_case(&["trace", "a1"], Status::Usage; "no log")]
#[test_case(&["trace"], Status::Usage; "no request")]
fn what_can_not_be_shown(args: &[&str], status: Status) {
    let ran = command(args, "", &[]);
    assert_eq!((ran.status, ran.out.as_str()), (status, ""));
    assert!(!ran.err.is_empty());
}

/// A call that crashed endpoints, at two daemons.
const DEADLY: &str = "\
vm-1 2026-02-04T04:05:20.1Z [INFO] event=arrived request=b1 digest=00ab version=7
vm-1 2026-02-04T04:05:20.2Z [INFO] event=send request=b1 attempt=0 op=decode instance=i-1
vm-1 2026-02-04T04:05:20.3Z [INFO] event=crashed digest=00ab endpoint=0badf00d ran_ms=90
vm-1 2026-02-04T04:05:20.3Z [INFO] event=crashed digest=00cd endpoint=0badf00d ran_ms=900
vm-1 2026-02-04T04:05:20.4Z [INFO] event=arrived request=c1 digest=00cd version=7
vm-2 2026-02-04T04:05:21.1Z [INFO] event=quarantined digest=00ab why=crashes_3
vm-2 2026-02-04T04:05:22.1Z [INFO] event=arrived request=b2 digest=00ab version=7
vm-2 2026-02-04T04:05:22.1Z [INFO] event=ended request=b2 outcome=quarantined took_ms=0
";

#[test_case("00ab", &["arrived", "send", "crashed", "quarantined", "arrived", "ended"]; "all attempts")]
#[test_case("b2", &["crashed", "quarantined", "arrived", "ended"]; "one of them, with what is known of its digest")]
fn attempts_of_one_request_are_found_by_their_digest(name: &str, events: &[&str]) {
    let ran = command(&["trace", name, "-"], DEADLY, &[]);
    let event = |line: &str| Some(line.split_once("event=")?.1.split(' ').next()?.to_owned());
    let own = ran.out.lines().filter(|line| line.contains('*'));
    assert_eq!(own.filter_map(event).collect::<Vec<_>>(), events, "{}", ran.out);
    assert!(!ran.out.contains("00cd"), "another request's: {}", ran.out);
}
