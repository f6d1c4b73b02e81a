//! Validates the catalogue's documents and compiles them into one [`Catalogue`].

mod cross_checks;
mod items;
mod read;
mod schema;

use basilbank_core::catalogue::Catalogue;
use basilbank_wire::Document;

pub use self::schema::CATALOGUE;
use self::{
    items::{Located, ParsedItems},
    read::read_document,
};
use crate::{
    finding::Findings,
    report::{Position, Report, Source},
    syntax,
};

/// Maximum size of one document in bytes. The platform stores no larger values.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Result of checking a catalogue.
#[derive(Clone, PartialEq, Debug)]
pub struct CheckedCatalogue {
    /// The compiled catalogue; `None` if there are errors.
    pub catalogue: Option<Catalogue>,
    /// All errors and warnings.
    pub findings: Findings,
}

/// Checks all documents together as one catalogue and compiles it. Documents without a text have
/// been removed and are skipped.
///
/// The result depends only on the keys and texts of the documents, not on their order, the time or
/// the machine, so that all daemons accept and reject the same revisions. `revision` is copied into
/// the catalogue unchecked.
///
/// # Errors
///
/// Returns all findings if at least one of them is an error, warnings included.
pub fn parse_catalogue(revision: u64, documents: &[Document]) -> Result<Catalogue, Findings> {
    let CheckedCatalogue { catalogue, findings } = check_catalogue(revision, documents);
    catalogue.ok_or(findings)
}

/// Does the same as [`parse_catalogue`], but also returns the warnings of a valid catalogue.
#[must_use]
pub fn check_catalogue(revision: u64, documents: &[Document]) -> CheckedCatalogue {
    let mut sources: Vec<_> = documents
        .iter()
        .filter_map(|d| Some(Source { name: &d.key, text: d.text.as_deref()? }))
        .collect();
    sources.sort_by_key(|s| (s.name, s.text));
    let mut report = Report::new(sources.clone());
    let mut items = ParsedItems::default();
    let mut has_unreadable_document = false;
    for (file, source) in sources.iter().enumerate() {
        check_size(&mut report, file, source.text);
        match syntax::parse_root(&mut report, file) {
            Some(root) => read_document(&mut report, &mut items, file, &root),
            None => has_unreadable_document = true,
        }
    }
    items.check_names(&mut report);
    if !has_unreadable_document {
        // The contents of a document that can't be parsed are unknown, so these checks are skipped.
        // They would report every reference into that document as a separate error.
        items.check_references(&mut report);
        cross_checks::check_all(&mut report, &items);
    }
    let findings = report.finish();
    let catalogue = (findings.error_count() == 0).then(|| compile(revision, items));
    CheckedCatalogue { catalogue, findings }
}

fn check_size(report: &mut Report<'_>, file: usize, text: &str) {
    if MAX_DOCUMENT_BYTES < text.len() {
        let message = format!("the document has {} bytes, over {MAX_DOCUMENT_BYTES}", text.len());
        let help = "split it: all documents together are one catalogue";
        report.error(Position { file, offset: 0 }, message, help);
    }
}

fn compile(revision: u64, items: ParsedItems) -> Catalogue {
    Catalogue {
        revision,
        teams: sort_by_name(items.teams, |t| &t.name),
        classes: sort_by_name(items.classes, |c| &c.name),
        models: sort_by_name(items.models, |m| &m.name),
        services: sort_by_name(items.services, |s| &s.name),
        entries: sort_by_name(items.entries, |e| &e.name),
        endpoints: sort_by_name(items.endpoints, |e| &e.name),
        weight_rate: items.weight_rate.map_or(0, |rate| rate.value),
    }
}

fn sort_by_name<T>(items: Vec<Located<T>>, name: impl Fn(&T) -> &str) -> Vec<T> {
    let mut items: Vec<T> = items.into_iter().map(|item| item.value).collect();
    items.sort_by(|a, b| name(a).cmp(name(b)));
    items
}
