//! Which fields there are, and what each may hold. The reader and the operators' reference both go
//! by these tables.

/// The fields of one kind of object.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ObjectSchema {
    /// What one such object is called in findings, for example `team`.
    pub noun: &'static str,
    /// Its fields.
    pub fields: &'static [Field],
}

/// One field.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Field {
    /// Its name; a unit is part of it.
    pub name: &'static str,
    /// Whether it may be left out.
    pub presence: Presence,
    /// What it may hold.
    pub field_type: FieldType,
    /// A value that it may have, as JSON.
    pub example: &'static str,
    /// What it is for.
    pub doc: &'static str,
}

/// Whether a field may be left out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Presence {
    /// It must be there.
    Required,
    /// It may be left out. The text says what holds then: a JSON value, or words.
    Optional(&'static str),
}

/// What a field may hold.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FieldType {
    /// Letters, digits, `.`, `_` and `-`: at most 100, the first a letter or digit.
    Name,
    /// Text without control characters.
    Text,
    /// Text that findings don't repeat.
    Secret {
        /// Least characters.
        min: usize,
    },
    /// An IP number and a port.
    Address,
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Bool,
    /// A whole number; 5e9 is one.
    Integer {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A number.
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
    /// The field of a name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'static Field> {
        self.fields.iter().find(|f| f.name == name)
    }

    /// The fields as a Markdown table, for the operators' reference.
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

    /// This section and those within it, each with the path of fields that leads to it.
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
    /// A field that must be there.
    pub(crate) const fn required(
        name: &'static str,
        field_type: FieldType,
        example: &'static str,
    ) -> Field {
        Field { name, presence: Presence::Required, field_type, example, doc: "" }
    }

    /// A field that may be left out.
    pub(crate) const fn optional(
        name: &'static str,
        field_type: FieldType,
        default: &'static str,
        example: &'static str,
    ) -> Field {
        Field { name, presence: Presence::Optional(default), field_type, example, doc: "" }
    }

    /// Says what it is for.
    pub(crate) const fn doc(self, doc: &'static str) -> Field {
        Field { doc, ..self }
    }
}

impl FieldType {
    /// Milliseconds from `min` to an hour.
    pub(crate) const fn millis(min: u64) -> FieldType {
        FieldType::Integer { min, max: 3_600_000 }
    }

    /// What it holds, in words.
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
