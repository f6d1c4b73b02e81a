//! Charges calls to their teams' quotas, which hold for all daemons together.
//!
//! One daemon, the quota owner, counts a team's quota for all (`state/owned_quotas.rs`). While plenty
//! is left, a call is charged at once and reported to the owner within milliseconds. If the quota
//! runs low, the daemon asks the owner first and resumes the call with its answer. If the owner
//! doesn't answer, each daemon has an equal share.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{LoadGossip, QuotaAnswer, QuotaCounted, QuotaRequest, QuotaState, QuotaUse};

use super::{Context, finish, step};
use crate::{
    call::RequestId,
    gossip_bounds::MAX_QUOTA_WAIT,
    log_line::LogLine,
    reason::Refusal,
    state::{
        State,
        fleet::SHARE_MARGIN,
        owned_quotas::{self, Allowance, Answer},
        quotas::{AVOID_OWNER_TIME, PendingRequest},
        requests::QuotaStage,
    },
    team::{Quota, TeamId},
};

/// Time that a call waits for the quota owner's answer: some round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Whether a call's quota allows it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Verdict {
    Allowed,
    Pending,
    /// The quota is used up; it has capacity again after this time.
    Refused(Duration),
}

/// Returns whether a call may proceed. If not, it waits for the quota owner's answer or was
/// refused.
pub fn check_quota(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let verdict = match request.quota {
        QuotaStage::Taken { .. } | QuotaStage::Unlimited => return true,
        QuotaStage::Asked { until, .. } if ctx.now < until => return false,
        QuotaStage::Asked { ticket, .. } => {
            ctx.state.quotas.pending.remove(&ticket);
            take_charge(ctx, id, take_from_share)
        }
        QuotaStage::New => take_charge(ctx, id, take_or_ask),
    };
    match verdict {
        Verdict::Allowed => true,
        Verdict::Pending => false,
        Verdict::Refused(retry_after) => {
            refuse(ctx, id, retry_after);
            false
        }
    }
}

/// The amount of a team's quota that a call is charged.
#[derive(Clone, Copy)]
struct Charge {
    id: RequestId,
    team: TeamId,
    quota: Quota,
    amount: u32,
}

fn take_charge(
    ctx: &mut Context<'_>,
    id: RequestId,
    method: fn(&mut Context<'_>, Charge) -> Verdict,
) -> Verdict {
    let Some(charge) = charge_for(ctx.state, id) else {
        set_stage(ctx, id, QuotaStage::Unlimited);
        return Verdict::Allowed;
    };
    let Charge { team, amount, .. } = charge;
    let verdict = method(ctx, charge);
    if verdict == Verdict::Allowed {
        set_stage(ctx, id, QuotaStage::Taken { amount });
    }
    if verdict != Verdict::Pending {
        let is_allowed = verdict == Verdict::Allowed;
        ctx.state.quotas.usage_mut(team, ctx.now).record_decision(amount, is_allowed, ctx.now);
    }
    verdict
}

/// Returns the charge of a call, or `None` if its team has no quota. It is based on the quota in
/// force now, which may have changed since the call arrived.
fn charge_for(state: &State, id: RequestId) -> Option<Charge> {
    let request = state.requests.get(&id)?;
    let team = request.team.as_ref()?.id;
    let quota = state.quota(team)?;
    Some(Charge { id, team, quota, amount: request.quota_amount(quota.unit) })
}

fn set_stage(ctx: &mut Context<'_>, id: RequestId, stage: QuotaStage) {
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.quota = stage;
    }
}

/// Charges a call, or asks the quota owner.
fn take_or_ask(ctx: &mut Context<'_>, charge: Charge) -> Verdict {
    let Some(owner) = update_owner(ctx, charge.team) else { return take_as_owner(ctx, charge) };
    let used = ctx.state.quotas.usage_mut(charge.team, ctx.now);
    if ctx.now < used.full_until {
        return Verdict::Refused(used.full_until - ctx.now);
    }
    if used.ask_until <= ctx.now {
        if used.is_owner_doubtful() {
            return take_from_share(ctx, charge);
        }
        used.take(i64::from(charge.amount), ctx.now);
        return Verdict::Allowed;
    }
    ask_owner(ctx, owner, charge);
    Verdict::Pending
}

/// Charges a call if this daemon is the quota owner.
fn take_as_owner(ctx: &mut Context<'_>, charge: Charge) -> Verdict {
    let Some(terms) = ctx.state.quota_terms(charge.team, ctx.now) else { return Verdict::Allowed };
    let ask = QuotaRequest { ticket: 0, amount: charge.amount };
    let answer = ctx.state.owned_quotas.request(charge.team, &terms, &ask, ctx.now);
    if ctx.state.owned_quotas.check_low(charge.team, &terms, ctx.now) {
        announce_low(ctx, charge.team);
    }
    match answer {
        Answer::Granted => Verdict::Allowed,
        Answer::Full(retry_after) => Verdict::Refused(retry_after),
    }
}

