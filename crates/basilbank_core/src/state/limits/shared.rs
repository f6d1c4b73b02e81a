//! One entry's limits, as its owner shares them out.

use std::time::Duration;

use super::{
    Bucket, LimitDemand, LimitShare, RateMeter,
    portion::{Portion, Portions, SHORTAGE_FRACTION, SPARE_FRACTION},
};
use crate::{catalogue::Limits, ids::VmId, reason::Refusal};

/// How long a daemon's report counts. Daemons with requests in progress report more often.
const REPORT_RETENTION: Duration = Duration::from_secs(25);
/// If the amount for this many seconds is left, the limit has ample capacity.
const AMPLE_SECONDS: f64 = 0.1;
/// Minimum number of requests of a lease, over its duration or at once.
const MIN_LEASE_REQUESTS: f64 = 3.0;
/// Duration of a lease in seconds.
const LEASE_SECONDS: f64 = 2.0;
/// A burst is the amount for this many seconds, but at least `MIN_BURST`.
const BURST_SECONDS: f64 = 1.0;
/// Minimum burst in requests.
const MIN_BURST: f64 = 2.0;

/// One daemon's use of an entry.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Holder {
    /// The daemon that uses the entry.
    pub vm: VmId,
    /// Its demand.
    pub demand: LimitDemand,
    /// Share that is leased to it.
    pub share: LimitShare,
    /// Expiry of the lease; in the past for a daemon without one.
    pub lease_until: Duration,
    /// Number of its requests in progress.
    pub running: u32,
    /// When it last reported.
    pub reported_at: Duration,
}

/// One entry's limits, as its owner shares them out.
///
/// Daemons with frequent calls get leases. The rest of the limit is a bucket from which the
/// reported calls of all other daemons are taken one by one.
#[derive(Clone, PartialEq, Debug)]
pub struct SharedLimit {
    /// When the first daemon asked.
    pub since: Duration,
    holders: Vec<Holder>,
    requests: Bucket,
    tokens: Bucket,
    sparse_requests: RateMeter<2>,
    sparse_tokens: RateMeter<2>,
}

/// Inputs of the decision on a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms<'a> {
    /// The daemon that gets the lease.
    pub vm: VmId,
    /// Limits of the entry.
    pub limits: &'a Limits,
    /// The limits divided by the number of listed VMs.
    pub per_vm: &'a LimitShare,
    /// Maximum that may be leased to the daemon.
    pub max_lease: Option<&'a LimitShare>,
    /// The current time.
    pub mono: Duration,
}

/// Which part of the limits is short.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shortage {
    /// Requests or tokens a second.
    Rate,
    /// Concurrent requests.
    Slots,
}

/// Sums over all daemons.
#[derive(Clone, Copy, Default)]
struct Total {
    requests: f64,
    tokens: f64,
    concurrent: f64,
}

impl SharedLimit {
    /// Creates the limits of an entry without any known use.
    #[must_use]
    pub fn new(mono: Duration) -> SharedLimit {
        SharedLimit {
            since: mono,
            holders: Vec::new(),
            requests: Bucket::full(MIN_BURST, mono),
            tokens: Bucket::full(MIN_BURST, mono),
            sparse_requests: RateMeter::default(),
            sparse_tokens: RateMeter::default(),
        }
    }

    /// Records a daemon's report.
    pub fn update_holder(&mut self, vm: VmId, demand: LimitDemand, running: u32, mono: Duration) {
        self.holders.retain(|h| {
            mono < h.reported_at + REPORT_RETENTION && (0 < h.running || mono < h.lease_until)
        });
        let index = self.holders.iter().position(|h| h.vm == vm).unwrap_or_else(|| {
            let (share, until) = (LimitShare::default(), Duration::ZERO);
            self.holders.push(Holder {
                vm,
                demand,
                share,
                lease_until: until,
                running,
                reported_at: mono,
            });
            self.holders.len() - 1
        });
        let holder = &mut self.holders[index];
        // Daemons ask after they have had more calls than usual, so the demand that they report is
        // too high.
        let is_renewal = mono < holder.lease_until && holder.demand.wants_lease();
        holder.demand = if is_renewal { holder.demand.average_with(&demand) } else { demand };
        holder.running = running;
        holder.reported_at = mono;
        if !demand.wants_lease() {
            holder.lease_until = Duration::ZERO;
            holder.share = LimitShare::default();
        }
    }

    /// Fills the buckets at the rates that are not leased.
    pub fn fill(&mut self, limits: &Limits, mono: Duration) {
        let leased = self.leased(None, mono);
        let requests = (limits.requests - leased.requests).max(0.0);
        let tokens = (limits.tokens - leased.tokens).max(0.0);
        self.requests.fill(requests, burst(limits.requests), mono);
        self.tokens.fill(tokens, burst(limits.tokens), mono);
    }

