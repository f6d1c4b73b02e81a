//! Exchanges with peers what completions need and use at services where completions wait.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{DemandReport, LoadGossip};

use super::Context;
use crate::{
    call::RequestId,
    log_line::{LogLine, Measurement},
    rank::{MAX_PRIORITY, Rank},
    state::{
        State,
        demand::{DemandKey, DemandSums, MAX_PEER_ROWS, MAX_REPORTED_ROWS, OTHER_TEAMS},
        service_hash,
    },
    team::TeamId,
};

/// Maximum number of rows, besides one for the rest, in a fleet that is so large that the bytes
/// between daemons are limited. A row takes some 25 bytes of each datagram.
const MAX_REPORTED_ROWS_LARGE_FLEET: usize = 1;

/// Maximum number of waiting completions that a peer's row is taken to have. More would be false.
const MAX_ROW_CALLS: u32 = 100_000;

/// Returns the rows of this daemon at all services where completions wait. A service with ranks or
/// teams is reported also if only peers' completions wait there, since their order depends on what
/// all daemons use.
pub fn report(state: &State, now: Duration) -> Vec<DemandReport> {
    if state.waiting.is_empty() && state.demand.is_empty() {
        return Vec::new();
    }
    let mut rows: Vec<_> = state.own_demand(now).into_iter().collect();
    let waits: Vec<_> =
        rows.iter().filter(|(_, sums)| sums.calls != 0).map(|(key, _)| key.service).collect();
    rows.retain(|(key, sums)| {
        let is_ordered = key.rank.is_some() || key.team.is_some();
        let is_waited_for =
            waits.contains(&key.service) || state.demand.is_peer_waiting(key.service);
        // Where there is no order, the reported loads say what is in use.
        if is_ordered { is_waited_for } else { sums.calls != 0 }
    });
    let max_rows =
        if state.is_gossip_limited() { MAX_REPORTED_ROWS_LARGE_FLEET } else { MAX_REPORTED_ROWS };
    rows.sort_unstable_by_key(|(key, sums)| (std::cmp::Reverse((sums.calls, sums.used)), *key));
    let rest = rows.split_off(rows.len().min(max_rows));
    rows.extend(sum_up(&rest));
    rows.sort_unstable_by_key(|(key, _)| *key);
    to_wire(&rows)
}

/// Returns one row for several. It counts for the service and the rank of the first of them, which
/// has the most completions waiting; rows of other services are left out.
fn sum_up(rows: &[(DemandKey, DemandSums)]) -> Option<(DemandKey, DemandSums)> {
    let (first, _) = rows.first()?;
    let mut all = DemandSums::default();
    let same_service = rows.iter().filter(|(key, _)| key.service == first.service);
    same_service.for_each(|(_, sums)| all.add(*sums));
    let team = first.team.map(|_| OTHER_TEAMS);
    Some((DemandKey { team, ..*first }, all))
}

fn to_wire(rows: &[(DemandKey, DemandSums)]) -> Vec<DemandReport> {
    let mut last_service = 0;
    let bounded = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    let to_wire = |(key, sums): &(DemandKey, DemandSums)| {
        let is_same = std::mem::replace(&mut last_service, key.service) == key.service;
        DemandReport {
            service: if is_same { 0 } else { key.service },
            rank: key.rank.map(|rank| u32::from(rank.0)),
            team: key.team.map(|team| team.0),
            calls: bounded(sums.calls),
            late: bounded(sums.late),
            tokens: bounded(sums.tokens),
            used: bounded(sums.used),
        }
    };
    rows.iter().map(to_wire).collect()
}

/// Returns the rows of a peer's datagram. Rows with an impossible rank are ignored, and numbers
/// are bounded: a false row may change the order, and nothing else.
pub fn from_wire(gossip: &LoadGossip) -> Vec<(DemandKey, DemandSums)> {
    let mut service = 0;
    let rows = gossip.demand.iter().take(MAX_PEER_ROWS).filter_map(|row| {
        service = if row.service == 0 { service } else { row.service };
        let rank = rank_from_wire(row.rank).ok()?;
        let key = DemandKey { service, rank, team: row.team.map(TeamId) };
        let calls = u64::from(row.calls.min(MAX_ROW_CALLS));
        let sums = DemandSums {
            calls,
            late: u64::from(row.late).min(calls),
            tokens: if calls == 0 { 0 } else { u64::from(row.tokens) },
            used: u64::from(row.used),
        };
        Some((key, sums))
    });
    rows.collect()
}

/// An impossible rank.
#[derive(Clone, Copy, Debug)]
pub struct InvalidRank;

/// Returns the rank that a peer has sent.
pub fn rank_from_wire(rank: Option<u32>) -> Result<Option<Rank>, InvalidRank> {
    match rank.map(u8::try_from) {
        None => Ok(None),
        Some(Ok(rank)) if rank <= MAX_PRIORITY => Ok(Some(Rank(rank))),
        Some(_) => Err(InvalidRank),
    }
}

/// Adds the rows of a peer's datagram to the demand of all daemons.
pub fn add_rows(ctx: &mut Context<'_>, rows: &[(DemandKey, DemandSums)]) {
    for (key, sums) in rows {
        ctx.state.demand.add_peer_row(*key, *sums);
    }
}

/// Removes the rows of a peer from the demand of all daemons.
pub fn remove_rows(ctx: &mut Context<'_>, from: SocketAddr) {
    let Some(peer) = ctx.state.peers.known.get_mut(&from) else { return };
    for (key, sums) in std::mem::take(&mut peer.demand) {
        ctx.state.demand.remove_peer_row(key, sums);
    }
}

/// Returns the line that logs a completion's first wait, with its place in the order.
pub fn describe(state: &State, id: RequestId, now: Duration) -> LogLine {
    let line = LogLine::new("waits");
    let Some(request) = state.requests.get(&id) else { return line };
    let position = state.queue_position(request, now + state.tuning.first_token_delay);
    let pool = state.pool(request);
    let ahead = match pool.version {
        Some(_) => state.work_ahead_in(&pool, &position, now).calls,
        None => state.work_ahead(&request.service, &position, now).calls,
    };
    let line = match request.rank {
        Some(rank) => line.with("rank", rank),
        None => line,
    };
    let order = state.demand.order(service_hash(&request.service));
    let team = request.team_id();
    let line = match order.and_then(|order| order.team_use(team)).filter(|_| team.is_some()) {
        Some(team) => line.with("share", format_args!("{:.2}", team.share)),
        None => line,
    };
    let line = line.with("calls_ahead", ahead);
    match (pool.version, &state.awaited_versions(request, now)[..]) {
        (Some(version), _) => line.with("software", version),
        (None, [first, ..]) => line.with("leaves", first),
        (None, []) => line,
    }
}

/// Logs that the answer of a call with a rank or a team begins.
pub fn log_first_token(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    if request.rank.is_none() && request.team.is_none() {
        return;
    }
    let duration = ctx.now.saturating_sub(request.arrived);
    let on_time = request.is_on_time(ctx.now);
    let (rank, team, tokens) = (request.rank, request.team_id(), request.needed_tokens());
    let measurement = Measurement::FirstToken { rank, team, tokens, on_time, duration };
    let line = LogLine::new("first_token").with_ms("after_ms", duration).with("on_time", on_time);
    let line = match rank {
        Some(rank) => line.with("rank", rank),
        None => line,
    };
    ctx.log_request(id, line.with_measurement(measurement));
}
