//! Endpoints that crashed, and what the calls that were running there may share with others.
//!
//! A call that crashes every endpoint that runs it is sent again by its caller under another id, to
//! any daemon, and takes down all calls that run beside it. So do calls that share a part of their
//! prompts which crashes endpoints, and no two of them need to be alike. So each daemon reports which
//! of its calls were running at an endpoint that crashed, with the parts of their prompts, and all
//! daemons draw the same conclusion from all reports.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use basilbank_wire::CrashReport;

use super::{
    announcements::{Announcements, push_bounded},
    common_parts::CommonParts,
    evidence::{self, Charges, MIN_CRASHES, WAVE_TIME},
    proofs::Proofs,
};
use crate::{
    call::{Cause, Digest, SharedTraits},
    endpoint::EndpointKey,
};

/// Time from the first report of a crash until the crash counts. By then the other daemons with
/// calls there have reported; the first reports alone would blame whichever calls they happen to
/// name.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time before a conclusion in which a proof contradicts it: the crashes behind it took longer.
const CONCLUSION_TIME: Duration = SETTLE_TIME.saturating_add(WAVE_TIME.saturating_mul(2));

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

/// Maximum number of calls and parts of prompts that are kept for one crash: a large endpoint runs
/// as many calls at once.
const MAX_ACCUSED_PER_CRASH: usize = 256;

/// Maximum number of own broken calls that are kept until it is known whether their endpoint has
/// crashed.
const MAX_BROKEN_CALLS: usize = 1024;

/// Number of crashes from which on peers are told of a proof about a part of prompts. With fewer the
/// part is no cause to anybody, and common parts would be announced by all daemons at once.
const MIN_ANNOUNCED_CRASHES: usize = 2;

/// Crashes that this daemon knows, and its announcements about them.
#[derive(Debug, Default)]
pub struct Crashes {
    broken_calls: VecDeque<BrokenCall>,
    crashes: BTreeMap<u32, Crash>,
    proofs: Proofs,
    reports: Announcements<CrashReport>,
    cleared: Announcements<Cause>,
    /// When the next analysis is due.
    due: Option<Duration>,
    /// When the last analysis was done.
    last_analysis: Duration,
}

/// An own call that broke off at an endpoint that may have crashed.
#[derive(Clone, Debug)]
struct BrokenCall {
    endpoint: EndpointKey,
    traits: SharedTraits,
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

/// A crash of an endpoint.
#[derive(Debug)]
pub struct Crash {
    /// When the first report arrived.
    pub since: Duration,
    /// What the calls that were running there may share with others.
    pub accused: BTreeMap<Cause, Accusation>,
    /// What is known to be its cause, so that the others are not to blame.
    pub cause: Option<Cause>,
}

/// How something was part of a crash.
#[derive(Clone, Copy, Debug)]
pub struct Accusation {
    /// How long its call had been running.
    pub ran: Duration,
    /// How much it is shared: 0 for a whole call, and more the nearer a part is to its prompt's
    /// beginning.
    pub breadth: u8,
    /// Whether it is the first of several parts of its prompt.
    pub is_first: bool,
}

impl Crashes {
    /// Returns the number of calls and parts of prompts that are kept, over all crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.values().map(|crash| crash.accused.len()).sum()
    }

    /// Returns whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that an own call broke off after it had been running for `ran`.
    pub fn record_broken_call(
        &mut self,
        endpoint: EndpointKey,
        traits: SharedTraits,
        ran: Duration,
        now: Duration,
    ) {
        while self.broken_calls.front().is_some_and(|first| first.at + MAX_DETECTION_DELAY <= now) {
            self.broken_calls.pop_front();
        }
        self.proofs.drop_pending(endpoint);
        push_bounded(
            &mut self.broken_calls,
            BrokenCall { endpoint, traits, ran, at: now, answered: false },
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
            digest: call.traits.digest.0,
            ran: u32::try_from(call.ran.as_millis()).unwrap_or(u32::MAX),
            parts: call.traits.parts.clone(),
        };
        let reports: Vec<_> = self.broken_calls.iter().filter(there).map(report).collect();
        self.broken_calls.retain(|call| call.endpoint != endpoint);
        self.proofs.drop_pending(endpoint);
        reports.iter().for_each(|report| self.reports.push(report.clone()));
        reports
    }

