//! How long ago the configuration in force was the newest for certain.
//!
//! A key that is taken away must not open anything for longer than a bound, also at a daemon that can't
//! read the store. Silence proves nothing, so the age counts from the moment at which a question went out
//! whose answer showed no newer version. A daemon that rests on others' word asks those that watch the
//! store; their answer counts from its own question, less the age that they tell.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use super::State;

/// Age from which on a daemon that rests on others' word asks one of them.
const ASK_AFTER: Duration = Duration::from_millis(1000);

/// Time after which the next one is asked if the one before is silent.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Age from which on it reads the store itself.
const READ_AFTER: Duration = Duration::from_millis(2500);

/// Questions whose answers count.
const OPEN: usize = 4;

/// Longest time for which the store is let wait while a daemon has to know that it has the newest version.
pub const WATCH_MOST: Duration = Duration::from_millis(1000);

/// What this daemon knows of it.
#[derive(Debug, Default)]
pub struct Freshness {
    /// When the configuration in force was the newest for certain; none when nothing was read.
    pub proved: Option<Duration>,
    /// Questions to peers whose answers count, the oldest first.
    asked: VecDeque<Asked>,
    /// Questions to peers so far.
    count: usize,
}

/// A question to a peer.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// Names it; not used again by another start of this daemon.
    stamp: u64,
    /// When it went out.
    at: Duration,
}

impl Freshness {
    /// The version in force was the newest at this moment.
    pub fn prove(&mut self, at: Duration) {
        self.proved = Some(self.proved.map_or(at, |known| known.max(at)));
    }

    /// A peer has answered one of the questions: what was in force there was the newest so long before.
    pub fn prove_by(&mut self, stamp: u64, age: Duration) {
        let asked = self.asked.iter().find(|asked| asked.stamp == stamp);
        if let Some(at) = asked.and_then(|asked| asked.at.checked_sub(age)) {
            self.prove(at);
        }
    }

    /// How old the proof is.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proved.map(|at| now.saturating_sub(at))
    }
}

impl State {
    /// Keys that the configuration in force has may be served: it was the newest within the bound.
    #[must_use]
    pub fn trusts_keys(&self, now: Duration) -> bool {
        let Some(most) = self.tuning.key_trust else { return true };
        self.freshness.age(now).is_some_and(|age| age < most)
    }

    /// Calls need keys, and a daemon must know that none of them was taken away.
    #[must_use]
    pub fn needs_proof(&self) -> bool {
        self.tuning.key_trust.is_some() && self.routes.teams.is_some()
    }

    /// The proof is so old that the store is to be read, whatever peers say.
    #[must_use]
    pub fn proof_is_old(&self, now: Duration) -> bool {
        self.needs_proof() && self.freshness.age(now).is_none_or(|age| READ_AFTER <= age)
    }

    /// When a peer is to be asked for a proof; none if this daemon reads the store itself.
    pub(crate) fn proof_due(&self) -> Option<Duration> {
        if !self.needs_proof() || !self.rests().follows {
            return None;
        }
        let old = self.freshness.proved? + ASK_AFTER;
        let last = self.freshness.asked.back();
        let again = last.map_or(Duration::ZERO, |asked| asked.at + ASK_AGAIN);
        Some(old.max(again))
    }

    /// The peer to ask now, each of those that watch the store in turn, and what the question is named.
    pub(crate) fn ask_for_proof(&mut self, now: Duration) -> Option<(SocketAddr, u64)> {
        let watching = self.peers.known.iter().filter(|(_, peer)| peer.watching && !peer.leaving);
        let mut watching: Vec<_> = watching.map(|(at, _)| *at).collect();
        watching.sort_unstable();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let stamp = self.local.incarnation.wrapping_add(now_ms);
        let freshness = &mut self.freshness;
        freshness.asked.push_back(Asked { stamp, at: now });
        if OPEN < freshness.asked.len() {
            freshness.asked.pop_front();
        }
        freshness.count = freshness.count.wrapping_add(1);
        let first = usize::try_from(self.local.seed).unwrap_or_default();
        let place = first.wrapping_add(freshness.count).checked_rem(watching.len())?;
        Some((*watching.get(place)?, stamp))
    }
}
