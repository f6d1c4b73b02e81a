//! What has been shown not to crash endpoints.
//!
//! A part of prompts that crashes endpoints does so when one begins to write an answer on it. So an
//! answer that has been written for some time, or to its end, shows that none of its prompt's parts
//! is the cause of the crashes before.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::announcements::push_bounded;
use crate::{call::Cause, endpoint::EndpointKey};

/// Maximum number of proofs that are kept, some megabytes; the latest ones are. Without one, what is
/// sound may be suspected in the place of what it comes with.
const MAX_PROOFS: usize = 1 << 16;

/// Maximum number of short answers whose proof is not certain yet.
const MAX_PENDING: usize = 256;

/// Time after a short answer's end in which its endpoint must not crash for the answer to be a proof.
const PROBATION: Duration = Duration::from_secs(1);

/// Time for which something that was shown to be sound is less suspect than what was not.
const SOUND_TIME: Duration = Duration::from_secs(30);

/// What has been shown not to crash endpoints, and when that was last shown.
#[derive(Debug, Default)]
pub struct Proofs {
    proven: HashMap<Cause, Duration>,
    /// All proofs in order. Something that was shown anew has an older entry as well.
    order: VecDeque<(Duration, Cause)>,
    pending: VecDeque<PendingProof>,
}

/// A short answer: its endpoint may yet crash for it.
#[derive(Debug)]
struct PendingProof {
    endpoint: EndpointKey,
    parts: Vec<u64>,
    due: Duration,
}

impl Proofs {
    /// Returns when it was last shown that this doesn't crash endpoints.
    #[must_use]
    pub fn time_of(&self, cause: Cause) -> Option<Duration> {
        self.proven.get(&cause).copied()
    }

    /// Returns whether it was shown shortly before `at` that this doesn't crash endpoints.
    #[must_use]
    pub fn was_sound(&self, cause: Cause, at: Duration) -> bool {
        self.time_of(cause).is_some_and(|proven| at <= proven + SOUND_TIME)
    }

    /// Records that this doesn't crash endpoints.
    pub fn record(&mut self, cause: Cause, now: Duration) {
        self.proven.insert(cause, now);
        self.order.push_back((now, cause));
        // The order also has what was shown anew; it is made short again now and then.
        if 2 * MAX_PROOFS < self.order.len() {
            let proven = &self.proven;
            self.order.retain(|(at, cause)| proven.get(cause) == Some(at));
        }
        while MAX_PROOFS < self.proven.len()
            && let Some((at, cause)) = self.order.pop_front()
        {
            if self.proven.get(&cause) == Some(&at) {
                self.proven.remove(&cause);
            }
        }
    }

    /// Records the end of a short answer on these parts.
    pub fn record_short_answer(&mut self, endpoint: EndpointKey, parts: Vec<u64>, now: Duration) {
        let pending = PendingProof { endpoint, parts, due: now + PROBATION };
        push_bounded(&mut self.pending, pending, MAX_PENDING);
    }

    /// Drops the pending proofs of an endpoint that may have crashed.
    pub fn drop_pending(&mut self, endpoint: EndpointKey) {
        self.pending.retain(|pending| pending.endpoint != endpoint);
    }

    /// Returns when the next pending proof becomes certain.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.pending.front().map(|pending| pending.due)
    }

    /// Returns the parts of the next pending proof that has become certain.
    pub fn take_due(&mut self, now: Duration) -> Option<Vec<u64>> {
        let is_due = self.due().is_some_and(|due| due <= now);
        let pending = if is_due { self.pending.pop_front() } else { None };
        pending.map(|pending| pending.parts)
    }
}
