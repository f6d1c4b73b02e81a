//! The work of waiting completions that goes before another one.

use std::time::Duration;

use super::{Peer, QueuePosition, Request, State, service_hash};

/// Work of waiting completions.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct WorkAhead {
    /// Number of completions.
    pub calls: u32,
    /// Tokens that they take in memory at their ends.
    pub tokens: u64,
}

impl State {
    /// Returns the work that waits ahead of a completion in this position, over all daemons.
    ///
    /// Peers don't report the length of their queues, so each peer with completions waiting at the
    /// service counts as much as this daemon.
    #[must_use]
    pub fn work_ahead(&self, service: &str, position: &QueuePosition, now: Duration) -> WorkAhead {
        let soonest = now + self.tuning.first_token_delay;
        let waiting = self.waiting.iter().filter_map(|id| self.requests.get(id));
        let is_ahead = |r: &&Request| r.service == service && r.queue_position(soonest) < *position;
        let mut own = WorkAhead::default();
        for request in waiting.filter(is_ahead) {
            own.calls = own.calls.saturating_add(1);
            own.tokens = own.tokens.saturating_add(u64::from(request.memory_tokens()));
        }
        let daemons = self.peers_waiting(service).saturating_add(1);
        WorkAhead {
            calls: own.calls.saturating_mul(daemons),
            tokens: own.tokens.saturating_mul(u64::from(daemons)),
        }
    }

    /// Returns the number of peers with completions waiting at a service.
    #[must_use]
    pub fn peers_waiting(&self, service: &str) -> u32 {
        let name = service_hash(service);
        let waits = |peer: &&Peer| peer.waiting.iter().any(|(service, _)| *service == name);
        u32::try_from(self.peers.known.values().filter(waits).count()).unwrap_or(u32::MAX)
    }
}

impl Request {
    /// Returns the tokens that it takes in memory at its end, if it is a completion.
    #[must_use]
    pub fn memory_tokens(&self) -> u32 {
        let prompt = self.call.prompt.as_ref();
        prompt.map_or(0, |prompt| prompt.tokens.saturating_add(prompt.expected_output()))
    }
}
