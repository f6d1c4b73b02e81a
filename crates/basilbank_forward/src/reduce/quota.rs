//! Takes calls' parts from their teams' quotas, over all daemons.
//!
//! One daemon counts a quota for all (`state/counters.rs`). While there is plenty a call is taken at once,
//! and told within milliseconds. When the quota runs low, it asks first, and goes on with the answer. Where
//! nobody answers, each daemon has an even share.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{LoadBeat, QuotaAnswer, QuotaAsk, QuotaCounted, QuotaState, QuotaUse};

use super::{Turn, finish, step};
use crate::{
    call::RequestId,
    note::Note,
    reason::Refusal,
    state::{
        State,
        counters::{self, Answer, Terms},
        quotas::{Asking, SHARE_MARGIN},
        requests::QuotaStage,
    },
    team::{Quota, TeamId},
};

/// How long a call waits for the answer of the daemon that counts: some round trips between data centres.
const WAIT: Duration = Duration::from_millis(80);

/// The longest time that a caller whose team has used its quota up is told to wait.
const COME_BACK_MOST: Duration = Duration::from_secs(4);

/// What becomes of a call by its team's quota.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Verdict {
    Passes,
    Waits,
    /// There is room after this time.
    Refused(Duration),
}

/// Whether a call may go on; if not, it waits for an answer, or was refused.
pub fn passes(turn: &mut Turn<'_>, id: RequestId) -> bool {
    let Some(request) = turn.state.requests.get(&id) else { return false };
    let verdict = match request.quota {
        QuotaStage::Taken { .. } | QuotaStage::Unlimited => return true,
        QuotaStage::Asked { until, .. } if turn.now < until => return false,
        QuotaStage::Asked { ticket, .. } => {
            turn.state.quotas.asking.remove(&ticket);
            take(turn, id, take_share)
        }
        QuotaStage::New => take(turn, id, take_or_ask),
    };
    match verdict {
        Verdict::Passes => true,
        Verdict::Waits => false,
        Verdict::Refused(after) => {
            refuse(turn, id, after);
            false
        }
    }
}

/// One call's part of a quota.
#[derive(Clone, Copy)]
struct Part {
    id: RequestId,
    team: TeamId,
    quota: Quota,
    amount: u32,
}

fn take(turn: &mut Turn<'_>, id: RequestId, way: fn(&mut Turn<'_>, Part) -> Verdict) -> Verdict {
    let Some(part) = part(turn.state, id) else {
        set_stage(turn, id, QuotaStage::Unlimited);
        return Verdict::Passes;
    };
    let Part { team, amount, .. } = part;
    let verdict = way(turn, part);
    if verdict == Verdict::Passes {
        set_stage(turn, id, QuotaStage::Taken { amount });
    }
    if verdict != Verdict::Waits {
        let passes = verdict == Verdict::Passes;
        turn.state.quotas.used(team, turn.now).judged(amount, passes, turn.now);
    }
    verdict
}

/// A call's part of its team's quota in force, not of the one when it came; none if the team has none.
fn part(state: &State, id: RequestId) -> Option<Part> {
    let request = state.requests.get(&id)?;
    let team = request.team.as_ref()?.id;
    let quota = state.quota(team)?;
    Some(Part { id, team, quota, amount: request.amount(quota.unit) })
}

fn set_stage(turn: &mut Turn<'_>, id: RequestId, stage: QuotaStage) {
    if let Some(request) = turn.state.requests.get_mut(&id) {
        request.quota = stage;
    }
}

/// Takes a call's part, or asks the daemon that counts.
fn take_or_ask(turn: &mut Turn<'_>, part: Part) -> Verdict {
    let Some(counter) = count_at(turn, part.team) else { return take_here(turn, part) };
    let used = turn.state.quotas.used(part.team, turn.now);
    if turn.now < used.full_until {
        return Verdict::Refused(used.full_until - turn.now);
    }
    if used.ask_until <= turn.now {
        if used.is_doubtful() {
            return take_share(turn, part);
        }
        used.take(i64::from(part.amount), turn.now);
        return Verdict::Passes;
    }
    ask(turn, counter, part);
    Verdict::Waits
}

/// This daemon counts the quota itself.
fn take_here(turn: &mut Turn<'_>, part: Part) -> Verdict {
    let Some(terms) = turn.state.quota_terms(part.team, turn.now) else { return Verdict::Passes };
    let ask = QuotaAsk { ticket: 0, amount: part.amount };
    let answer = turn.state.counters.ask(part.team, &terms, &ask, turn.now);
    if turn.state.counters.is_low(part.team, &terms, turn.now) {
        warn_all(turn, part.team);
    }
    match answer {
        Answer::Granted => Verdict::Passes,
        Answer::Full(after) => Verdict::Refused(after),
    }
}

