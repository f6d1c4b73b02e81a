//! The documents of the catalogue in force.

use std::{collections::BTreeMap, time::Duration};

use basilbank_wire::Document;

use super::DocumentStore;

/// A catalogue check that the shell was asked to run.
#[derive(Clone, PartialEq, Debug)]
pub struct CatalogueCheck {
    /// Revision of the documents that are checked.
    pub revision: u64,
    /// When the check was requested.
    pub started_at: Duration,
    /// The accepted documents of a peer, if these are checked instead of the newest ones.
    pub accepted: Option<Vec<Document>>,
}

/// The differences between the documents of the catalogue in force and the newest documents.
///
/// When a change is rejected, the last good catalogue stays in force while newer documents keep
/// arriving. A daemon that starts then can't compile the newest documents. The previous versions
/// are kept here so that its peers can send it the catalogue that all others serve.
#[derive(Clone, Debug, Default)]
pub struct AcceptedDocuments {
    /// The check in progress.
    pub check: Option<CatalogueCheck>,
    /// Highest revision of which a check was started.
    pub checked_revision: u64,
    /// When a check was last requested.
    pub last_check: Duration,
    /// Highest revision that is in force at a peer but was rejected here. Checks are deterministic,
    /// so this only happens with a peer of another release. Without this field the two daemons
    /// would send each other full catalogues endlessly.
    pub disputed_revision: u64,
    previous: BTreeMap<String, Option<Document>>,
    during_check: BTreeMap<String, Option<Document>>,
}

impl AcceptedDocuments {
    /// Records that the newest documents changed; `previous` has the versions before the change.
    pub fn record_changes(&mut self, previous: BTreeMap<String, Option<Document>>) {
        for (key, document) in previous {
            if self.check.is_some() {
                self.during_check.entry(key.clone()).or_insert_with(|| document.clone());
            }
            self.previous.entry(key).or_insert(document);
        }
    }

    /// Starts a check of the newest documents or of a peer's accepted ones.
    pub fn begin_check(&mut self, check: CatalogueCheck) {
        self.last_check = check.started_at;
        self.checked_revision = self.checked_revision.max(check.revision);
        self.during_check.clear();
        self.check = Some(check);
    }

    /// Ends a check that passed: the checked documents are in force.
    pub fn check_passed(&mut self, store: &DocumentStore) {
        let Some(check) = self.check.take() else { return };
        self.previous = match check.accepted {
            Some(documents) => differences(store, &documents),
            None => std::mem::take(&mut self.during_check),
        };
    }

    /// Ends a check that found errors: the catalogue in force stays.
    pub fn check_failed(&mut self) {
        let check = self.check.take();
        if let Some(check) = check.filter(|c| c.accepted.is_some()) {
            self.disputed_revision = self.disputed_revision.max(check.revision);
        }
        self.during_check.clear();
    }

    /// Returns the documents of the catalogue in force.
    #[must_use]
    pub fn all(&self, store: &DocumentStore) -> Vec<Document> {
        let newest = store.all().into_iter().filter(|d| !self.previous.contains_key(&d.key));
        newest.chain(self.previous.values().flatten().cloned()).collect()
    }

    /// Returns the size of the previous versions in bytes.
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
