//! Reads the configuration and the list of endpoints from the platform's store: starts the reads
//! that `basilbank_forward::reading` decides on, and reports their progress and outcome to it.

use std::{
    future::poll_fn,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use basilbank_forward::prelude::*;
use tokio::time::{Instant, sleep};

use crate::{
    metrics::Sender,
    progress::Progress,
    router::Router,
    sent_bytes::SentPurpose,
    source::{ReadError, ReadFuture, Reading, Source},
    unusable::{UnusableRecord, UnusableRecordLog},
};

/// Time to handle data that has reached this process but was not processed yet. After a pause of
/// the process, timeouts have passed while the answer waits in the socket; without this time the
/// process would read again what it has already received.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Reads a topic until the task is dropped.
pub async fn run(router: Rc<Router>, topic: Topic, source: Source) {
    let mut reader = TopicReader {
        router,
        topic,
        source,
        pending: Vec::new(),
        pages: Reading::default(),
        unusable: UnusableRecordLog::default(),
        is_newest_unusable: false,
    };
    reader.step(ReadEvent::Tick);
    loop {
        match reader.next_ended().await {
            Some(ended) => reader.handle_ended(ended),
            None => reader.step(ReadEvent::Tick),
        }
    }
}

impl Router {
    /// Counts the bytes that a read has sent to the store.
    pub(crate) fn count_store_request(&self, progress: &Progress) {
        if progress.sent() != 0 {
            self.metrics.sent_bytes.count(SentPurpose::Store, 0, progress.sent());
        }
    }
}

struct TopicReader {
    router: Rc<Router>,
    topic: Topic,
    source: Source,
    pending: Vec<PendingRead>,
    /// Pages of the current full read that were received so far.
    pages: Reading,
    /// Unusable records.
    unusable: UnusableRecordLog,
    /// Whether the newest configuration can't be used, so that the one in force isn't the newest.
    is_newest_unusable: bool,
}

/// An open read.
struct PendingRead {
    id: ReadId,
    read: ReadFuture,
    progress: Progress,
    /// When the read was started.
    started_at: Duration,
    /// The last progress that was reported to the reducer.
    reported_progress: Option<Instant>,
    is_page: bool,
}

/// A read that ended.
struct EndedRead {
    pending: PendingRead,
    result: Result<Reading, ReadError>,
}

impl TopicReader {
    /// Waits for the next answer, or until the open reads have to be checked.
    async fn next_ended(&mut self) -> Option<EndedRead> {
        let (router, topic) = (Rc::clone(&self.router), self.topic);
        let pause = router.reader_pause(topic);
        let settle = if self.pending.is_empty() { Duration::ZERO } else { SETTLE_TIME };
        let due = async {
            sleep(pause).await;
            // Starts after the first sleep, so that it also applies after a pause of the process.
            sleep(settle).await;
        };
        tokio::select! {
            biased;
            ended = poll_fn(|context| self.poll(context)) => Some(ended),
            () = due => None,
            () = router.wait_for_wakeup(topic) => None,
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<EndedRead> {
        for index in 0..self.pending.len() {
            if let Poll::Ready(result) = self.pending[index].read.as_mut().poll(context) {
                return Poll::Ready(EndedRead { pending: self.pending.remove(index), result });
            }
        }
        Poll::Pending
    }

    /// Passes an event to the reducer of reads, and runs the effects.
    fn step(&mut self, event: ReadEvent) {
        let mut effects = Vec::new();
        for pending in &mut self.pending {
            let last_progress = pending.progress.last_progress();
            if pending.reported_progress != last_progress {
                pending.reported_progress = last_progress;
                let ago = last_progress.map_or(Duration::ZERO, |at| at.elapsed());
                let at = self.router.now().saturating_sub(ago);
                let event =
                    ReadEvent::Progress { read: pending.id, at, bytes: pending.progress.bytes() };
                self.router.step_reader(self.topic, event, &mut effects);
            }
        }
        self.router.step_reader(self.topic, event, &mut effects);
        for effect in effects {
            self.run_effect(effect);
        }
    }

    fn run_effect(&mut self, effect: ReadEffect) {
        match effect {
            ReadEffect::Start(id, query) => {
                self.router.metrics.count_store_read(self.topic, query.reason);
                let is_page = matches!(query.scope, Scope::Page { .. });
                if query.scope == (Scope::Page { page_token: String::new() }) {
                    self.pages = Reading::default();
                }
                let progress = Progress::default();
                let read = (self.source)(query, progress.clone());
                let started_at = self.router.now();
                self.pending.push(PendingRead {
                    id,
                    read,
                    progress,
                    started_at,
                    reported_progress: None,
                    is_page,
                });
            }
            ReadEffect::Close { read, timed_out } => {
                self.router.metrics.count_store_call(if timed_out { "failed" } else { "dropped" });
                self.pending.extract_if(.., |pending| pending.id == read).for_each(|pending| {
                    self.router.count_store_request(&pending.progress);
                });
            }
            ReadEffect::StoreLost => self.router.dispatch(match self.topic {
                Topic::Routes => Event::RoutesReadFailed,
                Topic::Endpoints => Event::EndpointsReadFailed,
            }),
            ReadEffect::RevisionNotFound(revision) => {
                self.router.dispatch(Event::RevisionNotFound { topic: self.topic, revision });
            }
            ReadEffect::Log(entry) => self.router.log(&entry),
        }
    }

    fn handle_ended(&mut self, EndedRead { pending, result }: EndedRead) {
        self.router.count_store_request(&pending.progress);
        self.router.metrics.count_unread(Sender::Store, pending.progress.unread());
        let outcome = match result {
            Ok(reading) => {
                let era = self.router.accepted_era(self.topic, pending.id, pending.progress.era());
                self.router.metrics.count_store_call(if era.is_some() {
                    "read"
                } else {
                    "other_era"
                });
                self.handle_reading(&pending, reading, era)
            }
            Err(error) => {
                self.router.metrics.count_store_call(error.as_str());
                match error {
                    ReadError::HistoryGone => ReadOutcome::HistoryGone,
                    ReadError::TooLong => ReadOutcome::TooLong,
                    ReadError::Failed(error) => ReadOutcome::Failed(error),
                }
            }
        };
        let era = pending.progress.era();
        self.step(ReadEvent::Ended { read: pending.id, era, outcome });
    }

    /// Applies an answer if it is used in an era of the store.
    fn handle_reading(
        &mut self,
        pending: &PendingRead,
        mut reading: Reading,
        era: Option<u64>,
    ) -> ReadOutcome {
        self.router.metrics.count_unread(Sender::Store, std::mem::take(&mut reading.unread));
        let unusable = std::mem::take(&mut reading.unusable);
        self.report_unusable(&unusable);
        let outcome = ReadOutcome::Answer {
            store_revision: reading.revisions.store.number,
            // An unusable change counts as a change: it costs the same.
            changed: !reading.revisions.latest_change.is_none() || !unusable.is_empty(),
            next_page: reading.next_page.clone(),
            bytes: pending.progress.bytes(),
        };
        let Some(era) = era else { return outcome };
        reading.revisions = reading.revisions.with_era(era);
        if pending.is_page {
            self.pages.append(reading);
            if self.pages.next_page.is_some() {
                return outcome;
            }
            reading = std::mem::take(&mut self.pages);
        }
        if let Some(line) = self.unusable.finish_read() {
            log::warn!("{}", line.with("topic", self.topic.as_str()));
        }
        let Reading { revisions, table, endpoints, removed, replaced, .. } = reading;
        let replaced: Vec<_> = replaced.into_iter().filter_map(|(_, record)| record).collect();
        if !replaced.is_empty() {
            self.router.dispatch(Event::RecordsReplaced(replaced));
        }
        self.is_newest_unusable =
            table.is_none() && (self.is_newest_unusable || !unusable.is_empty());
        self.router.dispatch(match self.topic {
            Topic::Routes => Event::RoutesRead { revisions, table: table.map(Arc::new) },
            Topic::Endpoints if pending.is_page => {
                Event::EndpointsRead { revisions, list: endpoints }
            }
            Topic::Endpoints => Event::EndpointsChanged { revisions, updated: endpoints, removed },
        });
        if self.topic == Topic::Routes && !self.is_newest_unusable {
            self.router.dispatch(Event::RoutesConfirmed { asked_at: pending.started_at });
        }
        outcome
    }

    /// Counts and logs unusable records.
    fn report_unusable(&mut self, records: &[UnusableRecord]) {
        for record in records {
            if !self.unusable.is_new(record) {
                continue;
            }
            self.router.metrics.count_unusable_record(record.reason);
            if let Some(line) = self.unusable.log_line(record) {
                log::warn!("{}", line.with("topic", self.topic.as_str()));
            }
        }
    }
}
