//! Tests that the examples have no findings and contain every field of the schema.

use basilbank_config::{
    CATALOGUE, Document, LogSettings, ObjectSchema, SETTINGS, Settings, check_catalogue, key_hash,
};
use basilbank_core::{
    catalogue::{Catalogue, Role},
    tuning::Tuning,
};
use test_case::test_case;

const KITAFUJI: &str = include_str!("../examples/kitafuji.jsonc");
const KOMMUNKALKYL: &str = include_str!("../examples/kommunkalkyl.jsonc");
const SETTINGS_TEXT: &str = include_str!("../examples/settings.jsonc");

fn parse_without_findings(text: &str) -> Catalogue {
    let document = Document { key: "example".into(), text: Some(text.into()), revision: 1 };
    let checked = check_catalogue(1, &[document]);
    assert_eq!(checked.findings.to_string(), "");
    checked.catalogue.unwrap()
}

#[test_case(KITAFUJI, 10, "sapporo-example-key", "fitters-sapporo"; "kitafuji")]
#[test_case(KOMMUNKALKYL, 20, "support-example-key", "support"; "kommunkalkyl")]
fn catalogue_has_no_findings(text: &str, model_endpoints: usize, key: &str, team: &str) {
    let catalogue = parse_without_findings(text);
    let plain = catalogue.endpoints.iter().filter(|e| e.role == Role::Plain).count();
    assert_eq!((catalogue.endpoints.len() - plain, plain), (model_endpoints, 4));
    let mut data_centres: Vec<_> = catalogue.endpoints.iter().map(|e| e.data_centre).collect();
    data_centres.sort();
    data_centres.dedup();
    assert_eq!(data_centres.len(), 4);
    let owner = catalogue.teams.iter().find(|t| t.keys.contains(&key_hash(key)));
    assert_eq!(owner.unwrap().name, team);
}

#[test]
fn settings_example_has_the_default_tuning() {
    let settings = Settings::parse("settings.jsonc", SETTINGS_TEXT).unwrap();
    assert_eq!(settings.tuning, Tuning::default());
    let file = Some("basilbankd.log".to_owned());
    assert_eq!(settings.log, LogSettings { file, ..LogSettings::default() });
}

#[test_case(&CATALOGUE, KITAFUJI; "catalogue")]
#[test_case(&SETTINGS, SETTINGS_TEXT; "settings")]
fn every_field_is_in_the_example(schema: &'static ObjectSchema, text: &str) {
    for (path, schema) in schema.with_nested() {
        for field in schema.fields {
            let is_present = text.contains(&format!("\"{}\":", field.name));
            assert!(is_present, "{path}.{} isn't in the example", field.name);
        }
    }
}
