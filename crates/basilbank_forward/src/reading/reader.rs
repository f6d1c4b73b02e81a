//! The reader of one topic.

mod eras;
mod follow;
mod full_read;
mod outage;
mod outcome;
mod reports;
mod schedule;
mod start;

use std::time::Duration;

use super::{ReadEffect, ReadEvent, ReadOutcome, ReaderContext, pending::PendingRead};
use crate::{
    log_line::LogLine,
    topic::{Revision, Topic},
};

/// Reads one topic.
///
/// Each step does the same: it handles the event, then the changes reported by peers, closes reads
/// that timed out, and starts the next read if it is due.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Reader {
    topic: Topic,
    /// Changes are read after this revision; none if all records have to be read.
    revision: Revision,
    /// The store's era, once an answer has stated it.
    era: Option<u64>,
    /// Since when all answers are of an era before that one.
    older_era_since: Option<Duration>,
    /// Whether the open reads were started before the store was restored from a backup. Their
    /// answers, although of the new era, would lack the changes to which the store gave revisions
    /// that were already known.
    is_history_replaced: bool,
    /// Where the next page of a full read begins. If a page fails, only that page is read again:
    /// the more pages there are, the less likely it is that all of them succeed in one pass.
    page_token: String,
    /// The store's revision at the first page. Pages are not a snapshot: what has changed since the
    /// first page is read as changes.
    first_page_revision: u64,
    /// Size in bytes of the last full read.
    full_read_bytes: usize,
    /// Bytes of the pages read so far.
    pages_bytes: usize,
    /// Open reads, the oldest first.
    pending: Vec<PendingRead>,
    /// Number of reads started so far.
    read_count: u64,
    /// No read starts before this moment.
    earliest_start: Duration,
    /// When the last read was started.
    last_started: Duration,
    /// Consecutive failures, by an error or for lack of an answer.
    failures: u32,
    /// Consecutive failures by an error. Reads without an answer need no backoff, since they took
    /// their time.
    refusals: u32,
    /// Since when the store does not answer properly.
    lost_since: Option<Duration>,
    /// Whether the other topic can't be read.
    pub is_other_lost: bool,
    /// The newest change for which a peer's report has triggered a read.
    prompted_change: Revision,
    /// Whether the next read was moved forward by a peer's report or by trouble of the other
    /// reader. Lack of an answer until then is not an outage.
    is_early: bool,
    /// Whether peers' reports are ignored, because a read that such a report triggered has failed.
    /// Peers reach the store then and this daemon does not, which the next report won't change; a
    /// read for each report would only multiply refused calls.
    ignores_peers: bool,
    /// When the last full read ended.
    last_full_read: Option<Duration>,
    /// A change that peers reported and that does not exist, if any.
    missing_revision: Revision,
    /// Until this moment watches of the configuration are as short as those of the list.
    short_watches_until: Duration,
    /// Whether no reads are started because peers watch the topic. It ends when they report a
    /// change, or when the next poll is due.
    is_following: bool,
    /// Whether the next read follows such a time without reads.
    was_following: bool,
    /// The last count of watcher losses that was handled.
    watcher_losses: u32,
}

impl Reader {
    pub fn new(topic: Topic) -> Reader {
        Reader {
            topic,
            revision: Revision::NONE,
            era: None,
            older_era_since: None,
            is_history_replaced: false,
            page_token: String::new(),
            first_page_revision: 0,
            full_read_bytes: 0,
            pages_bytes: 0,
            pending: Vec::new(),
            read_count: 0,
            earliest_start: Duration::ZERO,
            last_started: Duration::ZERO,
            failures: 0,
            refusals: 0,
            lost_since: None,
            is_other_lost: false,
            prompted_change: Revision::NONE,
            is_early: false,
            ignores_peers: false,
            last_full_read: None,
            missing_revision: Revision::NONE,
            short_watches_until: Duration::ZERO,
            is_following: false,
            was_following: false,
            watcher_losses: 0,
        }
    }

    /// Handles an event. Returns whether a later read was answered with data that an earlier read
    /// should have returned as well: the earlier read's connection has died without a sign, and
    /// others may have.
    pub fn step(
        &mut self,
        now: Duration,
        mut context: ReaderContext,
        event: ReadEvent,
        effects: &mut Vec<ReadEffect>,
    ) -> bool {
        let mut connection_died = false;
        if std::mem::take(&mut self.is_history_replaced) {
            self.close_all(effects);
        }
        match event {
            ReadEvent::Tick => {}
            ReadEvent::Progress { read, at, bytes } => {
                if let Some(pending) = self.pending.iter_mut().find(|pending| pending.id == read) {
                    pending.record_progress(at, bytes);
                }
            }
            ReadEvent::Ended { read, era, outcome } => {
                if let Some(index) = self.pending.iter().position(|pending| pending.id == read) {
                    let pending = self.pending.remove(index);
                    let has_unanswered =
                        self.pending[..index].iter().any(|pending| !pending.has_begun);
                    let has_change = matches!(
                        outcome,
                        ReadOutcome::Answer { changed: true, .. } | ReadOutcome::HistoryGone
                    );
                    connection_died = has_unanswered && has_change;
                    self.handle_outcome(now, &pending, era, outcome, effects);
                }
            }
        }
        if context.latest_change == self.missing_revision {
            context.latest_change = Revision::NONE;
        }
        self.handle_latest_change(now, context.latest_change);
        self.resume_reading(now, context);
        self.close_timed_out(now, effects);
        self.start_if_due(now, context, effects);
        connection_died
    }

    fn close_all(&mut self, effects: &mut Vec<ReadEffect>) {
        let closed = self.pending.drain(..);
        effects
            .extend(closed.map(|pending| ReadEffect::Close { read: pending.id, timed_out: false }));
    }

    fn log_line(&self, name: &'static str) -> LogLine {
        LogLine::new(name).with("topic", self.topic.as_str())
    }
}
