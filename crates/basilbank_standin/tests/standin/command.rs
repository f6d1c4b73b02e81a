//! The `basilbank_standin` command.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_basilbank_standin")).args(args).output().unwrap()
}

#[test]
fn the_demo_ends_by_itself_when_all_came_back_right() {
    let output = run(&["demo", "--once", "--daemons", "2"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.matches("callers  http://127.0.0.1:").count(), 2, "{text}");
    assert!(text.contains("curl -N http://127.0.0.1:"), "{text}");
}

#[test]
fn the_demo_fails_when_its_port_is_taken() {
    let taken = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let port = taken.local_addr().unwrap().port().to_string();
    assert_eq!(run(&["demo", "--once", "--port", &port]).status.code(), Some(1));
}

#[test]
fn wrong_arguments_are_told_from_failures() {
    assert_eq!(run(&["demo", "--twice"]).status.code(), Some(2));
    assert_eq!(run(&["measure", "--settings", "x.json"]).status.code(), Some(2));
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8(help.stdout).unwrap().contains("demo [--once]"));
}

#[test]
fn the_demo_runs_on_the_users_platform_too() {
    let output = run(&["demo", "--platform", "--once", "--daemons", "2"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.matches("callers  http://127.0.0.1:").count(), 2, "{text}");
    assert_eq!(text.matches("A draft of 30 events streamed").count(), 2, "{text}");
}
