//! What a text is: settings, or a document of the catalogue.

use jsonc_parser::ast::Object;

use crate::{
    catalogue::CATALOGUE,
    report::{Report, Source},
    schema::ObjectSchema,
    settings::SETTINGS,
    syntax,
};

/// What a text is.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum TextKind {
    /// A daemon's settings.
    Settings,
    /// A document of the catalogue.
    Catalogue,
}

impl TextKind {
    /// What a text is, by the names of its fields. A text that can't be read counts as a document
    /// of the catalogue; it is rejected as either.
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

    /// The stable name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TextKind::Settings => "settings",
            TextKind::Catalogue => "catalogue",
        }
    }
}

fn count_known_fields(schema: &ObjectSchema, root: &Object<'_>) -> usize {
    root.properties.iter().filter(|p| schema.field(p.name.as_str()).is_some()).count()
}
