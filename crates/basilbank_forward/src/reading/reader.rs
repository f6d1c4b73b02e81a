//! The reader of one topic.

mod eras;
mod rest;

use std::{cmp::Ordering, time::Duration};

use super::{
    Around, Came, Query, ReadEffect, ReadEvent, ReadId, Scope, Why,
    asked::Asked,
    limits::{
        BATCH, BATCH_MANY, BEHIND, CHANGES_LEAST, CHANGES_PART, MARGIN, OTHER_FIRST, PAGE_BYTES,
        PATIENCE, ROUTES_WAIT, WARY, backoff, pace,
    },
};
use crate::{
    log_line::LogLine,
    topic::{Revision, Topic},
};

/// The reader of one topic.
///
/// Each turn goes the same way: what came is taken in, peers' words are heeded, questions that were
/// silent for too long are closed, and the next one goes out if it is time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Reader {
    topic: Topic,
    /// Changes are read after this revision; none when everything has to be read.
    after: Revision,
    /// The store's era, once an answer has said it.
    era: Option<u64>,
    /// Since when all answers are of an era before that one.
    older: Option<Duration>,
    /// What is open was asked of the history before the store came back from a copy, and its answers,
    /// though of the new era, would leave out what the store gave known numbers to.
    outlived: bool,
    /// Where the next page of everything begins. A page that fails is asked for again, and none before
    /// it: the more there are, the less likely it is that all of them come in one go.
    from: String,
    /// The store's revision at the first page. Pages are no snapshot: what changed since is read as
    /// changes.
    first: u64,
    /// Bytes of everything, at the last reading.
    whole: usize,
    /// Bytes of the pages so far.
    pages: usize,
    /// Questions that are open, the oldest first.
    asked: Vec<Asked>,
    /// Questions so far.
    count: u64,
    /// No question goes out before.
    due: Duration,
    /// When the last one went out.
    last: Duration,
    /// Refusals and silences in a row.
    failures: u32,
    /// Refusals among them. Silence calls for no pause: it took its time.
    refusals: u32,
    /// Since when the store does not answer as it should.
    lost: Option<Duration>,
    /// The other topic can't be read.
    pub other_lost: bool,
    /// The newest change of which a peer's word led to a question.
    urged: Revision,
    /// The next question is due to such a word, or to the other reader's doubt: silence until then is no
    /// outage.
    hurried: bool,
    /// A question that a peer's word hurried has failed. So peers reach the store and this daemon does
    /// not, and their next word won't change that; to heed each would only multiply refused calls.
    alone: bool,
    /// When everything was read last.
    read: Option<Duration>,
    /// A change of which peers told, and which there is not, if any.
    disproved: Revision,
    /// Until then the store is watched more closely.
    wary: Duration,
    /// Nothing is asked, since peers watch the topic, until they have news or it is time for a look.
    resting: bool,
    /// The next question comes after such a time.
    rested: bool,
    /// Doubts of those peers that were heeded.
    doubts: u32,
}

impl Reader {
    pub fn new(topic: Topic) -> Reader {
        Reader {
            topic,
            after: Revision::NONE,
            era: None,
            older: None,
            outlived: false,
            from: String::new(),
            first: 0,
            whole: 0,
            pages: 0,
            asked: Vec::new(),
            count: 0,
            due: Duration::ZERO,
            last: Duration::ZERO,
            failures: 0,
            refusals: 0,
            lost: None,
            other_lost: false,
            urged: Revision::NONE,
            hurried: false,
            alone: false,
            read: None,
            disproved: Revision::NONE,
            wary: Duration::ZERO,
            resting: false,
            rested: false,
            doubts: 0,
        }
    }

    /// Takes an event in. Returns whether a question that went out later was answered with what an earlier
    /// one should have been answered, too: a connection has died without a sign, and so may others.
    pub fn step(
        &mut self,
        now: Duration,
        mut around: Around,
        event: ReadEvent,
        effects: &mut Vec<ReadEffect>,
    ) -> bool {
        let mut dead = false;
        if std::mem::take(&mut self.outlived) {
            self.drop_all(effects);
        }
        match event {
            ReadEvent::Tick => {}
            ReadEvent::GotOn { read, at, bytes } => {
                if let Some(asked) = self.asked.iter_mut().find(|asked| asked.id == read) {
                    asked.got_on(at, bytes);
                }
            }
            ReadEvent::Came { read, era, came } => {
                if let Some(index) = self.asked.iter().position(|asked| asked.id == read) {
                    let asked = self.asked.remove(index);
                    let earlier = self.asked[..index].iter().any(|asked| !asked.begun);
                    let due =
                        matches!(came, Came::Answer { changed: true, .. } | Came::HistoryGone);
                    dead = earlier && due;
                    self.came(now, &asked, era, came, effects);
                }
            }
        }
        if around.news == self.disproved {
            around.news = Revision::NONE;
        }
        self.heed(now, around.news);
        self.wake(now, around);
        self.close(now, effects);
        self.ask_if_due(now, around, effects);
        dead
    }

    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    pub fn wake_at(&self) -> Duration {
        let ends = self.asked.iter().map(|asked| asked.end);
        ends.fold(self.ask_at(), Duration::min)
    }

