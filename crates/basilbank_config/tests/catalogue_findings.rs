//! Tests the position and message of each finding in a catalogue.

use basilbank_config::{Document, check_catalogue, parse_catalogue};
use test_case::test_case;

const VALID_CATALOGUE: &str = r#"{
  "teams": [{ "name": "fitters", "keys": [] }, { "name": "office" }],
  "classes": [{ "name": "draft", "ttft_ms": 340, "tbt_ms": 44 }, { "name": "lookup", "ttft_ms": 90 }],
  "models": [{ "name": "writer", "version": "v7", "weight_bytes": 16e9, "kv_bytes_per_token": 131072 }],
  "services": [{ "name": "desk", "prefix": "/desk/" }],
  "entries": [
    { "name": "quotes", "owner": "fitters", "class": "draft", "model": "writer", "limits": { "owed": 0.4 } },
    { "name": "stock", "owner": "fitters", "class": "lookup", "service": "desk" }
  ],
  "endpoints": [
    { "name": "p1", "address": "10.0.0.1:8000", "data_centre": "hall-a", "role": "prefill", "model": "writer",
      "slots": 1, "prefill_tokens_per_s": 8000, "link_bytes_per_s": 1.25e9 },
    { "name": "d1", "address": "10.0.0.2:8000", "data_centre": "hall-a", "role": "decode", "model": "writer",
      "slots": 20, "link_bytes_per_s": 1.25e9 },
    { "name": "f1", "address": "10.0.0.3:8000", "data_centre": "hall-b", "role": "plain", "service": "desk", "slots": 50 }
  ]
}"#;

fn documents(texts: &[&str]) -> Vec<Document> {
    let document = |(i, text): (usize, &&str)| Document {
        key: format!("catalogue/{i}"),
        text: Some((*text).to_owned()),
        revision: 1,
    };
    texts.iter().enumerate().map(document).collect()
}

/// Returns the findings for the valid catalogue with `text` as a second document.
fn findings_with(text: &str) -> Vec<String> {
    let findings = check_catalogue(1, &documents(&[VALID_CATALOGUE, text])).findings;
    findings.items.iter().map(ToString::to_string).collect()
}

fn assert_single_finding(findings: &[String], position: &str, expected: &str) {
    let [finding] = findings else { panic!("one finding is expected: {findings:#?}") };
    assert!(finding.starts_with(position), "{finding}");
    assert!(finding.contains(expected), "{finding}");
}

#[test]
fn valid_catalogue_has_no_findings() {
    let checked = check_catalogue(7, &documents(&[VALID_CATALOGUE]));
    assert_eq!(checked.findings.to_string(), "");
    let catalogue = checked.catalogue.unwrap();
    assert_eq!(catalogue.revision, 7);
    assert_eq!(catalogue.entries[0].limits.owed, 0.4);
    assert_eq!(catalogue.services[0].repeatable_methods, ["GET", "HEAD"]);
    assert_eq!(catalogue.models[0].weight_bytes, 16_000_000_000);
}

