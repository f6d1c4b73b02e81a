//! Reads the configuration and the list of endpoints from the platform's store: asks what
//! `basilbank_forward::reading` decides, and tells it what comes.

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
    findings::{Finding, Findings},
    progress::Progress,
    reading::{Read, ReadError, Reading, Source},
    router::Router,
};

/// Given to what has reached this process and was not taken in yet. A process that stood still finds
/// its limits passed and the answer in its sockets; without this it would ask again for what is there.
const SETTLE: Duration = Duration::from_millis(20);

/// Reads a topic until the task is dropped.
pub async fn run(router: Rc<Router>, topic: Topic, source: Source) {
    let mut reader = Reader {
        router,
        topic,
        source,
        open: Vec::new(),
        pages: Reading::default(),
        findings: Findings::default(),
        outrun: false,
    };
    reader.step(ReadEvent::Tick);
    loop {
        match reader.next().await {
            Some(ended) => reader.ended(ended),
            None => reader.step(ReadEvent::Tick),
        }
    }
}

struct Reader {
    router: Rc<Router>,
    topic: Topic,
    source: Source,
    open: Vec<Open>,
    /// Pages of everything that were read so far.
    pages: Reading,
    /// Entries that can't be used.
    findings: Findings,
    /// The newest configuration can't be used, so the one in force isn't the newest.
    outrun: bool,
}

/// A question that is open.
struct Open {
    id: ReadId,
    read: Read,
    progress: Progress,
    /// When it went out.
    asked: Duration,
    /// The progress that was told.
    told: Option<Instant>,
    is_page: bool,
}

/// A question that came to its end.
struct Ended {
    open: Open,
    read: Result<Reading, ReadError>,
}

impl Reader {
    /// Waits for the next answer, or until it is time to look at the questions that are open.
    async fn next(&mut self) -> Option<Ended> {
        let (router, topic) = (Rc::clone(&self.router), self.topic);
        let pause = router.read_pause(topic);
        let settle = if self.open.is_empty() { Duration::ZERO } else { SETTLE };
        let due = async {
            sleep(pause).await;
            // Counted from here: a process that stood still gets it, too.
            sleep(settle).await;
        };
        tokio::select! {
            biased;
            ended = poll_fn(|context| self.poll(context)) => Some(ended),
            () = due => None,
            () = router.read_nudge(topic) => None,
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Ended> {
        for index in 0..self.open.len() {
            if let Poll::Ready(read) = self.open[index].read.as_mut().poll(context) {
                return Poll::Ready(Ended { open: self.open.remove(index), read });
            }
        }
        Poll::Pending
    }

    /// Tells the decisions what happened, and does what they say.
    fn step(&mut self, event: ReadEvent) {
        let mut effects = Vec::new();
        for open in &mut self.open {
            let got_on = open.progress.got_on();
            if open.told != got_on {
                open.told = got_on;
                let ago = got_on.map_or(Duration::ZERO, |at| at.elapsed());
                let at = self.router.now().saturating_sub(ago);
                let event = ReadEvent::GotOn { read: open.id, at, bytes: open.progress.bytes() };
                self.router.step_reader(self.topic, event, &mut effects);
            }
        }
        self.router.step_reader(self.topic, event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: ReadEffect) {
        match effect {
            ReadEffect::Ask(id, query) => {
                self.router.metrics.store_asked(self.topic, query.why);
                let is_page = matches!(query.scope, Scope::Page { .. });
                if query.scope == (Scope::Page { from: String::new() }) {
                    self.pages = Reading::default();
                }
                let progress = Progress::default();
                let read = (self.source)(query, progress.clone());
                let asked = self.router.now();
                self.open.push(Open { id, read, progress, asked, told: None, is_page });
            }
            ReadEffect::Drop { read, silent } => {
                self.router.metrics.store_call(if silent { "failed" } else { "dropped" });
                self.open.retain(|open| open.id != read);
            }
            ReadEffect::Lost if self.topic == Topic::Endpoints => {
                self.router.dispatch(Event::EndpointsReadFailed);
            }
            ReadEffect::Lost => {}
            ReadEffect::Disproved(revision) => {
                self.router.dispatch(Event::RevisionNotFound { topic: self.topic, revision });
            }
            ReadEffect::Note(note) => self.router.log(&note),
        }
    }

    fn ended(&mut self, Ended { open, read }: Ended) {
        let came = match read {
            Ok(reading) => {
                let era = self.router.reading_counts(self.topic, open.id, open.progress.era());
                self.router.metrics.store_call(if era.is_some() { "read" } else { "other_era" });
                self.took(&open, reading, era)
            }
            Err(error) => {
                self.router.metrics.store_call(error.as_str());
                match error {
                    ReadError::HistoryGone => Came::HistoryGone,
                    ReadError::TooLong => Came::TooLong,
                    ReadError::Failed(error) => Came::Failed(error),
                }
            }
        };
        let era = open.progress.era();
        self.step(ReadEvent::Came { read: open.id, era, came });
    }

    /// Takes an answer in, if it counts in an era of the store.
    fn took(&mut self, open: &Open, mut reading: Reading, era: Option<u64>) -> Came {
        let findings = std::mem::take(&mut reading.findings);
        self.tell(&findings);
        let came = Came::Answer {
            store: reading.at.store.number,
            // A change that can't be used is one, too: it costs the same.
            changed: !reading.at.latest_change.is_none() || !findings.is_empty(),
            next: reading.next.clone(),
            bytes: open.progress.bytes(),
        };
        let Some(era) = era else { return came };
        reading.at = reading.at.with_era(era);
        if open.is_page {
            self.pages.append(reading);
            if self.pages.next.is_some() {
                return came;
            }
            reading = std::mem::take(&mut self.pages);
        }
        if let Some(line) = self.findings.end() {
            log::warn!("{}", line.with("topic", self.topic.as_str()));
        }
        let Reading { at: read, table, listed, gone, .. } = reading;
        self.outrun = table.is_none() && (self.outrun || !findings.is_empty());
        self.router.dispatch(match self.topic {
            Topic::Routes => Event::RoutesRead { revisions: read, table: table.map(Arc::new) },
            Topic::Endpoints if open.is_page => {
                Event::EndpointsRead { revisions: read, list: listed }
            }
            Topic::Endpoints => {
                Event::EndpointsChanged { revisions: read, updated: listed, removed: gone }
            }
        });
        if self.topic == Topic::Routes && !self.outrun {
            self.router.dispatch(Event::RoutesConfirmed { asked_at: open.asked });
        }
        came
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
}
