//! One entry's limits, as its steward shares them out.

use std::time::Duration;

use super::{Bucket, LimitDemand, LimitShare, Meter};
use crate::{catalogue::Limits, ids::VmId, reason::Refusal};

/// A daemon's report is forgotten after this; those with requests in progress report more often.
const FORGET: Duration = Duration::from_secs(25);
/// Part of a limit that stays unleased, so that a daemon whose traffic begins gets a lease at once
/// and not when the others' leases run out.
const SPARE: f64 = 0.04;
/// Bursts are what comes in this many seconds, and at least two requests.
const BURST: f64 = 1.0;

/// One daemon's use of an entry.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Holder {
    /// The daemon.
    pub vm: VmId,
    /// What it wants.
    pub demand: LimitDemand,
    /// What is leased to it.
    pub share: LimitShare,
    /// Until when; past for one without a lease.
    pub until: Duration,
    /// Requests that it has in progress.
    pub running: u32,
    /// When it reported last.
    pub at: Duration,
}

/// One entry's limits, as its steward shares them out.
///
/// Daemons with frequent calls get leases; the rest of the limit is a bucket from which the calls of
/// the others are taken one by one as they are told.
#[derive(Clone, PartialEq, Debug)]
pub struct SharedLimit {
    /// When the first daemon asked.
    pub since: Duration,
    holders: Vec<Holder>,
    requests: Bucket,
    tokens: Bucket,
    sparse_requests: Meter<2>,
    sparse_tokens: Meter<2>,
}

/// What is added up over all daemons.
#[derive(Clone, Copy, Default)]
struct Total {
    requests: f64,
    tokens: f64,
    concurrent: f64,
}

impl SharedLimit {
    /// An entry of which nothing is known to be used.
    #[must_use]
    pub fn new(limits: &Limits, mono: Duration) -> SharedLimit {
        SharedLimit {
            since: mono,
            holders: Vec::new(),
            requests: Bucket::full(burst(limits.requests), mono),
            tokens: Bucket::full(burst(limits.tokens), mono),
            sparse_requests: Meter::default(),
            sparse_tokens: Meter::default(),
        }
    }

    /// Takes a daemon's report in.
    pub fn report(&mut self, vm: VmId, demand: LimitDemand, running: u32, mono: Duration) {
        self.holders.retain(|h| mono < h.at + FORGET && (0 < h.running || mono < h.until));
        let place = self.holders.iter().position(|h| h.vm == vm).unwrap_or_else(|| {
            let (share, until) = (LimitShare::default(), Duration::ZERO);
            self.holders.push(Holder { vm, demand, share, until, running, at: mono });
            self.holders.len() - 1
        });
        let holder = &mut self.holders[place];
        holder.demand = demand;
        holder.running = running;
        holder.at = mono;
        if !demand.wants_lease() {
            holder.until = Duration::ZERO;
            holder.share = LimitShare::default();
        }
    }

    /// Takes what a daemon took without a lease; tokens given back are negative.
    ///
    /// # Errors
    /// What is used up, and how long that will last. Nothing is taken then.
    pub fn take(
        &mut self,
        limits: &Limits,
        requests: u32,
        tokens: i64,
        mono: Duration,
    ) -> Result<(), (Refusal, Duration)> {
        let leased = self.leased(None, mono);
        let rates = (
            (limits.requests - leased.requests).max(0.0),
            (limits.tokens - leased.tokens).max(0.0),
        );
        self.requests.fill(rates.0, burst(limits.requests), mono);
        self.tokens.fill(rates.1, burst(limits.tokens), mono);
        self.sparse_requests.add(f64::from(requests), mono);
        self.sparse_tokens.add(tokens.max(0) as f64, mono);
        if 0 < requests {
            self.check(limits, rates, mono)?;
        }
        self.requests.level -= f64::from(requests);
        self.tokens.level -= tokens as f64;
        Ok(())
    }

    fn check(
        &self,
        limits: &Limits,
        rates: (f64, f64),
        mono: Duration,
    ) -> Result<(), (Refusal, Duration)> {
        let committed = self.committed(None, mono);
        if 0 < limits.concurrent && f64::from(limits.concurrent) < committed {
            return Err((Refusal::ConcurrentLimit, Duration::ZERO));
        }
        if 0.0 < limits.requests && self.requests.level < 1.0 {
            return Err((Refusal::RequestLimit, self.requests.wait(1.0, rates.0)));
        }
        if 0.0 < limits.tokens && self.tokens.level <= 0.0 {
            return Err((Refusal::TokenLimit, self.tokens.wait(0.0, rates.1)));
        }
        Ok(())
    }

