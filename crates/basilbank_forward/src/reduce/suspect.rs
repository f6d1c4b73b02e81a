//! Endpoints that went dark.
//!
//! An endpoint that crashed, or whose machine was cut off, stays on the list for some heartbeats. It
//! has the least to do of all, so that every daemon picks it first, and each draft that tries it loses
//! a quarter of a second; with several of them dark, and every daemon finding out by itself and again
//! when its patience is over, half of all drafts meet one. So the first daemon that meets one tells
//! its peers, and from then on a small question takes the place of callers' work: only when it is
//! answered does the endpoint get any.

use std::time::Duration;

use super::{Turn, crash};
use crate::{effect::Effect, endpoint::EndpointKey, event::Life, note::Note, state::crashes::End};

/// Pause before an endpoint is asked, doubled each time that it does not answer.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest such pause: an endpoint that comes back waits so long for work.
const LONGEST_PAUSE: Duration = Duration::from_millis(1000);

/// How much longer than until the next question the endpoint is left alone: the question's own limit
/// and a turn of the daemon.
const MARGIN: Duration = Duration::from_millis(500);

/// A daemon that gets no answer from more than one in so many endpoints is itself cut off, more
/// likely than all of these: it tells nobody.
const BELIEVABLE: usize = 3;

/// An endpoint could not be reached, or did not answer in time.
pub fn dark(turn: &mut Turn<'_>, key: EndpointKey) {
    if !turn.state.directory.keeps(key) {
        return;
    }
    let due = turn.now + FIRST_PAUSE;
    if turn.state.suspects.add(key, due) {
        note_dark(turn, key);
        leave_alone(turn, key, due + MARGIN);
    }
}

/// Asks an endpoint at which something broke off, at once. It stays in use until it doesn't answer.
pub fn ask(turn: &mut Turn<'_>, key: EndpointKey) {
    if turn.state.directory.keeps(key) {
        turn.state.suspects.doubt(key, turn.now);
    }
}

/// An endpoint did what it was sent.
pub fn alive(turn: &mut Turn<'_>, key: EndpointKey) {
    if !turn.state.suspects.clear(key) {
        return;
    }
    let Some(endpoint) = turn.state.directory.get_mut(key) else { return };
    endpoint.came_back();
    let note = Note::new("endpoint_back").with("instance", &endpoint.info.instance);
    turn.note(note);
    turn.state.peers.changed = true;
}

/// An endpoint was asked.
pub fn probed(turn: &mut Turn<'_>, key: EndpointKey, life: Life) {
    if life == Life::Alive {
        turn.state.crashes.answered(key);
        return alive(turn, key);
    }
    crash::crashed(turn, key, End::Dark);
    let now = turn.now;
    let Some(suspect) = turn.state.suspects.get_mut(key) else { return };
    let fresh = !std::mem::replace(&mut suspect.dark, true);
    suspect.unanswered += 1;
    let pause = FIRST_PAUSE.saturating_mul(1 << suspect.unanswered.min(8)).min(LONGEST_PAUSE);
    suspect.due = Some(now + pause);
    if fresh {
        note_dark(turn, key);
    }
    leave_alone(turn, key, now + pause + MARGIN);
}

/// Asks those that are due.
pub fn tick(turn: &mut Turn<'_>) {
    while let Some(key) = turn.state.suspects.ask(turn.now) {
        match turn.state.directory.target(key) {
            Some(target) => turn.push(Effect::Probe(target)),
            None => drop(turn.state.suspects.clear(key)),
        }
    }
}

fn note_dark(turn: &mut Turn<'_>, key: EndpointKey) {
    if let Some(endpoint) = turn.state.directory.get(key) {
        let note = Note::new("endpoint_dark").with("instance", &endpoint.info.instance);
        turn.note(note);
    }
}

fn leave_alone(turn: &mut Turn<'_>, key: EndpointKey, until: Duration) {
    let believable = turn.state.suspects.dark() * BELIEVABLE <= turn.state.directory.len();
    let Some(endpoint) = turn.state.directory.get_mut(key) else { return };
    match believable {
        true => endpoint.shun(until),
        false => endpoint.avoid(until),
    }
    turn.state.peers.changed |= believable;
}
