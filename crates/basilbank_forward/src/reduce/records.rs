//! Judges an endpoint's entry: whether it is of a start that is known, a new one, a former one, or none
//! that may be used.
//!
//! The product's identity of an endpoint is its instance's id and its start. All that is kept of an
//! endpoint hangs on its key, and each start has a key of its own.

use std::net::SocketAddr;

use super::{Context, crash, endpoints, remove_hold_usage};
use crate::{
    endpoint::{EndpointInfo, EndpointKey, Says},
    log_line::LogLine,
    state::{Endpoint, State, crashes::End},
};

/// Where an entry comes from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Source {
    /// It was just read.
    Store,
    /// It was just read, from a store that has come back from a copy: it may be older than what was read
    /// before.
    Restored,
    /// It had been set aside: it is no newer than what is in use.
    Excluded,
}

/// Takes an entry in that was read.
pub fn handle_record(ctx: &mut Context<'_>, info: EndpointInfo, source: Source) {
    evaluate(ctx, info, source);
}

/// Judges the entries again that were set aside: the configuration names other services by now, or the
/// endpoint that had the address has gone.
pub fn reevaluate_excluded(ctx: &mut Context<'_>) {
    // They were news when they were read.
    let has_news = ctx.state.fresh;
    for info in ctx.state.entries.aside() {
        evaluate(ctx, info, Source::Excluded);
    }
    ctx.state.fresh = has_news;
}

fn evaluate(ctx: &mut Context<'_>, mut info: EndpointInfo, source: Source) {
    if ctx.state.entries.is_former(&info, ctx.now) || is_leftover(ctx, &info, source) {
        return exclude(ctx, info);
    }
    let is_service_known = ctx.state.entries.names(&info.service);
    let current = current_start(ctx.state, &info);
    let same_start = current.filter(|current| current.says == Says::Same);
    if let Some(CurrentStart { key, says, was_service_known, .. }) = current {
        match says {
            Says::Former => return exclude(ctx, info),
            Says::Same => {}
            // It shows that the start before it has ended, whatever it serves now: the id, by which
            // endpoints check that a call is for them, is the same.
            Says::Later => end_start(ctx, key),
            // Another writer's entry stands in place of its own: nobody vouches for it until it writes
            // again. Its calls in progress go on, as for any entry that went.
            Says::Other if was_service_known && !is_service_known => {
                ctx.state.fresh = true;
                endpoints::unlist(ctx, key);
                return exclude(ctx, info);
            }
            Says::Other => end_start(ctx, key),
        }
    }
    info.born = same_start.map_or(info.born, |same_start| same_start.born);
    // The copy may be of the time before the endpoint said that it leaves.
    info.draining |=
        source == Source::Restored && same_start.is_some_and(|same_start| same_start.draining);
    let keeps_addr = same_start.is_some_and(|same_start| same_start.addr == info.addr);
    if !keeps_addr && !claim_address(ctx, &info, is_service_known, source) {
        return exclude(ctx, info);
    }
    apply(ctx, same_start.map(|same_start| same_start.key), info);
}

/// The present start of an entry's instance.
#[derive(Clone, Copy, Debug)]
struct CurrentStart {
    key: EndpointKey,
    /// What the entry says of it.
    says: Says,
    born: Option<u64>,
    addr: SocketAddr,
    draining: bool,
    /// A configuration has named its service.
    was_service_known: bool,
}

fn current_start(state: &State, info: &EndpointInfo) -> Option<CurrentStart> {
    let key = state.directory.find(&info.instance)?;
    let previous = &state.directory.get(key)?.info;
    let (says, was_service_known) =
        (previous.compare(info), state.entries.names(&previous.service));
    let EndpointInfo { born, addr, draining, .. } = *previous;
    Some(CurrentStart { key, says, born, addr, draining, was_service_known })
}

/// The store's copy still has an entry that went before the store did. The endpoint takes no work any
/// more, though its entry says so until it lapses, or until the endpoint, if it lives, writes again.
fn is_leftover(ctx: &Context<'_>, info: &EndpointInfo, source: Source) -> bool {
    let doubted = ctx.now < ctx.state.directory.doubted;
    source != Source::Store && doubted && ctx.state.entries.has_ended(info, ctx.now)
}

fn exclude(ctx: &mut Context<'_>, info: EndpointInfo) {
    ctx.state.fresh |= ctx.state.entries.set_aside(info);
}

fn apply(ctx: &mut Context<'_>, current: Option<EndpointKey>, info: EndpointInfo) {
    ctx.state.entries.forget(&info.instance);
    let line = LogLine::new("endpoint")
        .with("instance", &info.instance)
        .with("addr", info.addr)
        .with("draining", info.draining)
        .with("stage", info.stage.map_or("none", |stage| stage.as_str()));
    let line = match info.born {
        None => line,
        Some(born) => line.with("born", born),
    };
    let changed = match current {
        Some(key) => ctx.state.directory.update(key, info),
        None => {
            ctx.state.roles.grew = ctx.now;
            ctx.state.directory.insert(info);
            true
        }
    };
    if changed {
        ctx.state.fresh = true;
        ctx.log(line);
    }
}

/// Ends the endpoints that had the entry's address before it; false when one of them has it still.
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
        let endpoint = ctx.state.directory.get(key).filter(|endpoint| !endpoint.gone);
        let previous = endpoint.map(|endpoint| endpoint.info.clone());
        end_start(ctx, key);
        // It may turn out to be the one that a configuration names.
        let has_known_service = |info: &EndpointInfo| ctx.state.entries.names(&info.service);
        if let Some(previous) =
            previous.filter(|previous| !is_service_known || !has_known_service(previous))
        {
            ctx.state.entries.set_aside(previous);
        }
    }
    true
}

/// The endpoint has its address still, though another instance's entry names it, too.
///
/// Addresses are used again, so the later start has it. An entry whose service nobody knows is no
/// ground to take a sound endpoint off; and whoever doesn't say when it started is not shown to be the
/// later one, while the other is on the list and says it. Where neither says it, the entry that came
/// last has the address.
fn keeps_address(
    state: &State,
    endpoint: &Endpoint,
    info: &EndpointInfo,
    is_service_known: bool,
    source: Source,
) -> bool {
    if endpoint.gone {
        return false;
    }
    let is_own_service_known = state.entries.names(&endpoint.info.service);
    if is_own_service_known != is_service_known {
        return is_own_service_known;
    }
    match (endpoint.info.born, info.born) {
        (Some(current), Some(new)) => new <= current,
        (Some(_), None) => !endpoint.lapses(),
        (None, _) => source == Source::Excluded,
    }
}

/// A start is over: its instance has started again, or another one has its address.
///
/// What it held is lost, and must be neither used nor given back where it was: the new start may have
/// given the same name to what it holds for somebody else. Its calls in progress end by their own
/// connections.
fn end_start(ctx: &mut Context<'_>, key: EndpointKey) {
    if ctx.state.directory.get(key).is_some_and(|endpoint| !endpoint.info.draining) {
        crash::report_crash(ctx, key, End::Replaced);
    }
    endpoints::unlist(ctx, key);
    let state = &mut *ctx.state;
    state.suspects.clear(key);
    state.roles.ordered.remove(&key);
    state.directory.end_start(key);
    let mut holds = Vec::new();
    for request in state.requests.values_mut() {
        let draft = &mut request.draft;
        holds.extend(draft.hold.take_if(|hold| hold.endpoint == key));
        draft.kv.take_if(|kv| kv.endpoint == key);
    }
    for hold in holds {
        remove_hold_usage(state, &hold);
    }
}
