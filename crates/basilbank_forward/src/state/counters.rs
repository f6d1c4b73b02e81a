//! Quotas that this daemon counts for all.
//!
//! One daemon, the same for all who hear each other, counts a team's quota: a token bucket from which the
//! others take by telling what they took. While there is plenty requests are taken first and told within
//! milliseconds; when the bucket runs low all daemons are told to ask before.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_core::state::Bucket;
use basilbank_wire::{QuotaAsk, QuotaCounted, QuotaUse};

use crate::team::{Quota, TeamId};

/// Seconds of a quota's rate by which the bucket may be overdrawn before a request is refused. Requests come
/// in clumps; the next moment's rate pays for them.
const OVERDRAFT: f64 = 0.15;

/// Part of a full bucket below which requests have to ask: more than a surge takes until all have heard.
const LOW: f64 = 0.3;

/// Part above which they needn't any more.
const PLENTY: f64 = 0.5;

/// How long a word to all holds that they have to ask.
pub const ASK_FOR: Duration = Duration::from_millis(2500);

/// When it is said again.
const SAY_AGAIN: Duration = Duration::from_millis(1200);

/// What is in the bucket of a quota that this daemon begins to count, as a part of a full one: another one
/// counted before, and part of the burst is used.
const FIRST: f64 = 0.25;

/// How long a daemon that told counts as one that uses the quota.
const LATELY: Duration = Duration::from_secs(2);

/// A quota of which nobody told anything for this long is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// All of them.
#[derive(Debug, Default)]
pub struct Counters {
    list: HashMap<TeamId, Counter>,
}

/// One team's quota.
#[derive(Debug)]
struct Counter {
    bucket: Bucket,
    /// What was counted of each daemon.
    counted: HashMap<SocketAddr, Told>,
    /// Requests have to ask.
    low: bool,
    /// When all were told so.
    said: Duration,
    touched: Duration,
}

/// What a daemon has told.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Its process's start.
    incarnation: u64,
    sum: QuotaCounted,
    at: Duration,
}

/// What this daemon may give of a quota: all of it, or a part while it doesn't hear all daemons.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The whole.
    pub quota: Quota,
    /// The part.
    pub part: f64,
}

impl Terms {
    fn rate(&self) -> f64 {
        self.quota.rate * self.part
    }

    /// A full bucket: one that holds less than the overdraft would be low all the time.
    fn most(&self) -> f64 {
        (self.quota.burst * self.part).max(self.rate() * OVERDRAFT)
    }
}

/// What a daemon that told of its use, or asked, is answered.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Answer {
    /// There is room, and what was asked for is taken.
    Granted,
    /// There is room after this time.
    Full(Duration),
}

impl Counters {
    /// Takes in what a daemon's callers have taken. Its incarnation tells a sum from that of the process
    /// before.
    pub fn tell(
        &mut self,
        team: TeamId,
        terms: &Terms,
        from: (SocketAddr, u64),
        told: &QuotaUse,
        now: Duration,
    ) {
        let counter = self.counter(team, terms, now);
        counter.touched = now;
        let (address, incarnation) = from;
        let known = counter.counted.get(&address);
        let known = known.filter(|known| known.incarnation == incarnation);
        let sum = known.map(|known| known.sum).filter(|sum| sum.epoch == told.epoch);
        let before = sum.map_or(told.acknowledged, |sum| sum.taken);
        counter.bucket.level -= (told.taken - before) as f64;
        let sum = QuotaCounted { epoch: told.epoch, taken: told.taken };
        counter.counted.insert(address, Told { incarnation, sum, at: now });
    }

    /// Takes what this daemon's own callers have taken.
    pub fn take(&mut self, team: TeamId, terms: &Terms, amount: i64, now: Duration) {
        let counter = self.counter(team, terms, now);
        counter.touched = now;
        counter.bucket.level -= amount as f64;
    }

    /// A request asks for its part.
    pub fn ask(&mut self, team: TeamId, terms: &Terms, ask: &QuotaAsk, now: Duration) -> Answer {
        let counter = self.counter(team, terms, now);
        counter.touched = now;
        let least = -terms.rate() * OVERDRAFT;
        if least < counter.bucket.level {
            counter.bucket.level -= f64::from(ask.amount);
            return Answer::Granted;
        }
        let lacking = (least - counter.bucket.level) / terms.rate();
        Answer::Full(Duration::try_from_secs_f64(lacking).unwrap_or(FORGET).min(FORGET))
    }

    /// Requests of a team have to ask before they are taken.
    pub fn is_low(&mut self, team: TeamId, terms: &Terms, now: Duration) -> bool {
        let counter = self.counter(team, terms, now);
        let part = counter.bucket.level / terms.most();
        counter.low = part < if counter.low { PLENTY } else { LOW };
        counter.low
    }

    /// All daemons are to be told now that requests of a team whose bucket is low have to ask.
    pub fn is_due_to_say(&mut self, team: TeamId, now: Duration) -> bool {
        let Some(counter) = self.list.get_mut(&team) else { return false };
        let due = counter.said + SAY_AGAIN <= now;
        if due {
            counter.said = now;
        }
        due
    }

    /// Daemons that have told of a team's quota lately.
    #[must_use]
    pub fn tellers(&self, team: TeamId, now: Duration) -> usize {
        let Some(counter) = self.list.get(&team) else { return 0 };
        counter.counted.values().filter(|told| now < told.at + LATELY).count()
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now: Duration) {
        self.list.retain(|_, counter| now < counter.touched + FORGET);
    }

    fn counter(&mut self, team: TeamId, terms: &Terms, now: Duration) -> &mut Counter {
        let counter = self.list.entry(team).or_insert_with(|| Counter {
            bucket: Bucket::full(terms.most() * FIRST, now),
            counted: HashMap::new(),
            low: false,
            said: Duration::ZERO,
            touched: now,
        });
        counter.bucket.fill(terms.rate(), terms.most(), now);
        counter
    }
}
