//! Handles changes of the configuration and of the list of endpoints.

use std::{collections::HashSet, sync::Arc, time::Duration};

use super::{Context, crash, keepers, records};
use crate::{
    effect::Effect,
    endpoint::{EndpointInfo, EndpointKey},
    log_line::LogLine,
    route::RouteTable,
    state::{
        State, crashes::CrashEvidence, first_list::FirstList, history::History,
        origins::STREAM_LIFETIME,
    },
    topic::{Revision, Revisions, Topic},
};

/// Time after the restore of the store from a backup during which its list may contain endpoints
/// that left after the backup was made. Endpoint records expire after three missed heartbeats,
/// which takes some seconds.
const RESTORED_LIST_DOUBT: Duration = Duration::from_secs(10);

/// Applies a read of the configuration.
pub fn apply_routes(ctx: &mut Context<'_>, revisions: Revisions, table: Option<Arc<RouteTable>>) {
    ctx.state.routes_lost = false;
    let previous = &mut ctx.state.routes_revision;
    let era_changed = has_era_changed(*previous, revisions);
    previous.advance(revisions.store);
    if let Some(table) = table {
        ctx.state.list_reads.record_configuration(revisions.store.era, table.revisions);
        activate(ctx, revisions, table);
    }
    if era_changed {
        announce_change(ctx, Topic::Routes, revisions.latest_change.with_era(revisions.store.era));
    }
}

/// Returns whether the store was restored from a backup since the topic was read. Peers are told
/// also if the backup contains nothing new: they may wait for changes after a revision number that
/// the store will assign again.
fn has_era_changed(previous: Revision, revisions: Revisions) -> bool {
    !previous.is_none() && previous.era != revisions.store.era
}

/// Activates a version of the configuration unless a newer one is in force. An old version can
/// arrive late, from a read that was in progress when the store changed, or because the store was
/// restored from a backup with an older version. Versions only rise, so an older one is never what
/// the operator wants: it would deny callers what they were allowed until the operator's version is
/// in the store again.
fn activate(ctx: &mut Context<'_>, revisions: Revisions, table: Arc<RouteTable>) {
    if table.version <= ctx.state.routes.version {
        return;
    }
    let line = LogLine::new("configuration")
        .with("version", table.version)
        .with("before", ctx.state.routes.version)
        .with("routes", table.routes().len());
    ctx.log(line);
    ctx.state.records.add_services(&table);
    ctx.state.routes = table;
    announce_change(ctx, Topic::Routes, revisions.latest_change);
    // Records were excluded if they were read before this version, or if it is the first to name
    // their service.
    records::reevaluate_excluded(ctx);
}

/// Applies the whole list of endpoints.
pub fn apply_list(ctx: &mut Context<'_>, revisions: Revisions, list: Vec<EndpointInfo>) {
    let previous = ctx.state.directory.revision;
    let era_changed = has_era_changed(previous, revisions);
    if !era_changed && revisions.store < previous {
        return;
    }
    if era_changed {
        ctx.state.directory.restore_doubt_until = ctx.now + RESTORED_LIST_DOUBT;
        announce_change(
            ctx,
            Topic::Endpoints,
            revisions.latest_change.with_era(revisions.store.era),
        );
    }
    let heartbeat = ctx.state.tuning.endpoint_heartbeat;
    let whole = FirstList::new(revisions.store, &list, heartbeat);
    if previous.is_none() {
        ctx.state.first_list = Some(whole);
    } else {
        bridge_gap(ctx, previous, whole);
    }
    let listed_now: HashSet<_> = list.iter().map(|info| info.instance.as_str()).collect();
    let missing: Vec<_> = ctx
        .state
        .directory
        .listed()
        .filter(|(_, e)| !listed_now.contains(e.info.instance.as_str()))
        .map(|(key, _)| key)
        .collect();
    ctx.state.records.retain_listed(&listed_now);
    let was_unreachable = was_store_unreachable(ctx) || era_changed;
    let source = match ctx.now < ctx.state.directory.restore_doubt_until {
        true => records::Source::Restored,
        false => records::Source::Store,
    };
    for info in list {
        records::handle_record(ctx, info, source);
    }
    for key in missing {
        handle_missing(ctx, key, was_unreachable);
    }
    complete_read(ctx, revisions);
}

