//! Endpoints that crashed, and the calls that were running there.
//!
//! A call that crashes each endpoint that runs it comes again under another id, at any daemon, and takes all
//! that runs beside it down as well. So each daemon tells which of its calls ran at an endpoint that crashed,
//! and all of them draw the same conclusion from all reports.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use basilbank_wire::CrashReport;

use crate::{call::Digest, endpoint::EndpointKey};

/// Crashes under one call from which on it is taken for their cause.
const CRASHES: usize = 3;

/// From the first report of a crash until it counts: by then the others who had calls there have reported.
/// The first reports alone would put the blame on whoever they happen to name.
const SETTLE: Duration = Duration::from_millis(500);

/// Least time between two looks for a cause: reports come singly, and each look goes through all.
const PAUSE: Duration = Duration::from_millis(50);

/// How long a crash counts.
const WINDOW: Duration = Duration::from_secs(600);

/// How long it may take to learn that an endpoint has crashed, after a call there broke off.
const UNSURE: Duration = Duration::from_secs(4);

/// Crashes that are kept, the latest.
const MOST_CRASHES: usize = 128;

/// Calls that are kept for one crash: what a large endpoint runs at once.
const MOST_CALLS: usize = 256;

/// Own calls that are kept until it is known whether their endpoint has crashed.
const MOST_UNSURE: usize = 1024;

/// Own words to peers that are kept until they have been told.
const MOST_WORDS: usize = 256;

/// Own words in one datagram.
const WORDS: usize = 48;

/// Datagrams that carry each word.
const TELLINGS: u8 = 5;

/// Time from the first of them to the second, doubled for each further one: they must outlast a peer's short
/// cut, and a loss must not cost much time.
const AGAIN: Duration = Duration::from_millis(300);

/// All of them.
#[derive(Debug, Default)]
pub struct Crashes {
    unsure: VecDeque<Unsure>,
    crashes: HashMap<u32, Crash>,
    reports: VecDeque<Word<CrashReport>>,
    cleared: VecDeque<Word<Digest>>,
    /// When a cause is looked for next.
    due: Option<Duration>,
    /// When it was looked for last.
    judged: Duration,
}

/// An own call that broke off at an endpoint that may have crashed.
#[derive(Clone, Copy, Debug)]
struct Unsure {
    endpoint: EndpointKey,
    digest: Digest,
    ran: Duration,
    at: Duration,
    /// The endpoint has answered since.
    answered: bool,
}

/// How an endpoint's end is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    /// It did not answer.
    Dark,
    /// It has gone from the list without having said that it leaves.
    Unlisted,
    /// It has started again, or another one has its address.
    Replaced,
}

#[derive(Debug)]
struct Crash {
    /// When the first report came.
    since: Duration,
    /// The calls that were running, and how long each had been.
    calls: BTreeMap<Digest, Duration>,
    /// One of them is known for the cause; the others are not to blame.
    explained: bool,
}

/// Something that peers are told.
#[derive(Clone, Copy, Debug)]
struct Word<T> {
    what: T,
    told: u8,
    due: Duration,
}

impl<T> Word<T> {
    fn new(what: T) -> Word<T> {
        Word { what, told: 0, due: Duration::ZERO }
    }
}