    /// Applies a report of this daemon or a peer. `cause` is the one of the reported call's traits
    /// that is in quarantine.
    pub fn apply_report(&mut self, report: &CrashReport, cause: Option<Cause>, now: Duration) {
        if !self.crashes.contains_key(&report.endpoint) && self.crashes.len() == MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.since);
            let oldest = oldest.map(|(hash, _)| *hash);
            oldest.map(|hash| self.crashes.remove(&hash));
        }
        let new_crash = || Crash { since: now, accused: BTreeMap::new(), cause: None };
        let crash = self.crashes.entry(report.endpoint).or_insert_with(new_crash);
        crash.cause = crash.cause.or(cause);
        crash.accuse(report);
        let settled = (crash.since + SETTLE_TIME).max(self.last_analysis + MIN_ANALYSIS_INTERVAL);
        self.due = Some(self.due.map_or(settled, |due| due.min(settled)));
    }

    /// Returns the crashes that nothing explains yet and that count against this.
    fn accusing(&self, cause: Cause) -> impl Iterator<Item = &Crash> {
        let proven = self.proofs.time_of(cause);
        let crashes = self.crashes.values().filter(|crash| crash.cause.is_none());
        crashes.filter(move |crash| crash.accuses(cause, proven))
    }

    /// Returns whether this was part of a crash that nothing explains yet.
    #[must_use]
    pub fn is_suspect(&self, cause: Cause) -> bool {
        self.accusing(cause).next().is_some()
    }

    /// Returns whether calls with one of these traits may well crash their next endpoint: it was part
    /// of several crashes that nothing explains yet.
    #[must_use]
    pub fn is_risky(&self, traits: &SharedTraits) -> bool {
        let count = |cause| evidence::count_crashes(cause, self.accusation_times(cause));
        !self.crashes.is_empty() && traits.causes().any(|cause| MIN_CRASHES <= count(cause) + 1)
    }

    fn accusation_times(&self, cause: Cause) -> Vec<Duration> {
        self.accusing(cause).map(|crash| crash.since).collect()
    }

    /// Returns until when it is undecided whether one of a call's traits is the cause of crashes: it
    /// was part of enough crashes, and not all daemons with calls there have reported.
    #[must_use]
    pub fn undecided_until(&self, traits: &SharedTraits, now: Duration) -> Option<Duration> {
        if self.crashes.is_empty() {
            return None;
        }
        let undecided = |cause| {
            let times = self.accusation_times(cause);
            let last = times.iter().max()?.saturating_add(SETTLE_TIME + MIN_ANALYSIS_INTERVAL);
            let is_enough = MIN_CRASHES <= evidence::count_crashes(cause, times);
            (now < last && is_enough).then_some(last)
        };
        traits.causes().filter_map(undecided).max()
    }

    /// Clears something of suspicion: it doesn't crash endpoints.
    pub fn clear(&mut self, cause: Cause, now: Duration) {
        // Without it another part of the same prompts may turn out to be the cause.
        if self.is_suspect(cause) {
            let at = now.max(self.last_analysis + MIN_ANALYSIS_INTERVAL);
            self.due = Some(self.due.map_or(at, |due| due.min(at)));
        }
        self.proofs.record(cause, now);
        let explained = self.crashes.values_mut().filter(|crash| crash.cause == Some(cause));
        explained.for_each(|crash| crash.cause = None);
    }

    /// Clears something of which a peer says that it doesn't crash endpoints.
    pub fn clear_by_peer(&mut self, cause: Cause, now: Duration) {
        self.cleared.remove(&cause);
        self.clear(cause, now);
    }

    /// Clears something of suspicion, and tells peers if they may suspect it.
    pub fn clear_and_announce(&mut self, cause: Cause, now: Duration) {
        let proven = self.proofs.time_of(cause);
        // Crashes that a single call explains may still count against the parts of its prompt.
        let accusing = self.crashes.values().filter(|crash| crash.accuses(cause, proven));
        let min = if cause.is_part() { MIN_ANNOUNCED_CRASHES } else { 1 };
        let is_suspect = min <= accusing.count();
        self.clear(cause, now);
        if is_suspect {
            self.announce_cleared(cause);
        }
    }

    /// Tells peers that something doesn't crash endpoints.
    pub fn announce_cleared(&mut self, cause: Cause) {
        self.cleared.push(cause);
    }

    /// Records the end of a short answer on these parts of prompts. It is a proof unless the endpoint
    /// crashes soon.
    pub fn record_short_answer(&mut self, endpoint: EndpointKey, parts: Vec<u64>, now: Duration) {
        self.proofs.record_short_answer(endpoint, parts, now);
    }

    /// Returns the parts of a short answer that has become a proof.
    pub fn take_proof(&mut self, now: Duration) -> Option<Vec<u64>> {
        self.proofs.take_due(now)
    }

    /// Returns whether a proof refutes the conclusion of `at` that something is the cause of crashes.
    #[must_use]
    pub fn is_refuted(&self, cause: Cause, at: Duration) -> bool {
        self.proofs.time_of(cause).is_some_and(|proven| at <= proven + CONCLUSION_TIME)
    }

    /// Returns whether something was shown to be sound shortly before `at`.
    #[must_use]
    pub fn was_sound(&self, cause: Cause, at: Duration) -> bool {
        self.proofs.was_sound(cause, at)
    }

    /// Returns when the next analysis is due, or a proof becomes certain.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.due.into_iter().chain(self.proofs.due()).min()
    }

    /// Returns whether an analysis is due.
    #[must_use]
    pub fn is_analysis_due(&self, now: Duration) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Returns the cause of crashes and their number, if there is enough evidence for one.
    pub fn find_cause(&mut self, common: &CommonParts, now: Duration) -> Option<(Cause, usize)> {
        self.crashes.retain(|_, crash| now < crash.since + CRASH_WINDOW);
        let settles = self.crashes.values().map(|crash| crash.since + SETTLE_TIME);
        self.due = settles.filter(|at| now < *at).min();
        self.last_analysis = now;
        let settled = self.crashes.values().filter(|crash| crash.since + SETTLE_TIME <= now);
        let proofs = &self.proofs;
        let charges = Charges {
            accuses: &|crash, cause| crash.accuses(cause, proofs.time_of(cause)),
            was_sound: &|cause| proofs.was_sound(cause, now),
            is_common: &|cause| common.is_common_cause(cause),
        };
        evidence::find_cause(settled, &charges)
    }

    /// Marks the crashes that something in quarantine was part of as explained by it.
    pub fn mark_explained(&mut self, cause: Cause) {
        let proven = self.proofs.time_of(cause);
        let accusing = self.crashes.values_mut().filter(|crash| crash.accuses(cause, proven));
        accusing.for_each(|crash| crash.cause = Some(cause));
    }

    /// Returns the reports for the next datagram, and counts them as sent.
    pub fn take_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        self.reports.take_due(now)
    }

    /// Returns what was cleared for the next datagram, and counts it as sent.
    pub fn take_cleared(&mut self, now: Duration) -> Vec<Cause> {
        self.cleared.take_due(now)
    }
}

impl Crash {
    /// Adds what a reported call may share with others.
    fn accuse(&mut self, report: &CrashReport) {
        let ran = Duration::from_millis(u64::from(report.ran));
        let parts = report.parts.iter().rev().map(|part| Cause::Part(*part));
        let causes = std::iter::once(Cause::Call(Digest(report.digest))).chain(parts);
        let first = report.parts.first().filter(|_| 1 < report.parts.len());
        let first = first.map(|part| Cause::Part(*part));
        for (breadth, cause) in (0..u8::MAX).zip(causes) {
            let is_first = first == Some(cause);
            if let Some(known) = self.accused.get_mut(&cause) {
                known.ran = known.ran.min(ran);
            } else if self.accused.len() < MAX_ACCUSED_PER_CRASH {
                self.accused.insert(cause, Accusation { ran, breadth, is_first });
            }
        }
    }

    /// Returns whether it counts against something that was proven not to crash endpoints at
    /// `proven`.
    fn accuses(&self, cause: Cause, proven: Option<Duration>) -> bool {
        self.accused.contains_key(&cause) && proven.is_none_or(|proven| proven <= self.since)
    }
}
