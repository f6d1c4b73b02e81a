//! Settings: defaults, values, and each finding.

use std::time::Duration;

use basilbank_config::{ApiLimits, Kind, LogSettings, Need, SETTINGS, Section, Settings};
use basilbank_core::tuning::Tuning;
use test_case::test_case;

/// A settings text with more fields at its end.
fn with(more: &str) -> String {
    format!(
        r#"{{
  "name": "entry-1", "data_centre": "hall-a",
  "callers": "10.0.0.1:8080", "peers": "10.0.0.1:7001", "admin": "10.0.0.1:9090",
  "platform": "http://10.0.0.9:2379/",
  "peer_key": "0123456789abcdef", "admin_key": "fedcba9876543210",
  {more}
}}"#
    )
}

#[test]
fn what_is_left_out_has_defaults() {
    let settings = Settings::parse("s", &with("")).unwrap();
    assert_eq!(settings.name, "entry-1");
    assert_eq!(settings.platform, "http://10.0.0.9:2379");
    assert_eq!(settings.callers.port(), 8080);
    assert_eq!(settings.limits, ApiLimits::default());
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.tuning, Tuning::default());
}

#[test]
fn values_are_taken() {
    let more = r#""limits": { "body_timeout_ms": 2500 }, "log": { "level": "debug", "file": "x.log" },
        "tuning": { "dead_after_ms": 3000, "retry_ratio": 0.1 }"#;
    let settings = Settings::parse("s", &with(more)).unwrap();
    assert_eq!(settings.limits.body_timeout, Duration::from_millis(2500));
    assert_eq!(settings.log, LogSettings { level: "debug".into(), file: Some("x.log".into()) });
    assert_eq!(settings.tuning.dead_after, Duration::from_secs(3));
    assert_eq!(settings.tuning.retry_ratio, 0.1);
}

/// Symptom: the reference says another default than the daemon has. Cause: the table and the code
/// each state it. Here the table's defaults are written out and read back.
#[test]
fn the_tables_defaults_are_the_codes() {
    let written = |section: &Section| {
        let fields = section.fields.iter().filter(|f| f.name != "file");
        let field = |f: &basilbank_config::Field| match f.need {
            Need::Optional(default) => format!("\"{}\": {default}", f.name),
            Need::Required => panic!("{} has no default", f.name),
        };
        fields.map(field).collect::<Vec<_>>().join(", ")
    };
    let objects = SETTINGS.fields.iter().filter_map(|f| match f.kind {
        Kind::Object(section) => Some(format!("\"{}\": {{ {} }}", f.name, written(section))),
        _ => None,
    });
    let text = with(&objects.collect::<Vec<_>>().join(",\n"));
    let plain = Settings::parse("s", &with("")).unwrap();
    assert_eq!(Settings::parse("s", &text).unwrap(), plain);
}

/// Symptom: a constant can't be set. Sequence: the decisions gain one, the settings don't. Cause:
/// each is named in both.
#[test]
fn every_constant_can_be_set() {
    let tuning = SETTINGS.field("tuning").unwrap();
    let Kind::Object(section) = tuning.kind else { panic!("tuning is an object") };
    let shown = format!("{:?}", Tuning::default());
    let inner = shown.trim_start_matches("Tuning { ").trim_end_matches(" }");
    for constant in inner.split(", ").filter_map(|pair| pair.split(':').next()) {
        let millis = format!("{constant}_ms");
        let known = section.field(constant).or(section.field(&millis));
        assert!(known.is_some(), "{constant} can't be set");
    }
}

#[test_case("\"nme\": 1", "6:3", "the settings object has no field \"nme\"; did you mean \"name\"?"; "unknown field")]
#[test_case("\"limits\": { \"body\": 1 }", "6:15", "did you mean"; "unknown limit")]
#[test_case("\"limits\": { \"connections\": 0 }", "6:30", "can't be 0; write a whole number from 1"; "no connections")]
#[test_case("\"log\": { \"level\": \"loud\" }", "6:21", "one of error, warn, info, debug, trace"; "unknown level")]
#[test_case("\"tuning\": { \"heartbeat_ms\": 2000 }", "6:13", "less than three heartbeats; write at least 6000"; "dead too soon")]
#[test_case("\"tuning\": { \"backoff_ms\": 50, \"max_backoff_ms\": 20 }", "6:51", "less than \"backoff_ms\"; write at least 50"; "backoff")]
#[test_case("\"tuning\": 3", "6:13", "\"tuning\" is a number"; "not an object")]
fn a_finding(more: &str, place: &str, part: &str) {
    let findings = Settings::parse("s", &with(more)).unwrap_err().to_string();
    assert_eq!(findings.lines().count(), 1, "{findings}");
    assert!(findings.starts_with(&format!("s:{place}: error: ")), "{findings}");
    assert!(findings.contains(part), "{findings}");
}

#[test_case("10.0.0.1:9090", "10.0.0.1:8080", "\"admin\" has the address of \"callers\""; "address twice")]
#[test_case("10.0.0.1:9090", "localhost:80", "write an IP number with a port"; "host name")]
#[test_case("http://10.0.0.9:2379/", "https://10.0.0.9:2379", "not a base URL"; "https")]
#[test_case("http://10.0.0.9:2379/", "http://10.0.0.9:2379/x", "not a base URL"; "path")]
#[test_case("fedcba9876543210", "short", "\"admin_key\" can't be this; write a text of at least 16"; "short key")]
#[test_case("fedcba9876543210", "0123456789abcdef", "\"admin_key\" is the same as \"peer_key\""; "one key for two")]
fn a_wrong_value(right: &str, wrong: &str, part: &str) {
    let text = with("").replace(right, wrong);
    let findings = Settings::parse("s", &text).unwrap_err().to_string();
    assert!(findings.contains(part), "{findings}");
    assert!(!findings.contains("0123456789abcdef") && !findings.contains("short"), "{findings}");
}

#[test]
fn an_empty_object_lacks_all_that_is_required() {
    let findings = Settings::parse("s", "{}").unwrap_err();
    let required = SETTINGS.fields.iter().filter(|f| f.need == Need::Required).count();
    assert_eq!(findings.len(), required);
}