#[test_case("{ \"teams\": [", "1:12", "not JSON"; "unterminated")]
#[test_case("[]", "1:1", "not an object"; "not an object")]
#[test_case("", "1:1", "not an object"; "empty")]
#[test_case("{ 'teams': [] }", "1:3", "ingle-quoted"; "single quotes")]
#[test_case("{\n  \"team\": []\n}", "2:3", "did you mean \"teams\"?"; "misspelt root field")]
#[test_case("{ \"x\\ny\": 1 }", "1:3", "no field \"x\\ny\""; "line break in a field's name")]
#[test_case("{ \"xyzzyxyzzy\": 1 }", "1:3", "it may have teams, classes"; "unknown root field")]
#[test_case("{ \"teams\": {} }", "1:12", "\"teams\" is an object"; "list of wrong type")]
#[test_case("{ \"teams\": [3] }", "1:13", "\"teams\" holds a number"; "element of wrong type")]
#[test_case("{ \"teams\": [], \"teams\": [] }", "1:16", "given twice (the other is at catalogue/1:1:3)"; "field twice")]
#[test_case("{ \"teams\": [{}] }", "1:13", "the team has no \"name\"; add \"name\": \"fitters\""; "missing field")]
#[test_case("{ \"teams\": [{ \"name\": \"\" }] }", "1:23", "\"name\" is empty"; "empty name")]
#[test_case("{ \"teams\": [{ \"name\": \"a b\" }] }", "1:23", "can't be \"a b\""; "space in a name")]
#[test_case("{ \"teams\": [{ \"name\": null }] }", "1:23", "\"name\" is null"; "null")]
#[test_case("{ \"teams\": [{ \"name\": \"office\" }] }", "1:23", "two with the team name \"office\" (the other is at catalogue/0:2:58)"; "name twice")]
#[test_case("{ \"teams\": [{ \"name\": \"x\", \"keys\": [\"abc\"] }] }", "1:37", "64 hex digits"; "short key hash")]
#[test_case("{ \"teams\": [{ \"name\": \"åland\" }] }", "1:23", "can't be \"åland\""; "non-ASCII name")]
#[test_case("/* åäö */ { \"tems\": [] }", "1:13", "did you mean \"teams\"?"; "columns count characters")]
#[test_case("{ \"classes\": [{ \"name\": \"x\", \"ttft_ms\": 0 }] }", "1:41", "\"ttft_ms\" can't be 0; write a whole number from 1"; "zero TTFT target")]
#[test_case("{ \"classes\": [{ \"name\": \"x\", \"ttft_ms\": 1.5 }] }", "1:41", "\"ttft_ms\" can't be 1.5"; "fraction for an integer")]
#[test_case("{ \"classes\": [{ \"name\": \"x\", \"ttft\": 9, \"ttft_ms\": 9 }] }", "1:30", "did you mean \"ttft_ms\"?"; "unit left out")]
#[test_case("{ \"classes\": [{ \"name\": \"x\", \"ttft_ms\": 9, \"priority\": 256 }] }", "1:56", "from 0 to 255"; "priority out of range")]
#[test_case("{ \"models\": [{ \"name\": \"x\", \"version\": \"1\", \"weight_bytes\": \"16 GB\", \"kv_bytes_per_token\": 1 }] }", "1:61", "is a text; write a whole number"; "text for a number")]
#[test_case("{ \"services\": [{ \"name\": \"x\", \"prefix\": \"desk\" }] }", "1:41", "starts and ends with '/'"; "prefix without slash")]
#[test_case("{ \"services\": [{ \"name\": \"x\", \"prefix\": \"/v1/x/\" }] }", "1:41", "router's own"; "prefix of the router's API")]
#[test_case("{ \"services\": [{ \"name\": \"x\", \"prefix\": \"/desk/stock/\" }] }", "1:41", "within /desk/ of service \"desk\" (the other is at catalogue/0:5:44)"; "prefix within another")]
#[test_case("{ \"services\": [{ \"name\": \"x\", \"prefix\": \"/x/\", \"repeatable\": [\"get\"] }] }", "1:63", "upper case"; "method in lower case")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"fiters\", \"class\": \"draft\", \"model\": \"writer\" }] }", "1:39", "no team \"fiters\"; did you mean \"fitters\"?"; "unknown owner")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"z\", \"model\": \"writer\" }] }", "1:59", "no class \"z\"; add a class"; "unknown class")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"draft\" }] }", "1:15", "neither \"model\" nor \"service\""; "no target")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"draft\", \"model\": \"writer\", \"service\": \"desk\" }] }", "1:98", "both given"; "two targets")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"office\", \"class\": \"draft\", \"model\": \"writer\", \"limits\": { \"owed\": 0.61 } }] }", "1:106", "shares of model \"writer\" add up to 1.010"; "guaranteed shares above one")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"office\", \"class\": \"draft\", \"model\": \"writer\", \"limits\": { \"owed\": 1.4 } }] }", "1:106", "\"owed\" can't be 1.4; write a number from 0 to 1"; "guaranteed share above one")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"lookup\", \"service\": \"desk\" }] }", "1:15", "\"stock\" and \"x\" give one team the same service \"desk\""; "service twice for a team")]
#[test_case("{ \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"lookup\", \"model\": \"writer\" }] }", "0:3:66", "has no \"tbt_ms\""; "model entry without target between tokens")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"host:1\", \"data_centre\": \"h\", \"role\": \"plain\", \"service\": \"desk\", \"slots\": 1 }] }", "1:43", "write an IP number with a port"; "host name")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"0.0.0.0:1\", \"data_centre\": \"h\", \"role\": \"plain\", \"service\": \"desk\", \"slots\": 1 }] }", "1:43", "nobody can connect to 0.0.0.0:1"; "unspecified address")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.9:0\", \"data_centre\": \"h\", \"role\": \"plain\", \"service\": \"desk\", \"slots\": 1 }] }", "1:43", "nobody can connect to 10.0.0.9:0"; "port zero")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.3:8000\", \"data_centre\": \"h\", \"role\": \"plain\", \"service\": \"desk\", \"slots\": 1 }] }", "1:43", "\"f1\" and \"x\" have the same address"; "address twice")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.9:8000\", \"data_centre\": \"h\", \"role\": \"plain\", \"model\": \"writer\", \"slots\": 1 }] }", "1:88", "role plain can't serve a model"; "plain role for a model")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.9:8000\", \"data_centre\": \"h\", \"role\": \"decode\", \"service\": \"desk\", \"slots\": 1, \"link_bytes_per_s\": 1 }] }", "1:88", "only an endpoint of role plain"; "decode role for a service")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.9:8000\", \"data_centre\": \"h\", \"role\": \"prefil\", \"model\": \"writer\", \"slots\": 1 }] }", "1:88", "one of prefill, decode, plain"; "unknown role")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.9:8000\", \"data_centre\": \"h\", \"role\": \"prefill\", \"model\": \"writer\", \"slots\": 1, \"link_bytes_per_s\": 1 }] }", "1:88", "needs \"prefill_tokens_per_s\""; "prefill without rate")]
#[test_case("{ \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.9:8000\", \"data_centre\": \"h\", \"role\": \"plain\", \"service\": \"desk\", \"slots\": 1, \"orders\": true }] }", "1:138", "role plain has no \"orders\""; "orders for a plain endpoint")]
#[test_case("{ \"weight_store\": {} }", "1:19", "has no \"bytes_per_s\""; "weight store without rate")]
fn error_is_reported(text: &str, position: &str, expected: &str) {
    let position = if position.matches(':').count() == 2 {
        position.to_owned()
    } else {
        format!("1:{position}")
    };
    assert_single_finding(
        &findings_with(text),
        &format!("catalogue/{position}: error: "),
        expected,
    );
}