    /// The other reader's connection went silent, or has died.
    pub fn doubt(&mut self, now: Duration) {
        self.wary = now + WARY;
        if !self.asked.is_empty() && !self.is_lost() {
            self.hurry(now);
        }
    }

    /// When the next question goes out.
    fn ask_at(&self) -> Duration {
        if self.outlived {
            return self.due;
        }
        // Those that are open had their time.
        let silent = self.asked.iter().map(|asked| asked.overdue).max();
        let at = silent.map_or(self.due, |silent| silent.max(self.due));
        let paced = self.other_lost && self.topic == Topic::Routes && !self.after.is_none();
        match paced && self.failures != 0 && !self.hurried {
            true => at.max(self.last + OTHER_FIRST),
            false => at,
        }
    }

    /// The next question goes out earlier.
    fn hurry(&mut self, at: Duration) {
        for asked in &mut self.asked {
            asked.hurry(at);
        }
        self.hurried = true;
        self.due = self.due.min(at.max(self.last + BEHIND));
    }

    /// A peer has seen a change that is not known here: if a question is silent, its connection may be
    /// dead; if the store was lost, it may be back.
    fn heed(&mut self, now: Duration, news: Revision) {
        let known = self.after.max(self.urged);
        // An answer is on its way; or the word before led to a question that is still silent: while
        // versions follow each other fast, each would bring the next question forward.
        let waits = self.asked.iter().any(|asked| asked.urged || asked.is_coming(now));
        if self.after.is_none() || news <= known || self.alone || waits {
            return;
        }
        // In the pause after a reading nothing is open, and the next question is soon.
        if self.asked.is_empty() && !self.is_lost() {
            if self.resting {
                self.due = self.due.min(now.max(self.last + BATCH_MANY));
            }
            return;
        }
        self.urged = news;
        self.hurry(if self.is_lost() { now } else { now + BEHIND });
    }

    /// Closes questions that were silent for too long.
    fn close(&mut self, now: Duration, effects: &mut Vec<ReadEffect>) {
        let closed = self.asked.extract_if(.., |asked| asked.end <= now);
        effects.extend(closed.map(|asked| ReadEffect::Drop { read: asked.id, silent: true }));
    }

    fn ask_if_due(&mut self, now: Duration, around: Around, effects: &mut Vec<ReadEffect>) {
        if now < self.ask_at() {
            return;
        }
        if self.rest(now, around) {
            return;
        }
        let hurried = std::mem::take(&mut self.hurried);
        if let Some(oldest) = self.asked.first().cloned() {
            if hurried && !self.is_lost() {
                let line = self.note("store_watch_stale").with("after", self.after);
                effects.push(ReadEffect::Note(line));
            } else if !hurried {
                self.alone |= self.asked.iter().any(|asked| asked.urged);
                self.lose(now, &oldest, "no answer in time", effects);
            }
            self.failures += 1;
        }
        self.ask(now, around, hurried, effects);
    }

    fn ask(&mut self, now: Duration, around: Around, urged: bool, effects: &mut Vec<ReadEffect>) {
        let why = self.why(around);
        let after = self.after.number;
        let scope = match why {
            Why::Anew => Scope::Page { from: self.from.clone() },
            // After a failure the store is not to wait for a change: its answer says that it is back. And
            // where there is a change, silence says something at once.
            Why::Failure | Why::News | Why::Look => Scope::Changes { after, wait: Duration::ZERO },
            Why::Watch => Scope::Changes { after, wait: self.watch(now, around) },
        };
        let (wait, most) = match scope {
            Scope::Page { .. } => (Duration::ZERO, PAGE_BYTES),
            Scope::Changes { wait, .. } => {
                (wait, self.whole.saturating_mul(CHANGES_PART).max(CHANGES_LEAST))
            }
        };
        let margin = if wait.is_zero() { pace(around.peers) } else { MARGIN };
        let silent = wait + margin;
        let id = ReadId(self.count);
        self.count += 1;
        self.last = now;
        self.asked.push(Asked {
            id,
            at: now,
            overdue: now + silent,
            end: now + silent + PATIENCE,
            begun: false,
            bytes: 0,
            page: matches!(scope, Scope::Page { .. }),
            urged,
            news: around.news,
        });
        // Another question goes out long before a connection that can't be made is given up.
        effects.push(ReadEffect::Ask(id, Query { scope, why, connect: PATIENCE, most }));
    }

    fn why(&self, around: Around) -> Why {
        match self.after {
            after if after.is_none() => Why::Anew,
            _ if self.failures != 0 => Why::Failure,
            after if after < around.news => Why::News,
            // The connection was idle for long. If it died meanwhile, a watch would only show it in the end.
            _ if around.follows || self.rested => Why::Look,
            _ => Why::Watch,
        }
    }

    /// How long a watch lets the store wait.
    fn watch(&self, now: Duration, around: Around) -> Duration {
        let longer = self.topic == Topic::Routes && around.shared && self.wary <= now;
        let wait = if longer { around.wait.saturating_mul(ROUTES_WAIT) } else { around.wait };
        wait.min(around.most)
    }

