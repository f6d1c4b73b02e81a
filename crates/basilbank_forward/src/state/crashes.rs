//! Endpoints that crashed, and what the calls that were running there may share with others.
//!
//! A call that crashes every endpoint that runs it is sent again by its caller under another id, to
//! any daemon, and takes down all calls that run beside it. So do calls that share a part of their
//! prompts which crashes endpoints, and no two of them need to be alike. So each daemon reports which
//! of its calls were running at an endpoint that crashed, with the parts of their prompts, and all
//! daemons draw the same conclusion from all reports.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
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

/// Maximum number of crashes that are kept, the bits of a [`CrashSet`]; the latest ones are.
const MAX_CRASHES: usize = CrashSet::BITS as usize;

/// Maximum number of calls and parts of prompts that are kept for all crashes, some megabytes. Beyond it
/// the oldest crashes are dropped. It holds more crashes than show a cause, also with as many parts in
/// each prompt as fit into the longest head.
const MAX_ACCUSATIONS: usize = 1 << 15;

/// Maximum number of parts in one report. Longer prompts are reported in several.
const MAX_PARTS_PER_REPORT: usize = 64;

/// Maximum number of bytes of reports, and of what was cleared, in one datagram. The rest follows in the
/// next ones.
const MAX_REPORT_BYTES: usize = 8 << 10;
const MAX_CLEARED_BYTES: usize = 2 << 10;

/// Size of a report without parts, and of a part or of something cleared, in bytes.
const REPORT_BYTES: usize = 24;
const PART_BYTES: usize = 8;

/// Maximum number of own broken calls that are kept until it is known whether their endpoint has
/// crashed.
const MAX_BROKEN_CALLS: usize = 1024;

/// Number of crashes from which on peers are told of a proof about a part of prompts. With fewer the
/// part is no cause to anybody, and common parts would be announced by all daemons at once.
const MIN_ANNOUNCED_CRASHES: u32 = 2;

/// A set of crashes, by their slots.
pub type CrashSet = u128;

/// Crashes that this daemon knows, and its announcements about them.
#[derive(Debug, Default)]
pub struct Crashes {
    broken_calls: VecDeque<BrokenCall>,
    crashes: BTreeMap<u32, Crash>,
    /// The crashes that something was part of, unless it was shown to be sound since.
    accusers: HashMap<Cause, CrashSet>,
    /// When the crash in each slot was first reported.
    times: HashMap<u32, Duration>,
    /// Number of accusations over all crashes.
    accusations: usize,
    /// Number of accusations and reports that were dropped, as there were too many.
    dropped: usize,
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
    /// Its place in a [`CrashSet`].
    pub slot: u32,
    /// What the calls that were running there may share with others.
    pub accused: HashMap<Cause, Accusation>,
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
    pub breadth: u32,
    /// Whether it is the first of several parts of its prompt.
    pub is_first: bool,
    /// Whether an own call with it was running there.
    pub is_own: bool,
}

