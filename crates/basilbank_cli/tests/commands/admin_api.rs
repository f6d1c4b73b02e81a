//! Commands that use the admin API, run against a server that replaces the daemon.

use basilbank_cli::ExitStatus;
use test_case::test_case;

use crate::common::{CommandOutput, FakeDaemon, run_command};

const KEY: &str = "fedcba9876543210";

/// Starts a server that answers one method and path with the given text, and others with 404.
fn fake_daemon(expected_line: &'static str, status: u16, text: &'static str) -> FakeDaemon {
    FakeDaemon::start(Box::new(move |request_line| {
        if request_line == expected_line { (status, text.to_owned()) } else { (404, String::new()) }
    }))
}

fn run_against(daemon: &FakeDaemon, args: &[&str]) -> CommandOutput {
    let admin = format!("http://{}/", daemon.address);
    run_command(args, "", &[("BASILBANK_ADMIN", &admin), ("BASILBANK_KEY", KEY)])
}

#[test]
fn lists_are_aligned_tables() {
    let text = r#"{"items":[
        {"slots":20,"name":"writer-d1","zeta":true,"running":7,"version":""},
        {"slots":2,"name":"p\u001b[2J","zeta":false,"running":null,"role":"prefill"}]}"#;
    let daemon = fake_daemon("GET /admin/endpoints", 200, text);
    let output = run_against(&daemon, &["endpoints"]);
    let lines: Vec<_> = output.out.lines().collect();
    assert_eq!(
        lines,
        [
            "NAME       ROLE     VERSION  SLOTS  RUNNING  ZETA",
            "writer-d1  -        -           20        7  yes",
            "p?[2J      prefill  -            2        -  no",
        ]
    );
    assert_eq!(output.status, ExitStatus::Ok);
    assert_eq!(daemon.received.lock().unwrap()[0].authorization, format!("Bearer {KEY}"));
}

#[test]
fn json_output_is_the_daemons_answer() {
    let daemon = fake_daemon("GET /admin/teams", 200, r#"{"items":[{"name":"fitters"}]}"#);
    let output = run_against(&daemon, &["teams", "--json"]);
    assert_eq!(
        output.out,
        "{\n  \"items\": [\n    {\n      \"name\": \"fitters\"\n    }\n  ]\n}\n"
    );
}

#[test]
fn status_prints_one_field_per_line() {
    let text = r#"{"vms":4,"name":"entry-1","catalogue":12,"ready":true,"newer_field":1}"#;
    let output = run_against(&fake_daemon("GET /admin/status", 200, text), &["status"]);
    let lines: Vec<_> = output.out.lines().collect();
    let expected = [
        "name         entry-1",
        "ready        yes",
        "catalogue    12",
        "vms          4",
        "newer_field  1",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn explain_shows_fields_and_steps() {
    let text = r#"{"id":"00ff","team":"fitters","outcome":"","events":[
        {"at_ms":0,"event":"accepted","detail":"team=fitters"},
        {"at_ms":12,"event":"placed","detail":"endpoint=p1"}]}"#;
    let output =
        run_against(&fake_daemon("GET /admin/requests/00ff", 200, text), &["explain", "00ff"]);
    let lines: Vec<_> = output.out.lines().collect();
    let expected = [
        "id       00ff",
        "team     fitters",
        "outcome  -",
        "",
        "events:",
        "AT_MS  EVENT     DETAIL",
        "    0  accepted  team=fitters",
        "   12  placed    endpoint=p1",
    ];
    assert_eq!(lines, expected);
}

#[test_case("GET /admin/requests/other", 200, &["explain", "00ff"], ExitStatus::InvalidOrNotFound, "does not know request 00ff"; "not found")]
#[test_case("GET /admin/status", 401, &["status"], ExitStatus::Usage, "refuses the key"; "wrong key")]
#[test_case("GET /admin/status", 500, &["status"], ExitStatus::Unreachable, "no reason (status 500)"; "server error")]
#[test_case("GET /admin/status", 302, &["status"], ExitStatus::Unreachable, "(status 302)"; "redirect")]
#[test_case("GET /admin/orders", 200, &["orders"], ExitStatus::Unreachable, "not JSON"; "not json")]
#[test_case("GET /admin/orders", 200, &["explain", "../status"], ExitStatus::Usage, "not a request's id"; "path for an id")]
#[test_case("GET /admin/requests/zz", 400, &["explain", "zz"], ExitStatus::Usage, "no reason"; "refused id")]
fn failures_set_exit_status_and_message(
    request_line: &'static str,
    status: u16,
    args: &[&str],
    expected_status: ExitStatus,
    expected_error: &str,
) {
    let output = run_against(&fake_daemon(request_line, status, "<html>"), args);
    assert_eq!(output.status, expected_status, "{}", output.err);
    assert!(output.err.contains(expected_error), "{}", output.err);
    assert!(!output.err.contains(KEY), "{}", output.err);
}

#[test]
fn refused_connection_is_unreachable() {
    // Nothing listens on port 1: its assigned service has been out of use for decades.
    let output = run_command(&["status", "--admin", "127.0.0.1:1"], "", &[]);
    assert_eq!(output.status, ExitStatus::Unreachable);
}

#[test]
fn dry_run_sends_the_documents() {
    let text = r#"{"findings":[{"file":"c","line":1,"column":2,"severity":"warning","message":"m","help":"h"}],"changes":["~ endpoint d1: leaving false -> true; endpoint drains"]}"#;
    let daemon = fake_daemon("POST /admin/check", 200, text);
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/office.jsonc");
    let output = run_against(&daemon, &["diff", file]);
    assert_eq!(
        output.out,
        "c:1:2: warning: m; h\n~ endpoint d1: leaving false -> true; endpoint drains\n1 changes\n"
    );
    assert_eq!(output.status, ExitStatus::Ok);
    let body = daemon.received.lock().unwrap()[0].body.clone();
    assert!(body.contains("\"key\":") && body.contains("office"), "{body}");
}

#[test]
fn dry_run_with_errors_fails() {
    let text = r#"{"findings":[{"file":"c","line":1,"column":2,"severity":"error","message":"m","help":"h"}],"changes":[]}"#;
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/office.jsonc");
    let output = run_against(&fake_daemon("POST /admin/check", 200, text), &["diff", file]);
    assert_eq!(
        (output.status, output.out.as_str()),
        (ExitStatus::InvalidOrNotFound, "c:1:2: error: m; h\n")
    );
}

#[test]
fn watch_prints_changes() {
    let mut polls = 0;
    let daemon = FakeDaemon::start(Box::new(move |request_line| match request_line {
        "GET /admin/status" => {
            polls += 1;
            let status = format!("{{\"catalogue\":{},\"uptime_s\":{polls}}}", 11 + polls / 2);
            (if polls == 3 { 503 } else { 200 }, status)
        }
        "GET /admin/endpoints" if 1 < polls => {
            (200, r#"{"items":[{"name":"d1","leaving":true}]}"#.to_owned())
        }
        _ => (200, r#"{"items":[]}"#.to_owned()),
    }));
    let output = run_against(&daemon, &["watch", "--count", "4", "--interval", "0.1"]);
    assert_eq!(
        output.out.lines().collect::<Vec<_>>(),
        [
            "daemon reached: - -> yes",
            "endpoints d1 leaving: - -> yes",
            "endpoints d1 name: - -> d1",
            "status catalogue: 11 -> 12",
            "daemon reached: yes -> no",
            "daemon reached: no -> yes",
            "status catalogue: 12 -> 13",
        ]
    );
    assert_eq!(output.status, ExitStatus::Ok);
}
