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
const MIN_CRASHES: usize = 3;

/// From the first report of a crash until it counts: by then the others who had calls there have reported.
/// The first reports alone would put the blame on whoever they happen to name.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Least time between two looks for a cause: reports come singly, and each look goes through all.
const MIN_ANALYSIS_INTERVAL: Duration = Duration::from_millis(50);

/// How long a crash counts.
const CRASH_WINDOW: Duration = Duration::from_secs(600);

/// How long it may take to learn that an endpoint has crashed, after a call there broke off.
const MAX_DETECTION_DELAY: Duration = Duration::from_secs(4);

/// Crashes that are kept, the latest.
const MAX_CRASHES: usize = 128;

/// Calls that are kept for one crash: what a large endpoint runs at once.
const MAX_CALLS_PER_CRASH: usize = 256;

/// Own calls that are kept until it is known whether their endpoint has crashed.
const MAX_BROKEN_CALLS: usize = 1024;

/// Own words to peers that are kept until they have been told.
const MAX_ANNOUNCEMENTS: usize = 256;

/// Own words in one datagram.
const MAX_PER_DATAGRAM: usize = 48;

/// Datagrams that carry each word.
const REPETITIONS: u8 = 5;

/// Time from the first of them to the second, doubled for each further one: they must outlast a peer's short
/// cut, and a loss must not cost much time.
const FIRST_REPEAT_DELAY: Duration = Duration::from_millis(300);

/// All of them.
#[derive(Debug, Default)]
pub struct Crashes {
    broken_calls: VecDeque<BrokenCall>,
    crashes: HashMap<u32, Crash>,
    reports: VecDeque<Announcement<CrashReport>>,
    cleared: VecDeque<Announcement<Digest>>,
    /// When a cause is looked for next.
    due: Option<Duration>,
    /// When it was looked for last.
    last_analysis: Duration,
}

/// An own call that broke off at an endpoint that may have crashed.
#[derive(Clone, Copy, Debug)]
struct BrokenCall {
    endpoint: EndpointKey,
    digest: Digest,
    ran: Duration,
    at: Duration,
    /// The endpoint has answered since.
    answered: bool,
}

/// How an endpoint's end is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CrashEvidence {
    /// It did not answer.
    Unreachable,
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
struct Announcement<T> {
    item: T,
    sent: u8,
    due: Duration,
}

