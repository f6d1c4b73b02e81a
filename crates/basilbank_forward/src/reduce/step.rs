//! Drives a call: asks what comes next, and carries it out.

use std::{sync::Arc, time::Duration};

use super::{
    Turn, begin, crash, draft, end, finish, limit,
    next::{Next, Send},
    plain, quota,
};
use crate::{
    call::RequestId,
    effect::{Attempt, Effect},
    note::{Measure, Note},
    reason::Refusal,
    state::{
        Request, State,
        requests::{Live, QuotaStage, Step},
    },
};

/// A retry that has less time than this is not worth an endpoint's work: a connection and an answer.
const MIN_TIME: Duration = Duration::from_millis(20);

/// A call waits for a permit for this part of its time at the most: it may still be served elsewhere, and
/// on time, when its caller comes back.
const PERMIT_PART: u32 = 3;

/// Takes the next step, once there is no attempt that must be waited for.
pub fn go_on(turn: &mut Turn<'_>, id: RequestId) {
    if !quota::passes(turn, id) {
        return;
    }
    finish::drop_hold_at_leaving(turn, id);
    if crash::is_quarantined(turn, id) {
        return finish::give_up(turn, id, Refusal::Quarantined);
    }
    // Others may be to blame, so it is not refused; but it must not crash one more meanwhile.
    if let Some(until) = crash::open_until(turn, id) {
        return wait_until(turn, id, until);
    }
    if !turn.state.call_limits.is_empty() {
        limit::look_ahead(turn, id);
    }
    let Some(request) = turn.state.requests.get(&id) else { return };
    let next = match request.is_draft(turn.state) {
        true => draft::next(turn.state, id, turn.now),
        false => plain::next(turn.state, id, turn.now),
    };
    match next {
        Next::Wait => {}
        Next::WaitUntil(at) => wait_until(turn, id, at),
        Next::WaitForRoom | Next::WaitForTurn(_) => {
            turn.state.line.turn = match next {
                Next::WaitForTurn(at) => Some(at),
                _ => None,
            };
            let waiting = turn.state.waiting.len();
            if wait_for_room(turn, id) {
                turn.note_request(id, Note::new("waits").with("ahead", waiting));
                let lead = turn.state.tuning.lead;
                let longest = turn.state.requests.get(&id).map(|r| r.patience());
                if let Some(longest) = longest {
                    turn.wake(id, longest.saturating_sub(lead));
                }
            }
        }
        Next::WaitForPermit => wait_for_permit(turn, id),
        Next::GiveUp(refusal) => finish::give_up(turn, id, refusal),
        Next::Send(send) => {
            let plain = send.step == Step::Whole;
            start(turn, id, send);
            // An idempotent call may be sent to a second endpoint when this one is slow.
            if plain {
                go_on(turn, id);
            }
        }
    }
}

fn wait_until(turn: &mut Turn<'_>, id: RequestId, at: Duration) {
    if let Some(request) = turn.state.requests.get_mut(&id) {
        request.resume_at = Some(at);
    }
    turn.wake(id, at);
}

/// Takes a draft in that found no room; true when it has not waited before.
fn wait_for_room(turn: &mut Turn<'_>, id: RequestId) -> bool {
    if !turn.state.waiting.contains(&id) {
        turn.state.waiting.push(id);
    }
    let draft = turn.state.requests.get_mut(&id).map(|request| &mut request.draft);
    let first = draft.is_some_and(|draft| !std::mem::replace(&mut draft.waited, true));
    turn.state.peers.changed |= first;
    first
}

/// A call waits for a permit for some time, or is refused if there will be none in this time.
fn wait_for_permit(turn: &mut Turn<'_>, id: RequestId) {
    let now = turn.now;
    let Some(request) = turn.state.requests.get_mut(&id) else { return };
    let longest = request.remaining(now) / PERMIT_PART;
    let first = request.permit_by.is_none();
    let by = *request.permit_by.get_or_insert(now + longest);
    if by <= now || !limit::line_up(turn, id, by - now) {
        return finish::give_up(turn, id, Refusal::Limited);
    }
    if !turn.state.permits.waiting.contains(&id) {
        turn.state.permits.waiting.push(id);
    }
    if first {
        turn.note_request(id, Note::new("waits_for_permit").with_ms("most_ms", by - now));
        turn.wake(id, by);
    }
}

