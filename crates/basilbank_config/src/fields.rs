//! Reads an object's fields by its section's table.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jsonc_parser::{
    ast::{Object, ObjectProp, Value},
    common::Ranged,
};

use crate::{
    nearest::nearest,
    report::{Report, Spot},
    schema::{Field, Kind, Need, Section},
};

/// Longest name.
const MAX_NAME: usize = 100;

/// An object whose fields were checked. What was wrong is reported; a field that is missing or
/// wrong reads as `None`.
#[derive(Debug)]
pub(crate) struct Fields<'s, 'a> {
    file: usize,
    section: &'static Section,
    object: &'s Object<'a>,
}

impl<'s, 'a> Fields<'s, 'a> {
    /// Checks an object against its section's table.
    pub fn new(
        report: &mut Report<'_>,
        file: usize,
        section: &'static Section,
        object: &'s Object<'a>,
    ) -> Fields<'s, 'a> {
        let fields = Fields { file, section, object };
        fields.check(report);
        fields
    }

    /// Where the object starts.
    pub fn spot(&self) -> Spot {
        Spot { file: self.file, start: self.object.range.start }
    }

    /// Where a field's value is; the object's start when there is none.
    pub fn spot_of(&self, name: &str) -> Spot {
        let value = self.value(name);
        value.map_or(self.spot(), |v| self.at(v))
    }

    /// Whether a field is there, right or wrong.
    pub fn has(&self, name: &str) -> bool {
        self.value(name).is_some()
    }

    /// A text, name or choice.
    pub fn text(&self, name: &str) -> Option<&'s str> {
        let value = self.valid(name)?;
        value.as_string_lit().map(|s| s.value.as_ref())
    }

    /// An address.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.text(name)?.parse().ok()
    }

    /// A flag.
    pub fn flag(&self, name: &str) -> Option<bool> {
        self.valid(name)?.as_boolean_lit().map(|b| b.value)
    }

    /// A whole number.
    pub fn whole(&self, name: &str) -> Option<u64> {
        whole(self.valid(name)?.as_number_lit()?.value)
    }

    /// A whole number of a smaller type, which the table's range makes sure it fits.
    pub fn count<T: TryFrom<u64>>(&self, name: &str) -> Option<T> {
        T::try_from(self.whole(name)?).ok()
    }

    /// A whole number of milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.whole(name).map(Duration::from_millis)
    }

    /// A number.
    pub fn number(&self, name: &str) -> Option<f64> {
        number(self.valid(name)?.as_number_lit()?.value)
    }

    /// A list of texts with their places.
    pub fn texts(&self, name: &str) -> Option<Vec<(&'s str, Spot)>> {
        let list = &self.valid(name)?.as_array()?.elements;
        let texts = list.iter().filter_map(|v| Some((v.as_string_lit()?.value.as_ref(), v)));
        Some(texts.map(|(text, v)| (text, self.at(v))).collect())
    }

    /// An object within.
    pub fn object(&self, report: &mut Report<'_>, name: &str) -> Option<Fields<'s, 'a>> {
        let Kind::Object(section) = self.section.field(name)?.kind else { return None };
        let object = self.valid(name)?.as_object()?;
        Some(Fields::new(report, self.file, section, object))
    }

    /// The objects of a list within.
    pub fn objects(&self, name: &str) -> impl Iterator<Item = &'s Object<'a>> {
        let list = self.value(name).and_then(Value::as_array);
        list.into_iter().flat_map(|l| &l.elements).filter_map(Value::as_object)
    }

    fn at(&self, value: &impl Ranged) -> Spot {
        Spot { file: self.file, start: value.start() }
    }

    fn value(&self, name: &str) -> Option<&'s Value<'a>> {
        debug_assert!(self.section.field(name).is_some(), "the table has no {name}");
        self.object.get(name).map(|prop| &prop.value)
    }

    fn valid(&self, name: &str) -> Option<&'s Value<'a>> {
        let field = self.section.field(name)?;
        let value = self.value(name)?;
        problem(field, value).is_none().then_some(value)
    }

    fn check(&self, report: &mut Report<'_>) {
        let mut seen: HashMap<&str, Spot> = HashMap::with_capacity(self.object.properties.len());
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            let spot = self.at(&prop.name);
            if let Some(first) = seen.insert(name, spot) {
                let message = format!("{name:?} is given twice");
                report.clash(spot, first, message, "remove one of the two");
                continue;
            }
            match self.section.field(name) {
                Some(field) => self.check_value(report, field, prop),
                None => self.unknown(report, name, spot),
            }
        }
        for field in self.section.fields {
            if field.need == Need::Required && !seen.contains_key(field.name) {
                let message = format!("the {} has no \"{}\"", self.section.noun, field.name);
                let help = format!("add \"{}\": {}, for example", field.name, field.example);
                report.error(self.spot(), message, help);
            }
        }
    }

    fn check_value(&self, report: &mut Report<'_>, field: &Field, prop: &ObjectProp<'_>) {
        if let Some(message) = problem(field, &prop.value) {
            let (kind, example) = (field.kind.describe(), field.example);
            let help = format!("write {kind}, for example {example}");
            report.error(self.at(&prop.value), message, help);
        }
        let Value::Array(list) = &prop.value else { return };
        for element in &list.elements {
            let fits = match field.kind {
                Kind::Objects(_) => element.as_object().is_some(),
                Kind::Texts => element.as_string_lit().is_some(),
                _ => true,
            };
            if !fits {
                let message = format!("\"{}\" holds {}", field.name, noun(element));
                let help =
                    format!("write {}, for example {}", field.kind.describe(), field.example);
                report.error(self.at(element), message, help);
            }
        }
    }

    fn unknown(&self, report: &mut Report<'_>, name: &str, spot: Spot) {
        let known = self.section.fields.iter().map(|f| f.name);
        let help = match nearest(name, known.clone()) {
            Some(near) => format!("did you mean \"{near}\"?"),
            None => format!("it may have {}", known.collect::<Vec<_>>().join(", ")),
        };
        report.error(spot, format!("the {} has no field {name:?}", self.section.noun), help);
    }
}

