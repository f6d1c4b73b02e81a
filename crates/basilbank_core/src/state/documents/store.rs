//! The newest documents that the platform published.

use std::collections::BTreeMap;

use basilbank_wire::{CatalogueDelta, Document};

/// Maximum number of tombstones. A tombstone lets a removal be sent to peers as part of a delta.
const MAX_TOMBSTONES: usize = 1024;

/// Result of applying documents.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ApplyResult {
    /// The documents are older than the known revision and were ignored.
    Stale,
    /// The revision is already known.
    Unchanged,
    /// The delta starts after the known revision and was ignored.
    Gap,
    /// The documents were applied. Holds the previous versions of changed documents; `None` for a
    /// new document.
    Changed(BTreeMap<String, Option<Document>>),
}

/// The documents of one revision, including tombstones.
#[derive(Clone, Debug, Default)]
pub struct DocumentStore {
    /// Revision of the documents; 0 when there are none.
    pub revision: u64,
    documents: BTreeMap<String, Document>,
    /// Number of documents without a text.
    tombstones: usize,
    /// Oldest revision from which a delta can be computed.
    history_start: u64,
}

impl DocumentStore {
    /// Applies documents that lead from one revision to another; `after` is 0 when they are the
    /// complete set. Each document carries the revision of its own last change, so a delta that
    /// starts before the known revision is harmless.
    pub fn apply(&mut self, after: u64, revision: u64, documents: Vec<Document>) -> ApplyResult {
        if revision < self.revision {
            return ApplyResult::Stale;
        }
        if revision == self.revision {
            return ApplyResult::Unchanged;
        }
        if self.revision < after {
            return ApplyResult::Gap;
        }
        let mut previous = BTreeMap::new();
        if after == 0 {
            self.remove_missing(&documents, revision, &mut previous);
        }
        if self.revision == 0 {
            // Removals before the first known revision are unknown.
            self.history_start = revision;
        }
        for document in documents {
            self.put(document, &mut previous);
        }
        self.revision = revision;
        self.prune_tombstones();
        ApplyResult::Changed(previous)
    }

    /// Returns the delta from a revision to the current one; all documents if removals since then
    /// have been pruned.
    #[must_use]
    pub fn delta_since(&self, after: u64) -> CatalogueDelta {
        if after == 0 || after < self.history_start {
            return CatalogueDelta { after: 0, revision: self.revision, documents: self.all() };
        }
        let changed = self.documents.values().filter(|d| after < d.revision);
        CatalogueDelta { after, revision: self.revision, documents: changed.cloned().collect() }
    }

    /// Returns all documents that exist.
    #[must_use]
    pub fn all(&self) -> Vec<Document> {
        self.documents.values().filter(|d| d.text.is_some()).cloned().collect()
    }

    /// Returns a document if it exists.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.documents.get(key).filter(|d| d.text.is_some())
    }

    /// Returns the size of all texts and keys in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let size = |d: &Document| d.key.len() + d.text.as_ref().map_or(0, String::len);
        self.documents.values().map(size).sum()
    }

    fn remove_missing(
        &mut self,
        kept: &[Document],
        revision: u64,
        previous: &mut BTreeMap<String, Option<Document>>,
    ) {
        let kept: std::collections::HashSet<_> = kept.iter().map(|d| d.key.as_str()).collect();
        let removed = self.documents.values().filter(|d| d.text.is_some());
        let removed = removed.filter(|d| !kept.contains(d.key.as_str())).map(|d| d.key.clone());
        for key in removed.collect::<Vec<_>>() {
            self.put(Document { key, text: None, revision }, previous);
        }
    }

    fn put(&mut self, document: Document, previous: &mut BTreeMap<String, Option<Document>>) {
        let known = self.documents.get(&document.key);
        if known.is_some_and(|k| document.revision <= k.revision) {
            return;
        }
        let was_removed = known.is_some_and(|k| k.text.is_none());
        self.tombstones -= usize::from(was_removed);
        self.tombstones += usize::from(document.text.is_none());
        let key = document.key.clone();
        let old = self.documents.insert(key.clone(), document);
        previous.entry(key).or_insert(old.filter(|d| d.text.is_some()));
    }

    /// Drops the oldest tombstones while there are too many.
    fn prune_tombstones(&mut self) {
        while MAX_TOMBSTONES < self.tombstones {
            let removed = self.documents.values().filter(|d| d.text.is_none());
            let Some(oldest) = removed.min_by_key(|d| d.revision) else { return };
            let (key, revision) = (oldest.key.clone(), oldest.revision);
            self.documents.remove(&key);
            self.tombstones -= 1;
            self.history_start = self.history_start.max(revision);
        }
    }
}
