//! Reads and checks the fields of a JSON object against its schema.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jsonc_parser::{
    ast::{Object, ObjectProp, Value},
    common::Ranged,
};

use crate::{
    report::{Position, Report},
    schema::{Field, FieldType, ObjectSchema, Presence},
    suggestion::closest_match,
};

/// Maximum length of a name in bytes. Longer texts are truncated to as many characters in messages.
const MAX_NAME_LEN: usize = 100;

/// A JSON object whose fields have been checked against a schema. Errors were reported by
/// [`Fields::new`]; the accessors return `None` for a missing or invalid field.
#[derive(Debug)]
pub(crate) struct Fields<'s, 'a> {
    file: usize,
    schema: &'static ObjectSchema,
    object: &'s Object<'a>,
}

impl<'s, 'a> Fields<'s, 'a> {
    /// Checks an object against a schema and reports all errors in its fields.
    pub fn new(
        report: &mut Report<'_>,
        file: usize,
        schema: &'static ObjectSchema,
        object: &'s Object<'a>,
    ) -> Fields<'s, 'a> {
        let fields = Fields { file, schema, object };
        fields.check_fields(report);
        fields
    }

    /// Returns the start of the object.
    pub fn pos(&self) -> Position {
        Position { file: self.file, offset: self.object.range.start }
    }

    /// Returns the position of a field's value, or the start of the object if the field is missing.
    pub fn pos_of(&self, name: &str) -> Position {
        let value = self.value(name);
        value.map_or(self.pos(), |v| self.value_pos(v))
    }

    /// Returns whether a field is present, valid or not.
    pub fn has_field(&self, name: &str) -> bool {
        self.value(name).is_some()
    }

    /// Returns the value of a text, name or choice field.
    pub fn text(&self, name: &str) -> Option<&'s str> {
        let value = self.valid_value(name)?;
        value.as_string_lit().map(|s| s.value.as_ref())
    }

    /// Returns the value of an address field.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.text(name)?.parse().ok()
    }

    /// Returns the value of a boolean field.
    pub fn boolean(&self, name: &str) -> Option<bool> {
        self.valid_value(name)?.as_boolean_lit().map(|b| b.value)
    }

    /// Returns the value of an integer field.
    pub fn integer(&self, name: &str) -> Option<u64> {
        parse_integer(self.valid_value(name)?.as_number_lit()?.value)
    }

    /// Returns the value of an integer field as a narrower type. The range in the schema must
    /// ensure that it fits.
    pub fn integer_as<T: TryFrom<u64>>(&self, name: &str) -> Option<T> {
        T::try_from(self.integer(name)?).ok()
    }

    /// Returns the value of an integer field as a duration in milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.integer(name).map(Duration::from_millis)
    }

    /// Returns the value of a number field.
    pub fn number(&self, name: &str) -> Option<f64> {
        parse_number(self.valid_value(name)?.as_number_lit()?.value)
    }

    /// Returns the elements of a text list with their positions.
    pub fn text_list(&self, name: &str) -> Option<Vec<(&'s str, Position)>> {
        let list = &self.valid_value(name)?.as_array()?.elements;
        let texts = list.iter().filter_map(|v| Some((v.as_string_lit()?.value.as_ref(), v)));
        Some(texts.map(|(text, v)| (text, self.value_pos(v))).collect())
    }

    /// Returns a nested object after checking its fields.
    pub fn object(&self, report: &mut Report<'_>, name: &str) -> Option<Fields<'s, 'a>> {
        let FieldType::Object(schema) = self.schema.field(name)?.field_type else { return None };
        let object = self.valid_value(name)?.as_object()?;
        Some(Fields::new(report, self.file, schema, object))
    }

    /// Returns the objects in a list field. Their fields aren't checked yet.
    pub fn object_list(&self, name: &str) -> impl Iterator<Item = &'s Object<'a>> {
        let list = self.value(name).and_then(Value::as_array);
        list.into_iter().flat_map(|l| &l.elements).filter_map(Value::as_object)
    }

    fn value_pos(&self, value: &impl Ranged) -> Position {
        Position { file: self.file, offset: value.start() }
    }

    /// Returns the value of a field, valid or not.
    fn value(&self, name: &str) -> Option<&'s Value<'a>> {
        debug_assert!(self.schema.field(name).is_some(), "the schema has no field {name}");
        self.object.get(name).map(|prop| &prop.value)
    }

    /// Returns the value of a field if it is valid.
    fn valid_value(&self, name: &str) -> Option<&'s Value<'a>> {
        let field = self.schema.field(name)?;
        let value = self.value(name)?;
        invalid_value_message(field, value).is_none().then_some(value)
    }

    fn check_fields(&self, report: &mut Report<'_>) {
        let mut seen: HashMap<&str, Position> =
            HashMap::with_capacity(self.object.properties.len());
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            let pos = self.value_pos(&prop.name);
            if let Some(first) = seen.insert(name, pos) {
                let message = format!("{name:?} is given twice");
                report.conflict(pos, first, message, "remove one of the two");
                continue;
            }
            match self.schema.field(name) {
                Some(field) => self.check_value(report, field, prop),
                None => self.report_unknown_field(report, name, pos),
            }
        }
        for field in self.schema.fields {
            if field.presence == Presence::Required && !seen.contains_key(field.name) {
                let message = format!("the {} has no \"{}\"", self.schema.noun, field.name);
                let help = format!("add \"{}\": {}, for example", field.name, field.example);
                report.error(self.pos(), message, help);
            }
        }
    }

    fn check_value(&self, report: &mut Report<'_>, field: &Field, prop: &ObjectProp<'_>) {
        if let Some(message) = invalid_value_message(field, &prop.value) {
            let (field_type, example) = (field.field_type.describe(), field.example);
            let help = format!("write {field_type}, for example {example}");
            report.error(self.value_pos(&prop.value), message, help);
        }
        let Value::Array(list) = &prop.value else { return };
        for element in &list.elements {
            let is_valid = match field.field_type {
                FieldType::ObjectList(_) => element.as_object().is_some(),
                FieldType::TextList => element.as_string_lit().is_some(),
                _ => true,
            };
            if !is_valid {
                let message = format!("\"{}\" holds {}", field.name, type_name(element));
                let help =
                    format!("write {}, for example {}", field.field_type.describe(), field.example);
                report.error(self.value_pos(element), message, help);
            }
        }
    }

    fn report_unknown_field(&self, report: &mut Report<'_>, name: &str, pos: Position) {
        let known = self.schema.fields.iter().map(|f| f.name);
        let help = match closest_match(name, known.clone()) {
            Some(suggestion) => format!("did you mean \"{suggestion}\"?"),
            None => format!("it may have {}", known.collect::<Vec<_>>().join(", ")),
        };
        report.error(pos, format!("the {} has no field {name:?}", self.schema.noun), help);
    }
}

