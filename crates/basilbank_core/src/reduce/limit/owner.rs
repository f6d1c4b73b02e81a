//! Distributes an entry's limits among daemons: the owner's side.

use std::time::Duration;

use basilbank_wire::{AskLimit, LimitAnswer, LimitLease};

use super::limits;
use crate::{
    catalogue::Limits,
    ids::{EntryId, VmId},
    reason::Refusal,
    state::{LeaseTerms, LimitDemand, LimitShare, SharedLimit, Shortage, State},
    time::Now,
};

/// Duration of a lease.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Duration of a lease that is smaller than its holder's fair share; other leases shrink meanwhile.
const SHORT_LEASE_TTL: Duration = Duration::from_millis(500);
/// Time that the owner counts a lease beyond its duration, because the holder receives it later.
const LEASE_GRACE: Duration = Duration::from_millis(100);
/// Time after a change of the live members in which another daemon may still grant leases as owner.
const TAKEOVER_CAUTION: Duration = Duration::from_secs(5);
/// Calls per second assumed for a daemon that reports no demand.
const RARE_CALLS_PER_SECOND: f64 = 0.1;
/// Time for which a daemon may take frequent calls without a lease. Each call is reported, so an
/// owner that has to stop the daemon can do so, and an owner that is gone is no longer the owner.
const TRUST_TTL: Duration = Duration::from_secs(30);
/// Duration of a ration: long enough for a rare call to arrive.
const RATION_TTL: Duration = Duration::from_secs(10);
/// Duration of a ration for a daemon that has reported no demand.
const UNKNOWN_DEMAND_TTL: Duration = Duration::from_secs(3);
/// Duration of a ration when the limit on requests in progress is nearly used up, because what the
/// ration allows is soon granted to another daemon.
const CONCURRENCY_TTL: Duration = Duration::from_secs(1);

/// Handles a daemon's report. Returns the lease or refusal that answers it, if an answer is needed.
pub fn answer_report(
    state: &mut State,
    now: Now,
    from: VmId,
    ask: &AskLimit,
) -> Option<LimitLease> {
    let entry = EntryId(ask.entry);
    let own_status = &state.members.own_status;
    if !own_status.has_list || own_status.rejoining_since.is_some() {
        return None;
    }
    let full_limits = limits(state, entry)?;
    let limits = reachable_limits(state, &full_limits);
    let changed = state.members.changed_at;
    let listed = state.members.listed().len().max(1) as f64;
    let shared = state.limits.shared.entry(entry);
    let shared = shared.or_insert_with(|| SharedLimit::new(now.mono));
    shared.fill(&limits, now.mono);
    shared.update_holder(from, LimitDemand::from_ask(ask), ask.running, now.mono);
    let is_new = changed <= shared.since && now.mono < changed + TAKEOVER_CAUTION;
    let per_vm = LimitShare::fraction(&full_limits, 1.0 / listed);
    let max_lease = is_new.then(|| cautious_share(ask, &per_vm));
    let (limits, per_vm, max_lease) = (&limits, &per_vm, max_lease.as_ref());
    let terms = LeaseTerms { vm: from, limits, per_vm, max_lease, mono: now.mono };
    let taken = shared.take(limits, ask.taken, ask.taken_tokens, now.mono);
    if LimitDemand::from_ask(ask).wants_lease()
        && let Some(share) = shared.lease(&terms, now.mono + LEASE_TTL + LEASE_GRACE)
    {
        if taken.is_err() {
            shared.overdraw(ask.taken, ask.taken_tokens);
        }
        return Some(lease_answer(shared, &terms, entry, &share));
    }
    answer_without_lease(shared, &terms, ask, taken)
}

/// Returns the answer that carries a lease.
fn lease_answer(
    shared: &SharedLimit,
    terms: &LeaseTerms<'_>,
    entry: EntryId,
    share: &LimitShare,
) -> LimitLease {
    let ttl =
        if shared.is_nearly_leased(terms.limits, terms.mono) { SHORT_LEASE_TTL } else { LEASE_TTL };
    let is_ample = shared.is_ample(terms.limits, terms.mono);
    let kind = if is_ample { LimitAnswer::Ample } else { LimitAnswer::Leased };
    answer(entry, share, ttl, kind)
}

