//! The store comes back from a copy of itself: what an answer's era means.

use std::{cmp::Ordering, time::Duration};

use super::Reader;
use crate::{
    reading::{ReadEffect, ReadId, limits::OLDER_ERA_TIMEOUT, pending::PendingRead},
    topic::Revision,
};

impl Reader {
    /// The era in which an answer counts; `None` if it doesn't.
    ///
    /// An answer of an older era is late, or of a store that is behind: what it says is over. One of a
    /// newer era counts when it is the beginning of everything: changes after a revision of the era before
    /// leave out what the store gave the same numbers to.
    pub fn accepted_era(&self, read: ReadId, era: Option<u64>) -> Option<u64> {
        let pending =
            self.pending.iter().find(|pending| pending.id == read && !self.is_history_replaced)?;
        match self.compare_era(era) {
            Ordering::Less => None,
            Ordering::Equal => Some(self.era.or(era).unwrap_or_default()),
            Ordering::Greater => era.filter(|_| pending.is_page && self.page_token.is_empty()),
        }
    }

    /// An answer's era against the known one. An answer that doesn't say its era says nothing about it.
    pub(super) fn compare_era(&self, era: Option<u64>) -> Ordering {
        let Some(era) = era else { return Ordering::Equal };
        match self.era {
            Some(known) => era.cmp(&known),
            None if self.revision.is_none() => Ordering::Equal,
            None => Ordering::Greater,
        }
    }

    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// The other reader has seen another era: what is known of this topic is of the history before.
    pub fn handle_other_era(&mut self, now: Duration, era: u64) {
        self.era = Some(era);
        self.is_history_replaced = !self.pending.is_empty();
        self.schedule_full_read(now);
    }

    /// A revision of the known era.
    pub(super) fn revision_in_era(&self, number: u64) -> Revision {
        Revision { era: self.era.unwrap_or_default(), number }
    }

    /// The store has come back from a copy.
    pub(super) fn enter_era(
        &mut self,
        now: Duration,
        era: Option<u64>,
        effects: &mut Vec<ReadEffect>,
    ) {
        let line = self.log_line("store_era").with("era", era.unwrap_or_default());
        effects.push(ReadEffect::Log(
            line.with("before", self.era.unwrap_or_default()).with("after", self.revision),
        ));
        self.era = era;
        self.older_era_since = None;
        self.restart_full_read(now, "era", effects);
    }

    /// An answer of an era that is over, by what is known. A late one is over soon; when nothing else
    /// comes for longer than any answer is waited for, the known era was wrong: a damaged header would
    /// otherwise keep this daemon from the store for good. The wait keeps a daemon between two stores of
    /// different eras from reading everything again with each answer.
    pub(super) fn handle_older_era(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        era: Option<u64>,
        effects: &mut Vec<ReadEffect>,
    ) {
        let since = *self.older_era_since.get_or_insert(now);
        if now < since + OLDER_ERA_TIMEOUT {
            return self.record_failure(now, pending, "older era", effects);
        }
        self.enter_era(now, era, effects);
    }
}
