//! The outcome of a read.

use std::{cmp::Ordering, time::Duration};

use super::Reader;
use crate::reading::{ReadEffect, ReadOutcome, limits::BATCH_PAUSE, pending::PendingRead};

impl Reader {
    pub(super) fn handle_outcome(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        era: Option<u64>,
        outcome: ReadOutcome,
        effects: &mut Vec<ReadEffect>,
    ) {
        match self.compare_era(era) {
            Ordering::Less => return self.handle_older_era(now, pending, era, effects),
            Ordering::Equal => self.era = self.era.or(era),
            Ordering::Greater => {
                let is_first_page = pending.is_page && self.page_token.is_empty();
                self.enter_era(now, era, effects);
                match outcome {
                    // The answer is the first page of all records as they are now.
                    ReadOutcome::Answer { .. } if is_first_page => {}
                    ReadOutcome::Failed(error) => {
                        return self.record_failure(now, pending, &error, effects);
                    }
                    _ => return,
                }
            }
        }
        self.older_era_since = None;
        match outcome {
            ReadOutcome::Answer { store_revision, changed, next_page, bytes } => {
                self.record_success(now, pending, bytes, effects);
                if pending.is_page {
                    self.handle_page(now, store_revision, next_page, bytes);
                } else {
                    self.handle_changes(now, pending, store_revision, changed, effects);
                }
            }
            ReadOutcome::HistoryGone => self.restart_full_read(now, "history_gone", effects),
            ReadOutcome::TooLong if !self.revision.is_none() => {
                self.restart_full_read(now, "too_long", effects);
            }
            ReadOutcome::TooLong => self.record_failure(now, pending, "too long", effects),
            ReadOutcome::Failed(error) => self.record_failure(now, pending, &error, effects),
        }
    }

    pub(super) fn handle_changes(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        store: u64,
        changed: bool,
        effects: &mut Vec<ReadEffect>,
    ) {
        let store = self.revision_in_era(store);
        // Within an era the store's revision only rises, and an answer is at least as new as the
        // start of the read.
        if store < pending.latest_change {
            self.missing_revision = pending.latest_change;
            effects.push(ReadEffect::RevisionNotFound(pending.latest_change));
        }
        self.revision = store;
        self.earliest_start = if changed { now + BATCH_PAUSE } else { now };
    }
}
