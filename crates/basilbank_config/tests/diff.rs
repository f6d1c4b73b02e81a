//! Tests the description of each change of a catalogue and its consequence.

use basilbank_config::{Document, diff, parse_catalogue};
use basilbank_core::catalogue::Catalogue;
use test_case::test_case;

const OLD: &str = r#"{
  "teams": [{ "name": "fitters", "keys": ["00000000000000000000000000000000000000000000000000000000000000aa"] }],
  "classes": [{ "name": "draft", "ttft_ms": 340, "tbt_ms": 44 }],
  "models": [{ "name": "writer", "version": "v7", "weight_bytes": 16e9, "kv_bytes_per_token": 131072 }],
  "entries": [{ "name": "quotes", "owner": "fitters", "class": "draft", "model": "writer", "limits": { "owed": 0.4 } }],
  "endpoints": [
    { "name": "d1", "address": "10.0.0.2:8000", "data_centre": "hall-a", "role": "decode", "model": "writer",
      "slots": 20, "link_bytes_per_s": 1.25e9, "orders": true },
    { "name": "p1", "address": "10.0.0.1:8000", "data_centre": "hall-a", "role": "prefill", "model": "writer",
      "slots": 1, "prefill_tokens_per_s": 8000, "link_bytes_per_s": 1.25e9 }
  ],
  "weight_store": { "bytes_per_s": 2e9 }
}"#;

fn catalogue(text: &str) -> Catalogue {
    let document = Document { key: "c".into(), text: Some(text.to_owned()), revision: 1 };
    parse_catalogue(1, &[document]).unwrap_or_else(|findings| panic!("{findings}"))
}

fn changes(from: &str, to: &str) -> Vec<String> {
    let new = OLD.replace(from, to);
    assert_ne!(new, OLD);
    diff(&catalogue(OLD), &catalogue(&new)).iter().map(ToString::to_string).collect()
}

#[test_case("\"slots\": 20", "\"slots\": 20, \"leaving\": true", "~ endpoint d1: leaving false -> true; endpoint drains"; "leaving")]
#[test_case("\"v7\"", "\"v8\"", "~ model writer: version v7 -> v8; model writer rolls to version v8: 1 endpoints by order, 1 take no orders"; "version")]
#[test_case("\"v7\"", "\"v7\", \"adapter\": \"k\"", "~ model writer: adapter none -> k; model writer rolls to version v7 with adapter k: 1 endpoints by order, 1 take no orders"; "adapter")]
#[test_case("\"owed\": 0.4", "\"owed\": 0.25", "~ entry quotes: owed 0.4 -> 0.25; owed share of fitters in model writer goes from 0.4 to 0.25"; "owed share")]
#[test_case("\"owed\": 0.4", "\"owed\": 0.4, \"requests_per_s\": 20", "~ entry quotes: requests_per_s not limited -> 20"; "limit")]
#[test_case("340", "300", "~ class draft: ttft_ms 340 -> 300; changes 1 entries' promise"; "target")]
#[test_case("00aa\"]", "00aa\", \"11000000000000000000000000000000000000000000000000000000000000bb\"]", "~ team fitters: keys [0000…] -> [0000… 1100…]; 1 keys are accepted that weren't, 0 no longer"; "key")]
#[test_case("2e9 }", "3e9 }", "~ weight store: bytes_per_s 2000000000 -> 3000000000"; "weight store")]
#[test_case("\"teams\": [", "\"teams\": [{ \"name\": \"office\" }, ", "+ team office; 0 keys are accepted that weren't, 0 no longer"; "team added")]
#[test_case("\"name\": \"d1\"", "\"name\": \"d2\"", "- endpoint d1; endpoint drains\n+ endpoint d2; endpoint takes new work"; "endpoint renamed")]
#[test_case("\"quotes\"", "\"scopes\"", "- entry quotes; new calls of fitters to model writer by this entry are refused\n+ entry scopes; fitters may use model writer"; "entry renamed")]
fn change_is_described(from: &str, to: &str, expected: &str) {
    assert_eq!(changes(from, to).join("\n"), expected);
}

#[test]
fn comments_and_revision_are_not_changes() {
    let mut new =
        catalogue(&OLD.replace("{ \"name\": \"fitters\"", "/* x */ { \"name\": \"fitters\""));
    new.revision = 9;
    assert_eq!(diff(&catalogue(OLD), &new), []);
}
