//! What daemons report to each other about the completions that wait and run.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use basilbank_forward::{
    prelude::*,
    state::{QueuePosition, WorkAhead, service_hash},
};
use basilbank_wire::{DemandReport, LoadGossip, WaitingCompletion};

use crate::rig::{Rig, WRITER, model, numbered, prompt, route, table};

const PEER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 2)), 7000);

/// Routes to the writer with two priorities.
fn ranked() -> RouteTable {
    let known = table(2);
    let mut routes = known.routes().to_vec();
    let urgent = route("/urgent/", RouteKind::Streaming, WRITER, 1);
    routes.push(Route { priority: 0, ..urgent });
    known.with_routes(routes)
}

fn rig(table: RouteTable) -> Rig {
    let mut rig = numbered(1);
    rig.configure(table);
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
    hear(&mut rig, 1, LoadGossip::default());
    rig.pass_ms(600);
    rig.beats();
    rig
}

fn hear(rig: &mut Rig, sequence: u64, gossip: LoadGossip) {
    let gossip = LoadGossip { incarnation: 2, sequence, ..gossip };
    rig.feed(Event::gossip(PEER, gossip));
}

/// The rows of the last datagram.
fn reported(rig: &mut Rig) -> Vec<DemandReport> {
    rig.pass_ms(600);
    rig.beats().pop().expect("a datagram").1.demand
}

fn row(rank: Option<u32>, calls: u32, late: u32) -> DemandReport {
    let service = service_hash(WRITER);
    DemandReport { service, rank, team: None, calls, late, tokens: calls * 1000, used: 5000 }
}

fn ahead(rig: &Rig, rank: u8) -> WorkAhead {
    let due = rig.now() + Duration::from_millis(899);
    let position = QueuePosition { rank: Rank(rank), ..QueuePosition::new(due, rig.now()) };
    rig.state.work_ahead(WRITER, &position, rig.now())
}

#[test]
fn rows_are_reported_only_while_completions_wait() {
    let mut rig = rig(ranked());
    let first = rig.call("/draft/1", 14_000, Some(prompt(9000)));
    assert_eq!(reported(&mut rig), []);
    rig.call("/urgent/1", 14_000, Some(prompt(8000)));
    let service = service_hash(WRITER);
    let waits =
        DemandReport { service, rank: Some(0), calls: 1, tokens: 8060, ..Default::default() };
    let runs = DemandReport { rank: Some(1), used: 9060, ..Default::default() };
    assert_eq!(reported(&mut rig), [waits, runs]);
    rig.feed(Event::CallerLeft(first));
    assert_eq!(reported(&mut rig), []);
}

/// Without ranks and teams peers need the waiting work for the forecast, and nothing else.
#[test]
fn without_ranks_one_row_says_what_waits() {
    let mut rig = rig(table(2));
    rig.call("/draft/1", 14_000, Some(prompt(9000)));
    rig.call("/draft/2", 14_000, Some(prompt(8000)));
    rig.call("/draft/3", 14_000, Some(prompt(7000)));
    let rows = reported(&mut rig);
    assert_eq!((rows.len(), rows[0].rank, rows[0].calls, rows[0].tokens), (1, None, 2, 15_120));
}

/// Guards against orders by what other daemons use that a daemon without waiting calls keeps to itself.
#[test]
fn what_runs_is_reported_while_a_peers_completion_waits() {
    let mut rig = rig(ranked());
    rig.call("/draft/1", 14_000, Some(prompt(9000)));
    hear(&mut rig, 2, LoadGossip { demand: vec![row(Some(0), 3, 0)], ..Default::default() });
    let rows = reported(&mut rig);
    assert_eq!((rows.len(), rows[0].rank, rows[0].used), (1, Some(1), 9060));
}

#[test]
fn a_peers_rows_count_until_the_peer_is_gone() {
    let mut rig = rig(ranked());
    hear(
        &mut rig,
        2,
        LoadGossip { demand: vec![row(Some(0), 3, 0), row(Some(1), 2, 2)], ..Default::default() },
    );
    assert_eq!(ahead(&rig, 1), WorkAhead { calls: 3, tokens: 3000 });
    hear(&mut rig, 3, LoadGossip { demand: vec![row(Some(0), 1, 0)], ..Default::default() });
    assert_eq!(ahead(&rig, 1), WorkAhead { calls: 1, tokens: 1000 });
    rig.pass_ms(4000);
    assert_eq!(ahead(&rig, 1), WorkAhead::default());
}

