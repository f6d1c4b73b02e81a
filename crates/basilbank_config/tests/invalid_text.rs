//! Property tests: checking any text returns a result instead of panicking.

use basilbank_config::{Document, Settings, TextKind, check_catalogue};
use proptest::{prelude::*, test_runner::RngSeed};

const VALID_CATALOGUE: &str = include_str!("../examples/kitafuji.jsonc");

/// Fragments that break the syntax of a text in different ways.
const FRAGMENTS: [&str; 16] = [
    "",
    "{",
    "}",
    "[",
    "]",
    "\"",
    ",",
    ":",
    "//",
    "/*",
    "å",
    "\n",
    "null",
    "-1e999",
    "\"name\": 3,",
    "\\u0",
];

fn document(key: &str, text: &str) -> Document {
    Document { key: key.to_owned(), text: Some(text.to_owned()), revision: 1 }
}

/// Generates texts by replacing parts of a valid catalogue with fragments.
fn damaged_text() -> impl Strategy<Value = String> {
    let edit = (0..VALID_CATALOGUE.len(), 0..40_usize, 0..FRAGMENTS.len());
    proptest::collection::vec(edit, 1..6).prop_map(|edits| {
        let mut text = VALID_CATALOGUE.to_owned();
        for (at, len, fragment) in edits {
            let start = text.floor_char_boundary(at);
            let end = text.floor_char_boundary(start + len);
            text.replace_range(start..end, FRAGMENTS[fragment]);
        }
        text
    })
}

/// Uses a fixed seed, so that every run tests the same cases.
fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// If the check panics on a damaged document instead of reporting it, every daemon crashes as
    /// soon as an operator publishes that document.
    #[test]
    fn damaged_catalogue_is_checked_without_panic(text in damaged_text()) {
        let documents = [document("a", &text), document("b", "{ \"teams\": [{ \"name\": \"x\" }] }")];
        let checked = check_catalogue(1, &documents);
        prop_assert_eq!(checked.catalogue.is_some(), checked.findings.error_count() == 0);
        for finding in &checked.findings.items {
            let line = finding.file.eq("a").then(|| text.split('\n').nth(finding.line - 1));
            if let Some(line) = line {
                prop_assert!(finding.column <= line.unwrap().chars().count() + 1, "{}", finding);
            }
        }
    }

    /// Arbitrary text must not cause a panic, and must not be accepted as settings.
    #[test]
    fn arbitrary_text_is_checked_without_panic(text in ".{0,200}") {
        let errors = check_catalogue(1, &[document("a", &text)]).findings.error_count();
        prop_assert!(TextKind::detect(&text) == TextKind::Catalogue || 0 < errors);
        prop_assert!(Settings::parse("s", &text).is_err());
    }
}
