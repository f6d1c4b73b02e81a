//! Refuses completions that can't start before their callers stop waiting.
//!
//! Such a completion would wait in vain, while its caller could be told when there will be capacity.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Context, finish};
use crate::{
    call::RequestId,
    endpoint::{SoftwareVersion, Stage},
    log_line::{LogLine, Measurement},
    reason::Refusal,
    state::{
        Endpoint, QueuePosition, Request, State,
        bound::Pool,
        forecast::{Forecast, Supply},
        requests::ReturnStage,
    },
};

/// Minimum time between two reviews of the completions that wait at a service.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Time to the next review if there is free capacity, which is taken soon.
const BUSY_REVIEW_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which a computed supply is used: running completions change little meanwhile.
const SUPPLY_LIFETIME: Duration = Duration::from_millis(50);

/// Number of places in the queue at which a review sums the work ahead. Completions in between use
/// that of the place before them, so that a long queue costs little.
const REVIEW_PLACES: usize = 32;

/// Factor by which the wait of a completion that can still be on time may exceed what makes it late
/// before it counts as late. Peers report the lengths of their queues late and without due times.
const QUEUE_DOUBT: f64 = 2.0;

/// Work ahead of a completion, in tokens.
#[derive(Clone, Copy)]
struct Ahead {
    /// What goes before it while it can be on time.
    on_time: f64,
    /// What goes before it once it can't.
    late: f64,
}

/// Records the arrival of a completion.
pub fn record_arrival(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    if request.is_completion(ctx.state) {
        let (service, tokens) = (request.service.clone(), request.needed_tokens());
        ctx.state.forecasts.service(&service).arrivals.record(tokens, ctx.now);
    }
}

/// Makes the first forecast of a completion that waits for capacity, or refuses it. Returns whether
/// it may wait.
pub fn admit_to_queue(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(forecast) = forecast(ctx.state, id, None, ctx.now) else { return true };
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.forecast.get_or_insert(forecast);
    }
    !refuse_late_start(ctx, id, forecast)
}

/// Records the difference between the forecast and the actual start of a completion.
pub fn record_start(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let Some(forecast) = request.forecast.as_mut().filter(|f| f.error.is_none()) else { return };
    let Some(start) = forecast.start else { return };
    let error = start.abs_diff(ctx.now);
    forecast.error = Some(error);
    let service = request.service.clone();
    ctx.state.forecasts.service(&service).error.record(error.as_secs_f64(), ctx.now);
    let line = LogLine::new("forecast").with_ms("error_ms", error);
    ctx.log_request(id, line.with_measurement(Measurement::ForecastError(error)));
}

/// Makes the forecasts of waiting completions again if that is due, and refuses those that can't be
/// served in time.
pub fn tick(ctx: &mut Context<'_>) {
    if ctx.state.waiting.is_empty() || ctx.now < ctx.state.forecasts.review_at {
        return;
    }
    ctx.state.forecasts.review_at = ctx.now + REVIEW_INTERVAL;
    let soonest = ctx.now + ctx.state.tuning.first_token_delay;
    let mut pools: BTreeMap<Pool, Vec<(QueuePosition, RequestId)>> = BTreeMap::new();
    for id in &ctx.state.waiting {
        let Some(request) = ctx.state.requests.get(id) else { continue };
        let place = (ctx.state.queue_position(request, soonest), *id);
        pools.entry(ctx.state.pool(request)).or_default().push(place);
    }
    for (pool, mut places) in pools {
        // Free capacity may be left to peers' completions for a moment.
        if ctx.state.queue.has_capacity(&pool) {
            ctx.state.forecasts.review_at = ctx.now + BUSY_REVIEW_INTERVAL;
        } else {
            places.sort_unstable();
            review(ctx, &places);
        }
    }
}

fn review(ctx: &mut Context<'_>, places: &[(QueuePosition, RequestId)]) {
    for part in places.chunks(places.len().div_ceil(REVIEW_PLACES).max(1)) {
        let Some((_, first)) = part.first() else { continue };
        let ahead = work_ahead(ctx.state, *first, ctx.now);
        for (_, id) in part {
            let settled = ctx.state.requests.get(id).map(|request| request.return_stage);
            if settled == Some(ReturnStage::Settled)
                && let Some(forecast) = forecast(ctx.state, *id, ahead, ctx.now)
            {
                refuse_late_start(ctx, *id, forecast);
            }
        }
    }
}

/// Refuses a completion that starts too late for its caller, by the forecast. Returns whether it was
/// refused.
fn refuse_late_start(ctx: &mut Context<'_>, id: RequestId, forecast: Forecast) -> bool {
    let lead = ctx.state.tuning.first_token_delay;
    let Some(request) = ctx.state.requests.get_mut(&id) else { return false };
    let latest = request.caller_deadline().saturating_sub(lead);
    if request.may_have_run() || !forecast.is_after(latest) {
        return false;
    }
    request.forecast = Some(forecast);
    finish::give_up(ctx, id, Refusal::NoRoom);
    true
}

/// Returns the forecast of a waiting completion's start, or `None` if none is possible.
fn forecast(
    state: &mut State,
    id: RequestId,
    ahead: Option<Ahead>,
    now: Duration,
) -> Option<Forecast> {
    let request = state.requests.get(&id)?;
    // Where calls are limited by rate, endpoints that seem full may only lack a permit.
    let is_limited = !state.call_limits.is_empty();
    if !state.refuses_early(request) || is_limited || state.is_cold_start(now) {
        return None;
    }
    let (service, pinned) = (request.service.clone(), request.pinned);
    let ahead = ahead.or_else(|| work_ahead(state, id, now))?;
    let supply = supply(state, &service, pinned, now)?;
    let start = expected_start(state, id, &supply, ahead, now)?;
    let margin = state.forecasts.service(&service).margin(now);
    let report_age = supply.report_age + now.saturating_sub(supply.made);
    Some(Forecast { start: start.at, margin, report_age, error: None })
}

