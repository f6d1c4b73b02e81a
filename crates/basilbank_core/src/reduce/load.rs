//! What is known of endpoints: load reports, prefix caches, failures and probes.

use std::time::Duration;

use crate::{
    catalogue::Role,
    effect::{Effect, EngineCall, Progress},
    event::{EngineReport, Failure},
    ids::{EndpointId, VmId},
    reduce::slots,
    state::{Aside, Seen, State, Timer},
    time::Now,
};

/// First time that an endpoint is set aside for; it doubles with each failure.
const ASIDE: Duration = Duration::from_millis(250);
/// Longest time that an endpoint is set aside for between two probes.
const MOST_ASIDE: Duration = Duration::from_secs(10);
/// Failures after which an endpoint that can be reached is set aside.
const TOLERATED: u32 = 2;
/// How long an endpoint gets no work after it said that it is full.
const FULL: Duration = Duration::from_millis(250);
/// How long an endpoint gets no work after it said that it is leaving, unless it says otherwise.
const LEAVING: Duration = Duration::from_secs(10);

/// How long an endpoint whose transfers stall gets no work for the first time.
const REST: Duration = Duration::from_secs(1);
/// After this long without another rest, the next one is a first one.
const FORGIVEN: Duration = Duration::from_secs(60);
/// It doubles so many times.
const LONGEST_REST: u32 = 4;

/// A report came from an endpoint.
pub fn reported(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    report: &EngineReport,
    out: &mut Vec<Effect>,
) {
    match report {
        EngineReport::Load { running, age, leaving, .. } => {
            let known = state.health.entry(endpoint);
            known.leaving = *leaving;
            if known.aside.take_if(|a| a.unreachable).is_some() {
                known.failures = 0;
                note(endpoint, "endpoint_back", out);
            }
            measured(state, now, endpoint, *running, *age);
            slots::serve(state, now, endpoint, out);
        }
        EngineReport::Cache { added, evicted, .. } => {
            let prefixes = &mut state.health.prefixes;
            added.iter().for_each(|block| prefixes.add(*block, endpoint));
            evicted.iter().for_each(|block| prefixes.remove(*block, endpoint));
        }
        EngineReport::Silent => blame(state, now, endpoint, Failure::Broken, out),
        EngineReport::Streams(_) | EngineReport::Ordered { .. } | EngineReport::Fenced { .. } => {}
    }
}

/// Compares what an endpoint runs with what its steward granted.
///
/// A stream that no daemon is known to hold (its holder died, or was granted it by another steward)
/// still takes a slot. Granting that slot again would end in a refusal after a whole prefill.
fn measured(state: &mut State, now: Now, endpoint: EndpointId, running: u32, age: Duration) {
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let at = now.mono.saturating_sub(age);
    ledger.seen = Some(Seen { running, at });
    if let Some(learning) = &mut ledger.learning {
        learning.unread = false;
    }
    ledger.learned();
    // Leases that ended since the measurement were running then, so they are no one else's.
    let held = ledger.leases.len() as u32 + ledger.ended_since(at);
    ledger.foreign = running.saturating_sub(held);
}

/// An endpoint failed: what is it to be trusted with next?
pub fn blame(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let jitter = 0.5 + 0.5 * state.rng.unit();
    let known = state.health.entry(endpoint);
    match failure {
        Failure::Evicted | Failure::Taken => return,
        Failure::Full => {
            known.full = Some(now.mono + FULL);
            return;
        }
        Failure::Leaving => {
            known.aside = Some(Aside { until: now.mono + LEAVING, unreachable: true });
            return;
        }
        // One end of a transfer can't tell which of the two is at fault: see `stalled`.
        Failure::Stalled => return,
        Failure::Unreachable => known.failures = (known.failures + 1).max(TOLERATED),
        Failure::Refused | Failure::Broken => known.failures += 1,
    }
    if known.failures < TOLERATED || known.aside.is_some_and(|a| now.mono < a.until) {
        return;
    }
    let doubled = ASIDE * 2u32.saturating_pow((known.failures - TOLERATED).min(16));
    let until = now.mono + doubled.min(MOST_ASIDE).mul_f64(jitter);
    known.aside = Some(Aside { until, unreachable: failure == Failure::Unreachable });
    note(endpoint, "endpoint_aside", out);
}

/// A holder told this daemon, as an endpoint's steward, that a transfer from or to it stalled.
///
/// An endpoint is set aside when its transfers stall with several others and for several daemons: a
/// single pair does not tell which end is at fault, and a daemon whose own way is cut would blame all.
pub fn stalled(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    from: VmId,
    other: EndpointId,
    out: &mut Vec<Effect>,
) {
    let few = state.members.candidates().len() < 2;
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    if !ledger.note_stall(now.mono, from, other, few) {
        return;
    }
    let known = state.health.entry(endpoint);
    let is_again = now.mono < known.rested + FORGIVEN;
    known.stalls = if is_again { (known.stalls + 1).min(LONGEST_REST) } else { 1 };
    let rest = REST * 2u32.pow(known.stalls - 1);
    known.rested = now.mono + rest;
    known.aside = Some(Aside { until: known.rested, unreachable: false });
    note(endpoint, "endpoint_aside", out);
}

fn note(endpoint: EndpointId, name: &'static str, out: &mut Vec<Effect>) {
    let pairs = vec![("endpoint", endpoint.to_string())];
    out.push(Effect::Progress(Progress::Note { name, pairs }));
}

/// Reads loads of the endpoints that this daemon decides on, and probes those that are set aside.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let interval = state.local.tuning.load_interval;
    state.timers.set(now.mono + interval, Timer::Loads);
    let reports = |id: EndpointId| state.view.endpoint(id).is_some_and(|e| e.role != Role::Plain);
    let mut read: Vec<_> = state.slots.ledgers.keys().copied().filter(|e| reports(*e)).collect();
    let mut back = Vec::new();
    for (endpoint, known) in &state.health.known {
        let Some(aside) = known.aside.filter(|a| a.until <= now.mono) else { continue };
        if aside.unreachable && reports(*endpoint) {
            read.push(*endpoint);
        } else {
            back.push(*endpoint);
        }
    }
    read.sort_unstable();
    read.dedup();
    for endpoint in read {
        out.push(Effect::Engine(EngineCall::ReadLoad { endpoint }));
    }
    // Where a load report proves nothing, as plain services have none, the next call is the probe, and
    // its failure sets the endpoint aside for twice as long.
    for endpoint in back {
        state.health.entry(endpoint).aside = None;
        note(endpoint, "endpoint_back", out);
    }
}
