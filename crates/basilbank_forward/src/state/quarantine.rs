//! Calls that are not sent to endpoints, since they crash them.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use basilbank_wire::QuarantinedCall;

use crate::call::Digest;

/// Time for which a call stays in quarantine after it last arrived. A call that is still being sent
/// must be assumed to still crash endpoints; trying it out would cost endpoints.
const QUARANTINE_TIME: Duration = Duration::from_secs(3600);

/// Maximum number of calls in quarantine. Beyond it, the one that would be released first is
/// removed.
const MAX_CALLS: usize = 512;

/// Number of datagrams that report each new call, in addition to heartbeats.
const REPETITIONS: u8 = 3;

/// The calls in quarantine.
#[derive(Debug, Default)]
pub struct Quarantine {
    calls: BTreeMap<Digest, Entry>,
    /// The call that a heartbeat reported last; heartbeats report all calls in turn.
    last_reported: Digest,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    until: Duration,
    report_count: u8,
}

impl Quarantine {
    /// Returns the number of calls in quarantine.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is in quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the time for which a call remains in quarantine, if it is there.
    #[must_use]
    pub fn time_left(&self, digest: Digest, now: Duration) -> Option<Duration> {
        let entry = self.calls.get(&digest).filter(|entry| now < entry.until)?;
        Some(entry.until - now)
    }

    /// Adds a call, or extends the time of one that has arrived again.
    pub fn add(&mut self, digest: Digest, now: Duration) {
        self.extend(digest, now + QUARANTINE_TIME);
    }

    /// Applies a peer's report, and returns whether its call wasn't in quarantine before.
    pub fn apply_report(&mut self, report: &QuarantinedCall, now: Duration) -> bool {
        let digest = Digest(report.digest);
        let is_new = self.time_left(digest, now).is_none();
        let left = Duration::from_secs(u64::from(report.left)).min(QUARANTINE_TIME);
        self.extend(digest, now + left);
        is_new
    }

    fn extend(&mut self, digest: Digest, until: Duration) {
        if self.calls.len() == MAX_CALLS && !self.calls.contains_key(&digest) {
            let first = self.calls.iter().min_by_key(|(_, entry)| entry.until);
            let first = first.map(|(digest, _)| *digest);
            first.map(|digest| self.calls.remove(&digest));
        }
        let entry = self.calls.entry(digest).or_insert(Entry { until, report_count: 0 });
        entry.until = entry.until.max(until);
    }

    /// Returns the calls to report in the next datagram: the new ones, and `others` of the rest in
    /// turn.
    pub fn take_reports(&mut self, others: usize, now: Duration) -> Vec<QuarantinedCall> {
        self.calls.retain(|_, entry| now < entry.until);
        let after = self.calls.range((Bound::Excluded(self.last_reported), Bound::Unbounded));
        let after = after.chain(self.calls.range(..=self.last_reported));
        let others: Vec<_> = after.take(others).map(|(digest, _)| *digest).collect();
        self.last_reported = others.last().copied().unwrap_or(self.last_reported);
        let mut reports = Vec::new();
        for (digest, entry) in &mut self.calls {
            let is_new = entry.report_count < REPETITIONS;
            entry.report_count += u8::from(is_new);
            if is_new || others.contains(digest) {
                let left = u32::try_from((entry.until - now).as_secs()).unwrap_or(u32::MAX);
                reports.push(QuarantinedCall { digest: digest.0, left });
            }
        }
        reports
    }
}
