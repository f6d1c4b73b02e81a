//! A call ends, and what is held for it is given back.

use std::time::Duration;

use super::{Turn, end as release, end_hold, quota};
use crate::{
    call::RequestId,
    effect::Effect,
    note::{Measure, Note},
    reason::Refusal,
    state::{
        Request, State,
        requests::{Hold, Live, QuotaStage},
    },
};

/// Passes the answer on that the shell holds.
pub fn deliver(turn: &mut Turn<'_>, id: RequestId, number: u32) {
    turn.push(Effect::Deliver { request: id, attempt: number });
    end(turn, id, "delivered");
}

/// A stream ended whole.
pub fn finished(turn: &mut Turn<'_>, id: RequestId) {
    end(turn, id, "finished");
}

/// The caller left. What endpoints do for it is stopped at once.
pub fn left(turn: &mut Turn<'_>, id: RequestId) {
    end(turn, id, "left");
}

/// Answers for good, at once.
pub fn give_up(turn: &mut Turn<'_>, id: RequestId, refusal: Refusal) {
    let Some(request) = turn.state.requests.get(&id) else { return };
    // A refusal promises that nothing was run. Once an endpoint may have begun, only a failure that
    // promises nothing is true.
    let refusal = match refusal.not_run() && request.may_have_run() {
        true => Refusal::Broken,
        false => refusal,
    };
    if request.answering {
        turn.push(Effect::Cut { request: id, refusal });
    } else {
        let after = refusal.not_run().then(|| turn.state.come_back(id, refusal, turn.now));
        turn.push(Effect::Refuse { request: id, refusal, after });
    }
    end(turn, id, refusal.as_str());
}

/// Gives a hold back whose endpoint did not take the call.
pub fn drop_hold_of(turn: &mut Turn<'_>, id: RequestId, live: &Live) {
    let Some(request) = turn.state.requests.get_mut(&id) else { return };
    if let Some(hold) = request.draft.hold.take_if(|hold| hold.endpoint == live.endpoint) {
        give_hold_back(turn, &hold);
    }
}

/// Gives a hold back whose endpoint has begun to leave meanwhile.
///
/// Between the hold and the call that takes it lies the prompt's reading, whose answer may be lost and
/// waited for for seconds. The draft would then be new work for an endpoint that has said long ago that
/// it takes none, and be cut when that endpoint exits. A KV cache that was read is kept: it can be
/// decoded elsewhere.
pub fn drop_hold_at_leaving(turn: &mut Turn<'_>, id: RequestId) {
    let Some(request) = turn.state.requests.get_mut(&id) else { return };
    let directory = &turn.state.directory;
    let leaves = |hold: &mut Hold| directory.get(hold.endpoint).is_none_or(|e| !e.takes_work());
    if let Some(hold) = request.draft.hold.take_if(leaves) {
        give_hold_back(turn, &hold);
        turn.note_request(id, Note::new("hold_dropped").with("hold", &hold.name));
    }
}

fn give_hold_back(turn: &mut Turn<'_>, hold: &Hold) {
    // Before it is released: an endpoint that is gone is removed with its last call.
    if let Some(target) = turn.state.directory.target(hold.endpoint) {
        turn.push(Effect::Drop { target, hold: hold.name.clone() });
    }
    end_hold(turn.state, hold);
}

fn end(turn: &mut Turn<'_>, id: RequestId, outcome: &'static str) {
    let Some(mut request) = turn.state.requests.remove(&id) else { return };
    turn.state.drop_timers(id, &request.timers);
    turn.state.peers.changed |= turn.state.waiting.contains(&id);
    turn.state.permits.waiting.retain(|other| *other != id);
    let took = turn.now.saturating_sub(request.arrived);
    let note = Note::new("ended")
        .with("request", &request.call.trace)
        .with("outcome", outcome)
        .with_ms("took_ms", took)
        .with("attempts", request.attempts)
        .with_measure(Measure::Request { outcome, took });
    turn.note(note);
    // Before its attempts are stopped: an endpoint that has it now may have begun.
    let ran = request.may_have_run();
    for live in std::mem::take(&mut request.live) {
        turn.push(Effect::Stop { request: id, attempt: live.number });
        release(turn.state, live.endpoint, live.share);
    }
    if let (QuotaStage::Taken { amount }, Some(team), false) = (request.quota, &request.team, ran) {
        quota::give_back(turn, team.id, amount);
    }
    give_back(turn, request);
    turn.state.room = true;
}

fn give_back(turn: &mut Turn<'_>, request: Request) {
    if let Some(hold) = &request.draft.hold {
        give_hold_back(turn, hold);
    }
    if let Some(kv) = request.draft.kv
        && let Some(target) = turn.state.directory.target(kv.endpoint)
    {
        turn.push(Effect::Free { target, handle: kv.handle });
    }
}

impl State {
    /// When a caller that was refused should come back.
    fn come_back(&mut self, id: RequestId, refusal: Refusal, now: Duration) -> Duration {
        let request = self.requests.get(&id);
        let least = match (refusal, request) {
            (Refusal::Quarantined, Some(request)) => self.quarantine.left(request.call.digest, now),
            (Refusal::Limited, Some(request)) => {
                let lacking = self.lacking(&request.service, now);
                Some(self.permits.opens(&lacking).saturating_sub(now))
            }
            (_, Some(request)) => request.come_back,
            _ => None,
        };
        let usual = self.tuning.come_back.mul_f64(0.75 + 0.5 * self.rng.unit());
        usual.max(least.unwrap_or_default())
    }
}