/// Charges a call to this daemon's own share, because the quota owner doesn't answer. The charge is
/// reported as soon as an owner answers.
fn take_from_share(ctx: &mut Context<'_>, charge: Charge) -> Verdict {
    let fraction = ctx.state.quota_share();
    let used = ctx.state.quotas.usage_mut(charge.team, ctx.now);
    if used.take_share(&charge.quota, fraction, charge.amount, ctx.now) {
        used.take(i64::from(charge.amount), ctx.now);
        return Verdict::Allowed;
    }
    Verdict::Refused(used.share_wait(&charge.quota, fraction))
}

fn ask_owner(ctx: &mut Context<'_>, owner: SocketAddr, charge: Charge) {
    let until = ctx.now + ANSWER_TIMEOUT;
    let asking = PendingRequest { request: charge.id, amount: charge.amount, at: ctx.now };
    let ticket = ctx.state.quotas.add_pending(asking);
    let query = QuotaRequest { ticket, amount: charge.amount };
    set_stage(ctx, charge.id, QuotaStage::Asked { ticket, until });
    ctx.set_timer(charge.id, until);
    report_usage(ctx, owner, charge.team, Some(query));
}

/// Reports to the quota owner what was charged, optionally with a query.
fn report_usage(
    ctx: &mut Context<'_>,
    owner: SocketAddr,
    team: TeamId,
    query: Option<QuotaRequest>,
) {
    let used = ctx.state.quotas.usage_mut(team, ctx.now);
    used.record_report(ctx.now);
    let (epoch, taken, acknowledged) = (used.epoch, used.taken, used.acknowledged);
    let usage = QuotaUse { team: team.0, epoch, taken, acknowledged, ask: query };
    ctx.send(vec![owner], LoadGossip { quota_uses: vec![usage], ..LoadGossip::default() });
}

/// Refunds the charge of a call of which nothing was run.
pub fn refund(ctx: &mut Context<'_>, team: TeamId, amount: u32) {
    let refund = -i64::from(amount);
    if update_owner(ctx, team).is_some() {
        ctx.state.quotas.usage_mut(team, ctx.now).take(refund, ctx.now);
    } else if let Some(terms) = ctx.state.quota_terms(team, ctx.now) {
        ctx.state.owned_quotas.take(team, &terms, refund, ctx.now);
    }
}

/// Returns the peer that owns a team's quota now, or `None` if this daemon does.
///
/// A new owner is sent all charges that the previous one has not acknowledged.
fn update_owner(ctx: &mut Context<'_>, team: TeamId) -> Option<SocketAddr> {
    let used = ctx.state.quotas.usage_mut(team, ctx.now);
    if let Some(silent) = used.owner.filter(|_| used.is_owner_lost()) {
        ctx.state.quotas.avoid_owner(silent, ctx.now);
        ctx.log(LogLine::new("quota_counter_silent").with("addr", silent));
    }
    let owner = ctx.state.quota_owner(team, ctx.now);
    let used = ctx.state.quotas.usage_mut(team, ctx.now);
    let unacknowledged = used.taken - used.acknowledged;
    if used.owner != owner {
        used.change_owner(owner);
    }
    if owner.is_none() && unacknowledged != 0 {
        used.acknowledge_all(ctx.now);
        if let Some(terms) = ctx.state.quota_terms(team, ctx.now) {
            ctx.state.owned_quotas.take(team, &terms, unacknowledged, ctx.now);
        }
    }
    owner
}

/// Handles the peers' reports of charges and their queries.
pub fn handle_uses(ctx: &mut Context<'_>, from: SocketAddr, gossip: &LoadGossip) {
    for usage in &gossip.quota_uses {
        let team = TeamId(usage.team);
        // If this daemon considers another one the owner, it doesn't count: otherwise both would
        // give out the quota.
        if ctx.state.quota_owner(team, ctx.now).is_some() {
            continue;
        }
        let Some(terms) = ctx.state.quota_terms(team, ctx.now) else { continue };
        let now = ctx.now;
        let counters = &mut ctx.state.owned_quotas;
        counters.apply_report(team, &terms, (from, gossip.incarnation), usage, now);
        let answer =
            usage.ask.map(|ask| answer_to_wire(&ask, counters.request(team, &terms, &ask, now)));
        let counted = Some(QuotaCounted { epoch: usage.epoch, taken: usage.taken });
        let is_low = counters.check_low(team, &terms, now);
        let state = QuotaState { team: team.0, counted, ask_for: ask_period_ms(is_low), answer };
        ctx.send(vec![from], LoadGossip { quota_states: vec![state], ..LoadGossip::default() });
        if is_low {
            announce_low(ctx, team);
        }
    }
}

fn answer_to_wire(ask: &QuotaRequest, answer: Answer) -> QuotaAnswer {
    let (granted, wait) = match answer {
        Answer::Granted => (true, Duration::ZERO),
        Answer::Full(retry_after) => (false, retry_after),
    };
    let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    QuotaAnswer { ticket: ask.ticket, granted, wait }
}

