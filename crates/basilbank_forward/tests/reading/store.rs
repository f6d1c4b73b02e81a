//! A simulated store, and the conditions in which a daemon may find it.

use std::time::Duration;

use basilbank_forward::prelude::*;

/// Network time of a read and its answer together.
pub const ROUND_TRIP: Duration = Duration::from_millis(5);

/// Condition in which a daemon finds the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum StoreCondition {
    /// The store answers at once.
    #[default]
    Healthy,
    /// New connections succeed, but no read is answered, not even those that are pending.
    Unresponsive,
    /// New connections fail, and no data arrives over open ones.
    Unreachable,
    /// Each read is refused, and pending reads are reset.
    Refusing,
    /// Answers take this number of milliseconds longer.
    Slow(u16),
    /// The store answers, but not over connections that were open before.
    ConnectionsDropped,
    /// The store answers, but has discarded its history of changes.
    Compacted,
    /// The store answers, but every second answer is lost.
    Lossy,
    /// The store answers, and was restored from a backup that is this number of milliseconds old.
    Restored(u16),
}

impl StoreCondition {
    /// Returns whether reads that start now are answered within the tolerated delay.
    pub fn answers_in_time(self) -> bool {
        matches!(
            self,
            StoreCondition::Healthy
                | StoreCondition::ConnectionsDropped
                | StoreCondition::Compacted
                | StoreCondition::Restored(_)
        ) || self == StoreCondition::Slow(TOLERATED_DELAY_MS)
    }

    /// Returns whether open connections die without an error.
    pub fn kills_connections(self) -> bool {
        matches!(
            self,
            StoreCondition::Unresponsive
                | StoreCondition::Unreachable
                | StoreCondition::ConnectionsDropped
        )
    }
}

/// Delay of answers that doesn't count as an outage.
pub const TOLERATED_DELAY_MS: u16 = 250;

/// Number of changes before the first read: one of each topic.
const INITIAL_CHANGES: usize = 2;

/// A change that the store has confirmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Change {
    pub at: Duration,
    pub topic: Topic,
    /// Version of the topic after this change.
    pub version: u64,
}

/// State of the simulated store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Number of restores from a backup.
    pub era: u64,
    /// All changes. A change's revision is its position, counted from one.
    pub changes: Vec<Change>,
    /// Whether answers don't report the era.
    pub omits_era: bool,
    /// Revision up to which changes are discarded.
    pub compacted_revision: u64,
    /// Newest version of each topic that was ever written, including those that a restore has lost.
    pub latest_versions: PerTopic<u64>,
}

impl Store {
    /// Returns the era as answers report it.
    pub fn reported_era(&self) -> Option<u64> {
        (!self.omits_era).then_some(self.era)
    }

    /// Returns the store's current revision.
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Confirms a new version of a topic.
    pub fn confirm_change(&mut self, topic: Topic, now: Duration) {
        *self.latest_versions.get_mut(topic) += 1;
        self.write_latest(topic, now);
    }

    /// Writes the newest version of a topic, which may be one that a restore has lost.
    pub fn write_latest(&mut self, topic: Topic, now: Duration) {
        let version = *self.latest_versions.get(topic);
        self.changes.push(Change { at: now, topic, version });
    }

    /// Restores the store from a backup of this age. Changes that were confirmed since then are lost,
    /// and their revisions will be assigned again.
    pub fn restore(&mut self, age: Duration, now: Duration) {
        let kept = self.changes.iter().take_while(|change| change.at + age <= now).count();
        // Both topics existed before the first read.
        self.changes.truncate(kept.max(INITIAL_CHANGES));
        self.compacted_revision = self.compacted_revision.min(self.revision());
        self.era += 1;
    }

    /// Returns the revision of a topic's last change.
    pub fn last_change_revision(&self, topic: Topic) -> u64 {
        let last = self.changes.iter().rposition(|change| change.topic == topic);
        last.map_or(0, |last| last as u64 + 1)
    }

    /// Returns the version of a topic that the store holds.
    pub fn stored_version(&self, topic: Topic) -> u64 {
        let last = self.changes.iter().rev().find(|change| change.topic == topic);
        last.map_or(0, |change| change.version)
    }

    /// Returns the time at which the first version of a topic that is newer than `version` was confirmed.
    pub fn first_change_after(&self, topic: Topic, version: u64) -> Option<Duration> {
        let is_newer = |change: &&Change| change.topic == topic && version < change.version;
        self.changes.iter().find(is_newer).map(|change| change.at)
    }

    /// Returns the answer to a read, or `None` while the read waits for a change.
    pub fn answer(&self, topic: Topic, scope: &Scope, wait_is_over: bool) -> Option<ReadOutcome> {
        let answer = |changed| ReadOutcome::Answer {
            store_revision: self.revision(),
            changed,
            next_page: None,
            bytes: 1000,
        };
        match scope {
            Scope::Page { .. } => Some(answer(true)),
            Scope::Changes { after, .. }
                if *after < self.compacted_revision || self.revision() < *after =>
            {
                Some(ReadOutcome::HistoryGone)
            }
            Scope::Changes { after, .. } => {
                let changed = *after < self.last_change_revision(topic);
                (changed || wait_is_over).then(|| answer(changed))
            }
        }
    }
}
