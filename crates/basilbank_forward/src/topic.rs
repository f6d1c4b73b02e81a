//! What the store publishes. Each topic is read by a watch of its own, so that an endpoint's leaving,
//! which is short and urgent, doesn't wait behind a configuration, which may be a megabyte.

use std::fmt::{self, Display, Formatter};

/// One of the topics.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Topic {
    /// The configuration.
    Routes,
    /// The list of endpoints.
    Endpoints,
}

impl Topic {
    /// All of them.
    pub const ALL: [Topic; 2] = [Topic::Routes, Topic::Endpoints];

    /// The other one.
    #[must_use]
    pub fn other(self) -> Topic {
        match self {
            Topic::Routes => Topic::Endpoints,
            Topic::Endpoints => Topic::Routes,
        }
    }

    /// Its stable name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Routes => "routes",
            Topic::Endpoints => "endpoints",
        }
    }
}

/// A value for each topic.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PerTopic<T> {
    /// The configuration's.
    pub routes: T,
    /// The list's.
    pub endpoints: T,
}

impl<T> PerTopic<T> {
    /// A topic's value.
    pub fn get(&self, topic: Topic) -> &T {
        match topic {
            Topic::Routes => &self.routes,
            Topic::Endpoints => &self.endpoints,
        }
    }

    /// A topic's value, to change it.
    pub fn get_mut(&mut self, topic: Topic) -> &mut T {
        match topic {
            Topic::Routes => &mut self.routes,
            Topic::Endpoints => &mut self.endpoints,
        }
    }
}

/// A moment in the store's history.
///
/// A store that comes back from a copy of itself, some seconds old, gives the numbers since then out
/// again, to other changes. Each time it does so its era rises, so that moments of one era come after
/// all of those before it, whatever their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Revision {
    /// How often the store has come back from a copy; 0 for a store that doesn't say.
    pub era: u64,
    /// Its counter of changes, which starts above 0.
    pub number: u64,
}

impl Revision {
    /// Before anything was read.
    pub const NONE: Revision = Revision { era: 0, number: 0 };

    /// Nothing was read.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Revision::NONE
    }

    /// With the era in which its number was given out.
    #[must_use]
    pub fn with_era(self, era: u64) -> Revision {
        Revision { era, ..self }
    }

    /// Follows the store. Within an era what is known doesn't go back with an answer that was late; a
    /// reading of another era is of another history.
    pub fn advance(&mut self, read: Revision) {
        *self = if read.era == self.era { read.max(*self) } else { read };
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Revision {
        Revision { era: 0, number }
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

/// Where in the store's history a topic was read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Revisions {
    /// The store's revision: all changes up to it are known.
    pub store: Revision,
    /// The revision of the last change of the topic that was read; 0 for none. It is what peers are
    /// told: a watch on the topic has it at once, while the store's own revision may belong to another
    /// topic, for which such a watch would wait in vain.
    pub latest_change: Revision,
}

impl Revisions {
    /// Read at a revision whose change was the topic's.
    #[must_use]
    pub fn at(revision: impl Into<Revision>) -> Revisions {
        let revision = revision.into();
        Revisions { store: revision, latest_change: revision }
    }

    /// Read in this era. That nothing new was read stays so.
    #[must_use]
    pub fn with_era(self, era: u64) -> Revisions {
        let latest_change = if self.latest_change.is_none() {
            self.latest_change
        } else {
            self.latest_change.with_era(era)
        };
        Revisions { store: self.store.with_era(era), latest_change }
    }
}