fn ask_period_ms(is_low: bool) -> u32 {
    let time = if is_low { owned_quotas::ASK_PERIOD } else { Duration::ZERO };
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Announces to all daemons that calls of a team have to ask first, unless this was announced
/// recently.
fn announce_low(ctx: &mut Context<'_>, team: TeamId) {
    if !ctx.state.owned_quotas.take_ask_due(team, ctx.now) {
        return;
    }
    let state = QuotaState { team: team.0, ask_for: ask_period_ms(true), ..QuotaState::default() };
    let all = ctx.state.peers.addresses();
    ctx.send(all, LoadGossip { quota_states: vec![state], ..LoadGossip::default() });
}

/// Handles the quota owner's reports.
pub fn handle_states(ctx: &mut Context<'_>, from: SocketAddr, states: &[QuotaState]) {
    for state in states {
        let team = TeamId(state.team);
        if ctx.state.quota_owner(team, ctx.now) != Some(from) {
            continue;
        }
        update_owner(ctx, team);
        let used = ctx.state.quotas.usage_mut(team, ctx.now);
        if let Some(counted) = &state.counted {
            used.acknowledge(counted.epoch, counted.taken, ctx.now);
        }
        used.ask_until = ctx.now + Duration::from_millis(u64::from(state.ask_for));
        if let Some(answer) = &state.answer {
            handle_answer(ctx, team, answer);
        }
    }
}

fn handle_answer(ctx: &mut Context<'_>, team: TeamId, answer: &QuotaAnswer) {
    let retry_after = Duration::from_millis(u64::from(answer.wait));
    if !answer.granted {
        ctx.state.quotas.usage_mut(team, ctx.now).full_until = ctx.now + retry_after;
    }
    let Some(asking) = ctx.state.quotas.pending.remove(&answer.ticket) else { return };
    let PendingRequest { request: id, amount, .. } = asking;
    ctx.state.quotas.usage_mut(team, ctx.now).record_decision(amount, answer.granted, ctx.now);
    match (ctx.state.requests.get_mut(&id), answer.granted) {
        (Some(request), true) => {
            request.quota = QuotaStage::Taken { amount };
            step::proceed(ctx, id);
        }
        (Some(_), false) => refuse(ctx, id, retry_after),
        // The caller has disconnected in the meantime.
        (None, true) => refund(ctx, team, amount),
        (None, false) => {}
    }
}

/// Refuses a call whose team has used up its quota. Its caller is told to come back when the quota
/// has capacity for it. The times are spread, since other callers are told the same.
fn refuse(ctx: &mut Context<'_>, id: RequestId, retry_after: Duration) {
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.retry_after = Some(retry_after.min(MAX_QUOTA_WAIT));
    }
    finish::give_up(ctx, id, Refusal::OverQuota);
}

/// Sends the reports that are due and drops expired state.
pub fn tick(ctx: &mut Context<'_>) {
    if ctx.state.peers.is_isolated(ctx.now) {
        ctx.state.quotas.record_isolation(ctx.now);
        ctx.state.owned_quotas.forget_reporters();
    }
    for team in ctx.state.quotas.due_reports(ctx.now) {
        match update_owner(ctx, team) {
            Some(owner) => report_usage(ctx, owner, team, None),
            None => ctx.state.quotas.usage_mut(team, ctx.now).unreported_since = None,
        }
    }
    if ctx.state.quotas.expire(ctx.now) {
        ctx.state.owned_quotas.expire(ctx.now);
    }
}

impl State {
    /// Returns the quota of a team in the configuration in force.
    fn quota(&self, team: TeamId) -> Option<Quota> {
        self.routes.teams.as_ref()?.quota(team)
    }

    /// Returns the peer that owns a team's quota, or `None` if this daemon does.
    fn quota_owner(&self, team: TeamId, now: Duration) -> Option<SocketAddr> {
        self.remote_owner(team.0, |peer| !self.quotas.avoids_owner(peer, now))
    }

    /// Returns what this daemon may give out of a quota that it owns. If it is not in contact with
    /// all others, it may be cut off together with some of them, and the others count the quota as
    /// well. If it stands in for a silent owner, it may be a second one, so it gives out no more
    /// than the equal shares of the daemons that report to it.
    fn quota_terms(&self, team: TeamId, now: Duration) -> Option<Allowance> {
        let quota = self.quota(team)?;
        let stands_in =
            self.quotas.avoids_any_owner(now) && self.remote_owner(team.0, |_| true).is_some();
        let is_unsettled =
            self.quotas.is_unsettled(now) || self.restarted_within(AVOID_OWNER_TIME, now);
        let share = self.quota_share();
        let fraction = match stands_in || is_unsettled {
            _ if self.peers.is_isolated(now) => share,
            true => share * (self.owned_quotas.active_daemons(team, now) + 1) as f64,
            false => self.fleet_fraction(now),
        };
        Some(Allowance { quota, fraction: fraction.min(1.0) })
    }

    /// Returns the fraction of a quota that this daemon may use if the owner doesn't answer.
    fn quota_share(&self) -> f64 {
        (SHARE_MARGIN / self.fleet_peak().max(1) as f64).min(1.0)
    }
}