impl<T> Announcement<T> {
    fn new(item: T) -> Announcement<T> {
        Announcement { item, sent: 0, due: Duration::ZERO }
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
    pub fn record_broken_call(
        &mut self,
        endpoint: EndpointKey,
        digest: Digest,
        ran: Duration,
        now: Duration,
    ) {
        while self.broken_calls.front().is_some_and(|first| first.at + MAX_DETECTION_DELAY <= now) {
            self.broken_calls.pop_front();
        }
        push_bounded(
            &mut self.broken_calls,
            BrokenCall { endpoint, digest, ran, at: now, answered: false },
            MAX_BROKEN_CALLS,
        );
    }

    /// The endpoint has answered: calls broke off for another reason, unless it is its next start that
    /// answers.
    pub fn record_answer(&mut self, endpoint: EndpointKey) {
        let there = self.broken_calls.iter_mut().filter(|call| call.endpoint == endpoint);
        there.for_each(|call| call.answered = true);
    }

    /// The endpoint, which peers know by `hash`, has crashed; the reports of own calls that ran there.
    pub fn record_crash(
        &mut self,
        endpoint: EndpointKey,
        hash: u32,
        evidence: CrashEvidence,
        now: Duration,
    ) -> Vec<CrashReport> {
        let there = |call: &&BrokenCall| {
            let counts = evidence == CrashEvidence::Replaced || !call.answered;
            counts && call.endpoint == endpoint && now < call.at + MAX_DETECTION_DELAY
        };
        let report = |call: &BrokenCall| CrashReport {
            endpoint: hash,
            digest: call.digest.0,
            ran: u32::try_from(call.ran.as_millis()).unwrap_or(u32::MAX),
        };
        let reports: Vec<_> = self.broken_calls.iter().filter(there).map(report).collect();
        self.broken_calls.retain(|call| call.endpoint != endpoint);
        for report in &reports {
            push_bounded(&mut self.reports, Announcement::new(*report), MAX_ANNOUNCEMENTS);
        }
        reports
    }

    /// Takes a report in, of this daemon or a peer. `known` says that its call is in quarantine.
    pub fn apply_report(&mut self, report: &CrashReport, known: bool, now: Duration) {
        if !self.crashes.contains_key(&report.endpoint) && self.crashes.len() == MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.since);
            let oldest = oldest.map(|(hash, _)| *hash);
            oldest.map(|hash| self.crashes.remove(&hash));
        }
        let new_crash = || Crash { since: now, calls: BTreeMap::new(), explained: false };
        let crash = self.crashes.entry(report.endpoint).or_insert_with(new_crash);
        crash.explained |= known;
        if crash.calls.len() < MAX_CALLS_PER_CRASH {
            let ran = Duration::from_millis(u64::from(report.ran));
            crash.calls.insert(Digest(report.digest), ran);
        }
        let settled = (crash.since + SETTLE_TIME).max(self.last_analysis + MIN_ANALYSIS_INTERVAL);
        self.due = Some(self.due.map_or(settled, |due| due.min(settled)));
    }

    /// The call was running at an endpoint that crashed, and nothing else explains that yet.
    #[must_use]
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.crashes.values().any(|crash| !crash.explained && crash.calls.contains_key(&digest))
    }

    /// Until when it is open whether the call is the cause of crashes: it has been part of enough, and not all
    /// who had calls there have reported.
    #[must_use]
    pub fn undecided_until(&self, digest: Digest, now: Duration) -> Option<Duration> {
        let has_call = |crash: &&Crash| !crash.explained && crash.calls.contains_key(&digest);
        let settles: Vec<_> = self
            .crashes
            .values()
            .filter(has_call)
            .map(|crash| crash.since + SETTLE_TIME + MIN_ANALYSIS_INTERVAL)
            .collect();
        let last = settles.iter().max().copied().filter(|last| now < *last);
        last.filter(|_| MIN_CRASHES <= settles.len())
    }

    /// The call has run to its end: it does not crash endpoints.
    pub fn clear(&mut self, digest: Digest) {
        for crash in self.crashes.values_mut() {
            crash.calls.remove(&digest);
        }
    }

    /// The same, seen here: peers are told.
    pub fn clear_and_announce(&mut self, digest: Digest) {
        self.clear(digest);
        push_bounded(&mut self.cleared, Announcement::new(digest), MAX_ANNOUNCEMENTS);
    }

    /// When a cause is to be looked for.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// The cause of some crashes, and how many: the call that ran at most of them. Of two that ran at the
    /// same ones it is the one that had been there for less time, since the cause crashes an endpoint as it
    /// begins, and the others had come before.
    pub fn find_cause(&mut self, now: Duration) -> Option<(Digest, usize)> {
        self.crashes.retain(|_, crash| now < crash.since + CRASH_WINDOW);
        let settles = self.crashes.values().map(|crash| crash.since + SETTLE_TIME);
        self.due = settles.filter(|at| now < *at).min();
        self.last_analysis = now;
        let mut blame: BTreeMap<Digest, (usize, Duration)> = BTreeMap::new();
        let unexplained = self.crashes.values().filter(|crash| !crash.explained);
        for (digest, ran) in
            unexplained.filter(|c| c.since + SETTLE_TIME <= now).flat_map(|c| &c.calls)
        {
            let (count, total) = blame.entry(*digest).or_default();
            *count += 1;
            *total = total.saturating_add(*ran);
        }
        let rank =
            |(_, (count, ran)): &(&Digest, &(usize, Duration))| (*count, std::cmp::Reverse(*ran));
        let (digest, (count, _)) = blame.iter().max_by_key(rank)?;
        (MIN_CRASHES <= *count).then_some((*digest, *count))
    }

    /// The call is in quarantine: it explains the crashes that it was part of.
    pub fn mark_explained(&mut self, digest: Digest) {
        let has_call = |crash: &&mut Crash| crash.calls.contains_key(&digest);
        self.crashes.values_mut().filter(has_call).for_each(|crash| crash.explained = true);
    }

    /// Reports for the next datagram.
    pub fn take_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        take_due(&mut self.reports, now)
    }

    /// Calls for the next datagram that have run to their end.
    pub fn take_cleared(&mut self, now: Duration) -> Vec<u64> {
        take_due(&mut self.cleared, now).into_iter().map(|digest| digest.0).collect()
    }
}

fn push_bounded<T>(list: &mut VecDeque<T>, item: T, max: usize) {
    if list.len() == max {
        list.pop_front();
    }
    list.push_back(item);
}

fn take_due<T: Copy>(announcements: &mut VecDeque<Announcement<T>>, now: Duration) -> Vec<T> {
    let due = announcements.iter_mut().filter(|announcement| announcement.due <= now);
    let taken = due.take(MAX_PER_DATAGRAM).map(|announcement| {
        announcement.due = now + FIRST_REPEAT_DELAY.saturating_mul(1 << announcement.sent);
        announcement.sent += 1;
        announcement.item
    });
    let taken = taken.collect();
    announcements.retain(|announcement| announcement.sent < REPETITIONS);
    taken
}
