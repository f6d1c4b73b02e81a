//! How long ago the configuration in force was the newest for certain.
//!
//! A key that is taken away must not open anything for longer than a bound, also at a daemon that can't
//! read the store. Silence proves nothing, so the age counts from the moment at which a question went out
//! whose answer showed no newer version. A daemon that rests on others' word asks those that watch the
//! store; their answer counts from its own question, less the age that they tell.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use super::State;

/// Age from which on a daemon that rests on others' word asks one of them.
const ASK_AFTER_AGE: Duration = Duration::from_millis(1000);

/// Time after which the next one is asked if the one before is silent.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(250);

/// Age from which on it reads the store itself.
const READ_AFTER_AGE: Duration = Duration::from_millis(2500);

/// Questions whose answers count.
const MAX_OPEN_QUESTIONS: usize = 4;

/// Longest time for which the store is let wait while a daemon has to know that it has the newest version.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);

/// What this daemon knows of it.
#[derive(Debug, Default)]
pub struct Freshness {
    /// When the configuration in force was the newest for certain; none when nothing was read.
    pub confirmed_at: Option<Duration>,
    /// Questions to peers whose answers count, the oldest first.
    questions: VecDeque<Question>,
    /// Questions to peers so far.
    sent: usize,
}

/// A question to a peer.
#[derive(Clone, Copy, Debug)]
struct Question {
    /// Names it; not used again by another start of this daemon.
    id: u64,
    /// When it went out.
    at: Duration,
}

impl Freshness {
    /// The version in force was the newest at this moment.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// A peer has answered one of the questions: what was in force there was the newest so long before.
    pub fn confirm_from_answer(&mut self, id: u64, age: Duration) {
        let question = self.questions.iter().find(|question| question.id == id);
        if let Some(at) = question.and_then(|question| question.at.checked_sub(age)) {
            self.confirm(at);
        }
    }

    /// How old the proof is.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}

impl State {
    /// Keys that the configuration in force has may be served: it was the newest within the bound.
    #[must_use]
    pub fn can_trust_keys(&self, now: Duration) -> bool {
        let Some(max_age) = self.tuning.max_confirmation_age else { return true };
        self.freshness.age(now).is_some_and(|age| age < max_age)
    }

    /// Calls need keys, and a daemon must know that none of them was taken away.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        self.tuning.max_confirmation_age.is_some() && self.routes.teams.is_some()
    }

    /// The proof is so old that the store is to be read, whatever peers say.
    #[must_use]
    pub fn is_confirmation_old(&self, now: Duration) -> bool {
        self.needs_confirmation() && self.freshness.age(now).is_none_or(|age| READ_AFTER_AGE <= age)
    }

    /// When a peer is to be asked for a proof; none if this daemon reads the store itself.
    pub(crate) fn confirmation_due(&self) -> Option<Duration> {
        if !self.needs_confirmation() || !self.follow_state().follows {
            return None;
        }
        let old = self.freshness.confirmed_at? + ASK_AFTER_AGE;
        let last = self.freshness.questions.back();
        let again = last.map_or(Duration::ZERO, |question| question.at + ASK_AGAIN_AFTER);
        Some(old.max(again))
    }

    /// The peer to ask now, each of those that watch the store in turn, and what the question is named.
    pub(crate) fn next_confirmation_request(&mut self, now: Duration) -> Option<(SocketAddr, u64)> {
        let watching = self.peers.known.iter().filter(|(_, peer)| peer.watching && !peer.leaving);
        let mut watching: Vec<_> = watching.map(|(at, _)| *at).collect();
        watching.sort_unstable();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let id = self.local.incarnation.wrapping_add(now_ms);
        let freshness = &mut self.freshness;
        freshness.questions.push_back(Question { id, at: now });
        if MAX_OPEN_QUESTIONS < freshness.questions.len() {
            freshness.questions.pop_front();
        }
        freshness.sent = freshness.sent.wrapping_add(1);
        let first = usize::try_from(self.local.seed).unwrap_or_default();
        let index = first.wrapping_add(freshness.sent).checked_rem(watching.len())?;
        Some((*watching.get(index)?, id))
    }
}
