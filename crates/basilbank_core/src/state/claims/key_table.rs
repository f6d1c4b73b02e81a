//! The keys that a voter remembers.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use basilbank_wire::KeyRecord;

use crate::state::claims::ClaimKey;

/// Record of one key at a voter.
#[derive(Clone, PartialEq, Debug)]
pub struct KeyEntry {
    /// The request that holds the key.
    pub record: KeyRecord,
    /// When the voter forgets the key.
    pub expires_at: Duration,
}

/// All keys that a voter remembers.
///
/// A key is removed when it expires or when its request gives it back, never because the table is
/// full: a key that is forgotten early could be run twice.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<ClaimKey, KeyEntry>,
    expiries: BinaryHeap<Reverse<(Duration, ClaimKey)>>,
}

impl KeyTable {
    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&KeyEntry> {
        self.entries.get(key)
    }

    /// Adds a key, or replaces its record.
    pub fn insert(&mut self, key: ClaimKey, record: KeyRecord, expires: Duration) {
        if self.entries.insert(key, KeyEntry { record, expires_at: expires }).is_none() {
            self.expiries.push(Reverse((expires, key)));
        }
    }

    /// Removes a key whose request gave it back.
    ///
    /// Expiries of removed keys are dropped as well. Otherwise a key that is claimed and given back
    /// repeatedly would leave an expiry each time, and the heap would grow without any key in the
    /// table.
    pub fn remove(&mut self, key: &ClaimKey) {
        self.entries.remove(key);
        if self.expiries.len() > 2 * self.entries.len() + MAX_STALE_EXPIRIES {
            let live = self.entries.iter();
            self.expiries = live.map(|(key, entry)| Reverse((entry.expires_at, *key))).collect();
        }
    }

    /// Removes the keys that have expired.
    pub fn expire(&mut self, mono: Duration) {
        while let Some(Reverse((at, key))) = self.expiries.peek().copied() {
            if mono < at {
                return;
            }
            self.expiries.pop();
            match self.entries.get(&key).map(|entry| entry.expires_at) {
                Some(expires) if mono < expires => self.expiries.push(Reverse((expires, key))),
                Some(_) => {
                    self.entries.remove(&key);
                }
                None => {}
            }
        }
    }
}

/// Number of expiries without a key that are tolerated before the heap is rebuilt.
const MAX_STALE_EXPIRIES: usize = 64;