impl Crashes {
    /// Calls that are kept, over all crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.values().map(|crash| crash.calls.len()).sum()
    }

    /// No call is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// An own call broke off.
    pub fn broke(&mut self, endpoint: EndpointKey, digest: Digest, ran: Duration, now: Duration) {
        while self.unsure.front().is_some_and(|first| first.at + UNSURE <= now) {
            self.unsure.pop_front();
        }
        push(
            &mut self.unsure,
            Unsure { endpoint, digest, ran, at: now, answered: false },
            MOST_UNSURE,
        );
    }

    /// The endpoint has answered: calls broke off for another reason, unless it is its next start that
    /// answers.
    pub fn answered(&mut self, endpoint: EndpointKey) {
        let there = self.unsure.iter_mut().filter(|call| call.endpoint == endpoint);
        there.for_each(|call| call.answered = true);
    }

    /// The endpoint, which peers know by `hash`, has crashed; the reports of own calls that ran there.
    pub fn crashed(
        &mut self,
        endpoint: EndpointKey,
        hash: u32,
        end: End,
        now: Duration,
    ) -> Vec<CrashReport> {
        let there = |call: &&Unsure| {
            let counts = end == End::Replaced || !call.answered;
            counts && call.endpoint == endpoint && now < call.at + UNSURE
        };
        let report = |call: &Unsure| CrashReport {
            endpoint: hash,
            digest: call.digest.0,
            ran: u32::try_from(call.ran.as_millis()).unwrap_or(u32::MAX),
        };
        let reports: Vec<_> = self.unsure.iter().filter(there).map(report).collect();
        self.unsure.retain(|call| call.endpoint != endpoint);
        for report in &reports {
            push(&mut self.reports, Word::new(*report), MOST_WORDS);
        }
        reports
    }

    /// Takes a report in, of this daemon or a peer. `known` says that its call is in quarantine.
    pub fn reported(&mut self, report: &CrashReport, known: bool, now: Duration) {
        if !self.crashes.contains_key(&report.endpoint) && self.crashes.len() == MOST_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.since);
            let oldest = oldest.map(|(hash, _)| *hash);
            oldest.map(|hash| self.crashes.remove(&hash));
        }
        let fresh = || Crash { since: now, calls: BTreeMap::new(), explained: false };
        let crash = self.crashes.entry(report.endpoint).or_insert_with(fresh);
        crash.explained |= known;
        if crash.calls.len() < MOST_CALLS {
            let ran = Duration::from_millis(u64::from(report.ran));
            crash.calls.insert(Digest(report.digest), ran);
        }
        let settled = (crash.since + SETTLE).max(self.judged + PAUSE);
        self.due = Some(self.due.map_or(settled, |due| due.min(settled)));
    }

    /// The call was running at an endpoint that crashed, and nothing else explains that yet.
    #[must_use]
    pub fn suspects(&self, digest: Digest) -> bool {
        self.crashes.values().any(|crash| !crash.explained && crash.calls.contains_key(&digest))
    }

    /// Until when it is open whether the call is the cause of crashes: it has been part of enough, and not all
    /// who had calls there have reported.
    #[must_use]
    pub fn open_until(&self, digest: Digest, now: Duration) -> Option<Duration> {
        let its = |crash: &&Crash| !crash.explained && crash.calls.contains_key(&digest);
        let settles: Vec<_> =
            self.crashes.values().filter(its).map(|crash| crash.since + SETTLE + PAUSE).collect();
        let last = settles.iter().max().copied().filter(|last| now < *last);
        last.filter(|_| CRASHES <= settles.len())
    }

    /// The call has run to its end: it does not crash endpoints.
    pub fn clear(&mut self, digest: Digest) {
        for crash in self.crashes.values_mut() {
            crash.calls.remove(&digest);
        }
    }

    /// The same, seen here: peers are told.
    pub fn clear_for_all(&mut self, digest: Digest) {
        self.clear(digest);
        push(&mut self.cleared, Word::new(digest), MOST_WORDS);
    }

    /// When a cause is to be looked for.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// The cause of some crashes, and how many: the call that ran at most of them. Of two that ran at the
    /// same ones it is the one that had been there for less time, since the cause crashes an endpoint as it
    /// begins, and the others had come before.
    pub fn cause(&mut self, now: Duration) -> Option<(Digest, usize)> {
        self.crashes.retain(|_, crash| now < crash.since + WINDOW);
        let settles = self.crashes.values().map(|crash| crash.since + SETTLE);
        self.due = settles.filter(|at| now < *at).min();
        self.judged = now;
        let mut blame: BTreeMap<Digest, (usize, Duration)> = BTreeMap::new();
        let open = self.crashes.values().filter(|crash| !crash.explained);
        for (digest, ran) in open.filter(|c| c.since + SETTLE <= now).flat_map(|c| &c.calls) {
            let (count, all) = blame.entry(*digest).or_default();
            *count += 1;
            *all = all.saturating_add(*ran);
        }
        let rank =
            |(_, (count, ran)): &(&Digest, &(usize, Duration))| (*count, std::cmp::Reverse(*ran));
        let (digest, (count, _)) = blame.iter().max_by_key(rank)?;
        (CRASHES <= *count).then_some((*digest, *count))
    }

    /// The call is in quarantine: it explains the crashes that it was part of.
    pub fn explain(&mut self, digest: Digest) {
        let its = |crash: &&mut Crash| crash.calls.contains_key(&digest);
        self.crashes.values_mut().filter(its).for_each(|crash| crash.explained = true);
    }

    /// Reports for the next datagram.
    pub fn tell_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        tell(&mut self.reports, now)
    }

    /// Calls for the next datagram that have run to their end.
    pub fn tell_cleared(&mut self, now: Duration) -> Vec<u64> {
        tell(&mut self.cleared, now).into_iter().map(|digest| digest.0).collect()
    }
}

fn push<T>(list: &mut VecDeque<T>, item: T, most: usize) {
    if list.len() == most {
        list.pop_front();
    }
    list.push_back(item);
}

fn tell<T: Copy>(words: &mut VecDeque<Word<T>>, now: Duration) -> Vec<T> {
    let due = words.iter_mut().filter(|word| word.due <= now);
    let told = due.take(WORDS).map(|word| {
        word.due = now + AGAIN.saturating_mul(1 << word.told);
        word.told += 1;
        word.what
    });
    let told = told.collect();
    words.retain(|word| word.told < TELLINGS);
    told
}
