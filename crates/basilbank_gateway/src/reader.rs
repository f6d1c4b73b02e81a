//! Reads the configuration and the list of endpoints from the platform's store.

use std::{rc::Rc, sync::Arc, time::Duration};

use basilbank::logs::Line;
use basilbank_forward::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    findings::{Finding, Findings},
    progress::{Patience, Progress, SETTLE},
    reading::{Query, ReadError, Reading, Scope, Source},
    router::Router,
};

/// Longest silence beyond what the store was asked to wait, at first; doubled after each failure.
const MARGIN: Duration = Duration::from_millis(700);

/// Longest such silence.
const MARGIN_MOST: Duration = Duration::from_millis(2800);

/// Pause after a read that had changes: they come in bursts, and each read is paid for.
const BATCH: Duration = Duration::from_millis(500);

/// How long a watch may be silent while a peer has seen a change, at first; doubled after each failure.
/// The answer usually begins within some milliseconds; a watch that is still silent then has a dead
/// connection, or the store is slow, and to ask it more often would never get its answer.
const BEHIND: Duration = Duration::from_millis(300);

/// First pause after a failure; doubled each time.
const BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after a failure: the store's return is noticed within it.
const BACKOFF_MOST: Duration = Duration::from_millis(800);

/// Longest wait for a connection at first, some round trips; doubled after each failure, since an
/// opening packet waits behind all that is under way on a slow link.
const CONNECT: Duration = Duration::from_millis(250);

/// Longest such wait.
const CONNECT_MOST: Duration = Duration::from_secs(1);

/// How long the configuration's reader lets the list's go first after the store was lost.
const LOST_MOST: Duration = Duration::from_secs(2);

/// Longest silence while everything is read, at first, doubled after each failure: a silent connection
/// is left soon, and a store that is slow, or busy with all daemons that restart at once, is not asked
/// again and again for what it was about to answer.
const PAGE: Duration = Duration::from_millis(600);

/// Longest such silence.
const PAGE_MOST: Duration = Duration::from_millis(4800);

/// Bytes of changes that are always taken: a twentieth of a second at ten megabits a second.
const CHANGES_LEAST: usize = 64 << 10;

/// Changes may be this many times as long as everything was. They bring each version that was written
/// meanwhile, so after a time without the store they are longer than all that is in force now, without
/// a bound: over a slow link they would take longer than their news is worth.
const CHANGES_PART: usize = 2;

/// Most bytes of an answer to a question for everything: a page holds about a megabyte, in base64.
const PAGE_BYTES: usize = 8 << 20;

/// Reads a topic until the task is dropped.
pub async fn run(router: Rc<Router>, topic: Topic, source: Source) {
    let mut reader = Reader {
        router,
        topic,
        source,
        after: 0,
        failures: 0,
        is_lost: false,
        pages: Reading::default(),
        whole: 0,
        just_read: false,
        findings: Findings::default(),
    };
    loop {
        let pause = reader.turn().await;
        sleep(pause).await;
    }
}

struct Reader {
    router: Rc<Router>,
    topic: Topic,
    source: Source,
    /// Changes are read after this revision; 0 when everything has to be read.
    after: u64,
    failures: u32,
    /// The store did not answer as it should, and has not since.
    is_lost: bool,
    /// Pages of everything that were read so far. A page that fails is asked for again, and none before
    /// it: the more there are, the less likely it is that all of them come in one go.
    pages: Reading,
    /// Bytes of everything.
    whole: usize,
    /// Everything was read, and no changes since.
    just_read: bool,
    /// Entries that can't be used.
    findings: Findings,
}

/// How a read ended.
enum Ended {
    /// With an answer, or without.
    Came(Result<Box<Reading>, ReadError>),
    /// A peer has seen a change for which it stayed silent.
    Overtaken,
    /// The list's reader lost the store while it was silent.
    Doubted,
}

