//! Eras of the store: it enters a new one when it is restored from a backup.

use std::{cmp::Ordering, time::Duration};

use super::Reader;
use crate::{
    reading::{ReadEffect, ReadId, limits::OLDER_ERA_TIMEOUT, pending::PendingRead},
    topic::Revision,
};

impl Reader {
    /// Returns the era in which an answer is used; `None` if the answer is discarded.
    ///
    /// An answer of an older era is late, or comes from a store that lags behind: its content is
    /// obsolete. An answer of a newer era is used if it is the first page of a full read: changes
    /// after a revision of the previous era would lack those to which the store gave the same
    /// revisions again.
    pub fn accepted_era(&self, read: ReadId, era: Option<u64>) -> Option<u64> {
        let pending =
            self.pending.iter().find(|pending| pending.id == read && !self.is_history_replaced)?;
        match self.compare_era(era) {
            Ordering::Less => None,
            Ordering::Equal => Some(self.era.or(era).unwrap_or_default()),
            Ordering::Greater => era.filter(|_| pending.is_page && self.page_token.is_empty()),
        }
    }

    /// Compares an answer's era with the known one. An answer that doesn't state its era counts as
    /// equal.
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

    /// Handles another era that the other reader has seen: what is known of this topic belongs to
    /// the history before.
    pub fn handle_other_era(&mut self, now: Duration, era: u64) {
        self.era = Some(era);
        self.is_history_replaced = !self.pending.is_empty();
        self.schedule_full_read(now);
    }

    /// Returns a revision of the known era.
    pub(super) fn revision_in_era(&self, number: u64) -> Revision {
        Revision { era: self.era.unwrap_or_default(), number }
    }

    /// Enters a new era: the store was restored from a backup.
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

    /// Handles an answer of an era that is over as far as is known. Late answers stop soon. If no
    /// other answers come for longer than any read waits, the known era was wrong: a damaged header
    /// would otherwise keep this daemon from the store for good. The wait keeps a daemon that
    /// reaches two stores of different eras from a full read at each answer.
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