impl Crashes {
    /// Returns the number of calls and parts of prompts that are kept, over all crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accusations
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
        let call = BrokenCall { endpoint, traits, ran, at: now, answered: false };
        let fits = push_bounded(&mut self.broken_calls, call, MAX_BROKEN_CALLS);
        self.dropped += usize::from(!fits);
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
        let mut calls: Vec<_> = self.broken_calls.iter().filter(there).collect();
        calls.sort_by_key(|call| call.ran);
        let mut reported = HashSet::new();
        let reports: Vec<_> =
            calls.into_iter().flat_map(|call| call.reports(hash, &mut reported)).collect();
        self.broken_calls.retain(|call| call.endpoint != endpoint);
        self.proofs.drop_pending(endpoint);
        for report in &reports {
            self.dropped += usize::from(!self.reports.push(report.clone()));
        }
        reports
    }

    /// Returns the number of accusations and reports that were dropped since the last call.
    pub fn take_dropped(&mut self) -> usize {
        std::mem::take(&mut self.dropped)
    }

    /// Applies a report of this daemon, if `is_own`, or a peer. `cause` is the one of the reported call's
    /// traits that is in quarantine.
    pub fn apply_report(
        &mut self,
        report: &CrashReport,
        cause: Option<Cause>,
        is_own: bool,
        now: Duration,
    ) {
        if !self.crashes.contains_key(&report.endpoint) {
            self.add_crash(report.endpoint, now);
        }
        let Some(crash) = self.crashes.get_mut(&report.endpoint) else { return };
        crash.cause = crash.cause.or(cause);
        let (since, bit) = (crash.since, 1 << crash.slot);
        for (cause, accusation) in accusations(report, is_own) {
            if self.proofs.time_of(cause).is_some_and(|proven| since < proven) {
                continue;
            }
            if let Some(known) = crash.accused.get_mut(&cause) {
                known.ran = known.ran.min(accusation.ran);
                known.is_own |= is_own;
                continue;
            }
            crash.accused.insert(cause, accusation);
            self.accusations += 1;
            *self.accusers.entry(cause).or_default() |= bit;
        }
        let settled = (since + SETTLE_TIME).max(self.last_analysis + MIN_ANALYSIS_INTERVAL);
        self.due = Some(self.due.map_or(settled, |due| due.min(settled)));
        while MAX_ACCUSATIONS < self.accusations && self.remove_oldest_crash() {}
    }

    fn add_crash(&mut self, endpoint: u32, now: Duration) {
        if self.crashes.len() == MAX_CRASHES {
            self.remove_oldest_crash();
        }
        let is_free = |slot: &u32| !self.times.contains_key(slot);
        let Some(slot) = (0..CrashSet::BITS).find(is_free) else { return };
        self.times.insert(slot, now);
        let crash = Crash { since: now, slot, accused: HashMap::new(), cause: None };
        self.crashes.insert(endpoint, crash);
    }

    /// Removes the oldest crash, and returns whether there was one.
    fn remove_oldest_crash(&mut self) -> bool {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.since);
        let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) else { return false };
        self.dropped += self.remove_crash(endpoint);
        true
    }

    /// Removes a crash, and returns how much it accused.
    fn remove_crash(&mut self, endpoint: u32) -> usize {
        let Some(crash) = self.crashes.remove(&endpoint) else { return 0 };
        self.times.remove(&crash.slot);
        self.accusations -= crash.accused.len();
        for cause in crash.accused.keys() {
            remove_accuser(&mut self.accusers, *cause, crash.slot);
        }
        crash.accused.len()
    }

    /// Returns the crashes that something explains.
    fn explained(&self) -> CrashSet {
        let explained = self.crashes.values().filter(|crash| crash.cause.is_some());
        explained.fold(0, |all, crash| all | 1 << crash.slot)
    }

    /// Returns the crashes that count against this.
    fn accusers_of(&self, cause: Cause) -> CrashSet {
        self.accusers.get(&cause).copied().unwrap_or_default()
    }

    /// Returns whether this was part of a crash that nothing explains yet.
    #[must_use]
    pub fn is_suspect(&self, cause: Cause) -> bool {
        self.accusers_of(cause) & !self.explained() != 0
    }

    /// Returns whether an own call with this was running at an endpoint that crashed, and nothing has
    /// shown it to be sound since.
    #[must_use]
    pub fn is_own_suspect(&self, cause: Cause) -> bool {
        let accuses = |crash: &Crash| crash.accused.get(&cause).is_some_and(|known| known.is_own);
        self.accusers_of(cause) != 0 && self.crashes.values().any(accuses)
    }

    /// Returns whether calls with one of these traits may well crash their next endpoint: it was part
    /// of several crashes that nothing explains yet.
    #[must_use]
    pub fn is_risky(&self, traits: &SharedTraits) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let explained = self.explained();
        let count = |cause| {
            evidence::count_crashes(cause, self.times_of(self.accusers_of(cause) & !explained))
        };
        traits.causes().any(|cause| MIN_CRASHES <= count(cause) + 1)
    }

    fn times_of(&self, crashes: CrashSet) -> Vec<Duration> {
        let times = evidence::slots(crashes).filter_map(|slot| self.times.get(&slot));
        times.copied().collect()
    }

    /// Returns until when it is undecided whether one of a call's traits is the cause of crashes: it
    /// was part of enough crashes, and not all daemons with calls there have reported.
    #[must_use]
    pub fn undecided_until(&self, traits: &SharedTraits, now: Duration) -> Option<Duration> {
        if self.crashes.is_empty() {
            return None;
        }
        let explained = self.explained();
        let undecided = |cause| {
            let times = self.times_of(self.accusers_of(cause) & !explained);
            let last = times.iter().max()?.saturating_add(SETTLE_TIME + MIN_ANALYSIS_INTERVAL);
            let count = match self.proofs.was_sound(cause, now) {
                true => evidence::count_crashes(cause, times),
                false => times.len(),
            };
            let is_enough = MIN_CRASHES <= count;
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
        for crash in self.crashes.values_mut() {
            if crash.cause == Some(cause) {
                crash.cause = None;
            }
        }
        self.drop_accusations(cause, now);
    }

    /// Drops the accusations of something that was shown to be sound at `proven`.
    fn drop_accusations(&mut self, cause: Cause, proven: Duration) {
        if self.accusers_of(cause) == 0 {
            return;
        }
        for crash in self.crashes.values_mut().filter(|crash| crash.since < proven) {
            if crash.accused.remove(&cause).is_some() {
                self.accusations -= 1;
                remove_accuser(&mut self.accusers, cause, crash.slot);
            }
        }
    }

    /// Clears something of which a peer says that it doesn't crash endpoints.
    pub fn clear_by_peer(&mut self, cause: Cause, now: Duration) {
        self.cleared.remove(&cause);
        self.clear(cause, now);
    }

    /// Clears something of suspicion, and tells peers if they may suspect it.
    pub fn clear_and_announce(&mut self, cause: Cause, now: Duration) {
        // Crashes that a single call explains may still count against the parts of its prompt.
        let min = if cause.is_part() { MIN_ANNOUNCED_CRASHES } else { 1 };
        let is_suspect = min <= self.accusers_of(cause).count_ones();
        self.clear(cause, now);
        if is_suspect {
            self.announce_cleared(cause);
        }
    }

    /// Tells peers that something doesn't crash endpoints.
    pub fn announce_cleared(&mut self, cause: Cause) {
        self.dropped += usize::from(!self.cleared.push(cause));
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
        let is_over = |crash: &Crash| crash.since + CRASH_WINDOW <= now;
        let over: Vec<_> =
            self.crashes.iter().filter(|(_, c)| is_over(c)).map(|(hash, _)| *hash).collect();
        for hash in over {
            self.remove_crash(hash);
        }
        let settles = self.crashes.values().map(|crash| crash.since + SETTLE_TIME);
        self.due = settles.filter(|at| now < *at).min();
        self.last_analysis = now;
        let is_settled = |crash: &&Crash| crash.since + SETTLE_TIME <= now;
        let settled: Vec<_> = self.crashes.values().filter(is_settled).collect();
        let charges = Charges {
            accusers: &self.accusers,
            was_sound: &|cause| self.proofs.was_sound(cause, now),
            is_in_all: &|cause| common.is_in_all(cause, now),
            broad_count: &|cause| common.broad_count(cause),
        };
        evidence::find_cause(&settled, &charges)
    }

    /// Marks the crashes that something in quarantine was part of as explained by it.
    pub fn mark_explained(&mut self, cause: Cause) {
        let accusers = self.accusers_of(cause);
        let accusing = self.crashes.values_mut().filter(|crash| accusers & (1 << crash.slot) != 0);
        accusing.for_each(|crash| crash.cause = Some(cause));
    }

    /// Returns whether something new didn't fit into the last datagram.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.reports.has_unsent() || self.cleared.has_unsent()
    }

    /// Returns the reports for the next datagram, and counts them as sent.
    pub fn take_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        let bytes = |report: &CrashReport| REPORT_BYTES + PART_BYTES * report.parts.len();
        self.reports.take_due(now, MAX_REPORT_BYTES, bytes)
    }

    /// Returns what was cleared for the next datagram, and counts it as sent.
    pub fn take_cleared(&mut self, now: Duration) -> Vec<Cause> {
        self.cleared.take_due(now, MAX_CLEARED_BYTES, |_| PART_BYTES)
    }
}

