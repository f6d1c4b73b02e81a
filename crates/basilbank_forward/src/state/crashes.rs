//! Endpoints that crashed, and the calls that were running there.
//!
//! A call that crashes every endpoint that runs it is sent again by its caller under another id, to
//! any daemon, and takes down all calls that run beside it. So each daemon reports which of its
//! calls were running at an endpoint that crashed, and all daemons draw the same conclusion from
//! all reports.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use basilbank_wire::CrashReport;

use crate::{call::Digest, endpoint::EndpointKey};

/// Number of crashes from which on a call that was part of all of them counts as their cause.
const MIN_CRASHES: usize = 3;

/// Time from the first report of a crash until the crash counts. By then the other daemons with
/// calls there have reported; the first reports alone would blame whichever calls they happen to
/// name.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Minimum time between two analyses: reports arrive one by one, and each analysis goes through all
/// of them.
const MIN_ANALYSIS_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a crash counts.
const CRASH_WINDOW: Duration = Duration::from_secs(600);

/// Maximum time after a call broke off at an endpoint within which a crash of the endpoint is
/// detected.
const MAX_DETECTION_DELAY: Duration = Duration::from_secs(4);

/// Maximum number of crashes that are kept; the latest ones are.
const MAX_CRASHES: usize = 128;

/// Maximum number of calls that are kept for one crash: the number that a large endpoint runs at
/// once.
const MAX_CALLS_PER_CRASH: usize = 256;

/// Maximum number of own broken calls that are kept until it is known whether their endpoint has
/// crashed.
const MAX_BROKEN_CALLS: usize = 1024;

/// Maximum number of own announcements to peers that are kept until all repetitions have been sent.
const MAX_ANNOUNCEMENTS: usize = 256;

/// Maximum number of own announcements in one datagram.
const MAX_PER_DATAGRAM: usize = 48;

/// Number of datagrams that carry each announcement.
const REPETITIONS: u8 = 5;

/// Time from the first of these datagrams to the second, doubled for each further one. Together
/// they outlast a short loss of contact with a peer, and one lost datagram costs little time.
const FIRST_REPEAT_DELAY: Duration = Duration::from_millis(300);

/// Crashes that this daemon knows, and its announcements about them.
#[derive(Debug, Default)]
pub struct Crashes {
    broken_calls: VecDeque<BrokenCall>,
    crashes: BTreeMap<u32, Crash>,
    reports: VecDeque<Announcement<CrashReport>>,
    cleared: VecDeque<Announcement<Digest>>,
    /// When the next analysis is due.
    due: Option<Duration>,
    /// When the last analysis was done.
    last_analysis: Duration,
}

/// An own call that broke off at an endpoint that may have crashed.
#[derive(Clone, Copy, Debug)]
struct BrokenCall {
    endpoint: EndpointKey,
    digest: Digest,
    ran: Duration,
    at: Duration,
    /// Whether the endpoint has answered since.
    answered: bool,
}

/// The evidence that an endpoint has crashed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CrashEvidence {
    /// The endpoint did not answer.
    Unreachable,
    /// The endpoint was removed from the list without having announced that it leaves.
    Unlisted,
    /// The endpoint has restarted, or another one has its address.
    Replaced,
}

#[derive(Debug)]
struct Crash {
    /// When the first report arrived.
    since: Duration,
    /// The calls that were running, and how long each one had been running.
    calls: BTreeMap<Digest, Duration>,
    /// Whether one of the calls is known to be the cause, so that the others are not to blame.
    explained: bool,
}

/// An item that is sent to peers several times.
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
    /// Returns the number of calls that are kept, over all crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.values().map(|crash| crash.calls.len()).sum()
    }

    /// Returns whether no call is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that an own call broke off after it had been running for `ran`.
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

    /// Returns the number of own calls that broke off at an endpoint without an answer since.
    #[must_use]
    pub fn count_broken_calls(&self, endpoint: EndpointKey, now: Duration) -> usize {
        let counts = |call: &&BrokenCall| {
            call.endpoint == endpoint && !call.answered && now < call.at + MAX_DETECTION_DELAY
        };
        self.broken_calls.iter().filter(counts).count()
    }

    /// Records that the endpoint has answered. Its calls then broke off for another reason, unless
    /// it is the next incarnation that answers.
    pub fn record_answer(&mut self, endpoint: EndpointKey) {
        let there = self.broken_calls.iter_mut().filter(|call| call.endpoint == endpoint);
        there.for_each(|call| call.answered = true);
    }

    /// Records that the endpoint, which peers know by `hash`, has crashed, and returns the reports
    /// of own calls that were running there.
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

    /// Applies a report of this daemon or a peer. `known` states that the reported call is in
    /// quarantine.
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

    /// Returns whether the call was running at an endpoint that crashed, and nothing else explains
    /// that crash yet.
    #[must_use]
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.crashes.values().any(|crash| !crash.explained && crash.calls.contains_key(&digest))
    }

    /// Returns until when it is undecided whether the call is the cause of crashes: it has been
    /// part of enough crashes, and not all daemons with calls there have reported.
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

    /// Clears a call of suspicion: it has run to completion, so it doesn't crash endpoints.
    pub fn clear(&mut self, digest: Digest) {
        for crash in self.crashes.values_mut() {
            crash.calls.remove(&digest);
        }
    }

    /// Clears a call that has run to completion through this daemon, and announces that to peers.
    pub fn clear_and_announce(&mut self, digest: Digest) {
        self.clear(digest);
        push_bounded(&mut self.cleared, Announcement::new(digest), MAX_ANNOUNCEMENTS);
    }

    /// Returns when the next analysis is due.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Returns a call that is the cause of crashes, and their number: the call that was part of the
    /// most crashes. Of two that were part of equally many it is the one that had been running for
    /// less time, since the cause crashes an endpoint shortly after it starts, and the others had
    /// started earlier.
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

    /// Marks the crashes that the call was part of as explained by it, since it is in quarantine.
    pub fn mark_explained(&mut self, digest: Digest) {
        let has_call = |crash: &&mut Crash| crash.calls.contains_key(&digest);
        self.crashes.values_mut().filter(has_call).for_each(|crash| crash.explained = true);
    }

    /// Returns the reports for the next datagram, and counts them as sent.
    pub fn take_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        take_due(&mut self.reports, now)
    }

    /// Returns the digests of cleared calls for the next datagram, and counts them as sent.
    pub fn take_cleared(&mut self, now: Duration) -> Vec<u64> {
        take_due(&mut self.cleared, now).into_iter().map(|digest| digest.0).collect()
    }
}

/// Appends an item, and removes the first one if the list already has `max` items.
fn push_bounded<T>(list: &mut VecDeque<T>, item: T, max: usize) {
    if list.len() == max {
        list.pop_front();
    }
    list.push_back(item);
}

/// Returns the announcements that are due, and schedules or removes them.
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
