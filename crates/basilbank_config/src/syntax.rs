//! Parses a text into a syntax tree with positions.

use jsonc_parser::{CollectOptions, ParseOptions, ast::Object, ast::Value, parse_to_ast};

use crate::report::{Position, Report};

/// Accepts JSON with comments and trailing commas, and no other extensions.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses a text that consists of one object. Returns `None` after reporting a syntax error, or
/// that the text is not an object.
pub(crate) fn parse_root<'a>(report: &mut Report<'a>, file: usize) -> Option<Object<'a>> {
    let text = report.source(file).text;
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS) {
        Ok(parsed) => parsed,
        Err(error) => {
            let pos = Position { file, offset: error.range().start };
            let kind = error.kind().to_string();
            report.error(
                pos,
                format!("not JSON: {}", lowercase_first(&kind)),
                "correct the syntax here",
            );
            return None;
        }
    };
    let Some(Value::Object(object)) = parsed.value else {
        let pos = Position { file, offset: 0 };
        report.error(pos, "the text is not an object", "write { … } with the fields in it");
        return None;
    };
    Some(object)
}

/// Returns the text with its first character in lower case, to continue a message.
fn lowercase_first(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map(|c| c.to_ascii_lowercase()).into_iter().chain(chars).collect()
}
