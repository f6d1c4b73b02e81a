//! Evaluates endpoint records: whether a record belongs to the known start of an instance, to a new
//! one, to a former one, or may not be used.
//!
//! The platform identifies an endpoint by the id and the start of its instance. All state of an
//! endpoint is stored under its key, and each start has its own key.

use std::net::SocketAddr;

use super::{Context, crash, endpoints, remove_hold_usage, restart};
use crate::{
    endpoint::{EndpointInfo, EndpointKey, StartOrder},
    log_line::LogLine,
    state::{Endpoint, State, crashes::CrashEvidence},
};

/// Where a record comes from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Source {
    /// It was just read.
    Store,
    /// It was just read from a store that was restored from a backup, so it may be older than what
    /// was read before.
    Restored,
    /// It was excluded earlier, so it is no newer than the records in use.
    Excluded,
}

/// Handles a record that is not used, since a later change replaces it or it is read by the topic's
/// reader as well: its version has served.
pub fn record_former(ctx: &mut Context<'_>, info: &EndpointInfo) {
    record_version(ctx, info);
    let current = current_start(ctx.state, info);
    let is_new_start =
        |current: &CurrentStart| matches!(current.says, StartOrder::Later | StartOrder::Different);
    if let Some(current) = current.filter(is_new_start) {
        restart::correct_versions(ctx, current.key, info);
    }
}

/// Records that a version has served, whether or not its record is used.
fn record_version(ctx: &mut Context<'_>, info: &EndpointInfo) {
    ctx.state.versions.record_former(info, ctx.now);
    ctx.state.assignments.record_unlisted(info, ctx.now);
}

/// Handles a record that was read from the store.
pub fn handle_record(ctx: &mut Context<'_>, info: EndpointInfo, source: Source) {
    record_version(ctx, &info);
    evaluate(ctx, info, source);
}

/// Evaluates the excluded records again: the configuration may name other services now, or the
/// endpoint that had the address may be gone.
pub fn reevaluate_excluded(ctx: &mut Context<'_>) {
    // These records were counted as changes when they were read.
    let has_news = ctx.state.records_changed;
    let excluded: Vec<_> = ctx.state.records.excluded().cloned().collect();
    for info in excluded {
        evaluate(ctx, info, Source::Excluded);
    }
    ctx.state.records_changed = has_news;
}

fn evaluate(ctx: &mut Context<'_>, mut info: EndpointInfo, source: Source) {
    if ctx.state.records.is_before_ended(&info, ctx.now) || is_leftover(ctx, &info, source) {
        return exclude(ctx, info);
    }
    let is_service_known = ctx.state.records.knows_service(&info.service);
    let current = current_start(ctx.state, &info);
    let same_start = current.filter(|current| current.says == StartOrder::Same);
    if let Some(CurrentStart { key, says, was_service_known, .. }) = current {
        match says {
            StartOrder::Earlier => return exclude(ctx, info),
            StartOrder::Same => {}
            // A later start shows that the previous start has ended, whatever service it has now:
            // both have the same id, by which endpoints check that a call is meant for them.
            StartOrder::Later => {
                restart::correct_versions(ctx, key, &info);
                end_start(ctx, key);
            }
            // A record written by something else has replaced the endpoint's own. The endpoint
            // isn't used until it writes its record again. Its calls in progress continue, as after
            // any removed record.
            StartOrder::Different if was_service_known && !is_service_known => {
                ctx.state.records_changed = true;
                endpoints::unlist(ctx, key);
                return exclude(ctx, info);
            }
            StartOrder::Different => {
                restart::correct_versions(ctx, key, &info);
                end_start(ctx, key);
            }
        }
    }
    info.start_time = same_start.map_or(info.start_time, |same_start| same_start.born);
    // The backup may be older than the endpoint's announcement that it leaves.
    info.draining |=
        source == Source::Restored && same_start.is_some_and(|same_start| same_start.draining);
    let keeps_addr = same_start.is_some_and(|same_start| same_start.addr == info.addr);
    if !keeps_addr && !claim_address(ctx, &info, is_service_known, source) {
        return exclude(ctx, info);
    }
    apply(ctx, same_start.map(|same_start| same_start.key), info);
}

/// The current start of a record's instance.
#[derive(Clone, Copy, Debug)]
struct CurrentStart {
    key: EndpointKey,
    /// How the record relates to this start.
    says: StartOrder,
    born: Option<u64>,
    addr: SocketAddr,
    draining: bool,
    /// Whether a configuration has named its service.
    was_service_known: bool,
}

fn current_start(state: &State, info: &EndpointInfo) -> Option<CurrentStart> {
    let key = state.directory.find(&info.instance)?;
    let previous = &state.directory.get(key)?.info;
    let (says, was_service_known) =
        (previous.compare_start(info), state.records.knows_service(&previous.service));
    let EndpointInfo { start_time: born, addr, draining, .. } = *previous;
    Some(CurrentStart { key, says, born, addr, draining, was_service_known })
}

