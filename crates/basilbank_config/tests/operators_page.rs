//! Tests that the examples in `docs/OPERATORS.md` are valid and that its tables match the schemas.

use basilbank_config::{
    CATALOGUE, Document, ObjectSchema, SETTINGS, Settings, TextKind, check_catalogue,
};
use test_case::test_case;

const PAGE: &str = include_str!("../../../docs/OPERATORS.md");

/// Returns the fenced code blocks with JSON with comments.
fn jsonc_blocks() -> Vec<&'static str> {
    let parts = PAGE.split("```jsonc\n").skip(1);
    parts.map(|part| part.split("```").next().unwrap()).collect()
}

fn findings(texts: &[&str]) -> String {
    let document = |(i, text): (usize, &&str)| Document {
        key: format!("block-{i}"),
        text: Some((*text).to_owned()),
        revision: 1,
    };
    let documents: Vec<_> = texts.iter().enumerate().map(document).collect();
    check_catalogue(1, &documents).findings.to_string()
}

/// The first block is a full catalogue. Each of the others is a settings file or a document that is
/// valid together with the first block.
#[test]
fn examples_have_no_errors() {
    let blocks = jsonc_blocks();
    assert!(3 < blocks.len());
    assert_eq!(findings(&blocks[..1]), "");
    for block in &blocks[1..] {
        match TextKind::detect(block) {
            TextKind::Catalogue => assert_eq!(findings(&[blocks[0], block]), "", "{block}"),
            TextKind::Settings => {
                let parsed = Settings::parse("block", block);
                assert!(parsed.is_ok(), "{}", parsed.unwrap_err());
            }
        }
    }
}

#[test_case(&CATALOGUE; "catalogue")]
#[test_case(&SETTINGS; "settings")]
fn tables_match_the_schema(schema: &'static ObjectSchema) {
    for (path, schema) in schema.with_nested() {
        let table = schema.markdown_table();
        assert!(PAGE.contains(&table), "{path}: run the example `reference`\n{table}");
    }
}
