//! The documents of the catalogue in force.

use std::{collections::BTreeMap, time::Duration};

use basilbank_wire::Document;

use super::DocumentStore;

/// A check that the shell was asked for.
#[derive(Clone, PartialEq, Debug)]
pub struct CatalogueCheck {
    /// The revision.
    pub revision: u64,
    /// When it was asked for.
    pub started_at: Duration,
    /// A peer's accepted documents, when it is these that are checked, and not the newest.
    pub accepted: Option<Vec<Document>>,
}

/// How the documents of the catalogue in force differ from the newest.
///
/// A rejected change leaves the last good catalogue in force while the documents go on. A daemon
/// that starts then can't compile the newest, and without the former versions kept here no peer
/// could give it the catalogue that all others serve.
#[derive(Clone, Debug, Default)]
pub struct AcceptedDocuments {
    /// The check that runs.
    pub check: Option<CatalogueCheck>,
    /// The revision that was last checked.
    pub checked_revision: u64,
    /// When a check was last asked for.
    pub last_check: Duration,
    /// The highest revision that is in force at a peer and was rejected here. Checks are pure, so
    /// this takes a peer of another release; without it the two would send each other whole
    /// catalogues without end.
    pub disputed_revision: u64,
    previous: BTreeMap<String, Option<Document>>,
    during_check: BTreeMap<String, Option<Document>>,
}

impl AcceptedDocuments {
    /// The newest documents changed; `former` are the versions before.
    pub fn record_changes(&mut self, previous: BTreeMap<String, Option<Document>>) {
        for (key, document) in previous {
            if self.check.is_some() {
                self.during_check.entry(key.clone()).or_insert_with(|| document.clone());
            }
            self.previous.entry(key).or_insert(document);
        }
    }

    /// A check of the newest documents, or of a peer's accepted ones, starts.
    pub fn begin_check(&mut self, check: CatalogueCheck) {
        self.last_check = check.started_at;
        self.checked_revision = self.checked_revision.max(check.revision);
        self.during_check.clear();
        self.check = Some(check);
    }

    /// The check ended well: what was checked is in force.
    pub fn check_passed(&mut self, store: &DocumentStore) {
        let Some(check) = self.check.take() else { return };
        self.previous = match check.accepted {
            Some(documents) => differences(store, &documents),
            None => std::mem::take(&mut self.during_check),
        };
    }

    /// The check ended with findings: the catalogue in force stays.
    pub fn check_failed(&mut self) {
        let check = self.check.take();
        if let Some(check) = check.filter(|c| c.accepted.is_some()) {
            self.disputed_revision = self.disputed_revision.max(check.revision);
        }
        self.during_check.clear();
    }

    /// The documents of the catalogue in force.
    #[must_use]
    pub fn all(&self, store: &DocumentStore) -> Vec<Document> {
        let newest = store.all().into_iter().filter(|d| !self.previous.contains_key(&d.key));
        newest.chain(self.previous.values().flatten().cloned()).collect()
    }

    /// Bytes of the former versions.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let all = self.previous.values().chain(self.during_check.values()).flatten();
        all.map(|d| d.key.len() + d.text.as_ref().map_or(0, String::len)).sum()
    }
}

fn differences(store: &DocumentStore, accepted: &[Document]) -> BTreeMap<String, Option<Document>> {
    let newest = store.all();
    let mut previous: BTreeMap<_, _> = newest.iter().map(|d| (d.key.clone(), None)).collect();
    for document in accepted {
        if store.get(&document.key) == Some(document) {
            previous.remove(&document.key);
        } else {
            previous.insert(document.key.clone(), Some(document.clone()));
        }
    }
    previous
}