/// Returns whether a record from a backup had already been removed when the store was restored. Its
/// endpoint accepts no work any more, although the record says so until it expires, or until the
/// endpoint, if it is alive, writes it again.
fn is_leftover(ctx: &Context<'_>, info: &EndpointInfo, source: Source) -> bool {
    let is_doubted = ctx.now < ctx.state.directory.restore_doubt_until;
    source != Source::Store && is_doubted && ctx.state.records.has_ended(info, ctx.now)
}

fn exclude(ctx: &mut Context<'_>, info: EndpointInfo) {
    ctx.state.records_changed |= ctx.state.records.exclude(info);
}

fn apply(ctx: &mut Context<'_>, current: Option<EndpointKey>, info: EndpointInfo) {
    ctx.state.records.remove(&info.instance);
    let line = LogLine::new("endpoint")
        .with("instance", &info.instance)
        .with("addr", info.addr)
        .with("draining", info.draining)
        .with("stage", info.stage.map_or("none", |stage| stage.as_str()))
        .with("version", &info.version);
    let line = match info.start_time {
        None => line,
        Some(born) => line.with("born", born),
    };
    let changed = match current {
        Some(key) => ctx.state.directory.update(key, info),
        None => {
            ctx.state.roles.list_grew = ctx.now;
            let statements = ctx.state.records.statements(&info, ctx.now);
            let key = ctx.state.directory.insert(info);
            if let Some(endpoint) = ctx.state.directory.get_mut(key) {
                endpoint.statements = statements;
            }
            true
        }
    };
    if changed {
        ctx.state.records_changed = true;
        ctx.log(line);
    }
}

/// Ends the endpoints that had the record's address before. Returns `false` if one of them still
/// has it.
fn claim_address(
    ctx: &mut Context<'_>,
    info: &EndpointInfo,
    is_service_known: bool,
    source: Source,
) -> bool {
    let holders = ctx.state.directory.others_at(info.addr, &info.instance);
    let holds = |key: &&EndpointKey| {
        let endpoint = ctx.state.directory.get(**key);
        endpoint.is_some_and(|endpoint| {
            keeps_address(ctx.state, endpoint, info, is_service_known, source)
        })
    };
    if holders.iter().any(|key| holds(&key)) {
        return false;
    }
    for key in holders {
        let endpoint = ctx.state.directory.get(key).filter(|endpoint| !endpoint.unlisted);
        let previous = endpoint.map(|endpoint| endpoint.info.clone());
        end_start(ctx, key);
        // A later configuration may name the service of the previous endpoint.
        let has_known_service =
            |info: &EndpointInfo| ctx.state.records.knows_service(&info.service);
        if let Some(previous) =
            previous.filter(|previous| !is_service_known || !has_known_service(previous))
        {
            ctx.state.records.exclude(previous);
        }
    }
    true
}

/// Returns whether the endpoint still has its address although the record of another instance names
/// the same one.
///
/// Addresses are reused, so the later start has it. A record of an unknown service is no reason to
/// remove a working endpoint. A record without a start time isn't shown to be later than a listed
/// endpoint with one. If neither has a start time, the record that was read last has the address.
fn keeps_address(
    state: &State,
    endpoint: &Endpoint,
    info: &EndpointInfo,
    is_service_known: bool,
    source: Source,
) -> bool {
    if endpoint.unlisted {
        return false;
    }
    let is_own_service_known = state.records.knows_service(&endpoint.info.service);
    if is_own_service_known != is_service_known {
        return is_own_service_known;
    }
    match (endpoint.info.start_time, info.start_time) {
        (Some(current), Some(new)) => new <= current,
        (Some(_), None) => !endpoint.is_expiring(),
        (None, _) => source == Source::Excluded,
    }
}

/// Ends a start, because its instance has started again or another instance has its address.
///
/// What it held is lost. It must neither be used nor released at that address, since the new start
/// may use the same name for what it holds for another call. Calls in progress end with their own
/// connections.
fn end_start(ctx: &mut Context<'_>, key: EndpointKey) {
    if ctx.state.directory.get(key).is_some_and(|endpoint| !endpoint.is_leaving()) {
        crash::report_crash(ctx, key, CrashEvidence::Replaced);
    }
    endpoints::unlist(ctx, key);
    let state = &mut *ctx.state;
    state.suspects.remove(key);
    state.roles.ordered.remove(&key);
    state.directory.end_incarnation(key);
    let mut holds = Vec::new();
    for (id, request) in &mut state.requests {
        let completion = &mut request.completion;
        let lost = completion.hold.take_if(|hold| hold.endpoint == key);
        holds.extend(lost.map(|hold| (*id, hold)));
        completion.kv.take_if(|kv| kv.endpoint == key);
    }
    for (id, hold) in holds {
        state.update_takeover(id);
        remove_hold_usage(state, &hold);
    }
}
