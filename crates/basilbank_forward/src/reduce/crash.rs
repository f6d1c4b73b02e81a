//! Calls that crash the endpoints that run them.

use std::time::Duration;

use basilbank_wire::{CrashReport, LoadBeat};

use super::{Turn, suspect};
use crate::{
    call::{Digest, RequestId},
    endpoint::EndpointKey,
    note::{Measure, Note},
    state::{
        crashes::End,
        requests::{Live, Step},
    },
};

/// An attempt broke off. Whether its endpoint crashed is asked there: a connection alone can be reset, too.
pub fn broke(turn: &mut Turn<'_>, id: RequestId, live: &Live) {
    if live.step == Step::Hold {
        return;
    }
    let Some(request) = turn.state.requests.get(&id) else { return };
    let (digest, ran) = (request.call.digest, turn.now.saturating_sub(live.began));
    // What an endpoint cuts as it leaves ends with it, and not the other way round.
    let stays = turn.state.directory.get(live.endpoint).is_some_and(|e| e.takes_work());
    if stays {
        turn.state.crashes.broke(live.endpoint, digest, ran, turn.now);
        suspect::ask(turn, live.endpoint);
    }
}

/// An endpoint has crashed, or has gone without a word.
pub fn crashed(turn: &mut Turn<'_>, key: EndpointKey, end: End) {
    let Some(hash) = turn.state.directory.hash(key) else { return };
    let reports = turn.state.crashes.crashed(key, hash, end, turn.now);
    if reports.is_empty() {
        return;
    }
    for report in &reports {
        let note = Note::new("crashed").with("digest", Digest(report.digest));
        let note = note.with("endpoint", format!("{hash:08x}")).with("ran_ms", report.ran);
        turn.note(note);
        take_in(turn, report);
    }
    turn.state.peers.tell_soon();
}

/// A call has run to its end.
pub fn served(turn: &mut Turn<'_>, id: RequestId) {
    let Some(digest) = turn.state.requests.get(&id).map(|request| request.call.digest) else {
        return;
    };
    if turn.state.crashes.suspects(digest) {
        turn.state.crashes.clear_for_all(digest);
        turn.state.peers.tell_soon();
    }
}

/// A peer's words.
pub fn heard(turn: &mut Turn<'_>, beat: &LoadBeat) {
    for told in &beat.quarantined {
        if turn.state.quarantine.hear(told, turn.now) {
            learned(turn, Digest(told.digest), "peer");
        }
    }
    for digest in &beat.cleared {
        turn.state.crashes.clear(Digest(*digest));
    }
    for report in &beat.crashes {
        take_in(turn, report);
    }
}

/// Looks for a cause, once crashes have been reported by all.
pub fn tick(turn: &mut Turn<'_>) {
    if turn.state.crashes.due().is_none_or(|due| turn.now < due) {
        return;
    }
    while let Some((digest, count)) = turn.state.crashes.cause(turn.now) {
        turn.state.quarantine.add(digest, turn.now);
        learned(turn, digest, &format!("crashes_{count}"));
        turn.state.peers.tell_soon();
    }
}

/// The call is in quarantine, and nowhere now. It stays there for longer since it came again.
pub fn is_quarantined(turn: &mut Turn<'_>, id: RequestId) -> bool {
    let request = turn.state.requests.get(&id).filter(|request| request.live.is_empty());
    let Some(digest) = request.map(|request| request.call.digest) else { return false };
    let is_known = turn.state.quarantine.left(digest, turn.now).is_some();
    if is_known {
        turn.state.quarantine.add(digest, turn.now);
    }
    is_known
}

/// Until when it is open whether a call that is nowhere now is the cause of crashes.
pub fn open_until(turn: &Turn<'_>, id: RequestId) -> Option<Duration> {
    let request = turn.state.requests.get(&id).filter(|request| request.live.is_empty())?;
    turn.state.crashes.open_until(request.call.digest, turn.now)
}

fn take_in(turn: &mut Turn<'_>, report: &CrashReport) {
    let known = turn.state.quarantine.left(Digest(report.digest), turn.now).is_some();
    turn.state.crashes.reported(report, known, turn.now);
}

fn learned(turn: &mut Turn<'_>, digest: Digest, why: &str) {
    turn.state.crashes.explain(digest);
    let note = Note::new("quarantined").with("digest", digest).with("why", why);
    turn.note(note.with_measure(Measure::Quarantined));
}