/// Checks what may have come and gone since the last read of the list, as the changes since then
/// can't be read. Of the changes that a restored store has lost there is no proof.
fn bridge_gap(ctx: &mut Context<'_>, previous: Revision, whole: FirstList) {
    let State { versions, assignments, directory, routes, first_list, history, .. } =
        &mut *ctx.state;
    let was_known = versions.are_known_for(STREAM_LIFETIME, ctx.now);
    let until = whole.revision();
    let is_same_era = previous.era == until.era;
    let whole = whole.with_known_until(previous.number);
    let is_proven = is_same_era && whole.accounts_for_gap(routes.revisions);
    if !is_proven {
        // What was unknown before the gap still is.
        let former = first_list.take().map(|first| first.known_until());
        let known_until = if was_known { Some(previous.number) } else { former };
        let known_until = known_until.filter(|_| is_same_era);
        *first_list = known_until.map(|known_until| whole.with_known_until(known_until));
        // The answer to a search that goes on must not be taken for one to the next search.
        *history = match history.is_open() {
            true => History::Failed { at: ctx.now },
            false => History::default(),
        };
        versions.record_gap(directory, ctx.now);
        assignments.record_gap(ctx.now);
    }
    let line = LogLine::new("list_gap")
        .with("after", previous)
        .with("until", until)
        .with("proven", is_proven);
    ctx.log(line);
}

/// Applies changes of the list of endpoints.
pub fn apply_changes(
    ctx: &mut Context<'_>,
    revisions: Revisions,
    updated: Vec<EndpointInfo>,
    removed: &[String],
) {
    let was_unreachable = was_store_unreachable(ctx);
    for info in updated {
        records::handle_record(ctx, info, records::Source::Store);
    }
    for instance in removed {
        ctx.state.records.remove(instance);
        if let Some(key) = ctx.state.directory.find(instance) {
            ctx.state.records_changed = true;
            handle_missing(ctx, key, was_unreachable);
        }
    }
    complete_read(ctx, revisions);
}

/// Removes the endpoints whose grace period is over.
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
    directory.revision.advance(revisions.store);
    ctx.state.list_reads.record_read(revisions.store);
    directory.read_at = ctx.now;
    directory.store_lost = false;
    if std::mem::take(&mut ctx.state.records_changed) {
        announce_change(ctx, Topic::Endpoints, revisions.latest_change);
    }
}

/// Announces a relevant change to peers with the next datagram.
fn announce_change(ctx: &mut Context<'_>, topic: Topic, newest: Revision) {
    let latest = ctx.state.latest_changes.get_mut(topic);
    // A change that a peer reported is not announced at once: in a large fleet all daemons would
    // announce it to all.
    if newest <= *latest {
        return;
    }
    *latest = newest;
    ctx.state.peers.report_soon();
}

/// Handles a failed read of the store. Followers that rely on this daemon are told at once.
pub fn handle_read_failure(ctx: &mut Context<'_>, topic: Topic) {
    match topic {
        Topic::Routes => ctx.state.routes_lost = true,
        Topic::Endpoints => {
            let was_lost = std::mem::replace(&mut ctx.state.directory.store_lost, true);
            if !was_lost {
                keepers::announce_all(ctx);
            }
        }
    }
    if ctx.state.peers.watching {
        ctx.state.peers.report_soon();
    }
}

/// Returns whether the store was unreachable until now, so that records may have expired although
/// their endpoints are alive.
///
/// A read that merely waited for a change doesn't count, however long it took. A record that
/// disappears then means that its endpoint is leaving, and keeping it would send work to an
/// endpoint that no longer accepts any.
fn was_store_unreachable(ctx: &Context<'_>) -> bool {
    let directory = &ctx.state.directory;
    let read_age = ctx.now.saturating_sub(directory.read_at);
    directory.store_lost
        && !directory.revision.is_none()
        && ctx.state.tuning.min_store_outage < read_age
}

/// Handles a missing endpoint record. If the store was unreachable, the endpoint gets time to
/// register again: removing all of them at once would refuse every call for lack of endpoints
/// although they are alive.
fn handle_missing(ctx: &mut Context<'_>, key: EndpointKey, was_unreachable: bool) {
    if was_unreachable {
        let until = ctx.now + ctx.state.tuning.return_grace;
        // Endpoints that are listed are preferred, since this one may be dead.
        if let Some(endpoint) = ctx.state.directory.get_mut(key) {
            endpoint.avoid(until);
        }
        return ctx.state.directory.schedule_expiry(key, until);
    }
    unlist(ctx, key);
}

/// Removes an endpoint from the list unless it was removed before.
pub fn unlist(ctx: &mut Context<'_>, key: EndpointKey) {
    let Some(endpoint) = ctx.state.directory.get(key).filter(|e| !e.unlisted) else { return };
    if !endpoint.is_leaving() {
        crash::report_crash(ctx, key, CrashEvidence::Unlisted);
    }
    let Some(endpoint) = ctx.state.directory.get(key) else { return };
    let line = LogLine::new("endpoint_gone").with("instance", &endpoint.info.instance);
    ctx.state.records.record_end(&endpoint.info, ctx.now);
    ctx.state.directory.unlist(key);
    ctx.state.call_limits.remove(key);
    ctx.state.permit_holder.remove(key);
    ctx.state.permit_issuer.stop(key);
    ctx.log(line);
    ctx.push(Effect::CloseConnections(key));
}
