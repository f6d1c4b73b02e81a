//! Formats flat JSON objects as tables. The daemon determines the columns, so a new one needs no
//! change here; this module only determines their order.

use serde_json::{Map, Value};

/// A JSON object, usually without nested objects.
pub type JsonObject = Map<String, Value>;

/// Columns that come first, in this order. Other columns follow in alphabetical order.
const LEADING_COLUMNS: &[&str] = &[
    "at_ms",
    "event",
    "detail",
    "id",
    "name",
    "endpoint",
    "role",
    "team",
    "entry",
    "class",
    "model",
    "version",
    "adapter",
    "serves",
    "target",
    "stage",
    "outcome",
    "data_centre",
    "address",
    "ready",
    "live",
    "leaving",
    "says_leaving",
    "aside",
    "failures",
    "decides",
    "slots",
    "held",
    "steward",
    "own",
    "catalogue",
    "documents",
    "vms",
    "listed",
    "requests",
    "queued",
    "attempts",
    "prompt",
    "delivered",
    "age_ms",
];

/// Returns whether a value is a number or missing. A column of only such values is right-aligned.
fn is_number(value: &Value) -> bool {
    matches!(value, Value::Number(_) | Value::Null)
}

/// Formats a value as a table cell. Replaces control characters, which could alter the terminal.
pub fn format_cell(value: &Value) -> String {
    let text = match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(all) if all.is_empty() => "-".to_owned(),
        Value::Array(all) => all.iter().map(format_cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    };
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}

/// Formats a list of objects as a table with a header, or returns `none` if the list is empty.
#[must_use]
pub fn render_list(items: &[JsonObject]) -> String {
    if items.is_empty() {
        return "none\n".to_owned();
    }
    let columns = ordered_columns(items);
    let mut rows = vec![columns.iter().map(|c| c.to_uppercase()).collect::<Vec<_>>()];
    let cell_text =
        |item: &JsonObject, column: &str| item.get(column).map_or("-".to_owned(), format_cell);
    rows.extend(items.iter().map(|item| columns.iter().map(|c| cell_text(item, c)).collect()));
    let right_aligned: Vec<bool> = columns
        .iter()
        .map(|c| items.iter().all(|item| item.get(*c).is_none_or(is_number)))
        .collect();
    align_rows(&rows, &right_aligned)
}

/// Formats an object as lines of name and value. Lists of objects in it follow as tables.
#[must_use]
pub fn render_object(object: &JsonObject) -> String {
    let (tables, flat): (Vec<_>, Vec<_>) = object
        .iter()
        .map(|(name, value)| (name, value, as_objects(value)))
        .partition(|t| t.2.is_some());
    let mut names: Vec<&str> = flat.iter().map(|(name, ..)| name.as_str()).collect();
    sort_columns(&mut names);
    let rows: Vec<_> =
        names.iter().map(|name| vec![(*name).to_owned(), format_cell(&object[*name])]).collect();
    let mut text = align_rows(&rows, &[false, false]);
    for (name, _, items) in tables {
        text.push_str(&format!("\n{name}:\n{}", render_list(&items.unwrap_or_default())));
    }
    text
}

/// Returns the objects of a non-empty list that contains only objects, or else `None`.
fn as_objects(value: &Value) -> Option<Vec<JsonObject>> {
    let list = value.as_array().filter(|list| !list.is_empty())?;
    list.iter().map(|item| item.as_object().cloned()).collect()
}

fn ordered_columns(items: &[JsonObject]) -> Vec<&str> {
    let mut columns: Vec<&str> = items.iter().flat_map(Map::keys).map(String::as_str).collect();
    columns.sort_unstable();
    columns.dedup();
    sort_columns(&mut columns);
    columns
}

fn sort_columns(names: &mut [&str]) {
    let rank = |name: &str| {
        LEADING_COLUMNS.iter().position(|first| *first == name).unwrap_or(LEADING_COLUMNS.len())
    };
    names.sort_by_key(|name| (rank(name), name.to_owned()));
}

fn align_rows(rows: &[Vec<String>], right_aligned: &[bool]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<usize> = (0..right_aligned.len()).filter_map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for ((cell, width), right_aligned) in row.iter().zip(&widths).zip(right_aligned) {
            if *right_aligned {
                line.push_str(&format!("{cell:>width$}  "));
            } else {
                line.push_str(&format!("{cell:<width$}  "));
            }
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
