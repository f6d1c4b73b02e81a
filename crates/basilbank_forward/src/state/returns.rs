//! Refused calls that return: when their callers were told to, and how they are recognized.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::call::Digest;

/// Time for which a refused call is remembered.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(15);

/// Maximum number of refused calls that are remembered. The oldest ones are dropped beyond that.
pub const MAX_RECORDS: usize = 4096;

/// Fraction of the time that a caller was told to wait before which it counts as returning early.
const EARLIEST_FRACTION: f64 = 0.9;

/// The daemon and the ticket of a question whether a call returns.
pub type Claim = (Option<SocketAddr>, u64);

/// A refused call.
#[derive(Clone, Copy, Debug)]
struct Record {
    return_from: Duration,
    first_arrived: Duration,
    until: Duration,
    /// The question that it was used for. The answer is repeated when the question is.
    claimed: Option<Claim>,
}

/// Refused calls that this daemon keeps, and the times that callers were told to return at.
#[derive(Debug, Default)]
pub struct Returns {
    records: HashMap<Digest, Record>,
    /// When records end, in order. A record that was made anew has an older entry as well.
    ends: VecDeque<(Duration, Digest)>,
    /// When the next refused caller is told to return at the earliest, by the pool that it competes
    /// for.
    next_places: HashMap<String, Duration>,
}

impl Returns {
    /// Records a refused call whose caller was told to wait for `wait`. A later refusal replaces an
    /// earlier one.
    pub fn record(
        &mut self,
        digest: Digest,
        wait: Duration,
        first_arrived: Duration,
        now: Duration,
    ) {
        let return_from = now + wait.min(RECORD_LIFETIME).mul_f64(EARLIEST_FRACTION);
        let until = now + RECORD_LIFETIME;
        let record = Record { return_from, first_arrived, until, claimed: None };
        self.records.insert(digest, record);
        self.ends.push_back((until, digest));
        while self.ends.front().is_some_and(|(at, _)| *at <= now) || MAX_RECORDS < self.ends.len() {
            self.remove_first();
        }
    }

    /// Uses the record of a call that arrives. Returns when its caller's first try arrived if it
    /// returns as it was told; one that returns early counts as new.
    pub fn claim(&mut self, digest: Digest, claim: Claim, now: Duration) -> Option<Duration> {
        let record = self.records.get_mut(&digest).filter(|record| now < record.until)?;
        if record.claimed.is_some_and(|other| other != claim) {
            return None;
        }
        if record.claimed.is_none() && now < record.return_from {
            self.records.remove(&digest);
            return None;
        }
        record.claimed = Some(claim);
        Some(record.first_arrived)
    }

    /// Returns the time at which a caller that is refused now is told to return: `earliest` or the
    /// place behind those refused before, whichever is later, but no later than `latest`. Places
    /// are `spacing` apart. `jitter`, from 0 to 1, is the fraction of it that is added.
    pub fn take_place(
        &mut self,
        pool: &str,
        (earliest, latest): (Duration, Duration),
        spacing: Duration,
        jitter: f64,
    ) -> Duration {
        let next = self.next_places.get(pool).copied().unwrap_or_default();
        let place = next.max(earliest);
        // Places that no caller can be told don't delay those who are refused later.
        let following = (place + spacing).min(latest.max(earliest) + spacing);
        self.next_places.insert(pool.to_owned(), following);
        (place + spacing.mul_f64(jitter)).min(latest.max(earliest))
    }

    /// Returns the number of refused calls that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no refused calls are remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_first(&mut self) {
        let Some((until, digest)) = self.ends.pop_front() else { return };
        if self.records.get(&digest).is_some_and(|record| record.until <= until) {
            self.records.remove(&digest);
        }
    }
}
