//! The ids that requests over one connection had.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Maximum time for which an id is remembered. Any time that is added to a clock needs a bound.
const MAX_REMEMBERED: Duration = Duration::from_secs(3600);

/// Minimum number of ids between two searches for those that no request can have any more.
const MIN_SWEEP: usize = 32;

/// The id of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SentId<'a> {
    /// The id.
    pub id: &'a str,
    /// Time after which no other request has it.
    pub remaining: Duration,
}

/// The ids that requests over one connection had. All attempts of a call have its id, so two of them
/// over one connection would leave nothing by which their answers could be told apart.
#[derive(Debug, Default)]
pub struct CarriedIds {
    /// Hashes of the ids, each with the time after which no attempt of its call is sent.
    ids: Vec<(u64, Instant)>,
    /// Number of ids at which old ones are looked for.
    sweep_at: usize,
}

impl CarriedIds {
    /// Records the id of a request that is sent now.
    pub fn record(&mut self, sent: SentId<'_>, now: Instant) {
        if self.sweep_at.max(MIN_SWEEP) <= self.ids.len() {
            self.ids.retain(|(_, until)| now < *until);
            self.sweep_at = 2 * self.ids.len();
        }
        let until = now + sent.remaining.min(MAX_REMEMBERED);
        self.ids.push((xxh3_64(sent.id.as_bytes()), until));
    }

    /// Returns whether a request had this id.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        let hash = xxh3_64(id.as_bytes());
        self.ids.iter().any(|(other, _)| *other == hash)
    }
}