    /// Takes what a daemon used beyond its lease, even if the buckets are empty; they get negative
    /// levels.
    pub fn overdraw(&mut self, requests: u32, tokens: i64) {
        self.requests.level -= f64::from(requests);
        self.tokens.level -= tokens as f64;
    }

    /// Whether there is ample capacity, so that bursts need no lease.
    #[must_use]
    pub fn is_ample(&self, limits: &Limits, mono: Duration) -> bool {
        let wanted = self.wanted(None, mono);
        let requests = wanted.requests <= limits.requests * SHORTAGE_FRACTION
            && (limits.requests * AMPLE_SECONDS).max(MIN_BURST) <= self.requests.level;
        let tokens = wanted.tokens <= limits.tokens * SHORTAGE_FRACTION
            && limits.tokens * AMPLE_SECONDS <= self.tokens.level;
        (limits.requests <= 0.0 || requests) && (limits.tokens <= 0.0 || tokens)
    }

    /// Takes what a daemon used without a lease; returned tokens are negative.
    ///
    /// # Errors
    /// The part of the limits that is used up. Nothing is taken in this case.
    pub fn take(
        &mut self,
        limits: &Limits,
        requests: u32,
        tokens: i64,
        mono: Duration,
    ) -> Result<(), Refusal> {
        self.sparse_requests.add(f64::from(requests), mono);
        self.sparse_tokens.add(tokens.max(0) as f64, mono);
        if 0 < requests {
            self.check_available(limits, mono)?;
        }
        self.overdraw(requests, tokens);
        Ok(())
    }

    fn check_available(&self, limits: &Limits, mono: Duration) -> Result<(), Refusal> {
        let committed = self.committed(None, mono);
        if 0 < limits.concurrent && f64::from(limits.concurrent) < committed {
            return Err(Refusal::ConcurrentLimit);
        }
        if 0.0 < limits.requests && self.requests.level < 1.0 {
            return Err(Refusal::RequestLimit);
        }
        if 0.0 < limits.tokens && self.tokens.level <= 0.0 {
            return Err(Refusal::TokenLimit);
        }
        Ok(())
    }

    /// Grants a daemon a lease according to its demand, within what is not leased to others and at
    /// most `LeaseTerms::max_lease`. Returns `None` when the lease would be too small: leases of
    /// less than a few requests are idle at one daemon while another one's callers are refused.
    pub fn lease(&mut self, terms: &LeaseTerms<'_>, until: Duration) -> Option<LimitShare> {
        let all = self.portions(terms)?;
        let mean_tokens = all.tokens.demand / all.requests.demand.max(f64::MIN_POSITIVE);
        let is_worth = all.requests.is_worthwhile(MIN_LEASE_REQUESTS / LEASE_SECONDS)
            && all.tokens.is_worthwhile(MIN_LEASE_REQUESTS / LEASE_SECONDS * mean_tokens)
            && all.slots.is_worthwhile(MIN_LEASE_REQUESTS);
        if !is_worth {
            return None;
        }
        let slots = all.slots.lease_size() as u32;
        Some(self.grant(terms.vm, all.requests.lease_size(), all.tokens.lease_size(), slots, until))
    }

    /// Grants a daemon a ration, however small, while demand exceeds the limit. The daemon has few
    /// calls, so the ration must last until one of them comes.
    pub fn ration(&mut self, terms: &LeaseTerms<'_>, until: Duration) -> LimitShare {
        let Some(all) = self.portions(terms) else { return LimitShare::default() };
        let running = self.running_requests(terms.vm);
        let is_free = all.slots.leased + f64::from(running) < all.slots.limit;
        let slots = running + u32::from(is_free);
        self.grant(terms.vm, all.requests.ration_size(), all.tokens.ration_size(), slots, until)
    }

    /// Returns which part of the limits is short, if the demand is too high for the limits.
    #[must_use]
    pub fn shortage(&self, limits: &Limits, mono: Duration) -> Option<Shortage> {
        if 0 < limits.concurrent && f64::from(limits.concurrent) <= self.committed(None, mono) {
            return Some(Shortage::Slots);
        }
        let wanted = self.wanted(None, mono);
        let requests = 0.0 < limits.requests
            && (self.requests.level < 1.0 || limits.requests * SHORTAGE_FRACTION < wanted.requests);
        let tokens = 0.0 < limits.tokens
            && (self.tokens.level <= 0.0 || limits.tokens * SHORTAGE_FRACTION < wanted.tokens);
        (requests || tokens).then_some(Shortage::Rate)
    }

