//! Checks the catalogue's documents and compiles them.

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

/// Most bytes of one document; the platform holds no larger values.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// What a check of a catalogue comes to.
#[derive(Clone, PartialEq, Debug)]
pub struct CheckedCatalogue {
    /// The catalogue; `None` when there are errors.
    pub catalogue: Option<Catalogue>,
    /// Errors and warnings.
    pub findings: Findings,
}

/// Checks the union of a catalogue's documents and compiles it. A removed document, one without a
/// text, is left out.
///
/// The outcome depends on the documents' keys and texts alone, not on their order, the time or the
/// machine, so that all daemons accept and reject the same. `revision` is only copied.
///
/// # Errors
///
/// All that is wrong with the texts, at once; warnings too, when there is an error.
pub fn parse_catalogue(revision: u64, documents: &[Document]) -> Result<Catalogue, Findings> {
    let CheckedCatalogue { catalogue, findings } = check_catalogue(revision, documents);
    catalogue.ok_or(findings)
}

/// Like [`parse_catalogue`], with the warnings of a catalogue that is accepted.
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
        // What a document that can't be read holds is not known, so what others say of it is not
        // judged: each reference into it would be a finding of its own.
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
