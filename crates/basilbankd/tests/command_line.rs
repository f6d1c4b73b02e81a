//! The program's command line and exit codes.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use test_case::test_case;

const GOOD: &str = r#"{
  "name": "entry-1", "data_centre": "hall-a",
  "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0",
  "platform": "http://127.0.0.1:1",
  "peer_key": "0123456789abcdef", "admin_key": "fedcba9876543210", // comments are welcome
}"#;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_basilbankd")).args(arguments).output().unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test_case("--help", "Usage: basilbankd --settings FILE"; "help")]
#[test_case("--version", "basilbankd "; "version")]
fn what_is_asked_for_is_printed(argument: &str, start: &str) {
    let output = run(&[argument]);
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).starts_with(start));
    assert!(output.stderr.is_empty());
}

#[test_case(&[], "--settings FILE is needed"; "nothing")]
#[test_case(&["--settings", "x", "--chek"], "unknown argument --chek"; "unknown")]
#[test_case(&["--settings"], "--settings FILE is needed"; "no file named")]
#[test_case(&["--settings", "/nowhere/at/all"], "/nowhere/at/all: "; "no such file")]
fn a_wrong_command_line_is_told_what_is_wrong(arguments: &[&str], message: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains(message), "{}", text(&output.stderr));
}

#[test]
fn good_settings_pass_the_check() {
    let path = file("good.jsonc", GOOD);
    let output = run(&["--settings", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
}

/// All findings come at once, each with its place; the daemon does not start with them either.
#[test_case(&["--check"]; "checked")]
#[test_case(&[]; "started")]
fn findings_are_printed_together(more: &[&str]) {
    let bad =
        GOOD.replace("\"name\"", "\"nam\"").replace("127.0.0.1:0\", \"peers\"", "x\", \"peers\"");
    let path = file(&format!("bad{}.jsonc", more.len()), &bad);
    let name = path.to_str().unwrap();
    let output = run(&[&["--settings", name], more].concat());
    assert_eq!(output.status.code(), Some(2));
    let stderr = text(&output.stderr);
    for place in [format!("{name}:2:3: error: "), format!("{name}:3:14: error: ")] {
        assert!(stderr.contains(&place), "{place} is missing in\n{stderr}");
    }
}

#[test]
fn settings_of_the_users_platform_are_checked() {
    let folder = std::env::temp_dir();
    let path = folder.join(format!("basilbankd-platform-{}.toml", std::process::id()));
    let good = "node = \"a\"\nzone = \"z\"\nip = \"127.0.0.1\"\nportRange = [1, 2]\n[listen]\n\
                front = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n[platform]\naddr = \"127.0.0.1:3\"\n";
    let check = |text: &str| {
        fs::write(&path, text).unwrap();
        let arguments = ["--platform", "--settings", path.to_str().unwrap(), "--check"];
        Command::new(env!("CARGO_BIN_EXE_basilbankd")).args(arguments).output().unwrap()
    };
    let output = check(good);
    assert!(output.status.success(), "{output:?}");
    let output = check(&good.replace("127.0.0.1:2", "nowhere"));
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("line 7"), "{said}");
    fs::remove_file(&path).unwrap();
}
