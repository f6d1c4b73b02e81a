//! How recently the configuration in force was confirmed to be the newest.
//!
//! A revoked key must not give access for longer than a bound, also at a daemon that can't read the
//! store. Silence confirms nothing, so the age of a confirmation counts from the moment at which
//! the question was sent whose answer showed no newer version. A follower asks the watchers of the
//! store; their answer counts from its own question, less the age that they report.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use super::State;

/// Age of the confirmation from which on a follower asks a watcher.
const ASK_AFTER_AGE: Duration = Duration::from_millis(1000);

/// Time without an answer after which the next watcher is asked.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(250);

/// Age of the confirmation from which on a follower reads the store itself.
const READ_AFTER_AGE: Duration = Duration::from_millis(2500);

/// Maximum number of questions whose answers are accepted.
const MAX_OPEN_QUESTIONS: usize = 4;

/// Maximum wait of a watch of the store while a daemon needs confirmation that it has the newest
/// version.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);

/// What this daemon knows about the age of its configuration.
#[derive(Debug, Default)]
pub struct Freshness {
    /// When the configuration in force was last known to be the newest; `None` when nothing was
    /// read.
    pub confirmed_at: Option<Duration>,
    /// Questions to peers whose answers are accepted, the oldest first.
    questions: VecDeque<Question>,
    /// Number of questions sent so far.
    sent: usize,
}

/// A question to a peer.
#[derive(Clone, Copy, Debug)]
struct Question {
    /// Identifies the question; another incarnation of this daemon doesn't reuse it.
    id: u64,
    /// When it was sent.
    at: Duration,
}

impl Freshness {
    /// Records that the version in force was the newest at this moment.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Records a peer's answer to the question `id`: the version in force there was confirmed to be
    /// the newest `age` before.
    pub fn confirm_from_answer(&mut self, id: u64, age: Duration) {
        let question = self.questions.iter().find(|question| question.id == id);
        if let Some(at) = question.and_then(|question| question.at.checked_sub(age)) {
            self.confirm(at);
        }
    }

    /// Returns the age of the confirmation.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}

impl State {
    /// Returns whether calls with the keys of the configuration in force may be served: it was
    /// confirmed to be the newest within the bound.
    #[must_use]
    pub fn can_trust_keys(&self, now: Duration) -> bool {
        let Some(max_age) = self.tuning.max_confirmation_age else { return true };
        self.freshness.age(now).is_some_and(|age| age < max_age)
    }

    /// Returns whether calls need keys and this daemon must know that none of them was revoked.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        self.tuning.max_confirmation_age.is_some() && self.routes.teams.is_some()
    }

    /// Returns whether the confirmation is so old that this daemon has to read the store, whatever
    /// peers report.
    #[must_use]
    pub fn is_confirmation_old(&self, now: Duration) -> bool {
        self.needs_confirmation() && self.freshness.age(now).is_none_or(|age| READ_AFTER_AGE <= age)
    }

    /// Returns when a peer has to be asked for a confirmation; `None` if this daemon reads the
    /// store itself.
    pub(crate) fn confirmation_due(&self) -> Option<Duration> {
        if !self.needs_confirmation() || !self.follow_state().follows {
            return None;
        }
        let old = self.freshness.confirmed_at? + ASK_AFTER_AGE;
        let last = self.freshness.questions.back();
        let again = last.map_or(Duration::ZERO, |question| question.at + ASK_AGAIN_AFTER);
        Some(old.max(again))
    }

    /// Returns the peer to ask for a confirmation now and the id of the question, and records the
    /// question. The watchers of the store are asked in turn.
    pub(crate) fn next_confirmation_request(&mut self, now: Duration) -> Option<(SocketAddr, u64)> {
        let watching = self.peers.known.iter().filter(|(_, peer)| peer.watching && !peer.leaving);
        let mut watching: Vec<_> =
            watching.filter(|(_, peer)| peer.is_reached(now)).map(|(at, _)| *at).collect();
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
