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
    pub unreachable: bool,
}

/// All of them that this daemon has met itself.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<EndpointKey, Suspect>,
}

impl Suspects {
    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// There are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many are taken for dark.
    #[must_use]
    pub fn count_unreachable(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.unreachable).count()
    }

    /// The endpoint is one of them.
    #[must_use]
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.suspects.contains_key(&key)
    }

    /// Adds one that is taken for dark, to be asked at `due`; false when it is known for that.
    pub fn add_unreachable(&mut self, key: EndpointKey, due: Duration) -> bool {
        let new = Suspect { due: Some(due), unanswered: 0, unreachable: false };
        !std::mem::replace(&mut self.suspects.entry(key).or_insert(new).unreachable, true)
    }

    /// Adds one that may be sound, to be asked at `due`, unless it is known.
    pub fn add_doubtful(&mut self, key: EndpointKey, due: Duration) {
        self.suspects.entry(key).or_insert(Suspect {
            due: Some(due),
            unanswered: 0,
            unreachable: false,
        });
    }

    /// One of them, to change it.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Suspect> {
        self.suspects.get_mut(&key)
    }

    /// It answered, or is gone; true when it was taken for dark.
    pub fn remove(&mut self, key: EndpointKey) -> bool {
        self.suspects.remove(&key).is_some_and(|suspect| suspect.unreachable)
    }

    /// When the next one is to be asked.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.suspects.values().filter_map(|suspect| suspect.due).min()
    }

    /// Takes one that is to be asked by `now`.
    pub fn take_due(&mut self, now: Duration) -> Option<EndpointKey> {
        let is_due = |suspect: &Suspect| suspect.due.is_some_and(|due| due <= now);
        let (key, suspect) = self.suspects.iter_mut().find(|(_, suspect)| is_due(suspect))?;
        suspect.due = None;
        Some(*key)
    }
}
