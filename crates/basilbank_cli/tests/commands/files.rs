//! Commands that work on files and on the command line alone.

use basilbank_cli::Status;
use test_case::test_case;

use crate::common::command;

const OFFICE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/office.jsonc");
const NEW: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/office-new.jsonc");
const BROKEN: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/broken.jsonc");
const SETTINGS: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../basilbank_config/examples/settings.jsonc");

#[test]
fn check_says_which_file_is_what() {
    let ran = command(&["check", SETTINGS, OFFICE], "", &[]);
    let expected = format!("{SETTINGS}: settings, 0 findings\n{OFFICE}: catalogue, 0 findings\n");
    assert_eq!((ran.out, ran.status), (expected, Status::Ok));
}

#[test]
fn check_prints_findings() {
    let ran = command(&["check", BROKEN], "", &[]);
    let lines: Vec<_> = ran.out.lines().collect();
    assert_eq!(
        lines[0],
        format!(
            "{BROKEN}:2:13: error: the team has no \"name\"; add \"name\": \"fitters\", for example"
        )
    );
    assert!(lines[1].starts_with(&format!("{BROKEN}:2:15: error: ")), "{}", lines[1]);
    assert_eq!(lines[2], format!("{BROKEN}: catalogue, 2 findings"));
    assert_eq!(ran.status, Status::Found);
}

/// Symptom: a catalogue in two files is called sound though a name is in both. Cause: each file was
/// checked by itself.
#[test]
fn check_takes_documents_together() {
    let ran = command(&["check", OFFICE, NEW, "--json"], "", &[]);
    let answer: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(answer["findings"].as_array().unwrap().len(), 2);
    assert_eq!(answer["findings"][0]["severity"], "error");
    assert_eq!(answer["files"][1]["kind"], "catalogue");
    assert_eq!(ran.status, Status::Found);
}

#[test]
fn diff_of_files() {
    let ran = command(&["diff", OFFICE, "--", NEW], "", &[]);
    let expected = "~ class lookup: ttft_ms 150 -> 120; changes 0 entries' promise\n1 changes\n";
    assert_eq!((ran.out.as_str(), ran.status), (expected, Status::Ok));
    let ran = command(&["diff", OFFICE, "--", BROKEN], "", &[]);
    assert_eq!((ran.out.lines().count(), ran.status), (2, Status::Found));
}

#[test]
fn hash_key_is_the_keys_sha256() {
    // printf %s abc | sha256sum
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    for input in ["abc", "abc\n", "abc\r\n"] {
        assert_eq!(command(&["hash-key"], input, &[]).out, expected);
    }
}

#[test_case(""; "empty")]
#[test_case("\n"; "only a line break")]
#[test_case("two words"; "blank")]
#[test_case("one\ntwo\n"; "two lines")]
#[test_case("nyckel-å"; "beyond ascii")]
fn hash_key_refuses(input: &str) {
    let ran = command(&["hash-key"], input, &[]);
    assert_eq!((ran.status, ran.out.as_str()), (Status::Usage, ""));
    assert!(input.len() < 3 || !ran.err.contains(input));
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
fn wrong_use(args: &[&str], part: &str) {
    let ran = command(args, "", &[]);
    assert_eq!(ran.status, Status::Usage);
    assert!(ran.err.contains(part), "{}", ran.err);
}

#[test]
fn every_command_has_help() {
    let overview = command(&["--help"], "", &[]).out;
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
        let ran = command(&[name, "--help"], "", &[]);
        assert!(ran.out.starts_with(&format!("usage: basilbank {name}")), "{}", ran.out);
        assert_eq!(ran.status, Status::Ok);
    }
}
