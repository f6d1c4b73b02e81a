//! Distinguishes settings files from catalogue documents.

use jsonc_parser::ast::Object;

use crate::{
    catalogue::CATALOGUE,
    report::{Report, Source},
    schema::ObjectSchema,
    settings::SETTINGS,
    syntax,
};

/// Kind of a configuration text.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum TextKind {
    /// A daemon's settings.
    Settings,
    /// A document of the catalogue.
    Catalogue,
}

impl TextKind {
    /// Detects the kind of a text from the names of its fields. A text that can't be parsed counts
    /// as a catalogue document; it is rejected as either kind.
    #[must_use]
    pub fn detect(text: &str) -> TextKind {
        let mut report = Report::new(vec![Source { name: "", text }]);
        let Some(root) = syntax::parse_root(&mut report, 0) else { return TextKind::Catalogue };
        if count_known_fields(&CATALOGUE, &root) < count_known_fields(&SETTINGS, &root) {
            TextKind::Settings
        } else {
            TextKind::Catalogue
        }
    }

    /// Returns the stable name of the kind, for output.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TextKind::Settings => "settings",
            TextKind::Catalogue => "catalogue",
        }
    }
}

/// Returns how many fields of an object the schema defines.
fn count_known_fields(schema: &ObjectSchema, root: &Object<'_>) -> usize {
    root.properties.iter().filter(|p| schema.field(p.name.as_str()).is_some()).count()
}
