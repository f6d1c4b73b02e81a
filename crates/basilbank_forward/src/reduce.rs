//! The reducer for forwarded calls and the helpers that its modules share.
//!
//! A call passes through the modules in this order: `admission` finds its route and service, then
//! `step` drives it. After each event `step` asks `plain` or `completion` for the next step and
//! carries it out. If an event may have freed capacity at endpoints, the reducer finally resumes
//! the completions that wait for it (`queue`). No module calls a module that comes before it in
//! this order.

mod admission;
mod call_limit;
mod completion;
mod crash;
mod demand;
mod endpoints;
mod finish;
mod forecast;
mod freshness;
mod gossip;
mod gossip_send;
mod history;
mod keepers;
mod list_reads;
mod next_step;
mod only_version;
mod origin;
mod outcome;
mod placement;
mod plain;
mod queue;
mod quota;
mod records;
mod relays;
mod restart;
mod returns;
mod roles;
mod shutdown;
mod silence;
mod statement;
mod step;
mod suspect;

use std::{net::SocketAddr, time::Duration};

use basilbank_core::time::Now;
use basilbank_wire::LoadGossip;

use crate::{
    call::RequestId,
    effect::Effect,
    endpoint::EndpointKey,
    event::Event,
    log_line::LogLine,
    state::{State, SystemStart, Usage, requests::Hold},
    topic::Topic,
};

/// Applies one event to the state and appends the resulting effects to `effects`.
pub fn reduce(state: &mut State, now: Now, event: Event, effects: &mut Vec<Effect>) {
    let mut ctx = Context { state, now: now.mono, effects };
    ctx.state.started.get_or_insert(now.mono);
    roles::detect_suspension(&mut ctx, now);
    match event {
        Event::Tick => ctx.state.capacity_changed = true,
        Event::Arrived(call) => admission::handle_call(&mut ctx, *call),
        Event::CallerLeft(id) => finish::handle_caller_left(&mut ctx, id),
        Event::AttemptOutcome { request, attempt, outcome } => {
            outcome::handle_outcome(&mut ctx, request, attempt, outcome);
        }
        Event::FirstEvent { request, attempt } => {
            keepers::record_origin(&mut ctx, request, attempt);
        }
        Event::WroteOn { request, attempt } => crash::handle_wrote_on(&mut ctx, request, attempt),
        Event::AttemptSilent { request, attempt, silent_for } => {
            silence::handle_silent(&mut ctx, request, attempt, silent_for);
        }
        Event::AttemptResumed { request, attempt } => {
            silence::handle_resumed(&mut ctx, request, attempt);
        }
        Event::RoutesRead { revisions, table } => {
            endpoints::apply_routes(&mut ctx, revisions, table);
        }
        Event::RoutesConfirmed { asked_at } => freshness::record_confirmation(&mut ctx, asked_at),
        Event::EndpointsRead { revisions, list } => {
            endpoints::apply_list(&mut ctx, revisions, list);
        }
        Event::RecordsReplaced(replaced) => {
            replaced.iter().for_each(|info| records::record_former(&mut ctx, info));
        }
        Event::EndpointsChanged { revisions, updated, removed } => {
            endpoints::apply_changes(&mut ctx, revisions, updated, &removed);
        }
        Event::RoutesReadFailed => endpoints::handle_read_failure(&mut ctx, Topic::Routes),
        Event::EndpointsReadFailed => endpoints::handle_read_failure(&mut ctx, Topic::Endpoints),
        Event::HistoryRead { era, answer } => history::handle(&mut ctx, era, answer),
        Event::ListConfirmed { asked_at, era, unread } => {
            list_reads::handle(&mut ctx, asked_at, era, unread);
        }
        Event::RevisionNotFound { topic, revision } => {
            gossip::handle_missing_revision(&mut ctx, topic, revision);
        }
        Event::Probed { endpoint, liveness } => suspect::handle_probe(&mut ctx, endpoint, liveness),
        Event::ProbedByPeer { endpoint, peer, failure } => {
            suspect::handle_probe_by_peer(&mut ctx, endpoint, peer, failure);
        }
        Event::ProxiedCallStarted => ctx.state.proxies.serving += 1,
        Event::ProxiedCallEnded { endpoint, traits, wrote_on, duration, end } => {
            suspect::handle_proxied_end(&mut ctx, endpoint, traits, wrote_on, duration, end);
        }
        Event::CallLimit { endpoint, rate } => call_limit::record_limit(&mut ctx, endpoint, rate),
        Event::EndpointLeaving(key) => statement::mark_leaving(&mut ctx, key),
        Event::PauseRequested { endpoint, pause } => statement::pause(&mut ctx, endpoint, pause),
        Event::OrderAnswered { endpoint, acceptance } => {
            roles::handle_order_answer(&mut ctx, endpoint, acceptance);
        }
        Event::OrderRight(right) => roles::set_order_right(&mut ctx, right),
        Event::Shutdown { grace } => shutdown::begin(&mut ctx, grace),
        Event::ShutdownOver => shutdown::complete(&mut ctx),
        Event::Gossip { from, gossip } => gossip::handle(&mut ctx, from, &gossip),
    }
    queue::resume_waiting(&mut ctx);
    endpoints::remove_expired(&mut ctx);
    update_versions(&mut ctx);
    while let Some(id) = ctx.state.pop_due_timer(ctx.now) {
        step::handle_timer(&mut ctx, id);
        queue::resume_waiting(&mut ctx);
    }
    shutdown::tick(&mut ctx);
    forecast::tick(&mut ctx);
    statement::tick(&mut ctx);
    suspect::tick(&mut ctx);
    crash::tick(&mut ctx);
    keepers::log_dropped(&mut ctx);
    call_limit::tick(&mut ctx);
    freshness::tick(&mut ctx);
    quota::tick(&mut ctx);
    gossip::tick(&mut ctx);
    roles::tick(&mut ctx);
}

