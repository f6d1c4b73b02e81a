//! Which fields there are, and what each may hold. The reader and the operators' reference both go
//! by these tables.

/// The fields of one kind of object.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Section {
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
    pub need: Need,
    /// What it may hold.
    pub kind: Kind,
    /// A value that it may have, as JSON.
    pub example: &'static str,
    /// What it is for.
    pub doc: &'static str,
}

/// Whether a field may be left out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Need {
    /// It must be there.
    Required,
    /// It may be left out. The text says what holds then: a JSON value, or words.
    Optional(&'static str),
}

/// What a field may hold.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Kind {
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
    Flag,
    /// A whole number; 5e9 is one.
    Whole {
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
    Texts,
    /// An object.
    Object(&'static Section),
    /// A list of objects.
    Objects(&'static Section),
}

impl Section {
    /// The field of a name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'static Field> {
        self.fields.iter().find(|f| f.name == name)
    }

    /// The fields as a Markdown table, for the operators' reference.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table =
            "| field | holds | when left out | |\n| --- | --- | --- | --- |\n".to_owned();
        for Field { name, need, kind, doc, .. } in self.fields {
            let default = match need {
                Need::Required => "must be there",
                Need::Optional(default) => default,
            };
            let holds = kind.describe();
            table.push_str(&format!("| `{name}` | {holds} | {default} | {doc} |\n"));
        }
        table
    }

    /// This section and those within it, each with the path of fields that leads to it.
    #[must_use]
    pub fn walk(&'static self) -> Vec<(String, &'static Section)> {
        let mut all = vec![(String::new(), self)];
        let mut next = 0;
        while let Some((path, section)) = all.get(next).cloned() {
            for field in section.fields {
                if let Kind::Object(inner) | Kind::Objects(inner) = field.kind {
                    let dot = if path.is_empty() { "" } else { "." };
                    all.push((format!("{path}{dot}{}", field.name), inner));
                }
            }
            next += 1;
        }
        all
    }
}

impl Field {
    /// A field that must be there.
    pub(crate) const fn required(name: &'static str, kind: Kind, example: &'static str) -> Field {
        Field { name, need: Need::Required, kind, example, doc: "" }
    }

    /// A field that may be left out.
    pub(crate) const fn optional(
        name: &'static str,
        kind: Kind,
        default: &'static str,
        example: &'static str,
    ) -> Field {
        Field { name, need: Need::Optional(default), kind, example, doc: "" }
    }

    /// Says what it is for.
    pub(crate) const fn doc(self, doc: &'static str) -> Field {
        Field { doc, ..self }
    }
}

impl Kind {
    /// Milliseconds from `min` to an hour.
    pub(crate) const fn millis(min: u64) -> Kind {
        Kind::Whole { min, max: 3_600_000 }
    }

    /// What it holds, in words.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Kind::Name => "a name of letters, digits, '.', '_' and '-'".to_owned(),
            Kind::Text => "a text".to_owned(),
            Kind::Secret { min } => format!("a text of at least {min} characters"),
            Kind::Address => "an IP number with a port".to_owned(),
            Kind::Choice(all) => format!("one of {}", all.join(", ")),
            Kind::Flag => "true or false".to_owned(),
            Kind::Whole { min, max } => format!("a whole number from {min} to {max}"),
            Kind::Number { min, max } => format!("a number from {min} to {max}"),
            Kind::Texts => "a list of texts".to_owned(),
            Kind::Object(section) => format!("an object ({})", section.noun),
            Kind::Objects(section) => format!("a list of objects ({})", section.noun),
        }
    }
}
