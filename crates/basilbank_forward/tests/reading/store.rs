//! The store as a daemon finds it: what it holds, and how its way to a daemon fails.

use std::time::Duration;

use basilbank_forward::prelude::*;

/// What a question and its answer take.
pub const ROUND_TRIP: Duration = Duration::from_millis(5);

/// How the store is reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum StoreCondition {
    /// It answers.
    #[default]
    Healthy,
    /// Connections can be made, nothing comes, and what waits gets no answer any more.
    Unresponsive,
    /// No connection can be made, and nothing comes over those that stand.
    Unreachable,
    /// Each question is refused, and those that wait are broken off.
    Refusing,
    /// Answers take so many milliseconds longer.
    Slow(u16),
    /// It answers, but not over connections that stood.
    ConnectionsDropped,
    /// It answers, and has forgotten its history.
    Compacted,
    /// It answers, but each second answer is lost.
    Lossy,
    /// It answers, and has come back from a copy of itself that is so many milliseconds old.
    Restored(u16),
}

impl StoreCondition {
    /// Questions that are asked now are answered soon.
    pub fn answers_in_time(self) -> bool {
        matches!(
            self,
            StoreCondition::Healthy
                | StoreCondition::ConnectionsDropped
                | StoreCondition::Compacted
                | StoreCondition::Restored(_)
        ) || self == StoreCondition::Slow(TOLERATED_DELAY_MS)
    }

    /// Connections that stand are dead from now on.
    pub fn kills_connections(self) -> bool {
        matches!(
            self,
            StoreCondition::Unresponsive
                | StoreCondition::Unreachable
                | StoreCondition::ConnectionsDropped
        )
    }
}

/// A slowness that is no outage, in milliseconds.
pub const TOLERATED_DELAY_MS: u16 = 250;

/// Changes before anybody asks: one of each topic.
const INITIAL_CHANGES: usize = 2;

/// A change that the store has confirmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Change {
    pub at: Duration,
    pub topic: Topic,
    /// The version of its topic that it brings.
    pub version: u64,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// How often it has come back from a copy.
    pub era: u64,
    /// All changes; each one's revision is its place, counted from one.
    pub changes: Vec<Change>,
    /// Its answers don't say its era.
    pub omits_era: bool,
    /// Changes up to this revision are forgotten.
    pub compacted_revision: u64,
    /// The newest version of each topic that was ever written.
    pub latest_versions: PerTopic<u64>,
}

impl Store {
    /// The era as its answers say it.
    pub fn reported_era(&self) -> Option<u64> {
        (!self.omits_era).then_some(self.era)
    }

    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// A new version of a topic is confirmed.
    pub fn confirm_change(&mut self, topic: Topic, now: Duration) {
        *self.latest_versions.get_mut(topic) += 1;
        self.write_latest(topic, now);
    }

    /// What the operator or an endpoint has written last is written, perhaps again.
    pub fn write_latest(&mut self, topic: Topic, now: Duration) {
        let version = *self.latest_versions.get(topic);
        self.changes.push(Change { at: now, topic, version });
    }

    /// It comes back from a copy of this age: what was confirmed since is gone, and its revisions will be
    /// given out again.
    pub fn restore(&mut self, age: Duration, now: Duration) {
        let kept = self.changes.iter().take_while(|change| change.at + age <= now).count();
        // Both topics were there before anybody asked.
        self.changes.truncate(kept.max(INITIAL_CHANGES));
        self.compacted_revision = self.compacted_revision.min(self.revision());
        self.era += 1;
    }

    /// The revision of a topic's last change.
    pub fn last_change_revision(&self, topic: Topic) -> u64 {
        let last = self.changes.iter().rposition(|change| change.topic == topic);
        last.map_or(0, |last| last as u64 + 1)
    }

    /// The version of a topic that it holds.
    pub fn stored_version(&self, topic: Topic) -> u64 {
        let last = self.changes.iter().rev().find(|change| change.topic == topic);
        last.map_or(0, |change| change.version)
    }

    /// When the oldest version of a topic was confirmed that is newer than this one.
    pub fn first_change_after(&self, topic: Topic, version: u64) -> Option<Duration> {
        let is_newer = |change: &&Change| change.topic == topic && version < change.version;
        self.changes.iter().find(is_newer).map(|change| change.at)
    }

    /// What a question is answered now; `None` while it waits for a change.
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
