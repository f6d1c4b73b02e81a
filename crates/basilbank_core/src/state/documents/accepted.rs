//! The documents of the catalogue in force.

use std::{collections::BTreeMap, time::Duration};

use basilbank_wire::Document;

use super::Store;

/// A check that the shell was asked for.
#[derive(Clone, PartialEq, Debug)]
pub struct Check {
    /// The revision.
    pub revision: u64,
    /// When it was asked for.
    pub since: Duration,
    /// A peer's accepted documents, when it is these that are checked, and not the newest.
    pub accepted: Option<Vec<Document>>,
}

/// How the documents of the catalogue in force differ from the newest.
///
/// A rejected change leaves the last good catalogue in force while the documents go on. A daemon
/// that starts then can't compile the newest, and without the former versions kept here no peer
/// could give it the catalogue that all others serve.
#[derive(Clone, Debug, Default)]
pub struct Accepted {
    /// The check that runs.
    pub check: Option<Check>,
    /// The revision that was last checked.
    pub checked: u64,
    /// When a check was last asked for.
    pub asked: Duration,
    /// The highest revision that is in force at a peer and was rejected here. Checks are pure, so
    /// this takes a peer of another release; without it the two would send each other whole
    /// catalogues without end.
    pub disputed: u64,
    former: BTreeMap<String, Option<Document>>,
    during: BTreeMap<String, Option<Document>>,
}

impl Accepted {
    /// The newest documents changed; `former` are the versions before.
    pub fn changed(&mut self, former: BTreeMap<String, Option<Document>>) {
        for (key, document) in former {
            if self.check.is_some() {
                self.during.entry(key.clone()).or_insert_with(|| document.clone());
            }
            self.former.entry(key).or_insert(document);
        }
    }

    /// A check of the newest documents, or of a peer's accepted ones, starts.
    pub fn start(&mut self, check: Check) {
        self.asked = check.since;
        self.checked = self.checked.max(check.revision);
        self.during.clear();
        self.check = Some(check);
    }

    /// The check ended well: what was checked is in force.
    pub fn passed(&mut self, store: &Store) {
        let Some(check) = self.check.take() else { return };
        self.former = match check.accepted {
            Some(documents) => differences(store, &documents),
            None => std::mem::take(&mut self.during),
        };
    }

    /// The check ended with findings: the catalogue in force stays.
    pub fn failed(&mut self) {
        let check = self.check.take();
        if let Some(check) = check.filter(|c| c.accepted.is_some()) {
            self.disputed = self.disputed.max(check.revision);
        }
        self.during.clear();
    }

    /// The documents of the catalogue in force.
    #[must_use]
    pub fn whole(&self, store: &Store) -> Vec<Document> {
        let newest = store.whole().into_iter().filter(|d| !self.former.contains_key(&d.key));
        newest.chain(self.former.values().flatten().cloned()).collect()
    }

    /// Bytes of the former versions.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let all = self.former.values().chain(self.during.values()).flatten();
        all.map(|d| d.key.len() + d.text.as_ref().map_or(0, String::len)).sum()
    }
}

fn differences(store: &Store, accepted: &[Document]) -> BTreeMap<String, Option<Document>> {
    let newest = store.whole();
    let mut former: BTreeMap<_, _> = newest.iter().map(|d| (d.key.clone(), None)).collect();
    for document in accepted {
        if store.get(&document.key) == Some(document) {
            former.remove(&document.key);
        } else {
            former.insert(document.key.clone(), Some(document.clone()));
        }
    }
    former
}