/// Looks at the versions of endpoints if the list has changed.
fn update_versions(ctx: &mut Context<'_>) {
    let is_first_start = ctx.state.local.start == SystemStart::First;
    let State { versions, assignments, directory, records, first_list, .. } = &mut *ctx.state;
    let has_more = versions.update(directory, records, is_first_start, ctx.now);
    assignments.update(directory, records, is_first_start, ctx.now);
    if assignments.is_known(ctx.now) {
        *first_list = None;
    }
    if has_more {
        keepers::announce_all(ctx);
    }
}

/// Adds a call's usage to an endpoint, and schedules a gossip datagram if the call takes memory
/// there. Plain calls don't trigger a datagram: they end before a peer could react, and heartbeats
/// report them.
fn add_usage(state: &mut State, endpoint: EndpointKey, usage: Usage) {
    state.directory.add_usage(endpoint, usage);
    state.peers.changed |= usage.tokens != 0;
}

/// Reverts [`add_usage`].
fn remove_usage(state: &mut State, endpoint: EndpointKey, usage: Usage) {
    state.directory.remove_usage(endpoint, usage);
    state.peers.changed |= usage.tokens != 0;
}

/// Removes the usage of a hold that has ended, unless the call that took the hold is counted
/// instead.
fn remove_hold_usage(state: &mut State, hold: &Hold) {
    if let Some(usage) = hold.usage {
        remove_usage(state, hold.endpoint, usage);
    }
}

/// The state, the time and the effects of one reducer step.
struct Context<'a> {
    state: &'a mut State,
    now: Duration,
    effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message to some peers, apart from the regular gossip about this daemon's load.
    fn send(&mut self, to: Vec<SocketAddr>, message: LoadGossip) {
        let incarnation = self.state.peers.incarnation;
        let gossip = Box::new(LoadGossip { incarnation, ..message });
        self.push(Effect::SendGossip { to, gossip });
    }

    fn log(&mut self, line: LogLine) {
        self.effects.push(Effect::Log(line));
    }

    /// Logs a line about a request, with the caller's id of the call as its first key.
    fn log_request(&mut self, id: RequestId, line: LogLine) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let mut pairs = vec![("request", request.call.trace_id.clone())];
        pairs.extend(line.pairs);
        self.log(LogLine { pairs, ..line });
    }

    /// Sets a timer that resumes the request at `at`.
    fn set_timer(&mut self, id: RequestId, at: Duration) {
        if let Some(request) = self.state.requests.get_mut(&id) {
            request.timers.push(at);
            self.state.set_timer(at, id);
        }
    }
}
