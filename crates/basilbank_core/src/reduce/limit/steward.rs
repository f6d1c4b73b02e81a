//! An entry's steward shares its limits out.

use std::time::Duration;

use basilbank_wire::{AskLimit, LimitLease, LimitRefusal};

use super::limits;
use crate::{
    catalogue::Limits,
    ids::{EntryId, VmId},
    reason::Refusal,
    state::{LimitDemand, LimitShare, SharedLimit, State},
    time::Now,
};

/// Length of a lease.
const TTL: Duration = Duration::from_secs(2);
/// Length of a lease that is less than its holder's part: others' leases shrink meanwhile.
const SHORT: Duration = Duration::from_millis(500);
/// The steward counts a lease for this much longer than its holder, who hears of it later.
const GRACE: Duration = Duration::from_millis(100);
/// For this long after the live members changed, another daemon may still lease as steward.
const CAUTION: Duration = Duration::from_secs(5);
/// Shortest time for which calls are refused.
const LEAST_REFUSAL: Duration = Duration::from_millis(200);

/// Takes a report in, and gives the lease or refusal that answers it, if one is due.
pub fn decide(state: &mut State, now: Now, from: VmId, ask: &AskLimit) -> Option<LimitLease> {
    let entry = EntryId(ask.entry);
    let presence = &state.members.presence;
    if !presence.listed || presence.waiting.is_some() {
        return None;
    }
    let whole = limits(state, entry)?;
    let limits = reachable_part(state, &whole);
    let changed = state.members.changed_at;
    let listed = state.members.ring().len().max(1) as f64;
    let shared = state.limits.shared.entry(entry);
    let shared = shared.or_insert_with(|| SharedLimit::new(&limits, now.mono));
    let demand = LimitDemand::of(ask);
    shared.report(from, demand, ask.running, now.mono);
    let taken = shared.take(&limits, ask.taken, ask.taken_tokens, now.mono);
    if !demand.wants_lease() {
        let (refusal, wait) = taken.err()?;
        shared.uncount(from, ask.taken);
        return Some(refused(entry, refusal, wait));
    }
    let is_new = changed <= shared.since && now.mono < changed + CAUTION;
    let most = is_new.then(|| careful(ask, &whole, listed));
    let share = shared.lease(from, &limits, most.as_ref(), now.mono + TTL + GRACE, now.mono);
    let ttl = if shared.is_short(from, &limits, now.mono) { SHORT } else { TTL };
    let mut lease = LimitLease { entry: entry.0, ..LimitLease::default() };
    share.write(&mut lease, ttl);
    Some(lease)
}

/// Forgets entries that nobody uses any more.
pub fn forget(state: &mut State, now: Now) {
    state.limits.shared.retain(|_, shared| !shared.is_idle(now.mono));
}

/// What a steward leases while another may still do so: what the asker has anyway, or its part by
/// the length of the list. Without this, whatever the former steward leased would come on top.
fn careful(ask: &AskLimit, whole: &Limits, listed: f64) -> LimitShare {
    let part = LimitShare::fraction(whole, 1.0 / listed);
    LimitShare {
        requests: part.requests.max(ask.held as f64 / 1000.0),
        tokens: part.tokens.max(ask.held_tokens as f64),
        concurrent: part.concurrent.max(ask.running),
    }
}

/// The limits by the share of the listed members that are heard: in a partition each side has its
/// part, so that both together have no more than the whole.
fn reachable_part(state: &State, limits: &Limits) -> Limits {
    let census = state.members.census(|m| m.live);
    if census.heard == census.of {
        return *limits;
    }
    let part = census.heard as f64 / census.of.max(1) as f64;
    let share = LimitShare::fraction(limits, part);
    let concurrent = if 0 < limits.concurrent { share.concurrent } else { 0 };
    Limits { requests: share.requests, tokens: share.tokens, concurrent, ..*limits }
}

fn refused(entry: EntryId, refusal: Refusal, wait: Duration) -> LimitLease {
    let refused = match refusal {
        Refusal::ConcurrentLimit => LimitRefusal::Concurrent,
        Refusal::TokenLimit => LimitRefusal::Tokens,
        _ => LimitRefusal::Requests,
    };
    let ttl = wait.clamp(LEAST_REFUSAL, TTL).as_millis() as u32;
    LimitLease { entry: entry.0, ttl, refused: refused.into(), ..LimitLease::default() }
}