/// Returns the answer to a daemon that gets no lease because it would be too small: trust while
/// there is enough, a ration when there is not, and no answer when the daemon asked for nothing and
/// the limits are not used up.
fn answer_without_lease(
    shared: &mut SharedLimit,
    terms: &LeaseTerms<'_>,
    ask: &AskLimit,
    taken: Result<(), Refusal>,
) -> Option<LimitLease> {
    let entry = EntryId(ask.entry);
    let is_demand_unknown = !LimitDemand::from_ask(ask).wants_lease();
    let shortage = shared.shortage(terms.limits, terms.mono);
    let kind = match (taken, shortage) {
        (Err(refusal), _) => refusal_answer(refusal),
        (Ok(()), _) if is_demand_unknown => return None,
        (Ok(()), Some(_)) => LimitAnswer::Rationed,
        (Ok(()), None) => {
            return Some(answer(entry, &LimitShare::default(), TRUST_TTL, LimitAnswer::Trusted));
        }
    };
    if is_demand_unknown {
        shared.update_holder(terms.vm, rare_demand(ask), ask.running, terms.mono);
    }
    let is_slot_shortage = shortage == Some(Shortage::Slots) || kind == LimitAnswer::NoSlots;
    let ttl = match (is_slot_shortage, is_demand_unknown) {
        (true, _) => CONCURRENCY_TTL,
        (false, true) => UNKNOWN_DEMAND_TTL,
        (false, false) => RATION_TTL,
    };
    let share = shared.ration(terms, terms.mono + ttl + LEASE_GRACE);
    Some(answer(entry, &share, ttl, kind))
}

fn answer(entry: EntryId, share: &LimitShare, ttl: Duration, answer: LimitAnswer) -> LimitLease {
    let mut lease = LimitLease { entry: entry.0, answer: answer.into(), ..LimitLease::default() };
    share.write_to(&mut lease, ttl);
    lease
}

/// Forgets entries that no daemon uses any more.
pub fn forget_idle(state: &mut State, now: Now) {
    state.limits.shared.retain(|_, shared| !shared.is_idle(now.mono));
}

/// Returns the assumed demand of a daemon whose calls are rare: about the rate from which a daemon
/// asks for a lease.
fn rare_demand(ask: &AskLimit) -> LimitDemand {
    let tokens = ask.taken_tokens.max(0) as f64 * RARE_CALLS_PER_SECOND;
    LimitDemand { requests: RARE_CALLS_PER_SECOND, tokens, concurrent: ask.running + 1 }
}

/// Returns the most that an owner leases while its predecessor may still grant leases: what the
/// daemon already holds, or the limit divided by the number of listed VMs. Without this bound,
/// whatever the former owner leased would be granted a second time.
fn cautious_share(ask: &AskLimit, per_vm: &LimitShare) -> LimitShare {
    LimitShare {
        requests: per_vm.requests.max(ask.held as f64 / 1000.0),
        tokens: per_vm.tokens.max(ask.held_tokens as f64),
        concurrent: per_vm.concurrent.max(ask.running),
    }
}

/// Returns the limits multiplied by the fraction of listed members that are in contact. In a
/// partition each side has its fraction, so both together use no more than the limits.
fn reachable_limits(state: &State, limits: &Limits) -> Limits {
    let members = state.members.count_members(|m| m.live);
    if members.in_contact == members.total {
        return *limits;
    }
    let fraction = members.in_contact as f64 / members.total.max(1) as f64;
    let share = LimitShare::fraction(limits, fraction);
    let concurrent = if 0 < limits.concurrent { share.concurrent } else { 0 };
    Limits { requests: share.requests, tokens: share.tokens, concurrent, ..*limits }
}

fn refusal_answer(refusal: Refusal) -> LimitAnswer {
    match refusal {
        Refusal::ConcurrentLimit => LimitAnswer::NoSlots,
        Refusal::TokenLimit => LimitAnswer::NoTokens,
        _ => LimitAnswer::NoRequests,
    }
}