/// A timer of the call is due: its deadline, or a pause that is over.
pub fn timer(turn: &mut Turn<'_>, id: RequestId) {
    let Some(request) = turn.state.requests.get_mut(&id) else { return };
    if request.deadline <= turn.now {
        let refusal = if request.may_have_run() { Refusal::TimedOut } else { Refusal::WaitedOut };
        return finish::give_up(turn, id, refusal);
    }
    let lead = turn.state.tuning.lead;
    if turn.state.waiting.contains(&id) && request.patience() <= turn.now + lead {
        return finish::give_up(turn, id, Refusal::WaitedOut);
    }
    let asks = matches!(request.quota, QuotaStage::Asked { .. });
    if asks || turn.state.permits.waiting.contains(&id) {
        return go_on(turn, id);
    }
    if request.resume_at.is_some_and(|at| at <= turn.now) {
        request.resume_at = None;
        request.draft.asked = 0;
        go_on(turn, id);
    }
}

fn start(turn: &mut Turn<'_>, id: RequestId, send: Send) {
    let daemons = turn.state.sharers(turn.now);
    let State { requests, budgets, tuning, .. } = &mut *turn.state;
    let Some(request) = requests.get_mut(&id) else { return };
    if let Some(retry) = send.extra {
        let budget = budgets.entry(request.service.clone()).or_default();
        if !budget.take(turn.now, tuning, daemons) {
            let refusal = request.failure.unwrap_or(Refusal::RetriesSpent);
            return finish::give_up(turn, id, refusal);
        }
        request.unpaid = request.unpaid.saturating_sub(1);
        let note = Note::new("retry").with("reason", retry.as_str());
        let note = note.with_measure(Measure::Retry(retry));
        turn.note_request(id, note);
        return send_out(turn, id, send);
    }
    send_out(turn, id, send);
}

fn send_out(turn: &mut Turn<'_>, id: RequestId, send: Send) {
    let Some(target) = turn.state.directory.target(send.endpoint) else { return };
    let endpoint = turn.state.directory.get(send.endpoint);
    let (calls, tokens) = endpoint.map_or((0, 0), |e| (e.all_calls(), e.all_tokens()));
    let ahead = tokens.saturating_add(send.share.tokens);
    let list_age = turn.now.saturating_sub(turn.state.directory.read_at);
    let Some(request) = turn.state.requests.get_mut(&id) else { return };
    let number = request.attempts;
    request.attempts += 1;
    request.counted += u32::from(send.counted);
    request.tried.push(send.endpoint);
    let live = Live {
        number,
        endpoint: send.endpoint,
        share: send.share,
        ahead,
        began: turn.now,
        step: send.step,
    };
    request.live.push(live);
    let remaining = request.remaining(turn.now);
    let more = request.counted < request.route.attempts;
    let stall = (request.route.resumable && more).then_some(turn.state.tuning.stall);
    let note = Note::new("send")
        .with("attempt", number)
        .with("op", send.op.as_str())
        .with("instance", &target.instance)
        .with_ms("left_ms", remaining)
        .with("calls_there", calls)
        .with("tokens_there", tokens)
        .with_ms("list_ms", list_age);
    let limit = send.limit.min(remaining);
    let team = request.team.as_ref().map(|team| Arc::clone(&team.name));
    let attempt = Attempt { number, target, op: send.op, team, remaining, limit, stall };
    // The permit for the slot stands for the call that takes it, too.
    if send.step != Step::Decode {
        turn.state.permits.take(send.endpoint);
    }
    begin(turn.state, send.endpoint, send.share);
    if send.step == Step::Decode {
        count_once(turn.state, id);
    }
    turn.state.peers.urgent |= send.step == Step::Hold;
    turn.note_request(id, note);
    turn.push(Effect::Start { request: id, attempt });
}

/// The call that takes a hold counts in its place: to count both would show the endpoint fuller than
/// it is to all daemons.
fn count_once(state: &mut State, id: RequestId) {
    let hold = state.requests.get_mut(&id).and_then(|request| request.draft.hold.as_mut());
    let counted = hold.and_then(|hold| Some((hold.endpoint, hold.share.take()?)));
    if let Some((endpoint, share)) = counted {
        end(state, endpoint, share);
    }
}

impl Request {
    /// It is a draft for a service whose endpoints have stages.
    pub(super) fn is_draft(&self, state: &State) -> bool {
        self.call.prompt.is_some() && state.routes.engine(&self.service).is_some()
    }
}

impl State {
    /// Another attempt may help: there is time and budget for it, and an endpoint that has not had
    /// the call.
    pub(super) fn retry_pays(&mut self, id: RequestId, now: Duration) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        if request.remaining(now) < MIN_TIME {
            return false;
        }
        let (service, tried) = (request.service.clone(), request.tried.clone());
        let another = self.directory.service(&service).any(|(key, _)| !tried.contains(&key));
        let daemons = self.sharers(now);
        let budget = self.budgets.entry(service).or_default();
        another && 1.0 <= budget.left(now, &self.tuning, daemons)
    }
}