impl Reader {
    fn next(&self) -> Query {
        let connect = self.grown(CONNECT, CONNECT_MOST);
        match self.after {
            0 => {
                let from = self.pages.next.clone().unwrap_or_default();
                Query { scope: Scope::Page { from }, connect, most: PAGE_BYTES }
            }
            after => {
                let wait = self.router.read_wait(self.topic);
                let most = self.whole.saturating_mul(CHANGES_PART).max(CHANGES_LEAST);
                Query { scope: Scope::Changes { after, wait }, connect, most }
            }
        }
    }

    /// A limit grows with each failure, so that something that is merely slow is met at last.
    fn grown(&self, first: Duration, most: Duration) -> Duration {
        first.saturating_mul(1 << self.failures.min(8)).min(most)
    }

    fn patience(&self, scope: &Scope) -> Patience {
        match scope {
            Scope::Page { .. } => {
                let page = self.grown(PAGE, PAGE_MOST);
                Patience { first: page, between: page }
            }
            Scope::Changes { wait, .. } => {
                let margin = self.grown(MARGIN, MARGIN_MOST);
                Patience { first: *wait + margin, between: margin }
            }
        }
    }

    /// One read; returns how long to pause.
    async fn turn(&mut self) -> Duration {
        self.regained().await;
        let begun = Instant::now();
        let query = self.next();
        let progress = Progress::default();
        let ended = self.read(&query, &progress).await;
        match ended {
            Ended::Came(Ok(reading)) => {
                self.router.metrics.store_call("read");
                self.took(&query.scope, *reading, progress.bytes())
            }
            Ended::Came(Err(ReadError::HistoryGone)) => self.read_all("history_gone"),
            Ended::Came(Err(ReadError::TooLong)) if self.after != 0 => self.read_all("too_long"),
            Ended::Came(Err(ReadError::TooLong)) => self.lost("too long", begun, &progress),
            Ended::Came(Err(ReadError::Failed(error))) => self.lost(&error, begun, &progress),
            Ended::Overtaken => {
                self.router.metrics.store_call("stale");
                log::info!("{}", self.line("store_watch_stale").with("after", self.after));
                self.failed()
            }
            Ended::Doubted => Duration::ZERO,
        }
    }

    async fn read(&self, query: &Query, progress: &Progress) -> Ended {
        let read = (self.source)(query.clone(), progress.clone());
        let silent = progress.silent(self.patience(&query.scope));
        if matches!(query.scope, Scope::Page { .. }) {
            return tokio::select! {
                read = read => Ended::Came(read.map(Box::new)),
                () = silent => no_answer(),
            };
        }
        tokio::select! {
            read = read => Ended::Came(read.map(Box::new)),
            () = silent => no_answer(),
            () = self.overtaken(progress) => Ended::Overtaken,
            () = self.doubted(progress) => Ended::Doubted,
        }
    }

    /// Waits until a peer has seen a change for which the watch stays silent.
    async fn overtaken(&self, progress: &Progress) {
        let grace = self.grown(BEHIND, MARGIN_MOST);
        loop {
            self.router.behind(self.topic, grace).await;
            sleep(SETTLE).await;
            let behind = self.router.read(|state| state.behind(self.topic));
            // An answer that has begun is on its way, however long it takes.
            if behind && !progress.has_begun() {
                return;
            }
        }
    }

    /// Waits until the list's reader loses the store while the watch is silent. That reader has news
    /// more often; when its connection went silent, this one's probably did, too.
    async fn doubted(&self, progress: &Progress) {
        let mut lost = self.router.lost();
        while lost.changed().await.is_ok() {
            let lost = *lost.borrow_and_update();
            if lost && self.topic == Topic::Routes && !progress.has_begun() {
                return;
            }
        }
    }

