//! The configuration and the list of endpoints change.

use std::{collections::HashSet, sync::Arc, time::Duration};

use super::{Turn, crash, entries};
use crate::{
    effect::Effect,
    endpoint::{EndpointInfo, EndpointKey},
    note::Note,
    route::RouteTable,
    state::crashes::End,
    topic::{Revision, Revisions, Topic},
};

/// How long after the store's return from a copy an entry in it may be of an endpoint that has left since
/// the copy was made: entries lapse after three heartbeats of silence, which are some seconds.
const COPY_DOUBT: Duration = Duration::from_secs(10);

/// Takes a reading of the configuration in.
pub fn routes(turn: &mut Turn<'_>, read: Revisions, table: Option<Arc<RouteTable>>) {
    let known = &mut turn.state.routes_revision;
    let other_era = is_other_era(*known, read);
    known.follow(read.store);
    if let Some(table) = table {
        put_in_force(turn, read, table);
    }
    if other_era {
        tell(turn, Topic::Routes, read.newest.with_era(read.store.era));
    }
}

/// The store has come back from a copy since the topic was read. Peers are told also when the copy has
/// nothing new: they may watch for changes after a number that the store will give out again.
fn is_other_era(known: Revision, read: Revisions) -> bool {
    !known.is_none() && known.era != read.store.era
}

/// Puts a version in force, unless a newer one is. An old version can arrive late, from a read that
/// was under way when the store changed; or the store has come back from a copy that has an older one.
/// Versions only rise, so an older one is never what the operator wants: it would deny callers what they
/// were allowed, until the operator's is there again.
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
    tell(turn, Topic::Routes, read.newest);
    // Those read before it, or of a service that it is the first to name.
    entries::judge_again(turn);
}

/// Takes the whole list in.
pub fn replace(turn: &mut Turn<'_>, read: Revisions, list: Vec<EndpointInfo>) {
    let known = turn.state.directory.revision;
    let other_era = is_other_era(known, read);
    if !other_era && read.store < known {
        return;
    }
    if other_era {
        turn.state.directory.doubted = turn.now + COPY_DOUBT;
        tell(turn, Topic::Endpoints, read.newest.with_era(read.store.era));
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
    let away = store_was_away(turn) || other_era;
    let from = match turn.now < turn.state.directory.doubted {
        true => entries::From::Copy,
        false => entries::From::Store,
    };
    for info in list {
        entries::listed(turn, info, from);
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
        entries::listed(turn, info, entries::From::Store);
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
    directory.revision.follow(read.store);
    directory.read_at = turn.now;
    directory.lost = false;
    if std::mem::take(&mut turn.state.fresh) {
        tell(turn, Topic::Endpoints, read.newest);
    }
}

/// Peers hear of a change that matters with the next datagram.
fn tell(turn: &mut Turn<'_>, topic: Topic, newest: Revision) {
    let news = turn.state.news.get_mut(topic);
    // Who has it from a peer needn't tell it on at once: in a large fleet all would, to all.
    if newest <= *news {
        return;
    }
    *news = newest;
    turn.state.peers.tell_soon();
}

/// The store can't be read. Daemons that rest on this one's word hear of it at once.
pub fn store_lost(turn: &mut Turn<'_>) {
    turn.state.directory.lost = true;
    if turn.state.peers.watching {
        turn.state.peers.tell_soon();
    }
}

/// The store was away until now: entries may have lapsed although their endpoints live.
///
/// Reads that merely waited for a change don't count, however long: an entry that goes then says
/// that its endpoint leaves, and to keep it would send it work after it has stopped taking any.
fn store_was_away(turn: &Turn<'_>) -> bool {
    let directory = &turn.state.directory;
    let silence = turn.now.saturating_sub(directory.read_at);
    directory.lost && !directory.revision.is_none() && turn.state.tuning.store_silence < silence
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
    if !endpoint.info.draining {
        crash::crashed(turn, key, End::Unlisted);
    }
    let Some(endpoint) = turn.state.directory.get(key) else { return };
    let note = Note::new("endpoint_gone").with("instance", &endpoint.info.instance);
    turn.state.entries.ended(&endpoint.info, turn.now);
    turn.state.directory.unlist(key);
    turn.state.call_limits.forget(key);
    turn.state.permits.forget(key);
    turn.state.grants.close(key);
    turn.note(note);
    turn.push(Effect::Forget(key));
}
