//! This daemon's use of one entry's limits.

use std::time::Duration;

use super::{Bucket, LimitDemand, LimitShare, RateMeter};
use crate::{catalogue::Limits, ids::VmId, reason::Refusal};

/// Number of calls within about ten seconds from which a daemon wants a lease. With fewer calls, a
/// lease would be idle most of its time, and 10,000 entries in sparse use would cost more messages
/// for leases than for requests.
const MIN_CALLS_FOR_LEASE: f64 = 1.5;
/// If fewer calls than this came within about two seconds, they are averaged over ten seconds.
const FEW_CALLS: f64 = 3.0;
/// Number of requests that any ration may save up, since a call comes only some time after the
/// first one is saved up.
const MIN_RATION_BURST: f64 = 2.0;
/// A ration may save up the requests of this many seconds, if these are more.
const RATION_BURST_SECONDS: f64 = 5.0;
/// How long the savings of a ration are kept without a new ration.
const RATION_SAVINGS_RETENTION: Duration = Duration::from_secs(60);
/// Minimum burst of a lease in requests.
const MIN_LEASE_BURST: f64 = 3.0;
/// A burst is the amount for this many seconds.
const BURST_SECONDS: f64 = 1.0;

/// This daemon's use of one entry's limits.
#[derive(Clone, PartialEq, Debug)]
pub struct Usage {
    /// Number of requests in progress.
    pub running: u32,
    /// Share of the limits that is leased to this daemon, and the expiry of the lease.
    pub lease: Option<(LimitShare, Duration)>,
    /// Until when the owner accepts this daemon's frequent calls one by one, because a lease would
    /// be too small.
    pub trusted_until: Duration,
    /// Whether the owner has ample capacity: calls beyond the lease may be taken and reported.
    pub is_ample: bool,
    /// The owner that was last asked, and when.
    pub last_asked: Option<(VmId, Duration)>,
    /// Requests taken without a lease that are not reported to the owner.
    pub unreported_requests: u32,
    /// Tokens taken without a lease, minus returned ones, that are not reported to the owner.
    pub unreported_tokens: i64,
    /// Number of requests in progress that was last reported to the owner.
    pub reported_running: u32,
    /// When the entry was last used.
    pub last_used: Duration,
    rationed_at: Option<Duration>,
    requests: Bucket,
    tokens: Bucket,
    calls: RateMeter<10>,
    wanted_requests: RateMeter<2>,
    wanted_tokens: RateMeter<2>,
}

impl Usage {
    /// Creates the usage of an entry that was not used lately.
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

    /// Records a call, whether or not it is accepted.
    pub fn record_call(&mut self, tokens: u32, mono: Duration) {
        self.last_used = mono;
        self.calls.add(1.0, mono);
        self.wanted_requests.add(1.0, mono);
        self.wanted_tokens.add(f64::from(tokens), mono);
    }

    /// Takes one request from a share. Nothing is taken when a part of the share is used up.
    ///
    /// # Errors
    /// The part that is used up.
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

    /// Returns the tokens that an ended request took but did not use.
    pub fn give_back(&mut self, unused: u32) {
        self.running = self.running.saturating_sub(1);
        if self.lease.is_some() {
            self.tokens.level += f64::from(unused);
        } else {
            self.unreported_tokens -= i64::from(unused);
        }
    }

    /// Sets a lease. What was taken without one was reported to the owner, so the buckets start
    /// without debt.
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

    /// Sets a ration. Nothing is saved up from before the shortage except the fraction `chance` of
    /// one request. The fraction differs between daemons, so that they do not all save up their
    /// first request and let it through at the same time.
    pub fn set_ration(&mut self, share: LimitShare, until: Duration, chance: f64, mono: Duration) {
        let is_new = self.rationed_at.is_none_or(|at| at + RATION_SAVINGS_RETENTION < mono);
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

    /// Takes a call that the owner refused but that runs anyway, since it was sent before.
    pub fn overdraw(&mut self, tokens: u32) {
        self.requests.level -= 1.0;
        self.tokens.level -= f64::from(tokens);
    }

    /// Drops the lease if it has expired.
    pub fn expire_lease(&mut self, mono: Duration) {
        self.lease = self.lease.filter(|(_, until)| mono < *until);
    }

    /// Whether calls come often enough for a lease.
    #[must_use]
    pub fn is_frequent(&self, mono: Duration) -> bool {
        MIN_CALLS_FOR_LEASE <= self.calls.sum(mono)
    }

    /// Returns the demand of this daemon's callers. Few calls are averaged over a longer time.
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

    /// Whether the lease is nearly used up, so that more should be asked for.
    #[must_use]
    pub fn needs_more(&self, limits: &Limits) -> bool {
        let Some((share, _)) = self.lease else { return false };
        let requests = 0.0 < limits.requests && self.requests.level < burst(share.requests) / 2.0;
        let tokens = 0.0 < limits.tokens && self.tokens.level < burst(share.tokens) / 2.0;
        requests || tokens || (0 < limits.concurrent && share.concurrent <= self.running)
    }

    /// Whether the current lease is a ration.
    #[must_use]
    pub fn is_rationed(&self) -> bool {
        self.lease.is_some() && self.rationed_at.is_some()
    }

    /// Whether the owner must be informed of something that counts towards the entry's limits.
    #[must_use]
    pub fn has_unreported(&self, limits: &Limits) -> bool {
        let requests = 0.0 < limits.requests && self.unreported_requests != 0;
        let tokens = 0.0 < limits.tokens && self.unreported_tokens != 0;
        requests || tokens || (0 < limits.concurrent && self.running != self.reported_running)
    }

    /// Whether the usage can be dropped.
    #[must_use]
    pub fn is_idle(&self, limits: &Limits, idle_for: Duration, mono: Duration) -> bool {
        self.running == 0 && !self.has_unreported(limits) && self.last_used + idle_for < mono
    }

    fn fill(&mut self, share: &LimitShare, mono: Duration) {
        let min_burst = match (self.rationed_at, self.lease) {
            (Some(_), _) => MIN_RATION_BURST.max(share.requests * RATION_BURST_SECONDS),
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