#[test_case("{ \"models\": [{ \"name\": \"x\", \"version\": \"1\", \"weight_bytes\": 1, \"kv_bytes_per_token\": 1 }],
    \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"draft\", \"model\": \"x\" }],
    \"endpoints\": [{ \"name\": \"x\", \"address\": \"10.0.0.9:8000\", \"data_centre\": \"h\", \"role\": \"decode\", \"model\": \"x\", \"slots\": 1, \"link_bytes_per_s\": 1 }] }",
    "2:17", "no endpoint of role prefill serves model \"x\""; "no prefill endpoint")]
#[test_case("{ \"services\": [{ \"name\": \"x\", \"prefix\": \"/x/\" }],
    \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"lookup\", \"service\": \"x\" }] }",
    "2:17", "no endpoint of role plain serves service \"x\""; "no plain endpoint")]
fn warning_is_reported(text: &str, position: &str, expected: &str) {
    assert_single_finding(
        &findings_with(text),
        &format!("catalogue/1:{position}: warning: "),
        expected,
    );
    assert!(parse_catalogue(1, &documents(&[VALID_CATALOGUE, text])).is_ok());
}

#[test]
fn key_shared_by_two_teams_is_an_error() {
    let hash = "0f".repeat(32);
    let text = format!(
        "{{ \"teams\": [{{ \"name\": \"a\", \"keys\": [\"{hash}\"] }},\n{{ \"name\": \"b\", \"keys\": [\"{}\"] }}] }}",
        hash.to_uppercase()
    );
    let expected = "teams \"a\" and \"b\" have the same key (the other is at catalogue/1:1:37)";
    assert_single_finding(&findings_with(&text), "catalogue/1:2:25: error: ", expected);
}

