//! What this daemon uses of one entry.

use std::time::Duration;

use super::{Bucket, LimitDemand, LimitShare, RateMeter};
use crate::{catalogue::Limits, ids::VmId, reason::Refusal};

/// Calls within about ten seconds from which a daemon wants a lease. With fewer a lease would lie
/// idle for most of its time, and 10,000 entries in sparse use would cost more messages in leases
/// than in requests.
const MIN_CALLS_FOR_LEASE: f64 = 1.5;
/// With fewer calls than this within about two seconds, they are averaged over ten.
const FEW_CALLS: f64 = 3.0;
/// Rations may save up this many requests, since a call comes only some time after the first one is
/// saved up.
const MAX_SAVED_REQUESTS: f64 = 2.0;
/// And as many as come in this many seconds.
const MAX_SAVED_SECONDS: f64 = 5.0;
/// What a ration saved up is kept for this long without one.
const RATION_MEMORY: Duration = Duration::from_secs(60);
/// Least burst of a lease in requests.
const MIN_LEASE_BURST: f64 = 3.0;
/// Bursts are what comes in this many seconds.
const BURST_SECONDS: f64 = 1.0;

/// What this daemon uses of one entry.
#[derive(Clone, PartialEq, Debug)]
pub struct Usage {
    /// Requests in progress.
    pub running: u32,
    /// Part of the limits that is leased to this daemon, and until when.
    pub lease: Option<(LimitShare, Duration)>,
    /// Until when the steward takes this daemon's calls one by one, though they come often: no lease
    /// is worth it.
    pub trusted_until: Duration,
    /// The steward has plenty: what goes beyond the lease may be taken and told.
    pub is_ample: bool,
    /// The steward that was asked last, and when.
    pub last_asked: Option<(VmId, Duration)>,
    /// Requests taken without a lease that the steward does not know of.
    pub unreported_requests: u32,
    /// Tokens taken, less those given back, without a lease, that it does not know of.
    pub unreported_tokens: i64,
    /// The number of requests in progress that the steward was told.
    pub reported_running: u32,
    /// When something last happened.
    pub last_used: Duration,
    rationed_at: Option<Duration>,
    requests: Bucket,
    tokens: Bucket,
    calls: RateMeter<10>,
    wanted_requests: RateMeter<2>,
    wanted_tokens: RateMeter<2>,
}

impl Usage {
    /// An entry that was not used lately.
    #[must_use]
    pub fn new(share: &LimitShare, mono: Duration) -> Usage {
        Usage {
            running: 0,
            lease: None,
            trusted_until: Duration::ZERO,
            is_ample: false,
            last_asked: None,
            unreported_requests: 0,
            unreported_tokens: 0,
            reported_running: 0,
            last_used: mono,
            rationed_at: None,
            requests: Bucket::full(burst(share.requests), mono),
            tokens: Bucket::full(burst(share.tokens), mono),
            calls: RateMeter::default(),
            wanted_requests: RateMeter::default(),
            wanted_tokens: RateMeter::default(),
        }
    }

    /// A call came, whatever becomes of it.
    pub fn record_call(&mut self, tokens: u32, mono: Duration) {
        self.last_used = mono;
        self.calls.add(1.0, mono);
        self.wanted_requests.add(1.0, mono);
        self.wanted_tokens.add(f64::from(tokens), mono);
    }

    /// Takes one request from a share. Nothing is taken when a part of it is used up.
    ///
    /// # Errors
    /// What is used up.
    pub fn take(
        &mut self,
        limits: &Limits,
        share: &LimitShare,
        tokens: u32,
        mono: Duration,
    ) -> Result<(), Refusal> {
        self.fill(share, mono);
        if 0 < limits.concurrent && share.concurrent <= self.running {
            return Err(Refusal::ConcurrentLimit);
        }
        if 0.0 < limits.requests && self.requests.level < 1.0 {
            return Err(Refusal::RequestLimit);
        }
        if 0.0 < limits.tokens && self.tokens.level <= 0.0 {
            return Err(Refusal::TokenLimit);
        }
        self.requests.level -= 1.0;
        self.tokens.level -= f64::from(tokens);
        Ok(())
    }

    /// An ended request used fewer tokens than it took.
    pub fn give_back(&mut self, unused: u32) {
        self.running = self.running.saturating_sub(1);
        if self.lease.is_some() {
            self.tokens.level += f64::from(unused);
        } else {
            self.unreported_tokens -= i64::from(unused);
        }
    }

