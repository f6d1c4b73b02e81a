//! Judges an endpoint's entry: whether it is of a start that is known, a new one, a former one, or none
//! that may be used.
//!
//! The product's identity of an endpoint is its instance's id and its start. All that is kept of an
//! endpoint hangs on its key, and each start has a key of its own.

use std::net::SocketAddr;

use super::{Turn, crash, end_hold, endpoints};
use crate::{
    endpoint::{EndpointInfo, EndpointKey, Says},
    note::Note,
    state::{Endpoint, State, crashes::End},
};

/// Where an entry comes from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum From {
    /// It was just read.
    Store,
    /// It was just read, from a store that has come back from a copy: it may be older than what was read
    /// before.
    Copy,
    /// It had been set aside: it is no newer than what is in use.
    Aside,
}

/// Takes an entry in that was read.
pub fn listed(turn: &mut Turn<'_>, info: EndpointInfo, from: From) {
    judge(turn, info, from);
}

/// Judges the entries again that were set aside: the configuration names other services by now, or the
/// endpoint that had the address has gone.
pub fn judge_again(turn: &mut Turn<'_>) {
    // They were news when they were read.
    let fresh = turn.state.fresh;
    for info in turn.state.entries.aside() {
        judge(turn, info, From::Aside);
    }
    turn.state.fresh = fresh;
}

fn judge(turn: &mut Turn<'_>, mut info: EndpointInfo, from: From) {
    if turn.state.entries.is_former(&info, turn.now) || is_left_over(turn, &info, from) {
        return set_aside(turn, info);
    }
    let named = turn.state.entries.names(&info.service);
    let known = known(turn.state, &info);
    let same = known.filter(|known| known.says == Says::Same);
    if let Some(Known { key, says, sound, .. }) = known {
        match says {
            Says::Former => return set_aside(turn, info),
            Says::Same => {}
            // It shows that the start before it has ended, whatever it serves now: the id, by which
            // endpoints check that a call is for them, is the same.
            Says::Later => over(turn, key),
            // Another writer's entry stands in place of its own: nobody vouches for it until it writes
            // again. Its calls in progress go on, as for any entry that went.
            Says::Other if sound && !named => {
                turn.state.fresh = true;
                endpoints::unlist(turn, key);
                return set_aside(turn, info);
            }
            Says::Other => over(turn, key),
        }
    }
    info.born = same.map_or(info.born, |same| same.born);
    // The copy may be of the time before the endpoint said that it leaves.
    info.draining |= from == From::Copy && same.is_some_and(|same| same.draining);
    let stays = same.is_some_and(|same| same.addr == info.addr);
    if !stays && !clear_address(turn, &info, named, from) {
        return set_aside(turn, info);
    }
    take_in(turn, same.map(|same| same.key), info);
}

/// The present start of an entry's instance.
#[derive(Clone, Copy, Debug)]
struct Known {
    key: EndpointKey,
    /// What the entry says of it.
    says: Says,
    born: Option<u64>,
    addr: SocketAddr,
    draining: bool,
    /// A configuration has named its service.
    sound: bool,
}

fn known(state: &State, info: &EndpointInfo) -> Option<Known> {
    let key = state.directory.find(&info.instance)?;
    let before = &state.directory.get(key)?.info;
    let (says, sound) = (before.compare(info), state.entries.names(&before.service));
    let EndpointInfo { born, addr, draining, .. } = *before;
    Some(Known { key, says, born, addr, draining, sound })
}

/// The store's copy still has an entry that went before the store did. The endpoint takes no work any
/// more, though its entry says so until it lapses, or until the endpoint, if it lives, writes again.
fn is_left_over(turn: &Turn<'_>, info: &EndpointInfo, from: From) -> bool {
    let doubted = turn.now < turn.state.directory.doubted;
    from != From::Store && doubted && turn.state.entries.has_ended(info, turn.now)
}

fn set_aside(turn: &mut Turn<'_>, info: EndpointInfo) {
    turn.state.fresh |= turn.state.entries.set_aside(info);
}

fn take_in(turn: &mut Turn<'_>, known: Option<EndpointKey>, info: EndpointInfo) {
    turn.state.entries.forget(&info.instance);
    let note = Note::new("endpoint")
        .with("instance", &info.instance)
        .with("addr", info.addr)
        .with("draining", info.draining)
        .with("stage", info.stage.map_or("none", |stage| stage.as_str()));
    let note = match info.born {
        None => note,
        Some(born) => note.with("born", born),
    };
    let changed = match known {
        Some(key) => turn.state.directory.update(key, info),
        None => {
            turn.state.roles.grew = turn.now;
            turn.state.directory.insert(info);
            true
        }
    };
    if changed {
        turn.state.fresh = true;
        turn.note(note);
    }
}

/// Ends the endpoints that had the entry's address before it; false when one of them has it still.
fn clear_address(turn: &mut Turn<'_>, info: &EndpointInfo, named: bool, from: From) -> bool {
    let holders = turn.state.directory.others_at(info.addr, &info.instance);
    let holds = |key: &&EndpointKey| {
        let endpoint = turn.state.directory.get(**key);
        endpoint.is_some_and(|endpoint| holds_address(turn.state, endpoint, info, named, from))
    };
    if holders.iter().any(|key| holds(&key)) {
        return false;
    }
    for key in holders {
        let endpoint = turn.state.directory.get(key).filter(|endpoint| !endpoint.gone);
        let before = endpoint.map(|endpoint| endpoint.info.clone());
        over(turn, key);
        // It may turn out to be the one that a configuration names.
        let known = |info: &EndpointInfo| turn.state.entries.names(&info.service);
        if let Some(before) = before.filter(|before| !named || !known(before)) {
            turn.state.entries.set_aside(before);
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
fn holds_address(
    state: &State,
    endpoint: &Endpoint,
    info: &EndpointInfo,
    named: bool,
    from: From,
) -> bool {
    if endpoint.gone {
        return false;
    }
    let known = state.entries.names(&endpoint.info.service);
    if known != named {
        return known;
    }
    match (endpoint.info.born, info.born) {
        (Some(known), Some(told)) => told <= known,
        (Some(_), None) => !endpoint.lapses(),
        (None, _) => from == From::Aside,
    }
}

/// A start is over: its instance has started again, or another one has its address.
///
/// What it held is lost, and must be neither used nor given back where it was: the new start may have
/// given the same name to what it holds for somebody else. Its calls in progress end by their own
/// connections.
fn over(turn: &mut Turn<'_>, key: EndpointKey) {
    if turn.state.directory.get(key).is_some_and(|endpoint| !endpoint.info.draining) {
        crash::crashed(turn, key, End::Replaced);
    }
    endpoints::unlist(turn, key);
    let state = &mut *turn.state;
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
        end_hold(state, &hold);
    }
}