#[test]
fn two_weight_stores_are_an_error() {
    let text = "{ \"weight_store\": { \"bytes_per_s\": 1 } }";
    let findings = check_catalogue(1, &documents(&[text, text])).findings;
    assert_single_finding(
        &findings.items.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "catalogue/1:1:19",
        "two weight stores (the other is at catalogue/0:1:19)",
    );
}

#[test]
fn document_over_one_megabyte_is_an_error() {
    let text = format!("{{}} // {}", "x".repeat(1_000_000));
    assert_single_finding(&findings_with(&text), "catalogue/1:1:1", "1000006 bytes, over 1000000");
}

#[test]
fn all_findings_are_reported_in_order() {
    let text = "{\n  \"teams\": [{ \"nam\": \"x\" }],\n  \"classes\": [{ \"name\": \"c\", \"ttft_ms\": \"fast\" }],\n  \"entries\": [{ \"name\": \"e\", \"owner\": \"nobody\", \"class\": \"c\", \"model\": \"writer\" }]\n}";
    let positions: Vec<_> = check_catalogue(1, &documents(&[VALID_CATALOGUE, text]))
        .findings
        .items
        .iter()
        .map(|f| (f.line, f.column))
        .collect();
    assert_eq!(positions, [(2, 13), (2, 15), (3, 41), (4, 39)]);
}

/// If one of several documents is truncated, references from the others to its items can't be
/// resolved. Reporting each of them would hide the syntax error among hundreds of findings.
#[test]
fn unparsable_document_is_the_only_finding() {
    let truncated = &VALID_CATALOGUE[..VALID_CATALOGUE.len() - 1];
    let entries = "{ \"entries\": [{ \"name\": \"x\", \"owner\": \"fitters\", \"class\": \"draft\", \"model\": \"writer\" }] }";
    let findings = check_catalogue(1, &documents(&[entries, truncated])).findings;
    assert_eq!(findings.error_count(), 1);
    assert_eq!(findings.items[0].file, "catalogue/1");
}

/// If the check depended on anything but the texts, such as the order in which documents arrive,
/// one daemon could accept a revision that another rejects.
#[test]
fn document_order_does_not_affect_the_result() {
    let other = "{ \"teams\": [{ \"name\": \"a\" }, { \"name\": \"office\" }] }";
    let in_order = documents(&[VALID_CATALOGUE, other, "{ \"teams\": [{ \"name\": \"b\" }] }"]);
    let mut reversed = in_order.clone();
    reversed.reverse();
    assert_eq!(check_catalogue(1, &in_order), check_catalogue(1, &reversed));
    assert_eq!(check_catalogue(1, &in_order).findings.len(), 1);
}

#[test]
fn removed_documents_are_ignored() {
    let mut documents = documents(&[VALID_CATALOGUE, "not JSON"]);
    documents[1].text = None;
    assert!(parse_catalogue(1, &documents).is_ok());
}
