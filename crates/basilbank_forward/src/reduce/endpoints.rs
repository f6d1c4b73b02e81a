//! The configuration and the list of endpoints change.

use std::{collections::HashSet, sync::Arc, time::Duration};

use super::{Context, crash, records};
use crate::{
    effect::Effect,
    endpoint::{EndpointInfo, EndpointKey},
    log_line::LogLine,
    route::RouteTable,
    state::crashes::End,
    topic::{Revision, Revisions, Topic},
};

/// How long after the store's return from a copy an entry in it may be of an endpoint that has left since
/// the copy was made: entries lapse after three heartbeats of silence, which are some seconds.
const RESTORED_LIST_DOUBT: Duration = Duration::from_secs(10);

/// Takes a reading of the configuration in.
pub fn apply_routes(ctx: &mut Context<'_>, revisions: Revisions, table: Option<Arc<RouteTable>>) {
    let previous = &mut ctx.state.routes_revision;
    let era_changed = has_era_changed(*previous, revisions);
    previous.follow(revisions.store);
    if let Some(table) = table {
        activate(ctx, revisions, table);
    }
    if era_changed {
        announce_change(ctx, Topic::Routes, revisions.newest.with_era(revisions.store.era));
    }
}

/// The store has come back from a copy since the topic was read. Peers are told also when the copy has
/// nothing new: they may watch for changes after a number that the store will give out again.
fn has_era_changed(previous: Revision, revisions: Revisions) -> bool {
    !previous.is_none() && previous.era != revisions.store.era
}

/// Puts a version in force, unless a newer one is. An old version can arrive late, from a read that
/// was under way when the store changed; or the store has come back from a copy that has an older one.
/// Versions only rise, so an older one is never what the operator wants: it would deny callers what they
/// were allowed, until the operator's is there again.
fn activate(ctx: &mut Context<'_>, revisions: Revisions, table: Arc<RouteTable>) {
    if table.version <= ctx.state.routes.version {
        return;
    }
    let line = LogLine::new("configuration")
        .with("version", table.version)
        .with("before", ctx.state.routes.version)
        .with("routes", table.routes().len());
    ctx.log(line);
    ctx.state.entries.learn(&table);
    ctx.state.routes = table;
    announce_change(ctx, Topic::Routes, revisions.newest);
    // Those read before it, or of a service that it is the first to name.
    records::reevaluate_excluded(ctx);
}

/// Takes the whole list in.
pub fn apply_list(ctx: &mut Context<'_>, revisions: Revisions, list: Vec<EndpointInfo>) {
    let previous = ctx.state.directory.revision;
    let era_changed = has_era_changed(previous, revisions);
    if !era_changed && revisions.store < previous {
        return;
    }
    if era_changed {
        ctx.state.directory.doubted = ctx.now + RESTORED_LIST_DOUBT;
        announce_change(ctx, Topic::Endpoints, revisions.newest.with_era(revisions.store.era));
    }
    let listed_now: HashSet<_> = list.iter().map(|info| info.instance.as_str()).collect();
    let missing: Vec<_> = ctx
        .state
        .directory
        .listed()
        .filter(|(_, e)| !listed_now.contains(e.info.instance.as_str()))
        .map(|(key, _)| key)
        .collect();
    ctx.state.entries.keep(&listed_now);
    let was_unreachable = was_store_unreachable(ctx) || era_changed;
    let from = match ctx.now < ctx.state.directory.doubted {
        true => records::Source::Restored,
        false => records::Source::Store,
    };
    for info in list {
        records::handle_record(ctx, info, from);
    }
    for key in missing {
        handle_missing(ctx, key, was_unreachable);
    }
    complete_read(ctx, revisions);
}

/// Takes changes in.
pub fn apply_changes(
    ctx: &mut Context<'_>,
    revisions: Revisions,
    list: Vec<EndpointInfo>,
    removed: &[String],
) {
    let was_unreachable = was_store_unreachable(ctx);
    for info in list {
        records::handle_record(ctx, info, records::Source::Store);
    }
    for instance in removed {
        ctx.state.entries.forget(instance);
        if let Some(key) = ctx.state.directory.find(instance) {
            ctx.state.fresh = true;
            handle_missing(ctx, key, was_unreachable);
        }
    }
    complete_read(ctx, revisions);
}

/// Takes endpoints off whose grace is over.
pub fn remove_expired(ctx: &mut Context<'_>) {
    let expired = ctx.state.directory.expired(ctx.now);
    if expired.is_empty() {
        return;
    }
    for key in expired {
        unlist(ctx, key);
    }
    records::reevaluate_excluded(ctx);
}

fn complete_read(ctx: &mut Context<'_>, revisions: Revisions) {
    records::reevaluate_excluded(ctx);
    let directory = &mut ctx.state.directory;
    directory.revision.follow(revisions.store);
    directory.read_at = ctx.now;
    directory.lost = false;
    if std::mem::take(&mut ctx.state.fresh) {
        announce_change(ctx, Topic::Endpoints, revisions.newest);
    }
}

/// Peers hear of a change that matters with the next datagram.
fn announce_change(ctx: &mut Context<'_>, topic: Topic, newest: Revision) {
    let latest = ctx.state.news.get_mut(topic);
    // Who has it from a peer needn't tell it on at once: in a large fleet all would, to all.
    if newest <= *latest {
        return;
    }
    *latest = newest;
    ctx.state.peers.tell_soon();
}

/// The store can't be read. Daemons that rest on this one's word hear of it at once.
pub fn handle_read_failure(ctx: &mut Context<'_>) {
    ctx.state.directory.lost = true;
    if ctx.state.peers.watching {
        ctx.state.peers.tell_soon();
    }
}

/// The store was away until now: entries may have lapsed although their endpoints live.
///
/// Reads that merely waited for a change don't count, however long: an entry that goes then says
/// that its endpoint leaves, and to keep it would send it work after it has stopped taking any.
fn was_store_unreachable(ctx: &Context<'_>) -> bool {
    let directory = &ctx.state.directory;
    let read_age = ctx.now.saturating_sub(directory.read_at);
    directory.lost && !directory.revision.is_none() && ctx.state.tuning.store_silence < read_age
}

/// An entry is missing. After the store was away, the endpoint gets time to register again: taking
/// all of them off at once would refuse every call for want of endpoints that are alive.
fn handle_missing(ctx: &mut Context<'_>, key: EndpointKey, was_unreachable: bool) {
    if was_unreachable {
        let until = ctx.now + ctx.state.tuning.return_grace;
        // Others that are listed go first: this one may well be dead.
        if let Some(endpoint) = ctx.state.directory.get_mut(key) {
            endpoint.avoid(until);
        }
        return ctx.state.directory.expire(key, until);
    }
    unlist(ctx, key);
}

/// Takes an endpoint off the list, unless it is off already.
pub fn unlist(ctx: &mut Context<'_>, key: EndpointKey) {
    let Some(endpoint) = ctx.state.directory.get(key).filter(|e| !e.gone) else { return };
    if !endpoint.info.draining {
        crash::report_crash(ctx, key, End::Unlisted);
    }
    let Some(endpoint) = ctx.state.directory.get(key) else { return };
    let line = LogLine::new("endpoint_gone").with("instance", &endpoint.info.instance);
    ctx.state.entries.ended(&endpoint.info, ctx.now);
    ctx.state.directory.unlist(key);
    ctx.state.call_limits.forget(key);
    ctx.state.permits.forget(key);
    ctx.state.grants.close(key);
    ctx.log(line);
    ctx.push(Effect::CloseConnections(key));
}
