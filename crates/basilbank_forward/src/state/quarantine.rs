//! Calls that are not sent to endpoints, since they crash them: single ones, and all that share a part
//! of their prompts.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use basilbank_wire::QuarantinedCall;

use crate::call::{Cause, Digest, SharedTraits};

/// Time for which a call stays in quarantine after it last arrived. A call that is still being sent
/// must be assumed to still crash endpoints; trying it out would cost endpoints.
const QUARANTINE_TIME: Duration = Duration::from_secs(3600);

/// Maximum number of entries. Beyond it, the one that would be released first is removed.
const MAX_ENTRIES: usize = 512;

/// Number of datagrams that report each new entry, in addition to heartbeats.
const REPETITIONS: u8 = 3;

/// The calls and parts of prompts in quarantine.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Cause, Entry>,
    /// What a heartbeat reported last; heartbeats report all entries in turn.
    last_reported: Option<Cause>,
    /// Number of entries that were dropped, as there were too many.
    dropped: usize,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    until: Duration,
    /// When a daemon last found it to be the cause of crashes.
    found_at: Duration,
    report_count: u8,
}

impl Quarantine {
    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is in quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the time for which something remains in quarantine, if it is there.
    #[must_use]
    pub fn time_left(&self, cause: impl Into<Cause>, now: Duration) -> Option<Duration> {
        let entry = self.entries.get(&cause.into()).filter(|entry| now < entry.until)?;
        Some(entry.until - now)
    }

    /// Returns the time for which a call with these traits is kept from endpoints, if it is.
    #[must_use]
    pub fn call_time_left(&self, traits: &SharedTraits, now: Duration) -> Option<Duration> {
        traits.causes().filter_map(|cause| self.time_left(cause, now)).max()
    }

    /// Adds the cause of crashes that was found now.
    pub fn add(&mut self, cause: Cause, now: Duration) {
        self.insert(cause, now + QUARANTINE_TIME, now);
    }

    /// Removes something, and returns whether it was in quarantine.
    pub fn remove(&mut self, cause: Cause) -> bool {
        self.entries.remove(&cause).is_some()
    }

    /// Extends the time of those of a call's traits that are in quarantine, since the call has arrived
    /// again. Returns whether there is one.
    pub fn extend(&mut self, traits: &SharedTraits, now: Duration) -> bool {
        let mut is_any = false;
        for cause in traits.causes() {
            let entry = self.entries.get_mut(&cause).filter(|entry| now < entry.until);
            if let Some(entry) = entry {
                entry.until = now + QUARANTINE_TIME;
                is_any = true;
            }
        }
        is_any
    }

    /// Applies a peer's report, and returns whether its subject wasn't in quarantine before.
    pub fn apply_report(&mut self, report: &QuarantinedCall, now: Duration) -> bool {
        let cause = reported_cause(report);
        let is_new = self.time_left(cause, now).is_none();
        let left = Duration::from_secs(u64::from(report.left)).min(QUARANTINE_TIME);
        self.insert(cause, now + left, found_at(report, now));
        is_new
    }

    fn insert(&mut self, cause: Cause, until: Duration, found_at: Duration) {
        if self.entries.len() == MAX_ENTRIES && !self.entries.contains_key(&cause) {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            let first = first.map(|(cause, _)| *cause);
            first.map(|cause| self.entries.remove(&cause));
            self.dropped += 1;
        }
        let new_entry = Entry { until, found_at, report_count: 0 };
        let entry = self.entries.entry(cause).or_insert(new_entry);
        entry.until = entry.until.max(until);
        entry.found_at = entry.found_at.max(found_at);
    }

    /// Returns the number of entries that were dropped since the last call.
    pub fn take_dropped(&mut self) -> usize {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the entries to report in the next datagram: the new ones, and `others` of the rest in
    /// turn.
    pub fn take_reports(&mut self, others: usize, now: Duration) -> Vec<QuarantinedCall> {
        self.entries.retain(|_, entry| now < entry.until);
        let last = self.last_reported;
        let after = last.map_or(Bound::Unbounded, Bound::Excluded);
        let before = last.into_iter().flat_map(|last| self.entries.range(..=last));
        let in_turn = self.entries.range((after, Bound::Unbounded)).chain(before);
        let others: Vec<_> = in_turn.take(others).map(|(cause, _)| *cause).collect();
        self.last_reported = others.last().copied().or(self.last_reported);
        let mut reports = Vec::new();
        for (cause, entry) in &mut self.entries {
            let is_new = entry.report_count < REPETITIONS;
            entry.report_count += u8::from(is_new);
            if is_new || others.contains(cause) {
                reports.push(report(*cause, entry, now));
            }
        }
        reports
    }
}

fn report(cause: Cause, entry: &Entry, now: Duration) -> QuarantinedCall {
    let digest = match cause {
        Cause::Call(digest) => digest.0,
        Cause::Part(id) => id,
    };
    let left = u32::try_from((entry.until - now).as_secs()).unwrap_or(u32::MAX);
    let ago = now.saturating_sub(entry.found_at).as_millis();
    let ago = u32::try_from(ago).unwrap_or(u32::MAX);
    QuarantinedCall { digest, left, is_part: cause.is_part(), ago }
}

/// Returns what a peer reports to be in quarantine.
#[must_use]
pub fn reported_cause(report: &QuarantinedCall) -> Cause {
    match report.is_part {
        true => Cause::Part(report.digest),
        false => Cause::Call(Digest(report.digest)),
    }
}

/// Returns when that was found to be the cause of crashes.
#[must_use]
pub fn found_at(report: &QuarantinedCall, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(u64::from(report.ago)))
}