    /// Requests that were refused are not in progress after all.
    pub fn uncount(&mut self, vm: VmId, requests: u32) {
        if let Some(holder) = self.holders.iter_mut().find(|h| h.vm == vm) {
            holder.running = holder.running.saturating_sub(requests);
        }
    }

    /// Leases a daemon its part by what it wants, within what is not leased to others. `most` bounds
    /// it further.
    pub fn lease(
        &mut self,
        vm: VmId,
        limits: &Limits,
        most: Option<&LimitShare>,
        until: Duration,
        mono: Duration,
    ) -> LimitShare {
        let wanted = self.wanted(mono);
        let taken = self.leased(Some(vm), mono);
        let committed = self.committed(Some(vm), mono);
        let Some(holder) = self.holders.iter_mut().find(|h| h.vm == vm) else {
            return LimitShare::default();
        };
        let rate = |limit: f64, demand: f64, all: f64, taken: f64, most: Option<f64>| {
            let target = limit * (1.0 - SPARE) * part(demand, all);
            target.min(limit - taken).min(most.unwrap_or(f64::MAX)).max(0.0)
        };
        let demand = holder.demand;
        let slots = f64::from(limits.concurrent);
        let target = (slots * part(f64::from(demand.concurrent), wanted.concurrent)).ceil();
        let concurrent =
            target.min(slots - committed).min(most.map_or(f64::MAX, |m| f64::from(m.concurrent)));
        let share = LimitShare {
            requests: rate(
                limits.requests,
                demand.requests,
                wanted.requests,
                taken.requests,
                most.map(|m| m.requests),
            ),
            tokens: rate(
                limits.tokens,
                demand.tokens,
                wanted.tokens,
                taken.tokens,
                most.map(|m| m.tokens),
            ),
            concurrent: (concurrent.max(0.0) as u32).max(holder.running),
        };
        holder.share = share;
        holder.until = until;
        share
    }

    /// Whether a share is much less than a daemon's part, so that it should ask again soon.
    #[must_use]
    pub fn is_short(&self, vm: VmId, limits: &Limits, mono: Duration) -> bool {
        let wanted = self.wanted(mono);
        let Some(holder) = self.holders.iter().find(|h| h.vm == vm) else { return false };
        let fair = limits.requests * part(holder.demand.requests, wanted.requests);
        let fair_tokens = limits.tokens * part(holder.demand.tokens, wanted.tokens);
        holder.share.requests < fair * 0.8 || holder.share.tokens < fair_tokens * 0.8
    }

    /// Whether nobody uses it any more.
    #[must_use]
    pub fn is_idle(&self, mono: Duration) -> bool {
        self.holders.iter().all(|h| h.at + FORGET < mono)
    }

    /// Daemons that use it.
    #[must_use]
    pub fn holders(&self) -> &[Holder] {
        &self.holders
    }

    fn wanted(&self, mono: Duration) -> Total {
        let mut total = Total {
            requests: self.sparse_requests.rate(mono),
            tokens: self.sparse_tokens.rate(mono),
            concurrent: 0.0,
        };
        for holder in self.holders.iter().filter(|h| mono < h.at + FORGET) {
            total.requests += holder.demand.requests;
            total.tokens += holder.demand.tokens;
            total.concurrent += f64::from(holder.demand.concurrent.max(holder.running));
        }
        total
    }

    fn leased(&self, but: Option<VmId>, mono: Duration) -> Total {
        let mut total = Total::default();
        for holder in self.holders.iter().filter(|h| Some(h.vm) != but && mono < h.until) {
            total.requests += holder.share.requests;
            total.tokens += holder.share.tokens;
        }
        total
    }

    /// Requests that are in progress or may be started by lease.
    fn committed(&self, but: Option<VmId>, mono: Duration) -> f64 {
        let others = self.holders.iter().filter(|h| Some(h.vm) != but);
        let each = others.map(|h| {
            let may_start = if mono < h.until { h.share.concurrent } else { 0 };
            h.running.max(may_start)
        });
        f64::from(each.sum::<u32>())
    }
}

fn part(demand: f64, all: f64) -> f64 {
    if all <= 0.0 { 1.0 } else { (demand / all).min(1.0) }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST).max(2.0)
}