/// When a completion is expected to start.
struct Start {
    /// `None` if others take all memory that becomes free.
    at: Option<Duration>,
}

/// Returns when a waiting completion is expected to start: in its place among those that can be on
/// time, or else with what the arriving ones leave.
fn expected_start(
    state: &mut State,
    id: RequestId,
    supply: &Supply,
    ahead: Ahead,
    now: Duration,
) -> Option<Start> {
    let request = state.requests.get(&id)?;
    let (service, due, returned) = (request.service.clone(), request.due(), request.returned);
    let own = request.needed_tokens() as f64;
    let daemons = state.peers.count_in_contact(now) as f64 + 1.0;
    let lead = state.tuning.first_token_delay;
    let reserve = state.tuning.memory_fraction - state.tuning.late_memory_fraction;
    // New completions don't take what those that need one version wait for.
    if state.requests.get(&id).is_some_and(|request| state.bound_version(request).is_some()) {
        return Some(Start { at: supply.free_at(own + ahead.late, 0.0) });
    }
    let known = state.forecasts.service(&service);
    let can_be_on_time = now + lead <= due;
    if can_be_on_time {
        let returns = if returned { 0.0 } else { known.returns.certain_rate(daemons, now) };
        let doubted = due.saturating_sub(now + lead).mul_f64(QUEUE_DOUBT) + known.margin(now);
        let on_time = supply.free_at(own + ahead.on_time, returns);
        if on_time.is_some_and(|start| start <= now + doubted) {
            return Some(Start { at: on_time });
        }
    }
    let arriving = known.arrivals.certain_rate(daemons, now);
    // Some memory is withheld from late completions.
    let withheld = if can_be_on_time { reserve.max(0.0) * supply.memory } else { 0.0 };
    Some(Start { at: supply.free_at(own + ahead.late + withheld, arriving) })
}

/// Returns the work ahead of a waiting completion.
fn work_ahead(state: &State, id: RequestId, now: Duration) -> Option<Ahead> {
    let request = state.requests.get(&id)?;
    let position = state.queue_position(request, now + state.tuning.first_token_delay);
    let pool = state.pool(request);
    if pool.version.is_some() {
        let tokens = state.work_ahead_in(&pool, &position, now).tokens as f64;
        return Some(Ahead { on_time: tokens, late: tokens });
    }
    let late = QueuePosition { late: true, ..position };
    let tokens = |position| state.work_ahead(&request.service, &position, now).tokens as f64;
    // While it is on time, it is itself ahead of where it will be once it is late.
    let own = if position.late { 0.0 } else { request.needed_tokens() as f64 };
    Some(Ahead { on_time: tokens(position), late: (tokens(late) - own).max(0.0) })
}

/// Returns the memory that becomes free at the decode endpoints of a service that a completion may
/// use.
pub(super) fn supply(
    state: &mut State,
    service: &str,
    pinned: Option<SoftwareVersion>,
    now: Duration,
) -> Option<Arc<Supply>> {
    let known = state.forecasts.service(service);
    let is_recent = |supply: &&Arc<Supply>| now < supply.made + SUPPLY_LIFETIME;
    if pinned.is_none()
        && let Some(supply) = known.supply.as_ref().filter(is_recent)
    {
        return Some(Arc::clone(supply));
    }
    let residence = known.residence.time(now).map(|time| time + state.tuning.first_token_delay);
    let per_endpoint = f64::from(state.routes.engine(service)?.memory_tokens);
    let rate = state.growth(service).rate;
    let is_usable =
        |e: &Endpoint| e.info.has_version(pinned) && e.is_in_service() && !e.is_failing(now);
    let endpoints = state.directory.in_stage(service, Stage::Decode).map(|(_, e)| e);
    let endpoints: Vec<_> = endpoints.filter(|e| is_usable(e)).collect();
    let usages = endpoints.iter().flat_map(|e| e.own_usage.iter().chain(&e.peer_usage));
    let memory = per_endpoint * endpoints.len() as f64;
    let mut supply = Supply::new(usages.copied(), rate, residence, memory, now)?;
    let peers = state.peers.known.values().filter(|peer| !peer.loads.is_empty());
    supply.report_age =
        peers.map(|peer| now.saturating_sub(peer.last_seen)).max().unwrap_or_default();
    let supply = Arc::new(supply);
    if pinned.is_none() {
        state.forecasts.service(service).supply = Some(Arc::clone(&supply));
    }
    Some(supply)
}

/// Appends a request's forecast to a log line.
pub fn describe(state: &State, id: RequestId, line: LogLine) -> LogLine {
    match state.requests.get(&id) {
        Some(request) => describe_request(request, line),
        None => line,
    }
}

/// Appends a request's forecast, as a time since its arrival, to a log line.
pub fn describe_request(request: &Request, line: LogLine) -> LogLine {
    let Some(forecast) = request.forecast else { return line };
    let start = forecast.start.map(|start| start.saturating_sub(request.arrived));
    let line = match start {
        Some(start) => line.with_ms("forecast_ms", start),
        None => line.with("forecast_ms", "never"),
    };
    let error = forecast.error.unwrap_or(forecast.margin);
    line.with_ms("error_ms", error).with_ms("report_ms", forecast.report_age)
}
