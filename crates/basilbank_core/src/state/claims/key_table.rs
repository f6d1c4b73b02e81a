//! What a voter remembers of keys.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use basilbank_wire::KeyRecord;

use crate::state::claims::ClaimKey;

/// What a voter remembers of one key.
#[derive(Clone, PartialEq, Debug)]
pub struct KeyEntry {
    /// The request that has the key.
    pub record: KeyRecord,
    /// When the key is forgotten.
    pub expires_at: Duration,
}

/// All keys that a voter remembers.
///
/// An entry leaves when its time is over or when its request gave the key back, never because the
/// table is full: a key that was forgotten early could be run twice.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<ClaimKey, KeyEntry>,
    expiries: BinaryHeap<Reverse<(Duration, ClaimKey)>>,
}

impl KeyTable {
    /// Number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&KeyEntry> {
        self.entries.get(key)
    }

    /// Remembers a key, in place of what was known of it.
    pub fn insert(&mut self, key: ClaimKey, record: KeyRecord, expires: Duration) {
        if self.entries.insert(key, KeyEntry { record, expires_at: expires }).is_none() {
            self.expiries.push(Reverse((expires, key)));
        }
    }

    /// Forgets a key whose request gave it back.
    ///
    /// Its place in the order of expiry goes with it: else a key that is claimed and given back over
    /// and over would leave a place each time, and the table would grow without a live key in it.
    pub fn remove(&mut self, key: &ClaimKey) {
        self.entries.remove(key);
        if self.expiries.len() > 2 * self.entries.len() + MAX_STALE_EXPIRIES {
            let live = self.entries.iter();
            self.expiries = live.map(|(key, entry)| Reverse((entry.expires_at, *key))).collect();
        }
    }

    /// Forgets the keys whose time is over.
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

/// Places in the order of expiry that may be without a key before they are cleared.
const MAX_STALE_EXPIRIES: usize = 64;
