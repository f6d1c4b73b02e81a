//! Whatever stands in a document, the check ends with an answer.

use basilbank_config::{Document, Settings, TextKind, check_catalogue};
use proptest::{prelude::*, test_runner::RngSeed};

const SOUND: &str = include_str!("../examples/kitafuji.jsonc");

/// Pieces that break texts in many ways.
const PIECES: [&str; 16] = [
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

/// Replaces some stretches of a sound text.
fn damaged() -> impl Strategy<Value = String> {
    let cut = (0..SOUND.len(), 0..40_usize, 0..PIECES.len());
    proptest::collection::vec(cut, 1..6).prop_map(|cuts| {
        let mut text = SOUND.to_owned();
        for (at, len, piece) in cuts {
            let start = text.floor_char_boundary(at);
            let end = text.floor_char_boundary(start + len);
            text.replace_range(start..end, PIECES[piece]);
        }
        text
    })
}

/// The same cases on every run.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Symptom: every daemon dies as soon as one document is published. Sequence: an operator
    /// publishes a damaged text. Cause: the check panics instead of reporting.
    #[test]
    fn damaged_texts_are_judged(text in damaged()) {
        let all = [document("a", &text), document("b", "{ \"teams\": [{ \"name\": \"x\" }] }")];
        let checked = check_catalogue(1, &all);
        prop_assert_eq!(checked.catalogue.is_some(), checked.findings.error_count() == 0);
        for finding in &checked.findings.items {
            let line = finding.file.eq("a").then(|| text.split('\n').nth(finding.line - 1));
            if let Some(line) = line {
                prop_assert!(finding.column <= line.unwrap().chars().count() + 1, "{}", finding);
            }
        }
    }

    /// The same for texts that are nothing at all.
    #[test]
    fn any_texts_are_judged(text in ".{0,200}") {
        let errors = check_catalogue(1, &[document("a", &text)]).findings.error_count();
        prop_assert!(TextKind::detect(&text) == TextKind::Catalogue || 0 < errors);
        prop_assert!(Settings::parse("s", &text).is_err());
    }
}