/// Guards against false rows that overflow, or that outlive the datagram that brought them.
#[test]
fn absurd_rows_are_bounded() {
    let mut rig = rig(ranked());
    let most = DemandReport {
        calls: u32::MAX,
        late: u32::MAX,
        tokens: u32::MAX,
        used: u32::MAX,
        ..row(Some(0), 0, 0)
    };
    let demand = [row(Some(77), 5, 0), row(Some(0), 0, 9), most, most];
    hear(&mut rig, 2, LoadGossip { demand: demand.repeat(100), ..Default::default() });
    rig.call("/draft/1", 14_000, Some(prompt(9000)));
    rig.pass_ms(50);
    hear(&mut rig, 3, LoadGossip::default());
    assert_eq!(ahead(&rig, 1), WorkAhead::default());
}

/// Guards against a large urgent completion whose capacity others take piece by piece, and against a
/// peer's report that blocks others for good.
#[test]
fn capacity_is_left_to_a_peers_urgent_completion_for_a_bounded_time() {
    let mut rig = rig(ranked());
    let service = service_hash(WRITER);
    let first = |due| WaitingCompletion { service, due, rank: Some(0), team: None, late: false };
    hear(&mut rig, 2, LoadGossip { waiting: vec![first(850)], ..Default::default() });
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    rig.pass_ms(390);
    assert!(rig.starts().is_empty());
    rig.pass_ms(60);
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against daemons of the previous release whose every completion counts as the most urgent.
#[test]
fn a_peers_completion_without_rank_and_team_is_compared_by_its_due_time() {
    let mut rig = rig(ranked());
    let service = service_hash(WRITER);
    let first = |due| WaitingCompletion { service, due, ..Default::default() };
    hear(&mut rig, 2, LoadGossip { waiting: vec![first(2000)], ..Default::default() });
    rig.call("/draft/1", 14_000, Some(prompt(1000)));
    assert_eq!(rig.starts().len(), 1);
    hear(&mut rig, 3, LoadGossip { waiting: vec![first(600)], ..Default::default() });
    rig.call("/draft/2", 14_000, Some(prompt(1000)));
    assert!(rig.starts().is_empty(), "the peer's completion is due first");
    rig.pass_ms(20);
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against false reports that delay others for as long as they are repeated.
#[test]
fn no_capacity_is_left_to_a_completion_due_beyond_all_targets_or_of_a_cut_off_peer() {
    let service = service_hash(WRITER);
    let first = |due| WaitingCompletion { service, due, rank: Some(0), team: None, late: false };
    for (due, unreached) in [(i32::MAX, vec![]), (850, vec![service])] {
        let mut rig = rig(ranked());
        let waiting = vec![first(due)];
        hear(&mut rig, 2, LoadGossip { waiting, unreached, ..Default::default() });
        rig.call("/draft/1", 14_000, Some(prompt(3000)));
        rig.pass_ms(20);
        assert_eq!(rig.starts().len(), 1, "due in {due} ms");
    }
}

/// Guards against one report that delays each of several completions anew.
#[test]
fn a_peers_completion_delays_others_once() {
    let mut rig = rig(ranked());
    let service = service_hash(WRITER);
    let first = WaitingCompletion { service, due: 890, rank: Some(0), team: None, late: false };
    hear(&mut rig, 2, LoadGossip { waiting: vec![first], ..Default::default() });
    rig.call("/draft/1", 14_000, Some(prompt(3000)));
    rig.pass_ms(450);
    assert_eq!(rig.starts().len(), 1);
    rig.call("/draft/2", 14_000, Some(prompt(3000)));
    rig.pass_ms(20);
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against false or outdated ranks that delay completions where there are none.
#[test]
fn ranks_of_peers_are_ignored_where_the_configuration_has_none() {
    let mut rig = rig(table(2));
    let service = service_hash(WRITER);
    let first = WaitingCompletion { service, due: 5000, rank: Some(5), team: None, late: false };
    let demand = vec![row(Some(0), 3, 0), DemandReport { used: 0, ..row(Some(5), 3, 0) }];
    hear(&mut rig, 2, LoadGossip { waiting: vec![first], demand, ..Default::default() });
    rig.call("/draft/1", 14_000, Some(prompt(1000)));
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against an overflow by a target that the configuration doesn't limit.
#[test]
fn work_ahead_is_known_with_the_longest_target() {
    let mut rig = numbered(1);
    let known = ranked();
    let longest = |route: &Route| Route { target: Duration::MAX, ..route.clone() };
    let routes = known.routes().iter().map(longest).collect();
    rig.configure(known.with_routes(routes));
    assert_eq!(ahead(&rig, 1), WorkAhead::default());
}

/// Guards against rows with more tokens than the endpoints have memory.
#[test]
fn the_tokens_of_rows_are_bounded_by_the_memory() {
    let with_used = |used| {
        let mut rig = rig(ranked());
        let most = DemandReport { tokens: u32::MAX, used, ..row(Some(0), 3, 0) };
        hear(&mut rig, 2, LoadGossip { demand: vec![most], ..Default::default() });
        rig.call("/draft/1", 14_000, Some(prompt(1000)));
        assert_eq!(ahead(&rig, 1), WorkAhead { calls: 3, tokens: 30_000 });
        rig.state.demand.order(service_hash(WRITER)).and_then(|order| order.team_use(None))
    };
    assert_eq!(with_used(u32::MAX), with_used(20_000));
}

/// Guards against capacity that stays idle while the rank that is owed memory can't use it, since the
/// wait of those that can begins anew each time.
#[test]
fn an_urgent_completion_starts_beside_a_large_one_that_is_owed_memory() {
    let mut rig = rig(ranked());
    rig.call("/urgent/1", 14_000, Some(prompt(6000)));
    let service = service_hash(WRITER);
    let first = WaitingCompletion { service, due: 2000, rank: Some(1), team: None, late: false };
    for n in 2..12 {
        let peer = SocketAddr::from(([10, 0, 0, n], 7000));
        let ordinary = DemandReport { used: 0, ..row(Some(1), 1, 0) };
        let demand = vec![row(Some(0), 1, 0), ordinary];
        let gossip = LoadGossip { waiting: vec![first], demand, ..Default::default() };
        rig.feed(Event::gossip(peer, LoadGossip { incarnation: 2, sequence: 2, ..gossip }));
    }
    rig.pass_ms(20);
    rig.call("/draft/1", 14_000, Some(prompt(9000)));
    rig.starts();
    rig.call("/urgent/2", 14_000, Some(prompt(1000)));
    assert!(rig.starts().is_empty(), "the peers' completions go first");
    rig.pass_ms(100);
    assert_eq!(rig.starts().len(), 1);
}

/// A new completion must not take the capacity that a more urgent one of the same daemon waits for.
#[test]
fn a_new_completion_waits_behind_more_urgent_ones() {
    let mut rig = rig(ranked());
    rig.call("/draft/1", 14_000, Some(prompt(6000)));
    rig.call("/urgent/1", 14_000, Some(prompt(8000)));
    rig.starts();
    rig.call("/draft/2", 14_000, Some(prompt(1000)));
    assert!(rig.starts().is_empty());
    rig.pass_ms(1);
    rig.call("/urgent/2", 14_000, Some(prompt(1000)));
    assert_eq!(rig.state.waiting.len(), 3);
}

/// Guards against control traffic beyond its limit in a large fleet whose completions wait.
/// The mean is taken over 20 s; over 10 s after the start it is more.
#[test]
fn rows_stay_within_the_bytes_of_a_fleet_of_320() {
    let address = |n: u16| SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 7000));
    let teams: Vec<_> = (0..40u8).map(|n| (format!("team-{n}"), KeyHash([n; 16]))).collect();
    let all = teams
        .iter()
        .fold(Teams::default(), |all, (name, key)| all.with_team(Team::new(name), [*key]));
    let mut rig = Rig::as_daemon(address(0), vec![]);
    rig.configure(ranked().with_teams(all));
    let list = (0..3).map(|n| model(&format!("d{n}"), 100 + n, Stage::Decode));
    rig.list(list.chain([model("p1", 1, Stage::Prefill)]).collect());
    let mut calls = VecDeque::new();
    let (mut bytes, mut rows, seconds) = (0, 0, 20);
    for step in 0..(4 + seconds) * 20 {
        for n in 1..320 {
            let beat = LoadGossip { incarnation: 1, sequence: 1 + step, ..Default::default() };
            rig.feed(Event::gossip(address(n), beat));
        }
        let (_, key) = teams[step as usize % teams.len()];
        calls.push_back(rig.call_keyed("/draft/1", Credential::Key(key), prompt(2500)));
        if 40 < calls.len() {
            rig.feed(Event::CallerLeft(calls.pop_front().expect("a call")));
        }
        rig.pass_ms(50);
        for (_, beat) in rig.beats().iter().filter(|(to, _)| *to == address(1)) {
            rows = rows.max(beat.demand.len());
            bytes += if 80 <= step { beat.wire_bytes() } else { 0 };
        }
    }
    let received = bytes as u64 * 319 / seconds;
    assert!(received <= 26_000, "{received} bytes a second");
    assert!((1..=2).contains(&rows), "{rows} rows");
}
