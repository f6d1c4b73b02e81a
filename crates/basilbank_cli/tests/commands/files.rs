//! Commands that need no daemon, and invalid command lines.

use basilbank_cli::ExitStatus;
use test_case::test_case;

use crate::common::run_command;

const CATALOGUE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/office.jsonc");
const CHANGED_CATALOGUE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/office-new.jsonc");
const INVALID_CATALOGUE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/broken.jsonc");
const SETTINGS: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../basilbank_config/examples/settings.jsonc");

#[test]
fn check_prints_the_kind_of_each_file() {
    let output = run_command(&["check", SETTINGS, CATALOGUE], "", &[]);
    let expected =
        format!("{SETTINGS}: settings, 0 findings\n{CATALOGUE}: catalogue, 0 findings\n");
    assert_eq!((output.out, output.status), (expected, ExitStatus::Ok));
}

#[test]
fn check_prints_findings() {
    let output = run_command(&["check", INVALID_CATALOGUE], "", &[]);
    let lines: Vec<_> = output.out.lines().collect();
    assert_eq!(
        lines[0],
        format!(
            "{INVALID_CATALOGUE}:2:13: error: the team has no \"name\"; add \"name\": \"fitters\", for example"
        )
    );
    assert!(lines[1].starts_with(&format!("{INVALID_CATALOGUE}:2:15: error: ")), "{}", lines[1]);
    assert_eq!(lines[2], format!("{INVALID_CATALOGUE}: catalogue, 2 findings"));
    assert_eq!(output.status, ExitStatus::InvalidOrNotFound);
}

/// Guards against a catalogue in two files that passes although both define the same name. This
/// happens if each file is checked by itself.
#[test]
fn check_validates_documents_together() {
    let output = run_command(&["check", CATALOGUE, CHANGED_CATALOGUE, "--json"], "", &[]);
    let answer: serde_json::Value = serde_json::from_str(&output.out).unwrap();
    assert_eq!(answer["findings"].as_array().unwrap().len(), 2);
    assert_eq!(answer["findings"][0]["severity"], "error");
    assert_eq!(answer["files"][1]["kind"], "catalogue");
    assert_eq!(output.status, ExitStatus::InvalidOrNotFound);
}

#[test]
fn diff_compares_files() {
    let output = run_command(&["diff", CATALOGUE, "--", CHANGED_CATALOGUE], "", &[]);
    let expected = "~ class lookup: ttft_ms 150 -> 120; changes 0 entries' promise\n1 changes\n";
    assert_eq!((output.out.as_str(), output.status), (expected, ExitStatus::Ok));
    let output = run_command(&["diff", CATALOGUE, "--", INVALID_CATALOGUE], "", &[]);
    assert_eq!((output.out.lines().count(), output.status), (2, ExitStatus::InvalidOrNotFound));
}

#[test]
fn hash_key_prints_the_sha256_of_the_key() {
    // Output of `printf %s abc | sha256sum`.
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    for input in ["abc", "abc\n", "abc\r\n"] {
        assert_eq!(run_command(&["hash-key"], input, &[]).out, expected);
    }
}

#[test_case(""; "empty")]
#[test_case("\n"; "only a line break")]
#[test_case("two words"; "blank")]
#[test_case("one\ntwo\n"; "two lines")]
#[test_case("nyckel-å"; "beyond ascii")]
fn hash_key_refuses_invalid_keys(input: &str) {
    let output = run_command(&["hash-key"], input, &[]);
    assert_eq!((output.status, output.out.as_str()), (ExitStatus::Usage, ""));
    assert!(input.len() < 3 || !output.err.contains(input));
}

#[test_case(&[], "no command"; "nothing")]
#[test_case(&["stats"], "no command \"stats\""; "unknown command")]
#[test_case(&["status"], "BASILBANK_ADMIN"; "no daemon")]
#[test_case(&["status", "more"], "one too many"; "too much")]
#[test_case(&["status", "--jsn"], "no option --jsn"; "unknown option")]
#[test_case(&["check"], "no file"; "no file")]
#[test_case(&["check", "nowhere.jsonc"], "nowhere.jsonc: "; "missing file")]
#[test_case(&["check", "a", "--", "b"], "only `diff`"; "second list")]
#[test_case(&["diff", "--", "b"], "no file"; "no old file")]
#[test_case(&["explain"], "one request id"; "no request")]
#[test_case(&["status", "--count", "3"], "go with `watch`"; "count without watch")]
#[test_case(&["watch", "--interval", "0"], "seconds from 0.1"; "no interval")]
#[test_case(&["status", "--key-file", "nowhere.key"], "nowhere.key: "; "missing key file")]
fn invalid_command_lines_are_refused(args: &[&str], expected: &str) {
    let output = run_command(args, "", &[]);
    assert_eq!(output.status, ExitStatus::Usage);
    assert!(output.err.contains(expected), "{}", output.err);
}

#[test]
fn every_command_has_help() {
    let overview = run_command(&["--help"], "", &[]).out;
    for name in [
        "check",
        "diff",
        "hash-key",
        "status",
        "endpoints",
        "teams",
        "peers",
        "requests",
        "explain",
        "orders",
        "watch",
    ] {
        assert!(overview.contains(&format!("\n  {name} ")), "{name} isn't in the overview");
        let output = run_command(&[name, "--help"], "", &[]);
        assert!(output.out.starts_with(&format!("usage: basilbank {name}")), "{}", output.out);
        assert_eq!(output.status, ExitStatus::Ok);
    }
}