/// What is wrong with a field's value.
fn problem(field: &Field, value: &Value<'_>) -> Option<String> {
    let name = field.name;
    let right = match (&field.kind, value) {
        (Kind::Name, Value::StringLit(s)) => is_name(&s.value),
        (Kind::Text, Value::StringLit(s)) => is_text(&s.value, 1),
        (Kind::Secret { min }, Value::StringLit(s)) => is_text(&s.value, *min),
        (Kind::Address, Value::StringLit(s)) => s.value.parse::<SocketAddr>().is_ok(),
        (Kind::Choice(all), Value::StringLit(s)) => all.contains(&s.value.as_ref()),
        (Kind::Whole { min, max }, Value::NumberLit(n)) => {
            whole(n.value).is_some_and(|n| (*min..=*max).contains(&n))
        }
        (Kind::Number { min, max }, Value::NumberLit(n)) => {
            number(n.value).is_some_and(|n| (*min..=*max).contains(&n))
        }
        (Kind::Flag, Value::BooleanLit(_))
        | (Kind::Object(_), Value::Object(_))
        | (Kind::Texts | Kind::Objects(_), Value::Array(_)) => true,
        _ => return Some(format!("\"{name}\" is {}", noun(value))),
    };
    if right {
        return None;
    }
    Some(match value {
        _ if matches!(field.kind, Kind::Secret { .. }) => format!("\"{name}\" can't be this"),
        Value::StringLit(s) if s.value.is_empty() => format!("\"{name}\" is empty"),
        Value::StringLit(s) => format!("\"{name}\" can't be {:?}", brief(&s.value)),
        Value::NumberLit(n) => format!("\"{name}\" can't be {}", n.value),
        _ => format!("\"{name}\" can't be this"),
    })
}

fn noun(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// The start of a text, for messages.
fn brief(text: &str) -> String {
    text.chars().take(MAX_NAME).collect()
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    text.len() <= MAX_NAME
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

fn is_text(text: &str, min: usize) -> bool {
    min <= text.chars().count() && !text.contains(|c: char| c.is_control())
}

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n: &f64| n.is_finite())
}

/// A whole number, also when it is written like 5e9. A fraction is none, and neither is a float
/// beyond 2^53, which might stand for another number than the one written.
fn whole(text: &str) -> Option<u64> {
    const EXACT: f64 = 9_007_199_254_740_992.0;
    if let Ok(n) = text.parse() {
        return Some(n);
    }
    let n = number(text)?;
    (n.fract() == 0.0 && (0.0..=EXACT).contains(&n)).then_some(n as u64)
}
