//! Endpoints that did not answer, until they do.

use std::{collections::BTreeMap, time::Duration};

use crate::endpoint::EndpointKey;

/// One endpoint that did not answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Suspect {
    /// When it is asked next; `None` while a question is under way.
    pub due: Option<Duration>,
    /// Questions that it did not answer.
    pub unanswered: u32,
    /// It is taken for dark, and not only asked.
    pub dark: bool,
}

/// All of them that this daemon has met itself.
#[derive(Debug, Default)]
pub struct Suspects {
    list: BTreeMap<EndpointKey, Suspect>,
}

impl Suspects {
    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// There are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// How many are taken for dark.
    #[must_use]
    pub fn dark(&self) -> usize {
        self.list.values().filter(|suspect| suspect.dark).count()
    }

    /// The endpoint is one of them.
    #[must_use]
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.list.contains_key(&key)
    }

    /// Adds one that is taken for dark, to be asked at `due`; false when it is known for that.
    pub fn add(&mut self, key: EndpointKey, due: Duration) -> bool {
        let fresh = Suspect { due: Some(due), unanswered: 0, dark: false };
        !std::mem::replace(&mut self.list.entry(key).or_insert(fresh).dark, true)
    }

    /// Adds one that may be sound, to be asked at `due`, unless it is known.
    pub fn doubt(&mut self, key: EndpointKey, due: Duration) {
        self.list.entry(key).or_insert(Suspect { due: Some(due), unanswered: 0, dark: false });
    }

    /// One of them, to change it.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Suspect> {
        self.list.get_mut(&key)
    }

    /// It answered, or is gone; true when it was taken for dark.
    pub fn clear(&mut self, key: EndpointKey) -> bool {
        self.list.remove(&key).is_some_and(|suspect| suspect.dark)
    }

    /// When the next one is to be asked.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.list.values().filter_map(|suspect| suspect.due).min()
    }

    /// Takes one that is to be asked by `now`.
    pub fn ask(&mut self, now: Duration) -> Option<EndpointKey> {
        let is_due = |suspect: &Suspect| suspect.due.is_some_and(|due| due <= now);
        let (key, suspect) = self.list.iter_mut().find(|(_, suspect)| is_due(suspect))?;
        suspect.due = None;
        Some(*key)
    }
}
