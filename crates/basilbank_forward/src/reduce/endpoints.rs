//! The configuration and the list of endpoints change.

use std::{collections::HashSet, sync::Arc};

use super::{Turn, entries};
use crate::{
    effect::Effect,
    endpoint::{EndpointInfo, EndpointKey},
    note::Note,
    route::RouteTable,
    topic::{Revisions, Topic},
};

/// Takes a reading of the configuration in.
pub fn routes(turn: &mut Turn<'_>, read: Revisions, table: Option<Arc<RouteTable>>) {
    let known = &mut turn.state.routes_revision;
    *known = read.store.max(*known);
    if let Some(table) = table {
        put_in_force(turn, read, table);
    }
}

/// Puts a version in force, unless a newer one is. An old version can arrive late, from a read that
/// was under way when the store changed.
fn put_in_force(turn: &mut Turn<'_>, read: Revisions, table: Arc<RouteTable>) {
    if table.version <= turn.state.routes.version {
        return;
    }
    let note = Note::new("configuration")
        .with("version", table.version)
        .with("before", turn.state.routes.version)
        .with("routes", table.routes().len());
    turn.note(note);
    turn.state.entries.learn(&table);
    turn.state.routes = table;
    tell(turn, Topic::Routes, read);
    // Those read before it, or of a service that it is the first to name.
    entries::judge_again(turn);
}

/// Takes the whole list in.
pub fn replace(turn: &mut Turn<'_>, read: Revisions, list: Vec<EndpointInfo>) {
    if read.store < turn.state.directory.revision {
        return;
    }
    let listed_now: HashSet<_> = list.iter().map(|info| info.instance.as_str()).collect();
    let missing: Vec<_> = turn
        .state
        .directory
        .listed()
        .filter(|(_, e)| !listed_now.contains(e.info.instance.as_str()))
        .map(|(key, _)| key)
        .collect();
    turn.state.entries.keep(&listed_now);
    let away = store_was_away(turn);
    for info in list {
        entries::listed(turn, info);
    }
    for key in missing {
        vanish(turn, key, away);
    }
    confirmed(turn, read);
}

/// Takes changes in.
pub fn change(turn: &mut Turn<'_>, read: Revisions, list: Vec<EndpointInfo>, gone: &[String]) {
    let away = store_was_away(turn);
    for info in list {
        entries::listed(turn, info);
    }
    for instance in gone {
        turn.state.entries.forget(instance);
        if let Some(key) = turn.state.directory.find(instance) {
            turn.state.fresh = true;
            vanish(turn, key, away);
        }
    }
    confirmed(turn, read);
}

/// Takes endpoints off whose grace is over.
pub fn expire(turn: &mut Turn<'_>) {
    let expired = turn.state.directory.expired(turn.now);
    if expired.is_empty() {
        return;
    }
    for key in expired {
        unlist(turn, key);
    }
    entries::judge_again(turn);
}

fn confirmed(turn: &mut Turn<'_>, read: Revisions) {
    entries::judge_again(turn);
    let directory = &mut turn.state.directory;
    directory.revision = directory.revision.max(read.store);
    directory.read_at = turn.now;
    directory.lost = false;
    if std::mem::take(&mut turn.state.fresh) {
        tell(turn, Topic::Endpoints, read);
    }
}

/// Peers hear of a change that matters with the next datagram.
fn tell(turn: &mut Turn<'_>, topic: Topic, read: Revisions) {
    let news = turn.state.news.get_mut(topic);
    *news = read.newest.max(*news);
    turn.state.peers.changed = true;
}

/// The store was away until now: entries may have lapsed although their endpoints live.
///
/// Reads that merely waited for a change don't count, however long: an entry that goes then says
/// that its endpoint leaves, and to keep it would send it work after it has stopped taking any.
fn store_was_away(turn: &Turn<'_>) -> bool {
    let directory = &turn.state.directory;
    let silence = turn.now.saturating_sub(directory.read_at);
    directory.lost && directory.revision != 0 && turn.state.tuning.store_silence < silence
}

/// An entry is missing. After the store was away, the endpoint gets time to register again: taking
/// all of them off at once would refuse every call for want of endpoints that are alive.
fn vanish(turn: &mut Turn<'_>, key: EndpointKey, away: bool) {
    if away {
        let at = turn.now + turn.state.tuning.return_grace;
        // Others that are listed go first: this one may well be dead.
        if let Some(endpoint) = turn.state.directory.get_mut(key) {
            endpoint.avoid(at);
        }
        return turn.state.directory.expire(key, at);
    }
    unlist(turn, key);
}

/// Takes an endpoint off the list, unless it is off already.
pub fn unlist(turn: &mut Turn<'_>, key: EndpointKey) {
    let Some(endpoint) = turn.state.directory.get(key).filter(|e| !e.gone) else { return };
    let note = Note::new("endpoint_gone").with("instance", &endpoint.info.instance);
    turn.state.entries.ended(&endpoint.info, turn.now);
    turn.state.directory.unlist(key);
    turn.note(note);
    turn.push(Effect::Forget(key));
}
