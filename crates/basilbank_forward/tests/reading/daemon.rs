//! A daemon's readers, and how its way to the store changes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use basilbank_forward::prelude::*;

use crate::store::{SLOW, Way};

/// How long daemons may take besides to notice that connections died without a sign, over which answers
/// are waited for. The operators count a daemon in touch again three seconds after that.
const UNNOTICED: Duration = Duration::from_secs(1);

/// A spell that lasts as long shows: the list's watch and its margin are over.
const SHOWS: Duration = Duration::from_millis(2200);

/// A daemon: its readers, and its way to the store.
#[derive(Debug, Default)]
pub struct Daemon {
    pub readers: Readers,
    pub way: Way,
    /// Connections that stood have died then.
    pub killed: Duration,
    /// The store answers since then.
    pub sound: Duration,
    pub open: BTreeMap<(Topic, ReadId), Open>,
    /// The version of each topic in force.
    pub in_force: PerTopic<u64>,
    pub news: PerTopic<Revision>,
    /// The era in which each topic was read last.
    pub eras: PerTopic<u64>,
    pub asked: VecDeque<Duration>,
    pub answers: u64,
    /// The list can't be read.
    pub lost: bool,
    /// What daemons that watch said last: when, and whether the store answers them.
    pub words: BTreeMap<usize, (Duration, bool)>,
    /// How often one of them said that it doesn't any more.
    pub doubts: u32,
    /// The connection that each topic keeps for its next question.
    pub kept: PerTopic<Kept>,
}

/// A connection over which an answer came whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Kept {
    #[default]
    None,
    Live,
    /// It has died, and shows no sign of it.
    Dead,
}

/// A question that is open.
#[derive(Clone, Debug)]
pub struct Open {
    pub at: Duration,
    pub scope: Scope,
    /// Its connection is dead.
    pub dead: bool,
    pub came: Option<ReadOutcome>,
    /// The store's era, and the version that it held, when the answer left.
    pub era: Option<u64>,
    pub version: u64,
}

impl Daemon {
    /// Its way to the store changes. Returns the questions that fail by it.
    pub fn turn(&mut self, way: Way, now: Duration) -> Vec<(Topic, ReadId)> {
        self.judge(way, now);
        self.way = way;
        for topic in Topic::ALL {
            let kept = self.kept.get_mut(topic);
            match way {
                Way::Refused => *kept = Kept::None,
                way if way.kills() && *kept == Kept::Live => *kept = Kept::Dead,
                _ => {}
            }
        }
        let mut failed = Vec::new();
        for (key, open) in &mut self.open {
            open.dead |= way.kills();
            if way == Way::Refused && !open.dead {
                open.came = Some(ReadOutcome::Failed("reset".to_owned()));
                failed.push(*key);
            }
        }
        failed
    }

    /// Until then it may take the store's silence for nothing new, and so may those that rest on its word.
    pub fn blind_until(&self) -> Duration {
        if self.killed.is_zero() { Duration::ZERO } else { self.killed + SHOWS }
    }

    /// From when on the store answers.
    fn judge(&mut self, way: Way, now: Duration) {
        if way.kills() && (self.way.answers() || !self.way.kills()) {
            self.killed = now;
        }
        // Those whose answers were lost go on waiting for them, and slow ones are still on their way.
        let unnoticed = self.way == Way::Lossy
            || way == Way::Renewed
            || matches!(self.way, Way::Slow(ms) if ms != SLOW)
            || self.way.kills() && now < self.killed + SHOWS;
        if unnoticed {
            self.sound = now + UNNOTICED;
        } else if !way.answers() || !self.way.answers() {
            self.sound = self.sound.max(now);
        }
    }
}