    fn came(
        &mut self,
        now: Duration,
        asked: &Asked,
        era: Option<u64>,
        came: Came,
        effects: &mut Vec<ReadEffect>,
    ) {
        match self.compare(era) {
            Ordering::Less => return self.of_older_era(now, asked, era, effects),
            Ordering::Equal => self.era = self.era.or(era),
            Ordering::Greater => {
                let begins = asked.page && self.from.is_empty();
                self.enter(now, era, effects);
                match came {
                    // It is the first page of everything as it is now.
                    Came::Answer { .. } if begins => {}
                    Came::Failed(error) => return self.failed(now, asked, &error, effects),
                    _ => return,
                }
            }
        }
        self.older = None;
        match came {
            Came::Answer { store, changed, next, bytes } => {
                self.answered(now, asked, bytes, effects);
                if asked.page {
                    self.page(now, store, next, bytes);
                } else {
                    self.changes(now, asked, store, changed, effects);
                }
            }
            Came::HistoryGone => self.read_all(now, "history_gone", effects),
            Came::TooLong if !self.after.is_none() => self.read_all(now, "too_long", effects),
            Came::TooLong => self.failed(now, asked, "too long", effects),
            Came::Failed(error) => self.failed(now, asked, &error, effects),
        }
    }

    fn answered(
        &mut self,
        now: Duration,
        asked: &Asked,
        bytes: usize,
        effects: &mut Vec<ReadEffect>,
    ) {
        self.drop_all(effects);
        if let Some(lost) = self.lost.take() {
            let line = self.note("store_regained").with("failures", self.failures);
            let line = line.with("bytes", bytes).with_ms("took_ms", now.saturating_sub(asked.at));
            let line = line.with_ms("lost_ms", now.saturating_sub(lost));
            effects.push(ReadEffect::Note(line));
        }
        // At a start there is no trouble, only nothing to read yet.
        if self.failures != 0 && !self.after.is_none() {
            self.wary = now + WARY;
        }
        (self.failures, self.refusals) = (0, 0);
        self.urged = Revision::NONE;
        self.alone = false;
        self.hurried = false;
        self.due = now;
    }

    fn page(&mut self, now: Duration, store: u64, next: Option<String>, bytes: usize) {
        if self.from.is_empty() {
            (self.first, self.pages) = (store, 0);
        }
        self.pages += bytes;
        if let Some(next) = next {
            self.from = next;
            return;
        }
        self.from.clear();
        self.whole = self.pages;
        self.after = self.at(self.first);
        self.read = Some(now);
        self.due = now;
    }

    fn changes(
        &mut self,
        now: Duration,
        asked: &Asked,
        store: u64,
        changed: bool,
        effects: &mut Vec<ReadEffect>,
    ) {
        let store = self.at(store);
        // Within an era the store's counter only rises, and its answers are as new as the question.
        if store < asked.news {
            self.disproved = asked.news;
            effects.push(ReadEffect::Disproved(asked.news));
        }
        self.after = store;
        self.due = if changed { now + BATCH } else { now };
    }

    /// Changes can't be had, or cost more than they bring.
    fn read_all(&mut self, now: Duration, why: &'static str, effects: &mut Vec<ReadEffect>) {
        let line = self.note("store_read_all").with("why", why).with("after", self.after);
        effects.push(ReadEffect::Note(line));
        self.drop_all(effects);
        self.begin_anew(now);
    }

    /// Everything is read next.
    fn begin_anew(&mut self, now: Duration) {
        self.after = Revision::NONE;
        self.from.clear();
        // A store that drops its history all the time, or changes more than all that it holds, isn't
        // asked in a loop without a pause.
        self.due = self.read.map_or(now, |read| now.max(read + BATCH));
    }

    fn failed(&mut self, now: Duration, asked: &Asked, error: &str, effects: &mut Vec<ReadEffect>) {
        self.alone |= asked.urged;
        self.hurried = false;
        self.lose(now, asked, error, effects);
        self.failures += 1;
        // Connections that can't be made fail one after the other, long after they were tried: if each
        // led to a pause, the pauses would follow each other without a question.
        if asked.at == self.last {
            self.refusals += 1;
            self.due = now + backoff(self.refusals);
        }
    }

    fn lose(&mut self, now: Duration, asked: &Asked, error: &str, effects: &mut Vec<ReadEffect>) {
        if self.is_lost() {
            return;
        }
        self.lost = Some(now);
        let line = self.note("store_lost").with("error", error);
        let line = line.with_ms("took_ms", now.saturating_sub(asked.at));
        effects.push(ReadEffect::Note(line.with("bytes", asked.bytes)));
        effects.push(ReadEffect::Lost);
    }

    fn drop_all(&mut self, effects: &mut Vec<ReadEffect>) {
        let others = self.asked.drain(..);
        effects.extend(others.map(|asked| ReadEffect::Drop { read: asked.id, silent: false }));
    }

    fn note(&self, name: &'static str) -> LogLine {
        LogLine::new(name).with("topic", self.topic.as_str())
    }
}
