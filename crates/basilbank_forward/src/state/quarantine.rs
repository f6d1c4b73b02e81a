//! Calls that are not sent to endpoints, since they crash them.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use basilbank_wire::Quarantined;

use crate::call::Digest;

/// How long a call stays here after it came last. One that still comes is still deadly, as far as anybody
/// knows; finding out would cost endpoints.
const STAYS: Duration = Duration::from_secs(3600);

/// Calls that are kept; beyond it the one that would leave first goes.
const MOST: usize = 512;

/// Datagrams that carry each new one, besides heartbeats.
const TELLINGS: u8 = 3;

/// All of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    calls: BTreeMap<Digest, Stay>,
    /// The one that was told last; heartbeats tell them in turn.
    last: Digest,
}

#[derive(Clone, Copy, Debug)]
struct Stay {
    until: Duration,
    told: u8,
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
    pub fn left(&self, digest: Digest, now: Duration) -> Option<Duration> {
        let stay = self.calls.get(&digest).filter(|stay| now < stay.until)?;
        Some(stay.until - now)
    }

    /// Takes a call in, or one in that came again.
    pub fn add(&mut self, digest: Digest, now: Duration) {
        self.keep(digest, now + STAYS);
    }

    /// Takes a peer's word in; true when it is news.
    pub fn hear(&mut self, told: &Quarantined, now: Duration) -> bool {
        let digest = Digest(told.digest);
        let fresh = self.left(digest, now).is_none();
        let left = Duration::from_secs(u64::from(told.left)).min(STAYS);
        self.keep(digest, now + left);
        fresh
    }

    fn keep(&mut self, digest: Digest, until: Duration) {
        if self.calls.len() == MOST && !self.calls.contains_key(&digest) {
            let first = self.calls.iter().min_by_key(|(_, stay)| stay.until);
            let first = first.map(|(digest, _)| *digest);
            first.map(|digest| self.calls.remove(&digest));
        }
        let stay = self.calls.entry(digest).or_insert(Stay { until, told: 0 });
        stay.until = stay.until.max(until);
    }

    /// New ones for the next datagram, and some of the others in turn.
    pub fn tell(&mut self, others: usize, now: Duration) -> Vec<Quarantined> {
        self.calls.retain(|_, stay| now < stay.until);
        let after = self.calls.range((Bound::Excluded(self.last), Bound::Unbounded));
        let after = after.chain(self.calls.range(..=self.last));
        let others: Vec<_> = after.take(others).map(|(digest, _)| *digest).collect();
        self.last = others.last().copied().unwrap_or(self.last);
        let mut told = Vec::new();
        for (digest, stay) in &mut self.calls {
            let fresh = stay.told < TELLINGS;
            stay.told += u8::from(fresh);
            if fresh || others.contains(digest) {
                let left = u32::try_from((stay.until - now).as_secs()).unwrap_or(u32::MAX);
                told.push(Quarantined { digest: digest.0, left });
            }
        }
        told
    }
}
