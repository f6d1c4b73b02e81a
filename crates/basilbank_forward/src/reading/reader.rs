//! The reader of one topic.

mod eras;
mod follow;

use std::{cmp::Ordering, time::Duration};

use super::{
    Query, ReadEffect, ReadEvent, ReadId, ReadOutcome, ReadReason, ReaderContext, Scope,
    limits::{
        BATCH_PAUSE, FOLLOWER_BATCH_PAUSE, HEDGE_DELAY, MAX_CHANGES_FACTOR, MAX_PAGE_BYTES,
        MIN_CHANGES_BYTES, MIN_ROUTES_RETRY_INTERVAL, READ_TIMEOUT, ROUTES_WAIT_FACTOR,
        SHORT_WATCH_PERIOD, STALE_HEDGE_DELAY, backoff, hedge_interval,
    },
    pending::PendingRead,
};
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

    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    pub fn lost_since(&self) -> Option<Duration> {
        self.lost_since
    }

    pub fn wake_at(&self) -> Duration {
        let close_times = self.pending.iter().map(|pending| pending.close_at);
        close_times.fold(self.next_start(), Duration::min)
    }

    /// Reacts to the other reader's connection, which has stopped answering or has died.
    pub fn suspect_connection(&mut self, now: Duration) {
        self.short_watches_until = now + SHORT_WATCH_PERIOD;
        if !self.pending.is_empty() && !self.is_lost() {
            self.start_earlier(now);
        }
    }

    /// Returns when the next read starts.
    fn next_start(&self) -> Duration {
        if self.is_history_replaced {
            return self.earliest_start;
        }
        // Open reads get their time to answer first.
        let hedge_at = self.pending.iter().map(|pending| pending.hedge_at).max();
        let start =
            hedge_at.map_or(self.earliest_start, |hedge_at| hedge_at.max(self.earliest_start));
        let is_throttled =
            self.is_other_lost && self.topic == Topic::Routes && !self.revision.is_none();
        match is_throttled && self.failures != 0 && !self.is_early {
            true => start.max(self.last_started + MIN_ROUTES_RETRY_INTERVAL),
            false => start,
        }
    }

    /// Moves the next read forward.
    fn start_earlier(&mut self, at: Duration) {
        for pending in &mut self.pending {
            pending.hedge_earlier(at);
        }
        self.is_early = true;
        self.earliest_start =
            self.earliest_start.min(at.max(self.last_started + STALE_HEDGE_DELAY));
    }

    /// Handles a change that a peer has seen and this daemon has not: if a read gets no answer, its
    /// connection may be dead; if the store was lost, it may be back.
    fn handle_latest_change(&mut self, now: Duration, latest_change: Revision) {
        let known = self.revision.max(self.prompted_change);
        // An answer is arriving, or the previous report triggered a read that has no answer yet: if
        // versions follow each other quickly, each report would move the next read forward.
        let is_waiting =
            self.pending.iter().any(|pending| pending.is_prompted || pending.is_arriving(now));
        if self.revision.is_none() || latest_change <= known || self.ignores_peers || is_waiting {
            return;
        }
        // In the pause after a read nothing is open, and the next read is due soon.
        if self.pending.is_empty() && !self.is_lost() {
            if self.is_following {
                self.earliest_start =
                    self.earliest_start.min(now.max(self.last_started + FOLLOWER_BATCH_PAUSE));
            }
            return;
        }
        self.prompted_change = latest_change;
        self.start_earlier(if self.is_lost() { now } else { now + STALE_HEDGE_DELAY });
    }

    /// Closes reads that got no answer for too long.
    fn close_timed_out(&mut self, now: Duration, effects: &mut Vec<ReadEffect>) {
        let closed = self.pending.extract_if(.., |pending| pending.close_at <= now);
        effects
            .extend(closed.map(|pending| ReadEffect::Close { read: pending.id, timed_out: true }));
    }

    fn start_if_due(
        &mut self,
        now: Duration,
        context: ReaderContext,
        effects: &mut Vec<ReadEffect>,
    ) {
        if now < self.next_start() {
            return;
        }
        if self.follow_watchers(now, context) {
            return;
        }
        let is_early = std::mem::take(&mut self.is_early);
        if let Some(oldest) = self.pending.first().cloned() {
            if is_early && !self.is_lost() {
                let line = self.log_line("store_watch_stale").with("after", self.revision);
                effects.push(ReadEffect::Log(line));
            } else if !is_early {
                self.ignores_peers |= self.pending.iter().any(|pending| pending.is_prompted);
                self.mark_lost(now, &oldest, "no answer in time", effects);
            }
            self.failures += 1;
        }
        self.start(now, context, is_early, effects);
    }

    fn start(
        &mut self,
        now: Duration,
        context: ReaderContext,
        is_prompted: bool,
        effects: &mut Vec<ReadEffect>,
    ) {
        let reason = self.reason(context);
        let after = self.revision.number;
        let scope = match reason {
            ReadReason::Full => Scope::Page { page_token: self.page_token.clone() },
            // After a failure the store must not wait for a change: its answer shows that it is
            // back. If there is a change to read, lack of an answer is conclusive at once.
            ReadReason::Failure | ReadReason::Change | ReadReason::Poll => {
                Scope::Changes { after, wait: Duration::ZERO }
            }
            ReadReason::Watch => Scope::Changes { after, wait: self.watch_wait(now, context) },
        };
        let (wait, max_bytes) = match scope {
            Scope::Page { .. } => (Duration::ZERO, MAX_PAGE_BYTES),
            Scope::Changes { wait, .. } => (
                wait,
                self.full_read_bytes.saturating_mul(MAX_CHANGES_FACTOR).max(MIN_CHANGES_BYTES),
            ),
        };
        let margin =
            if wait.is_zero() { hedge_interval(context.peers_in_contact) } else { HEDGE_DELAY };
        let hedge_delay = wait + margin;
        let id = ReadId(self.read_count);
        self.read_count += 1;
        self.last_started = now;
        self.pending.push(PendingRead {
            id,
            started_at: now,
            hedge_at: now + hedge_delay,
            close_at: now + hedge_delay + READ_TIMEOUT,
            has_begun: false,
            bytes: 0,
            is_page: matches!(scope, Scope::Page { .. }),
            is_prompted,
            latest_change: context.latest_change,
        });
        // A hedged read starts long before the connection attempt is given up.
        effects.push(ReadEffect::Start(
            id,
            Query { scope, reason, connect_timeout: READ_TIMEOUT, max_bytes },
        ));
    }

    fn reason(&self, context: ReaderContext) -> ReadReason {
        match self.revision {
            after if after.is_none() => ReadReason::Full,
            _ if self.failures != 0 => ReadReason::Failure,
            after if after < context.latest_change => ReadReason::Change,
            // The connection was idle for long. If it died meanwhile, a watch would show that only
            // at its end.
            _ if context.is_follower || self.was_following => ReadReason::Poll,
            _ => ReadReason::Watch,
        }
    }

    /// Returns how long a watch lets the store wait.
    fn watch_wait(&self, now: Duration, context: ReaderContext) -> Duration {
        let longer =
            self.topic == Topic::Routes && context.is_shared && self.short_watches_until <= now;
        let wait = if longer {
            context.watch_wait.saturating_mul(ROUTES_WAIT_FACTOR)
        } else {
            context.watch_wait
        };
        wait.min(context.max_wait)
    }

    fn handle_outcome(
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

    fn record_success(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        bytes: usize,
        effects: &mut Vec<ReadEffect>,
    ) {
        self.close_all(effects);
        if let Some(lost) = self.lost_since.take() {
            let line = self.log_line("store_regained").with("failures", self.failures);
            let line = line
                .with("bytes", bytes)
                .with_ms("took_ms", now.saturating_sub(pending.started_at));
            let line = line.with_ms("lost_ms", now.saturating_sub(lost));
            effects.push(ReadEffect::Log(line));
        }
        // At the start there are no failures, just nothing to read yet.
        if self.failures != 0 && !self.revision.is_none() {
            self.short_watches_until = now + SHORT_WATCH_PERIOD;
        }
        (self.failures, self.refusals) = (0, 0);
        self.prompted_change = Revision::NONE;
        self.ignores_peers = false;
        self.is_early = false;
        self.earliest_start = now;
    }

    fn handle_page(&mut self, now: Duration, store: u64, next: Option<String>, bytes: usize) {
        if self.page_token.is_empty() {
            (self.first_page_revision, self.pages_bytes) = (store, 0);
        }
        self.pages_bytes += bytes;
        if let Some(next) = next {
            self.page_token = next;
            return;
        }
        self.page_token.clear();
        self.full_read_bytes = self.pages_bytes;
        self.revision = self.revision_in_era(self.first_page_revision);
        self.last_full_read = Some(now);
        self.earliest_start = now;
    }

    fn handle_changes(
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

    /// Starts over with a full read: changes are unavailable, or larger than they are worth.
    fn restart_full_read(
        &mut self,
        now: Duration,
        reason: &'static str,
        effects: &mut Vec<ReadEffect>,
    ) {
        let line = self.log_line("store_read_all").with("why", reason).with("after", self.revision);
        effects.push(ReadEffect::Log(line));
        self.close_all(effects);
        self.schedule_full_read(now);
    }

    /// Schedules a full read.
    fn schedule_full_read(&mut self, now: Duration) {
        self.revision = Revision::NONE;
        self.page_token.clear();
        // Without this pause a store that drops its history all the time, or that changes more than
        // all its records together, would be read in a tight loop.
        self.earliest_start = self.last_full_read.map_or(now, |read| now.max(read + BATCH_PAUSE));
    }

    fn record_failure(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        error: &str,
        effects: &mut Vec<ReadEffect>,
    ) {
        self.ignores_peers |= pending.is_prompted;
        self.is_early = false;
        self.mark_lost(now, pending, error, effects);
        self.failures += 1;
        // Connections that can't be made fail one after the other, long after they were started: if
        // each led to a pause, the pauses would follow each other without a read between them.
        if pending.started_at == self.last_started {
            self.refusals += 1;
            self.earliest_start = now + backoff(self.refusals);
        }
    }

    fn mark_lost(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        error: &str,
        effects: &mut Vec<ReadEffect>,
    ) {
        if self.is_lost() {
            return;
        }
        self.lost_since = Some(now);
        let line = self.log_line("store_lost").with("error", error);
        let line = line.with_ms("took_ms", now.saturating_sub(pending.started_at));
        effects.push(ReadEffect::Log(line.with("bytes", pending.bytes)));
        effects.push(ReadEffect::StoreLost);
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
