//! Schemas of JSON objects. Both the reader and the field reference for operators are derived from
//! them.

/// Schema of one kind of JSON object.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ObjectSchema {
    /// What findings call such an object, for example `team`.
    pub noun: &'static str,
    /// Fields that the object may have.
    pub fields: &'static [Field],
}

/// Schema of one field.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Field {
    /// Name of the field, including its unit.
    pub name: &'static str,
    /// Whether the field is required.
    pub presence: Presence,
    /// Values that the field accepts.
    pub field_type: FieldType,
    /// Example of a valid value, as JSON.
    pub example: &'static str,
    /// Description for the reference.
    pub doc: &'static str,
}

/// Whether a field is required or optional.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Presence {
    /// The field must be given.
    Required,
    /// The field may be omitted. The text gives the default: a JSON value, or a description.
    Optional(&'static str),
}

/// Type and range of a field's value.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FieldType {
    /// A name of at most 100 ASCII letters, digits, `.`, `_` and `-` that starts with a letter or
    /// digit.
    Name,
    /// A text that is not empty and has no control characters.
    Text,
    /// A text that findings don't show, such as a key.
    Secret {
        /// Minimum length in characters.
        min: usize,
    },
    /// An IP address with a port.
    Address,
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Bool,
    /// An integer, which may also be written in exponent notation such as 5e9.
    Integer {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A finite number.
    Number {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// A list of texts.
    TextList,
    /// An object.
    Object(&'static ObjectSchema),
    /// A list of objects.
    ObjectList(&'static ObjectSchema),
}

impl ObjectSchema {
    /// Returns the field with this name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'static Field> {
        self.fields.iter().find(|f| f.name == name)
    }

    /// Returns the fields as a Markdown table, for the operators' reference.
    #[must_use]
    pub fn markdown_table(&self) -> String {
        let mut table =
            "| field | holds | when left out | |\n| --- | --- | --- | --- |\n".to_owned();
        for Field { name, presence, field_type, doc, .. } in self.fields {
            let default = match presence {
                Presence::Required => "must be there",
                Presence::Optional(default) => default,
            };
            let value_text = field_type.describe();
            table.push_str(&format!("| `{name}` | {value_text} | {default} | {doc} |\n"));
        }
        table
    }

    /// Returns this schema and all nested ones, each with the dotted path of fields that leads to
    /// it.
    #[must_use]
    pub fn with_nested(&'static self) -> Vec<(String, &'static ObjectSchema)> {
        let mut all = vec![(String::new(), self)];
        let mut next = 0;
        while let Some((path, schema)) = all.get(next).cloned() {
            for field in schema.fields {
                if let FieldType::Object(nested) | FieldType::ObjectList(nested) = field.field_type
                {
                    let dot = if path.is_empty() { "" } else { "." };
                    all.push((format!("{path}{dot}{}", field.name), nested));
                }
            }
            next += 1;
        }
        all
    }
}

impl Field {
    /// Creates a required field.
    pub(crate) const fn required(
        name: &'static str,
        field_type: FieldType,
        example: &'static str,
    ) -> Field {
        Field { name, presence: Presence::Required, field_type, example, doc: "" }
    }

    /// Creates an optional field.
    pub(crate) const fn optional(
        name: &'static str,
        field_type: FieldType,
        default: &'static str,
        example: &'static str,
    ) -> Field {
        Field { name, presence: Presence::Optional(default), field_type, example, doc: "" }
    }

    /// Sets the field's description.
    pub(crate) const fn doc(self, doc: &'static str) -> Field {
        Field { doc, ..self }
    }
}

impl FieldType {
    /// Returns the type of a duration in milliseconds, from `min` to one hour.
    pub(crate) const fn millis(min: u64) -> FieldType {
        FieldType::Integer { min, max: 3_600_000 }
    }

    /// Describes the accepted values, for messages and the reference.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            FieldType::Name => "a name of letters, digits, '.', '_' and '-'".to_owned(),
            FieldType::Text => "a text".to_owned(),
            FieldType::Secret { min } => format!("a text of at least {min} characters"),
            FieldType::Address => "an IP number with a port".to_owned(),
            FieldType::Choice(all) => format!("one of {}", all.join(", ")),
            FieldType::Bool => "true or false".to_owned(),
            FieldType::Integer { min, max } => format!("a whole number from {min} to {max}"),
            FieldType::Number { min, max } => format!("a number from {min} to {max}"),
            FieldType::TextList => "a list of texts".to_owned(),
            FieldType::Object(schema) => format!("an object ({})", schema.noun),
            FieldType::ObjectList(schema) => format!("a list of objects ({})", schema.noun),
        }
    }
}