/// Nobody answers: takes a call's part from this daemon's own share. It is told, as soon as somebody hears.
fn take_share(turn: &mut Turn<'_>, part: Part) -> Verdict {
    let share = turn.state.quota_share(turn.now);
    let used = turn.state.quotas.used(part.team, turn.now);
    if used.take_share(&part.quota, share, part.amount, turn.now) {
        used.take(i64::from(part.amount), turn.now);
        return Verdict::Passes;
    }
    Verdict::Refused(used.share_opens(&part.quota, share))
}

fn ask(turn: &mut Turn<'_>, counter: SocketAddr, part: Part) {
    let until = turn.now + WAIT;
    let asking = Asking { request: part.id, amount: part.amount, at: turn.now };
    let ticket = turn.state.quotas.ticket(asking);
    let asks = QuotaAsk { ticket, amount: part.amount };
    set_stage(turn, part.id, QuotaStage::Asked { ticket, until });
    turn.wake(part.id, until);
    tell(turn, counter, part.team, Some(asks));
}

/// Tells the daemon that counts a quota what was taken, with a question or without.
fn tell(turn: &mut Turn<'_>, counter: SocketAddr, team: TeamId, ask: Option<QuotaAsk>) {
    let used = turn.state.quotas.used(team, turn.now);
    used.tell(turn.now);
    let (epoch, taken, acknowledged) = (used.epoch, used.taken, used.acknowledged);
    let word = QuotaUse { team: team.0, epoch, taken, acknowledged, ask };
    turn.say(vec![counter], LoadBeat { quota_uses: vec![word], ..LoadBeat::default() });
}

/// A call that nothing was run of gives its part back.
pub fn give_back(turn: &mut Turn<'_>, team: TeamId, amount: u32) {
    let back = -i64::from(amount);
    if count_at(turn, team).is_some() {
        turn.state.quotas.used(team, turn.now).take(back, turn.now);
    } else if let Some(terms) = turn.state.quota_terms(team, turn.now) {
        turn.state.counters.take(team, &terms, back, turn.now);
    }
}

/// The peer that counts a team's quota now; `None` when this daemon does.
///
/// If it is another one than before, it is told all that the one before has not acknowledged.
fn count_at(turn: &mut Turn<'_>, team: TeamId) -> Option<SocketAddr> {
    let used = turn.state.quotas.used(team, turn.now);
    if let Some(silent) = used.counter.filter(|_| used.is_unheard()) {
        turn.state.quotas.leave(silent, turn.now);
        turn.note(Note::new("quota_counter_silent").with("addr", silent));
    }
    let counter = turn.state.quota_counter(team, turn.now);
    let used = turn.state.quotas.used(team, turn.now);
    let unacknowledged = used.taken - used.acknowledged;
    if used.counter != counter {
        used.count_at(counter);
    }
    if counter.is_none() && unacknowledged != 0 {
        used.acknowledge(used.epoch, used.taken, turn.now);
        if let Some(terms) = turn.state.quota_terms(team, turn.now) {
            turn.state.counters.take(team, &terms, unacknowledged, turn.now);
        }
    }
    counter
}

/// Peers tell what their callers took, or ask.
pub fn heard_uses(turn: &mut Turn<'_>, from: SocketAddr, beat: &LoadBeat) {
    for word in &beat.quota_uses {
        let team = TeamId(word.team);
        // One that takes another daemon for the one that counts doesn't: both would give the quota out.
        if turn.state.quota_counter(team, turn.now).is_some() {
            continue;
        }
        let Some(terms) = turn.state.quota_terms(team, turn.now) else { continue };
        let now = turn.now;
        let counters = &mut turn.state.counters;
        counters.tell(team, &terms, (from, beat.incarnation), word, now);
        let answer = word.ask.map(|ask| answer_to(&ask, counters.ask(team, &terms, &ask, now)));
        let counted = Some(QuotaCounted { epoch: word.epoch, taken: word.taken });
        let low = counters.is_low(team, &terms, now);
        let state = QuotaState { team: team.0, counted, ask_for: ask_for(low), answer };
        turn.say(vec![from], LoadBeat { quota_states: vec![state], ..LoadBeat::default() });
        if low {
            warn_all(turn, team);
        }
    }
}