/// Returns a message that says what is wrong with a field's value; `None` if the value is valid.
fn invalid_value_message(field: &Field, value: &Value<'_>) -> Option<String> {
    let name = field.name;
    let is_valid = match (&field.field_type, value) {
        (FieldType::Name, Value::StringLit(s)) => is_name(&s.value),
        (FieldType::Text, Value::StringLit(s)) => is_text(&s.value, 1),
        (FieldType::Secret { min }, Value::StringLit(s)) => is_text(&s.value, *min),
        (FieldType::Address, Value::StringLit(s)) => s.value.parse::<SocketAddr>().is_ok(),
        (FieldType::Choice(choices), Value::StringLit(s)) => choices.contains(&s.value.as_ref()),
        (FieldType::Integer { min, max }, Value::NumberLit(n)) => {
            parse_integer(n.value).is_some_and(|n| (*min..=*max).contains(&n))
        }
        (FieldType::Number { min, max }, Value::NumberLit(n)) => {
            parse_number(n.value).is_some_and(|n| (*min..=*max).contains(&n))
        }
        (FieldType::Bool, Value::BooleanLit(_))
        | (FieldType::Object(_), Value::Object(_))
        | (FieldType::TextList | FieldType::ObjectList(_), Value::Array(_)) => true,
        _ => return Some(format!("\"{name}\" is {}", type_name(value))),
    };
    if is_valid {
        return None;
    }
    Some(match value {
        _ if matches!(field.field_type, FieldType::Secret { .. }) => {
            format!("\"{name}\" can't be this")
        }
        Value::StringLit(s) if s.value.is_empty() => format!("\"{name}\" is empty"),
        Value::StringLit(s) => format!("\"{name}\" can't be {:?}", truncate(&s.value)),
        Value::NumberLit(n) => format!("\"{name}\" can't be {}", n.value),
        _ => format!("\"{name}\" can't be this"),
    })
}

/// Returns the JSON type of a value, for messages.
fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Returns the first characters of a text, for messages.
fn truncate(text: &str) -> String {
    text.chars().take(MAX_NAME_LEN).collect()
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    text.len() <= MAX_NAME_LEN
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

fn is_text(text: &str, min: usize) -> bool {
    min <= text.chars().count() && !text.contains(|c: char| c.is_control())
}

fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n: &f64| n.is_finite())
}

/// Parses an integer, also in exponent notation such as 5e9. Returns `None` for a fraction, and for
/// a number in exponent notation above 2^53, because an `f64` may not represent it exactly.
fn parse_integer(text: &str) -> Option<u64> {
    const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;
    if let Ok(n) = text.parse() {
        return Some(n);
    }
    let n = parse_number(text)?;
    (n.fract() == 0.0 && (0.0..=MAX_EXACT_INTEGER).contains(&n)).then_some(n as u64)
}