    /// Waits while the list of endpoints can't be read, but not for long: in an outage one reader is
    /// enough to notice that the store is back, and each call is paid for.
    async fn regained(&self) {
        if self.topic == Topic::Routes && self.after != 0 {
            let mut lost = self.router.lost();
            // Both ways out mean the same: it is time to read.
            let _ = timeout(LOST_MOST, lost.wait_for(|lost| !lost)).await;
        }
    }

    /// Changes can't be had, or cost more than they bring.
    fn read_all(&mut self, why: &'static str) -> Duration {
        self.router.metrics.store_call(why);
        let line = self.line("store_read_all").with("why", why).with("after", self.after);
        log::info!("{line}");
        self.after = 0;
        self.pages = Reading::default();
        // A store that drops its history all the time, or changes more than all that it holds, isn't
        // asked in a loop without a pause.
        if std::mem::take(&mut self.just_read) { BATCH } else { Duration::ZERO }
    }

    fn took(&mut self, scope: &Scope, mut reading: Reading, bytes: usize) -> Duration {
        if std::mem::take(&mut self.is_lost) {
            let line = self.line("store_regained").with("failures", self.failures);
            log::info!("{}", line.with("bytes", bytes));
        }
        self.failures = 0;
        if self.topic == Topic::Endpoints {
            self.router.set_lost(false);
        }
        let findings = std::mem::take(&mut reading.findings);
        self.tell(&findings);
        let is_page = matches!(scope, Scope::Page { .. });
        if is_page {
            self.whole = if self.pages.next.is_some() { self.whole + bytes } else { bytes };
            self.pages.append(reading);
            if self.pages.next.is_some() {
                return Duration::ZERO;
            }
            reading = std::mem::take(&mut self.pages);
        }
        self.just_read = is_page;
        if let Some(line) = self.findings.end() {
            log::warn!("{}", line.with("topic", self.topic.as_str()));
        }
        // A change that can't be used is one, too: it costs the same.
        let changed = !is_page && (reading.at.newest != 0 || !findings.is_empty());
        self.after = reading.at.store;
        let Reading { at: read, table, listed, gone, .. } = reading;
        self.router.dispatch(match self.topic {
            Topic::Routes => Event::Routes { read, table: table.map(Arc::new) },
            Topic::Endpoints if is_page => Event::Endpoints { read, list: listed },
            Topic::Endpoints => Event::Changed { read, listed, gone },
        });
        if changed { BATCH } else { Duration::ZERO }
    }

    /// Counts and tells what can't be used.
    fn tell(&mut self, findings: &[Finding]) {
        for finding in findings {
            if !self.findings.is_new(finding) {
                continue;
            }
            self.router.metrics.unusable_entry(finding.reason);
            if let Some(line) = self.findings.line(finding) {
                log::warn!("{}", line.with("topic", self.topic.as_str()));
            }
        }
    }

    /// The store did not answer as it should.
    fn lost(&mut self, error: &str, begun: Instant, progress: &Progress) -> Duration {
        self.router.metrics.store_call("failed");
        if !std::mem::replace(&mut self.is_lost, true) {
            let line = self.line("store_lost").with("error", error);
            let line = line.with_ms("took_ms", begun.elapsed()).with("bytes", progress.bytes());
            log::warn!("{line}");
        }
        if self.topic == Topic::Endpoints {
            self.router.dispatch(Event::StoreLost);
            self.router.set_lost(true);
        }
        self.failed()
    }

    /// A watch that was overtaken counts here alone: the store was not away, a peer has just read it,
    /// and entries that went meanwhile are gone.
    fn failed(&mut self) -> Duration {
        self.failures += 1;
        BACKOFF.saturating_mul(1 << self.failures.min(6)).min(BACKOFF_MOST)
    }

    fn line(&self, event: &'static str) -> Line {
        Line::new(event).with("topic", self.topic.as_str())
    }
}

fn no_answer() -> Ended {
    Ended::Came(Err(ReadError::Failed("no answer in time".to_owned())))
}
