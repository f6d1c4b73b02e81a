//! The command `trace`, run on logs of one and of many daemons.

use basilbank_cli::ExitStatus;
use test_case::test_case;

use crate::common::run_command;

const VM_LOG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/vm-1.log");
const MERGED_LOG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/all.log");

#[test]
fn trace_sorts_request_lines_and_circumstances_by_time() {
    let output = run_command(&["trace", "a1", VM_LOG, MERGED_LOG], "", &[]);
    let events: Vec<_> = output
        .out
        .lines()
        .map(|line| {
            let (prefix, event) = line.split_once("event=").expect("an event");
            (prefix.contains('*'), event.split(' ').next().unwrap_or_default().to_owned())
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
    assert_eq!(events, expected, "{}", output.out);
    assert_eq!(output.status, ExitStatus::Ok);
}

#[test]
fn times_are_relative_to_the_first_request_line() {
    let output = run_command(&["trace", "a1", VM_LOG], "", &[]);
    let times: Vec<_> = output.out.lines().map(|l| l.split(" ms").next().unwrap().trim()).collect();
    assert_eq!(times, ["-200.0", "0.0", "0.2", "250.0", "300.0"], "{}", output.out);
}

#[test]
fn json_has_the_fields_of_each_line() {
    let output = run_command(&["trace", "a1", VM_LOG, "--json"], "", &[]);
    let lines: serde_json::Value = serde_json::from_str(&output.out).expect("JSON");
    assert_eq!(lines[0]["error"], "no answer in time");
    assert_eq!(lines[3]["outcome"], "unreachable");
    assert_eq!(lines[3]["daemon"], VM_LOG);
}

#[test]
fn log_is_read_from_standard_input() {
    let text = std::fs::read_to_string(VM_LOG).expect("the log");
    let output = run_command(&["trace", "a2", "-"], &text, &[]);
    assert!(output.out.contains("event=arrived request=a2"), "{}", output.out);
}

#[test_case(&["trace", "a9", VM_LOG], ExitStatus::InvalidOrNotFound; "no such request")]
#[test_case(&["trace", "a1", "/nowhere.log"], ExitStatus::Usage; "no such file")]
#[test_case(&["trace", "a1"], ExitStatus::Usage; "no log")]
#[test_case(&["trace"], ExitStatus::Usage; "no request")]
fn invalid_traces_print_only_an_error(args: &[&str], status: ExitStatus) {
    let output = run_command(args, "", &[]);
    assert_eq!((output.status, output.out.as_str()), (status, ""));
    assert!(!output.err.is_empty());
}

/// Logs of two daemons about a call that crashed endpoints and was quarantined.
const CRASH_LOG: &str = "\
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
fn digest_finds_all_attempts_of_a_request(name: &str, events: &[&str]) {
    let output = run_command(&["trace", name, "-"], CRASH_LOG, &[]);
    let event = |line: &str| Some(line.split_once("event=")?.1.split(' ').next()?.to_owned());
    let request_lines = output.out.lines().filter(|line| line.contains('*'));
    assert_eq!(request_lines.filter_map(event).collect::<Vec<_>>(), events, "{}", output.out);
    assert!(!output.out.contains("00cd"), "another request's: {}", output.out);
}