impl BrokenCall {
    /// Returns the reports of this call at a crashed endpoint, without the parts that others have
    /// `reported` for the same crash.
    fn reports(&self, endpoint: u32, reported: &mut HashSet<u64>) -> Vec<CrashReport> {
        let parts = &self.traits.parts;
        let report = |parts: Vec<u64>, before: usize, behind: usize| CrashReport {
            endpoint,
            digest: self.traits.digest.0,
            ran: u32::try_from(self.ran.as_millis()).unwrap_or(u32::MAX),
            parts,
            before: u32::try_from(before).unwrap_or(u32::MAX),
            behind: u32::try_from(behind).unwrap_or(u32::MAX),
        };
        let mut reports = Vec::new();
        let mut run = Vec::new();
        for (at, part) in parts.iter().enumerate() {
            let is_new = reported.insert(*part);
            if is_new {
                run.push(*part);
            }
            let is_over = !is_new || run.len() == MAX_PARTS_PER_REPORT || at + 1 == parts.len();
            if is_over && !run.is_empty() {
                let end = at + usize::from(is_new);
                let run = std::mem::take(&mut run);
                let before = end - run.len();
                reports.push(report(run, before, parts.len() - end));
            }
        }
        if reports.is_empty() {
            reports.push(report(Vec::new(), parts.len(), 0));
        }
        reports
    }
}

/// Returns what a report accuses.
fn accusations(
    report: &CrashReport,
    is_own: bool,
) -> impl Iterator<Item = (Cause, Accusation)> + '_ {
    let ran = Duration::from_millis(u64::from(report.ran));
    let whole = Accusation { ran, breadth: 0, is_first: false, is_own };
    let is_single = report.parts.len() == 1 && report.behind == 0;
    let parts = report.parts.iter().enumerate().map(move |(at, part)| {
        let narrower = u32::try_from(report.parts.len() - at).unwrap_or(u32::MAX);
        let breadth = report.behind.saturating_add(narrower);
        let is_first = at == 0 && report.before == 0 && !is_single;
        (Cause::Part(*part), Accusation { breadth, is_first, ..whole })
    });
    std::iter::once((Cause::Call(Digest(report.digest)), whole)).chain(parts)
}

fn remove_accuser(accusers: &mut HashMap<Cause, CrashSet>, cause: Cause, slot: u32) {
    if let Some(crashes) = accusers.get_mut(&cause) {
        *crashes &= !(1 << slot);
        if *crashes == 0 {
            accusers.remove(&cause);
        }
    }
}