    /// A lease came. What was taken without one was told to the steward, so no debt is left.
    pub fn set_lease(&mut self, share: LimitShare, until: Duration, mono: Duration) {
        let former = self.lease.map_or(share, |(former, _)| former);
        self.fill(&former, mono);
        if self.lease.is_none() {
            self.requests.level = self.requests.level.max(0.0);
            self.tokens.level = self.tokens.level.max(0.0);
        }
        self.rationed_at = None;
        self.lease = Some((share, until));
    }

    /// What there is is rationed. Nothing is saved up from before the shortage but the fraction
    /// `chance` of one request: it differs from daemon to daemon, so that they do not all wait for
    /// their first request and then let it through together.
    pub fn set_ration(&mut self, share: LimitShare, until: Duration, chance: f64, mono: Duration) {
        let is_new = self.rationed_at.is_none_or(|at| at + RATION_MEMORY < mono);
        self.rationed_at = Some(mono);
        let former = self.lease.map_or(share, |(former, _)| former);
        self.fill(&former, mono);
        if is_new {
            let recent = self.wanted_requests.rate(mono).max(f64::MIN_POSITIVE);
            let mean_tokens = self.wanted_tokens.rate(mono) / recent;
            self.requests.level = chance;
            self.tokens.level = (chance - 1.0) * mean_tokens;
        }
        self.lease = Some((share, until));
    }

    /// A call that the steward refused runs all the same, since it was sent before.
    pub fn overdraw(&mut self, tokens: u32) {
        self.requests.level -= 1.0;
        self.tokens.level -= f64::from(tokens);
    }

    /// Drops what has run out.
    pub fn expire_lease(&mut self, mono: Duration) {
        self.lease = self.lease.filter(|(_, until)| mono < *until);
    }

    /// Whether calls come often enough for a lease.
    #[must_use]
    pub fn is_frequent(&self, mono: Duration) -> bool {
        MIN_CALLS_FOR_LEASE <= self.calls.sum(mono)
    }

    /// What this daemon's callers want of the entry. Few calls are averaged over a longer time.
    #[must_use]
    pub fn demand(&self, mono: Duration) -> LimitDemand {
        let few = self.wanted_requests.sum(mono) < FEW_CALLS;
        let recent = self.wanted_requests.rate_since_start(mono);
        let requests = if few { self.calls.rate_since_start(mono) } else { recent };
        let tokens =
            self.wanted_tokens.rate_since_start(mono) * requests / recent.max(f64::MIN_POSITIVE);
        let concurrent = self.running + requests.ceil() as u32;
        LimitDemand { requests: requests.max(0.001), tokens, concurrent }
    }

    /// Whether calls come and the lease is nearly used up, so that more should be asked for.
    #[must_use]
    pub fn needs_more(&self, limits: &Limits) -> bool {
        let Some((share, _)) = self.lease else { return false };
        let requests = 0.0 < limits.requests && self.requests.level < burst(share.requests) / 2.0;
        let tokens = 0.0 < limits.tokens && self.tokens.level < burst(share.tokens) / 2.0;
        requests || tokens || (0 < limits.concurrent && share.concurrent <= self.running)
    }

    /// Whether what it has is a ration.
    #[must_use]
    pub fn is_rationed(&self) -> bool {
        self.lease.is_some() && self.rationed_at.is_some()
    }

    /// Whether the steward must be told of something that counts by the entry's limits.
    #[must_use]
    pub fn has_unreported(&self, limits: &Limits) -> bool {
        let requests = 0.0 < limits.requests && self.unreported_requests != 0;
        let tokens = 0.0 < limits.tokens && self.unreported_tokens != 0;
        requests || tokens || (0 < limits.concurrent && self.running != self.reported_running)
    }

    /// Whether it can be forgotten.
    #[must_use]
    pub fn is_idle(&self, limits: &Limits, idle_for: Duration, mono: Duration) -> bool {
        self.running == 0 && !self.has_unreported(limits) && self.last_used + idle_for < mono
    }

    fn fill(&mut self, share: &LimitShare, mono: Duration) {
        let min_burst = match (self.rationed_at, self.lease) {
            (Some(_), _) => MAX_SAVED_REQUESTS.max(share.requests * MAX_SAVED_SECONDS),
            (None, Some(_)) => MIN_LEASE_BURST,
            (None, None) => 1.0,
        };
        self.requests.fill(share.requests, burst(share.requests).max(min_burst), mono);
        self.tokens.fill(share.tokens, burst(share.tokens), mono);
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}