    fn grant(
        &mut self,
        vm: VmId,
        requests: f64,
        tokens: f64,
        slots: u32,
        until: Duration,
    ) -> LimitShare {
        let Some(holder) = self.holders.iter_mut().find(|h| h.vm == vm) else {
            return LimitShare::default();
        };
        let share = LimitShare { requests, tokens, concurrent: slots.max(holder.running) };
        holder.share = share;
        holder.lease_until = until;
        share
    }

    fn running_requests(&self, vm: VmId) -> u32 {
        self.holders.iter().find(|h| h.vm == vm).map_or(0, |h| h.running)
    }

    fn portions(&mut self, terms: &LeaseTerms<'_>) -> Option<Portions> {
        let LeaseTerms { vm, limits, per_vm, max_lease, mono } = *terms;
        let wanted = self.wanted(Some(vm), mono);
        let taken = self.leased(Some(vm), mono);
        let committed = self.committed(Some(vm), mono);
        let equal_fraction = 1.0 / (self.holders.len() + 1) as f64;
        let holder = self.holders.iter_mut().find(|h| h.vm == vm)?;
        holder.lease_until = Duration::ZERO;
        let demand = holder.demand;
        let max_of = |of: fn(&LimitShare) -> f64| max_lease.map_or(f64::MAX, of);
        Some(Portions {
            requests: Portion {
                limit: limits.requests,
                demand: demand.requests,
                wanted: wanted.requests,
                leased: taken.requests,
                equal_fraction,
                per_vm: per_vm.requests,
                max_lease: max_of(|m| m.requests),
            },
            tokens: Portion {
                limit: limits.tokens,
                demand: demand.tokens,
                wanted: wanted.tokens,
                leased: taken.tokens,
                equal_fraction,
                per_vm: per_vm.tokens,
                max_lease: max_of(|m| m.tokens),
            },
            slots: Portion {
                limit: f64::from(limits.concurrent),
                demand: f64::from(demand.concurrent),
                wanted: wanted.concurrent,
                leased: committed,
                equal_fraction,
                per_vm: f64::from(per_vm.concurrent),
                max_lease: max_of(|m| f64::from(m.concurrent)),
            },
        })
    }

    /// Whether nearly all of a limit is leased, so that a daemon that needs more should ask again
    /// soon.
    #[must_use]
    pub fn is_nearly_leased(&self, limits: &Limits, mono: Duration) -> bool {
        let leased = self.leased(None, mono);
        let is_exhausted =
            |limit: f64, leased: f64| 0.0 < limit && limit * (1.0 - SPARE_FRACTION / 2.0) < leased;
        is_exhausted(limits.requests, leased.requests) || is_exhausted(limits.tokens, leased.tokens)
    }

    /// Whether no daemon uses the entry any more.
    #[must_use]
    pub fn is_idle(&self, mono: Duration) -> bool {
        self.holders.iter().all(|h| h.reported_at + REPORT_RETENTION < mono)
    }

    /// Returns the daemons that use the entry.
    #[must_use]
    pub fn holders(&self) -> &[Holder] {
        &self.holders
    }

    /// Sums the demand of daemons with leases, of `include` even if it has none, and of daemons
    /// whose calls are taken one by one.
    fn wanted(&self, include: Option<VmId>, mono: Duration) -> Total {
        let mut total = Total {
            requests: self.sparse_requests.rate(mono),
            tokens: self.sparse_tokens.rate(mono),
            concurrent: 0.0,
        };
        for holder in &self.holders {
            let has_lease = mono < holder.lease_until || Some(holder.vm) == include;
            let demand = if has_lease { holder.demand } else { LimitDemand::default() };
            total.requests += demand.requests;
            total.tokens += demand.tokens;
            total.concurrent += f64::from(demand.concurrent.max(holder.running));
        }
        total
    }

    fn leased(&self, except: Option<VmId>, mono: Duration) -> Total {
        let mut total = Total::default();
        for holder in self.holders.iter().filter(|h| Some(h.vm) != except && mono < h.lease_until) {
            total.requests += holder.share.requests;
            total.tokens += holder.share.tokens;
        }
        total
    }

    /// Returns the number of requests that are in progress or may be started under leases.
    fn committed(&self, except: Option<VmId>, mono: Duration) -> f64 {
        let others = self.holders.iter().filter(|h| Some(h.vm) != except);
        let each = others.map(|h| {
            let may_start = if mono < h.lease_until { h.share.concurrent } else { 0 };
            h.running.max(may_start)
        });
        f64::from(each.sum::<u32>())
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(MIN_BURST)
}
