//! Bounds of the values in a peer's datagram.
//!
//! What no daemon can have measured or counted is ignored, row by row; a time that is longer than any
//! that is asked for is shortened. So one false row neither overflows a sum nor decides for the others.

use std::time::Duration;

use basilbank_wire::{
    CallLimitReport, EndpointLoad, LoadGossip, QuotaCounted, QuotaState, QuotaUse,
    ServiceGenerationStats, WaitingForVersion,
};

use crate::state::{
    call_limits::MAX_CALL_LIMIT,
    generation::{MAX_SQUARES, MAX_SUM_SECONDS, MAX_SUM_TOKENS},
    owned_quotas::ASK_PERIOD,
};

/// Maximum start time of a process, in milliseconds since the Unix epoch: some thousand years.
const MAX_INCARNATION: u64 = 1 << 47;

/// Maximum number of daemons of a fleet.
const MAX_FLEET: u32 = 4096;

/// Maximum number of tokens that one daemon's calls have at an endpoint.
pub const MAX_LOAD_TOKENS: u32 = 1 << 28;

/// Maximum number of calls that one daemon has at an endpoint.
const MAX_LOAD_CALLS: u32 = 1 << 16;

/// Maximum wait for a permit. An issuer keeps no queue that is longer.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(10);

/// Maximum absolute value of a sum that is taken of a quota. A float holds it exactly.
const MAX_QUOTA_SUM: u64 = 1 << 53;

/// Maximum time for which a team is refused without asking the quota's owner again. Callers return
/// after it.
pub const MAX_QUOTA_WAIT: Duration = Duration::from_secs(4);

/// Bounds the values of a datagram.
pub fn bound(gossip: &mut LoadGossip) {
    gossip.incarnation = gossip.incarnation.min(MAX_INCARNATION);
    if MAX_FLEET < gossip.fleet.max(gossip.fleet_peak) {
        (gossip.fleet, gossip.fleet_peak) = (0, 0);
    }
    if !gossip.loads().all(|load| is_possible_load(&load)) {
        retain_possible_loads(gossip);
    }
    gossip.bound.retain(is_possible_demand);
    gossip.paces.retain(is_possible_pace);
    gossip.limits.retain_mut(bound_limit);
    for permit in &mut gossip.permits {
        permit.wait = permit.wait.min(to_ms(MAX_PERMIT_WAIT));
    }
    gossip.quota_uses.retain(is_possible_use);
    gossip.quota_states.iter_mut().for_each(bound_quota_state);
}

fn is_possible_demand(demand: &WaitingForVersion) -> bool {
    (1..=MAX_LOAD_CALLS).contains(&demand.calls) && demand.tokens <= MAX_LOAD_TOKENS
}

fn is_possible_load(load: &EndpointLoad) -> bool {
    load.tokens <= MAX_LOAD_TOKENS && load.calls <= MAX_LOAD_CALLS
}

fn retain_possible_loads(gossip: &mut LoadGossip) {
    let loads: Vec<_> = gossip.loads().filter(is_possible_load).collect();
    for list in [&mut gossip.endpoints, &mut gossip.tokens, &mut gossip.calls, &mut gossip.left] {
        list.clear();
    }
    *gossip = std::mem::take(gossip).with_loads(loads);
}

fn is_possible_pace(row: &ServiceGenerationStats) -> bool {
    let is_possible = |value: f32, max: f64| (0.0..=max).contains(&f64::from(value));
    is_possible(row.tokens, MAX_SUM_TOKENS)
        && is_possible(row.seconds, MAX_SUM_SECONDS)
        && is_possible(row.squares, MAX_SQUARES)
        && is_possible(row.errors, MAX_SQUARES)
}

/// An impossible rate says nothing, and least of all that there is no limit.
fn bound_limit(report: &mut CallLimitReport) -> bool {
    let is_possible = report.rate.is_none_or(|rate| rate.is_finite() && 0.0 <= rate);
    report.rate = report.rate.map(|rate| rate.min(MAX_CALL_LIMIT));
    is_possible
}

fn is_possible_use(usage: &QuotaUse) -> bool {
    [usage.taken, usage.acknowledged].iter().all(|sum| sum.unsigned_abs() <= MAX_QUOTA_SUM)
}

fn bound_quota_state(state: &mut QuotaState) {
    let is_possible = |counted: &QuotaCounted| counted.taken.unsigned_abs() <= MAX_QUOTA_SUM;
    state.counted = state.counted.filter(is_possible);
    state.ask_for = state.ask_for.min(to_ms(ASK_PERIOD));
    if let Some(answer) = &mut state.answer {
        answer.wait = answer.wait.min(to_ms(MAX_QUOTA_WAIT));
    }
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
