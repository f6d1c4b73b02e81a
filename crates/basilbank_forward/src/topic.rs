//! The topics that the store publishes. Each topic is read by a separate watch, so that the removal
//! of an endpoint, which is short and urgent, doesn't wait behind a configuration, which may be a
//! megabyte.

use std::fmt::{self, Display, Formatter};

/// A topic of the store.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Topic {
    /// The configuration.
    Routes,
    /// The list of endpoints.
    Endpoints,
}

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 2] = [Topic::Routes, Topic::Endpoints];

    /// Returns the other topic.
    #[must_use]
    pub fn other(self) -> Topic {
        match self {
            Topic::Routes => Topic::Endpoints,
            Topic::Endpoints => Topic::Routes,
        }
    }

    /// Returns the topic's stable name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Routes => "routes",
            Topic::Endpoints => "endpoints",
        }
    }
}

/// One value for each topic.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PerTopic<T> {
    /// The value for the configuration.
    pub routes: T,
    /// The value for the list of endpoints.
    pub endpoints: T,
}

impl<T> PerTopic<T> {
    /// Returns a topic's value.
    pub fn get(&self, topic: Topic) -> &T {
        match topic {
            Topic::Routes => &self.routes,
            Topic::Endpoints => &self.endpoints,
        }
    }

    /// Returns a mutable reference to a topic's value.
    pub fn get_mut(&mut self, topic: Topic) -> &mut T {
        match topic {
            Topic::Routes => &mut self.routes,
            Topic::Endpoints => &mut self.endpoints,
        }
    }
}

/// A point in the store's history.
///
/// A store that is restored from a copy, which is some seconds old, gives the numbers since the
/// copy out again, to other changes. Each restore increments the era, so that all revisions of an
/// era compare as newer than those of earlier eras, whatever their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Revision {
    /// Number of times that the store has been restored from a copy; 0 for a store that doesn't
    /// state it.
    pub era: u64,
    /// The store's change counter, which starts above 0.
    pub number: u64,
}

impl Revision {
    /// The revision before anything has been read.
    pub const NONE: Revision = Revision { era: 0, number: 0 };

    /// Returns whether nothing has been read.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Revision::NONE
    }

    /// Sets the era in which the number was given out.
    #[must_use]
    pub fn with_era(self, era: u64) -> Revision {
        Revision { era, ..self }
    }

    /// Advances to the revision of a read. Within an era the revision never goes back, since
    /// answers can arrive late. A read of another era replaces it, as the store's history is a
    /// different one.
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

/// The store's revisions at which a topic was read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Revisions {
    /// The store's revision: all changes up to it are known.
    pub store: Revision,
    /// The revision of the topic's latest change that was read; 0 for none. Peers are sent this
    /// one: a watch on the topic returns it at once, while `store` may be the revision of another
    /// topic's change, for which such a watch would wait in vain.
    pub latest_change: Revision,
}

/// The store's revisions at which one item was written, as far as its latest version tells.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ItemRevisions {
    /// The item's creation; 0 if it isn't known.
    pub created: u64,
    /// Its last change, which may be its creation; 0 if it isn't known.
    pub changed: u64,
}

impl Revisions {
    /// Creates the revisions of a read at which the topic itself has changed.
    #[must_use]
    pub fn at(revision: impl Into<Revision>) -> Revisions {
        let revision = revision.into();
        Revisions { store: revision, latest_change: revision }
    }

    /// Sets the era of the read. If no change was read, `latest_change` stays empty.
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
