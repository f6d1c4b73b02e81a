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
}

impl Way {
    /// Questions that are asked now are answered soon.
    pub fn answers(self) -> bool {
        matches!(self, Way::Sound | Way::Renewed | Way::Compacted) || self == Way::Slow(SLOW)
    }

    /// Connections that stand are dead from now on.
    pub fn kills(self) -> bool {
        matches!(self, Way::Silent | Way::Cut | Way::Renewed)
    }
}

/// A slowness that is no outage, in milliseconds.
pub const SLOW: u16 = 250;

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Its revision.
    pub revision: u64,
    /// When each version of the configuration was confirmed, and at which revision.
    pub versions: Vec<(Duration, u64)>,
    /// The revision of the list's last change.
    pub list: u64,
    /// Changes up to this revision are forgotten.
    pub floor: u64,
}

impl Store {
    /// A change is confirmed.
    pub fn change(&mut self, topic: Topic, now: Duration) {
        self.revision += 1;
        match topic {
            Topic::Routes => self.versions.push((now, self.revision)),
            Topic::Endpoints => self.list = self.revision,
        }
    }

    /// The revision of a topic's last change.
    pub fn newest(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Routes => self.versions.last().map_or(0, |(_, revision)| *revision),
            Topic::Endpoints => self.list,
        }
    }

    /// The revision of the last version that was confirmed by then.
    pub fn confirmed(&self, by: Duration) -> u64 {
        let confirmed = self.versions.iter().rev().find(|(at, _)| *at <= by);
        confirmed.map_or(0, |(_, revision)| *revision)
    }

    /// What a question is answered now; `None` while it waits for a change.
    pub fn answer(&self, topic: Topic, scope: &Scope, waited: bool) -> Option<Came> {
        let answer =
            |changed| Came::Answer { store: self.revision, changed, next: None, bytes: 1000 };
        match scope {
            Scope::Page { .. } => Some(answer(true)),
            Scope::Changes { after, .. } if *after < self.floor => Some(Came::HistoryGone),
            Scope::Changes { after, .. } => {
                let changed = *after < self.newest(topic);
                (changed || waited).then(|| answer(changed))
            }
        }
    }
}
