//! The configuration and the list of endpoints change.

use std::{collections::HashSet, sync::Arc};

use super::Turn;
use crate::{
    effect::Effect,
    endpoint::{EndpointInfo, EndpointKey},
    note::Note,
    route::RouteTable,
};

/// Takes a version of the configuration in, unless a newer one is in force. An old version can
/// arrive late, from a read that was under way when the store changed.
pub fn routes(turn: &mut Turn<'_>, table: Arc<RouteTable>) {
    if table.version <= turn.state.routes.version {
        return;
    }
    let note = Note::new("configuration")
        .with("version", table.version)
        .with("before", turn.state.routes.version)
        .with("routes", table.routes().len());
    turn.note(note);
    turn.state.routes = table;
    turn.state.fresh = true;
}

/// Takes the whole list in.
pub fn replace(turn: &mut Turn<'_>, revision: u64, list: Vec<EndpointInfo>) {
    if revision < turn.state.directory.revision {
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
    let away = store_was_away(turn);
    for info in list {
        listed(turn, info);
    }
    for key in missing {
        vanish(turn, key, away);
    }
    confirmed(turn, revision);
}

/// Takes changes in.
pub fn change(turn: &mut Turn<'_>, revision: u64, list: Vec<EndpointInfo>, gone: &[String]) {
    let away = store_was_away(turn);
    for info in list {
        listed(turn, info);
    }
    for instance in gone {
        if let Some(key) = turn.state.directory.find(instance) {
            turn.state.fresh = true;
            vanish(turn, key, away);
        }
    }
    confirmed(turn, revision);
}

/// Takes endpoints off whose grace is over.
pub fn expire(turn: &mut Turn<'_>) {
    for key in turn.state.directory.expired(turn.now) {
        unlist(turn, key);
    }
}

fn confirmed(turn: &mut Turn<'_>, revision: u64) {
    let directory = &mut turn.state.directory;
    directory.revision = directory.revision.max(revision);
    directory.read_at = turn.now;
    directory.lost = false;
    if std::mem::take(&mut turn.state.fresh) {
        turn.state.news = turn.state.news.max(revision);
        turn.state.peers.changed = true;
    }
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

fn listed(turn: &mut Turn<'_>, info: EndpointInfo) {
    let note = Note::new("endpoint")
        .with("instance", &info.instance)
        .with("addr", info.addr)
        .with("draining", info.draining)
        .with("stage", info.stage.map_or("none", |stage| stage.as_str()));
    let fresh = turn.state.directory.find(&info.instance).is_none();
    if fresh {
        turn.state.roles.grew = turn.now;
        replace_at(turn, &info);
    }
    if turn.state.directory.list(info) {
        turn.state.fresh = true;
        turn.note(note);
    }
}

/// A new instance has the address: whoever had it before is gone, whatever the list says.
fn replace_at(turn: &mut Turn<'_>, info: &EndpointInfo) {
    if let Some(key) = turn.state.directory.at(info.addr) {
        unlist(turn, key);
    }
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

fn unlist(turn: &mut Turn<'_>, key: EndpointKey) {
    let Some(endpoint) = turn.state.directory.get(key) else { return };
    let note = Note::new("endpoint_gone").with("instance", &endpoint.info.instance);
    turn.note(note);
    turn.state.directory.unlist(key);
    turn.push(Effect::Forget(key));
}
