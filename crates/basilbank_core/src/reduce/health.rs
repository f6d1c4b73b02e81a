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
const MIN_EXCLUSION: Duration = Duration::from_millis(250);
/// Longest time that an endpoint is set aside for between two probes.
const MAX_EXCLUSION: Duration = Duration::from_secs(10);
/// Failures after which an endpoint that can be reached is set aside.
const EXCLUSION_THRESHOLD: u32 = 2;
/// How long an endpoint gets no work after it said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(250);
/// How long an endpoint gets no work after it said that it is leaving, unless it says otherwise.
const LEAVING_EXCLUSION: Duration = Duration::from_secs(10);

/// How long an endpoint whose transfers stall gets no work for the first time.
const MIN_STALL_EXCLUSION: Duration = Duration::from_secs(1);
/// After this long without another rest, the next one is a first one.
const STALL_COUNT_RESET: Duration = Duration::from_secs(60);
/// It doubles so many times.
const MAX_STALL_COUNT: u32 = 4;

/// A report came from an endpoint.
pub fn on_report(
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
                log_endpoint(endpoint, "endpoint_back", out);
            }
            reconcile_ledger(state, now, endpoint, *running, *age);
            slots::grant_waiting(state, now, endpoint, out);
        }
        EngineReport::Cache { added, evicted, .. } => {
            let prefixes = &mut state.health.prefixes;
            added.iter().for_each(|block| prefixes.add(*block, endpoint));
            evicted.iter().for_each(|block| prefixes.remove(*block, endpoint));
        }
        EngineReport::NoResponse => record_failure(state, now, endpoint, Failure::Broken, out),
        EngineReport::Streams(_)
        | EngineReport::OrderAccepted { .. }
        | EngineReport::OrderFenced { .. } => {}
    }
}

/// Compares what an endpoint runs with what its steward granted.
///
/// A stream that no daemon is known to hold (its holder died, or was granted it by another steward)
/// still takes a slot. Granting that slot again would end in a refusal after a whole prefill.
fn reconcile_ledger(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    running: u32,
    age: Duration,
) {
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
pub fn record_failure(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let jitter = 0.5 + 0.5 * state.rng.unit();
    let known = state.health.entry(endpoint);
    match failure {
        Failure::Evicted | Failure::TakenOver => return,
        Failure::Full => {
            known.full = Some(now.mono + FULL_PAUSE);
            return;
        }
        Failure::Leaving => {
            known.aside = Some(Aside { until: now.mono + LEAVING_EXCLUSION, unreachable: true });
            return;
        }
        // One end of a transfer can't tell which of the two is at fault: see `stalled`.
        Failure::Stalled => return,
        Failure::Unreachable => known.failures = (known.failures + 1).max(EXCLUSION_THRESHOLD),
        Failure::Refused | Failure::Broken => known.failures += 1,
    }
    if known.failures < EXCLUSION_THRESHOLD || known.aside.is_some_and(|a| now.mono < a.until) {
        return;
    }
    let doubled =
        MIN_EXCLUSION * 2u32.saturating_pow((known.failures - EXCLUSION_THRESHOLD).min(16));
    let until = now.mono + doubled.min(MAX_EXCLUSION).mul_f64(jitter);
    known.aside = Some(Aside { until, unreachable: failure == Failure::Unreachable });
    log_endpoint(endpoint, "endpoint_aside", out);
}

/// A holder told this daemon, as an endpoint's steward, that a transfer from or to it stalled.
///
/// An endpoint is set aside when its transfers stall with several others and for several daemons: a
/// single pair does not tell which end is at fault, and a daemon whose own way is cut would blame all.
pub fn on_transfer_stalled(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    from: VmId,
    other: EndpointId,
    out: &mut Vec<Effect>,
) {
    let is_small_fleet = state.members.candidates().len() < 2;
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    if !ledger.note_stall(now.mono, from, other, is_small_fleet) {
        return;
    }
    let known = state.health.entry(endpoint);
    let is_repeated = now.mono < known.rested + STALL_COUNT_RESET;
    known.stalls = if is_repeated { (known.stalls + 1).min(MAX_STALL_COUNT) } else { 1 };
    let exclusion = MIN_STALL_EXCLUSION * 2u32.pow(known.stalls - 1);
    known.rested = now.mono + exclusion;
    known.aside = Some(Aside { until: known.rested, unreachable: false });
    log_endpoint(endpoint, "endpoint_aside", out);
}

fn log_endpoint(endpoint: EndpointId, name: &'static str, out: &mut Vec<Effect>) {
    let fields = vec![("endpoint", endpoint.to_string())];
    out.push(Effect::Progress(Progress::Note { name, fields }));
}

/// Reads loads of the endpoints that this daemon decides on, and probes those that are set aside.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let interval = state.local.tuning.load_interval;
    state.timers.set(now.mono + interval, Timer::Loads);
    let has_load_report =
        |id: EndpointId| state.view.endpoint(id).is_some_and(|e| e.role != Role::Plain);
    let mut read: Vec<_> =
        state.slots.ledgers.keys().copied().filter(|e| has_load_report(*e)).collect();
    let mut reinstated = Vec::new();
    for (endpoint, known) in &state.health.known {
        let Some(aside) = known.aside.filter(|a| a.until <= now.mono) else { continue };
        if aside.unreachable && has_load_report(*endpoint) {
            read.push(*endpoint);
        } else {
            reinstated.push(*endpoint);
        }
    }
    read.sort_unstable();
    read.dedup();
    for endpoint in read {
        out.push(Effect::Engine(EngineCall::ReadLoad { endpoint }));
    }
    // Where a load report proves nothing, as plain services have none, the next call is the probe, and
    // its failure sets the endpoint aside for twice as long.
    for endpoint in reinstated {
        state.health.entry(endpoint).aside = None;
        log_endpoint(endpoint, "endpoint_back", out);
    }
}
