//! Calls that are not sent to endpoints, since they crash them.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use basilbank_wire::QuarantinedCall;

use crate::call::Digest;

/// How long a call stays here after it came last. One that still comes is still deadly, as far as anybody
/// knows; finding out would cost endpoints.
const QUARANTINE_TIME: Duration = Duration::from_secs(3600);

/// Calls that are kept; beyond it the one that would leave first goes.
const MAX_CALLS: usize = 512;

/// Datagrams that carry each new one, besides heartbeats.
const REPETITIONS: u8 = 3;

/// All of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    calls: BTreeMap<Digest, Entry>,
    /// The one that was told last; heartbeats tell them in turn.
    last_reported: Digest,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    until: Duration,
    report_count: u8,
}

impl Quarantine {
    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// There are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// For how much longer a call is here.
    #[must_use]
    pub fn time_left(&self, digest: Digest, now: Duration) -> Option<Duration> {
        let entry = self.calls.get(&digest).filter(|entry| now < entry.until)?;
        Some(entry.until - now)
    }

    /// Takes a call in, or one in that came again.
    pub fn add(&mut self, digest: Digest, now: Duration) {
        self.extend(digest, now + QUARANTINE_TIME);
    }

    /// Takes a peer's word in; true when it is news.
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

    /// New ones for the next datagram, and some of the others in turn.
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
