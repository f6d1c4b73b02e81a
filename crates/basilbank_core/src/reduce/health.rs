//! Health of endpoints: load reports, prefix caches, failures and probes.

use std::time::Duration;

use crate::{
    catalogue::Role,
    effect::{Effect, EngineCall, Progress},
    event::{EngineReport, Failure},
    ids::{EndpointId, VmId},
    reduce::slots,
    state::{Exclusion, ReportedLoad, State, Timer},
    time::Now,
};

/// Initial duration of an endpoint's exclusion; it doubles with each failure.
const MIN_EXCLUSION: Duration = Duration::from_millis(250);
/// Maximum duration of an endpoint's exclusion between two probes.
const MAX_EXCLUSION: Duration = Duration::from_secs(10);
/// Number of consecutive failures after which a reachable endpoint is excluded.
const EXCLUSION_THRESHOLD: u32 = 2;
/// How long an endpoint gets no work after it refused a call as full.
const FULL_PAUSE: Duration = Duration::from_millis(250);
/// How long an endpoint gets no work after it refused a call because it is leaving. Its next load
/// report ends this earlier and says whether it is leaving.
const LEAVING_EXCLUSION: Duration = Duration::from_secs(10);

/// Initial duration of the exclusion of an endpoint whose transfers stall.
const MIN_STALL_EXCLUSION: Duration = Duration::from_secs(1);
/// Time after the end of such an exclusion from which the next one is a first one again.
const STALL_COUNT_RESET: Duration = Duration::from_secs(60);
/// Maximum number of consecutive exclusions for stalls that are counted; the duration doubles with
/// each one after the first.
const MAX_STALL_COUNT: u32 = 4;

/// Handles a report from an endpoint.
pub fn on_report(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    report: &EngineReport,
    out: &mut Vec<Effect>,
) {
    match report {
        EngineReport::Load { running, age, leaving, .. } => {
            let health = state.health.endpoint_mut(endpoint);
            health.leaving = *leaving;
            if health.exclusion.take_if(|e| e.unreachable).is_some() {
                health.failures = 0;
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

/// Compares the number of requests that an endpoint runs with the leases granted by this daemon as
/// its owner.
///
/// A stream without a known holder still takes a slot: its holder died, or another owner granted
/// the slot. If that slot were granted again, the request would be refused after a whole prefill.
fn reconcile_ledger(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    running: u32,
    age: Duration,
) {
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let measured_at = now.mono.saturating_sub(age);
    ledger.reported_load = Some(ReportedLoad { running, measured_at });
    if let Some(rebuild) = &mut ledger.rebuild {
        rebuild.needs_report = false;
    }
    ledger.finish_rebuild();
    // Leases that ended after the measurement were still running at that time, so they are not
    // unaccounted for.
    let held = ledger.leases.len() as u32 + ledger.leases_ended_since(measured_at);
    ledger.unaccounted = running.saturating_sub(held);
}

/// Records a failure of an endpoint, and excludes it from new work if necessary.
pub fn record_failure(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let jitter = 0.5 + 0.5 * state.rng.unit();
    let health = state.health.endpoint_mut(endpoint);
    match failure {
        Failure::Evicted | Failure::TakenOver => return,
        Failure::Full => {
            health.full_until = Some(now.mono + FULL_PAUSE);
            return;
        }
        Failure::Leaving => {
            health.exclusion =
                Some(Exclusion { until: now.mono + LEAVING_EXCLUSION, unreachable: true });
            return;
        }
        // One end of a transfer can't tell which of the two is at fault: see `on_transfer_stalled`.
        Failure::Stalled => return,
        Failure::Unreachable => health.failures = (health.failures + 1).max(EXCLUSION_THRESHOLD),
        Failure::Refused | Failure::Broken => health.failures += 1,
    }
    if health.failures < EXCLUSION_THRESHOLD || health.exclusion.is_some_and(|e| now.mono < e.until)
    {
        return;
    }
    let doubled =
        MIN_EXCLUSION * 2u32.saturating_pow((health.failures - EXCLUSION_THRESHOLD).min(16));
    let until = now.mono + doubled.min(MAX_EXCLUSION).mul_f64(jitter);
    health.exclusion = Some(Exclusion { until, unreachable: failure == Failure::Unreachable });
    log_endpoint(endpoint, "endpoint_aside", out);
}

/// Handles a holder's report to this daemon, the owner of an endpoint, that a transfer from or to
/// that endpoint stalled.
///
/// An endpoint is excluded if its transfers stall with several other endpoints and for several
/// daemons. A single pair does not show which end is at fault, and a daemon whose own network path
/// is interrupted would report all endpoints.
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
    if !ledger.record_stall(now.mono, from, other, is_small_fleet) {
        return;
    }
    let health = state.health.endpoint_mut(endpoint);
    let is_repeated = now.mono < health.stall_until + STALL_COUNT_RESET;
    health.stalls = if is_repeated { (health.stalls + 1).min(MAX_STALL_COUNT) } else { 1 };
    let exclusion = MIN_STALL_EXCLUSION * 2u32.pow(health.stalls - 1);
    health.stall_until = now.mono + exclusion;
    health.exclusion = Some(Exclusion { until: health.stall_until, unreachable: false });
    log_endpoint(endpoint, "endpoint_aside", out);
}

fn log_endpoint(endpoint: EndpointId, name: &'static str, out: &mut Vec<Effect>) {
    let fields = vec![("endpoint", endpoint.to_string())];
    out.push(Effect::Progress(Progress::Note { name, fields }));
}

/// Reads the load of the endpoints that this daemon owns, and probes excluded endpoints.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let interval = state.local.tuning.load_interval;
    state.timers.set(now.mono + interval, Timer::Loads);
    let has_load_report =
        |id: EndpointId| state.view.endpoint(id).is_some_and(|e| e.role != Role::Plain);
    let mut to_read: Vec<_> =
        state.slots.ledgers.keys().copied().filter(|e| has_load_report(*e)).collect();
    let mut reinstated = Vec::new();
    for (endpoint, health) in &state.health.endpoints {
        let Some(exclusion) = health.exclusion.filter(|e| e.until <= now.mono) else { continue };
        if exclusion.unreachable && has_load_report(*endpoint) {
            to_read.push(*endpoint);
        } else {
            reinstated.push(*endpoint);
        }
    }
    to_read.sort_unstable();
    to_read.dedup();
    for endpoint in to_read {
        out.push(Effect::Engine(EngineCall::ReadLoad { endpoint }));
    }
    // Not every exclusion can be ended by a load report; plain services, for example, have none.
    // There the next call is the probe: if it fails, the endpoint is excluded for twice as long.
    for endpoint in reinstated {
        state.health.endpoint_mut(endpoint).exclusion = None;
        log_endpoint(endpoint, "endpoint_back", out);
    }
}