fn answer_to(ask: &QuotaAsk, answer: Answer) -> QuotaAnswer {
    let (granted, wait) = match answer {
        Answer::Granted => (true, Duration::ZERO),
        Answer::Full(after) => (false, after),
    };
    let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    QuotaAnswer { ticket: ask.ticket, granted, wait }
}

fn ask_for(low: bool) -> u32 {
    let time = if low { counters::ASK_FOR } else { Duration::ZERO };
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Tells all daemons that calls of a team have to ask, unless they were told lately.
fn warn_all(turn: &mut Turn<'_>, team: TeamId) {
    if !turn.state.counters.is_due_to_say(team, turn.now) {
        return;
    }
    let state = QuotaState { team: team.0, ask_for: ask_for(true), ..QuotaState::default() };
    let all = turn.state.peers.addresses();
    turn.say(all, LoadBeat { quota_states: vec![state], ..LoadBeat::default() });
}

/// The daemon that counts says how it is with quotas.
pub fn heard_states(turn: &mut Turn<'_>, from: SocketAddr, states: &[QuotaState]) {
    for state in states {
        let team = TeamId(state.team);
        if turn.state.quota_counter(team, turn.now) != Some(from) {
            continue;
        }
        count_at(turn, team);
        let used = turn.state.quotas.used(team, turn.now);
        if let Some(counted) = &state.counted {
            used.acknowledge(counted.epoch, counted.taken, turn.now);
        }
        used.ask_until = turn.now + Duration::from_millis(u64::from(state.ask_for));
        if let Some(answer) = &state.answer {
            answered(turn, team, answer);
        }
    }
}

fn answered(turn: &mut Turn<'_>, team: TeamId, answer: &QuotaAnswer) {
    let after = Duration::from_millis(u64::from(answer.wait));
    if !answer.granted {
        turn.state.quotas.used(team, turn.now).full_until = turn.now + after;
    }
    let Some(asking) = turn.state.quotas.asking.remove(&answer.ticket) else { return };
    let Asking { request: id, amount, .. } = asking;
    turn.state.quotas.used(team, turn.now).judged(amount, answer.granted, turn.now);
    match (turn.state.requests.get_mut(&id), answer.granted) {
        (Some(request), true) => {
            request.quota = QuotaStage::Taken { amount };
            step::go_on(turn, id);
        }
        (Some(_), false) => refuse(turn, id, after),
        // Its caller has left meanwhile.
        (None, true) => give_back(turn, team, amount),
        (None, false) => {}
    }
}

/// The team has used its quota up. Callers come back when there is room for them, one after the other: the
/// time is spread, since others were told the same.
fn refuse(turn: &mut Turn<'_>, id: RequestId, after: Duration) {
    if let Some(request) = turn.state.requests.get_mut(&id) {
        request.come_back = Some(after.min(COME_BACK_MOST));
    }
    finish::give_up(turn, id, Refusal::OverQuota);
}

/// Tells what is due, and forgets what is over.
pub fn tick(turn: &mut Turn<'_>) {
    for team in turn.state.quotas.to_tell(turn.now) {
        match count_at(turn, team) {
            Some(counter) => tell(turn, counter, team, None),
            None => turn.state.quotas.used(team, turn.now).untold = None,
        }
    }
    if turn.state.quotas.forget(turn.now) {
        turn.state.counters.forget(turn.now);
    }
}

impl State {
    /// A team's quota in force.
    fn quota(&self, team: TeamId) -> Option<Quota> {
        self.routes.teams.as_ref()?.quota(team)
    }

    /// The peer that counts a team's quota; `None` when this daemon does.
    fn quota_counter(&self, team: TeamId, now: Duration) -> Option<SocketAddr> {
        self.elected(team.0, |peer| !self.quotas.has_left(peer, now))
    }

    /// What this daemon gives out of a quota that it counts. A daemon that doesn't hear all others may be cut
    /// off with some, and the others count the quota, too; one that stands in for a silent one may be the
    /// second to count it, so it gives out no more than the even shares of those who tell it.
    fn quota_terms(&self, team: TeamId, now: Duration) -> Option<Terms> {
        let quota = self.quota(team)?;
        let stands_in = self.quotas.leaves_any(now) && self.elected(team.0, |_| true).is_some();
        let heard = match stands_in {
            true => self.counters.tellers(team, now) + 1,
            false => self.peers.heard(now) + 1,
        };
        let part = heard as f64 * self.quota_share(now);
        Some(Terms { quota, part: part.min(1.0) })
    }

    /// The share of a quota that this daemon may use when nobody answers.
    fn quota_share(&self, now: Duration) -> f64 {
        (SHARE_MARGIN / self.fleet(now).max(1) as f64).min(1.0)
    }
}
