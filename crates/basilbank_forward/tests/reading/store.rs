//! The store as a daemon finds it: what it holds, and how its way to a daemon fails.

use std::time::Duration;

use basilbank_forward::prelude::*;

/// What a question and its answer take.
pub const TRIP: Duration = Duration::from_millis(5);

/// How the store is reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Way {
    /// It answers.
    #[default]
    Sound,
    /// Connections can be made, nothing comes, and what waits gets no answer any more.
    Silent,
    /// No connection can be made, and nothing comes over those that stand.
    Cut,
    /// Each question is refused, and those that wait are broken off.
    Refused,
    /// Answers take so many milliseconds longer.
    Slow(u16),
    /// It answers, but not over connections that stood.
    Renewed,
    /// It answers, and has forgotten its history.
    Compacted,
    /// It answers, but each second answer is lost.
    Lossy,
    /// It answers, and has come back from a copy of itself that is so many milliseconds old.
    Restored(u16),
}

impl Way {
    /// Questions that are asked now are answered soon.
    pub fn answers(self) -> bool {
        matches!(self, Way::Sound | Way::Renewed | Way::Compacted | Way::Restored(_))
            || self == Way::Slow(SLOW)
    }

    /// Connections that stand are dead from now on.
    pub fn kills(self) -> bool {
        matches!(self, Way::Silent | Way::Cut | Way::Renewed)
    }
}

/// A slowness that is no outage, in milliseconds.
pub const SLOW: u16 = 250;

/// Changes before anybody asks: one of each topic.
const FIRST: usize = 2;

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
    pub silent: bool,
    /// Changes up to this revision are forgotten.
    pub floor: u64,
    /// The newest version of each topic that was ever written.
    pub version: PerTopic<u64>,
}

impl Store {
    /// The era as its answers say it.
    pub fn header(&self) -> Option<u64> {
        (!self.silent).then_some(self.era)
    }

    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// A new version of a topic is confirmed.
    pub fn change(&mut self, topic: Topic, now: Duration) {
        *self.version.get_mut(topic) += 1;
        self.write(topic, now);
    }

    /// What the operator or an endpoint has written last is written, perhaps again.
    pub fn write(&mut self, topic: Topic, now: Duration) {
        let version = *self.version.get(topic);
        self.changes.push(Change { at: now, topic, version });
    }

    /// It comes back from a copy of this age: what was confirmed since is gone, and its revisions will be
    /// given out again.
    pub fn restore(&mut self, age: Duration, now: Duration) {
        let kept = self.changes.iter().take_while(|change| change.at + age <= now).count();
        // Both topics were there before anybody asked.
        self.changes.truncate(kept.max(FIRST));
        self.floor = self.floor.min(self.revision());
        self.era += 1;
    }

    /// The revision of a topic's last change.
    pub fn newest(&self, topic: Topic) -> u64 {
        let last = self.changes.iter().rposition(|change| change.topic == topic);
        last.map_or(0, |last| last as u64 + 1)
    }

    /// The version of a topic that it holds.
    pub fn holds(&self, topic: Topic) -> u64 {
        let last = self.changes.iter().rev().find(|change| change.topic == topic);
        last.map_or(0, |change| change.version)
    }

    /// When the oldest version of a topic was confirmed that is newer than this one.
    pub fn missing(&self, topic: Topic, version: u64) -> Option<Duration> {
        let missing = |change: &&Change| change.topic == topic && version < change.version;
        self.changes.iter().find(missing).map(|change| change.at)
    }

    /// What a question is answered now; `None` while it waits for a change.
    pub fn answer(&self, topic: Topic, scope: &Scope, waited: bool) -> Option<ReadOutcome> {
        let answer = |changed| ReadOutcome::Answer {
            store_revision: self.revision(),
            changed,
            next_page: None,
            bytes: 1000,
        };
        match scope {
            Scope::Page { .. } => Some(answer(true)),
            Scope::Changes { after, .. } if *after < self.floor || self.revision() < *after => {
                Some(ReadOutcome::HistoryGone)
            }
            Scope::Changes { after, .. } => {
                let changed = *after < self.newest(topic);
                (changed || waited).then(|| answer(changed))
            }
        }
    }
}
