//! An entry's limit over all daemons.

use std::time::Duration;

use basilbank_core::{prelude::*, state::Rng};

use crate::{
    fleet::{SECOND, spec},
    timed,
    world::{Ask, End, Node, Spec, Step, TeamSpec, World},
};

/// When traffic starts: stewards lease freely by then.
const START: Duration = Duration::from_secs(12);
/// Seconds of traffic.
const SPAN: u32 = 40;

/// Daemons, calls a second, and requests a second that the limit allows.
const CASES: [(usize, u32, f64); 5] =
    [(8, 30, 40.0), (8, 200, 40.0), (64, 60, 40.0), (64, 20, 2.0), (320, 100, 40.0)];

/// Prints all figures.
pub fn run() {
    for (size, rate, limit) in CASES {
        let mut world = offered(size, rate, limit);
        timed::sent();
        world.run_until(START + SECOND * (SPAN + 2));
        let name = format!("limit.{size}.calls_{rate}.limit_{limit}");
        let wanted = f64::from(rate).min(limit);
        let share = |from: u32, to: u32| passed(&world, from, to) / f64::from(to - from) / wanted;
        println!("{name}.passed_share_first_10_s={:.3}", share(0, 10));
        println!("{name}.passed_share_after_20_s={:.3}", share(20, SPAN));
        let sent = timed::sent();
        let messages = ["ask_limit", "lease"].map(|kind| sent.get(kind).map_or(0, |s| s.messages));
        let calls = f64::from(rate * SPAN);
        println!("{name}.messages_per_call={:.2}", messages.iter().sum::<u64>() as f64 / calls);
    }
    parted();
}

/// Two halves lose each other, with callers at both.
fn parted() {
    let mut world = offered(8, 200, 40.0);
    let endpoints = (0..world.endpoints.len()).filter(|e| e % 2 == 0).map(Node::Endpoint);
    let nodes = (0..4).map(Node::Daemon).chain(endpoints).collect();
    world.at(START + SECOND * 10, Step::Partition { nodes, lasting: SECOND * 60 });
    world.run_until(START + SECOND * (SPAN + 2));
    let share = |from: u32, to: u32| passed(&world, from, to) / f64::from(to - from) / 40.0;
    println!("limit.8.parted.passed_share_first_9_s={:.3}", share(10, 19));
    println!("limit.8.parted.passed_share_after_9_s={:.3}", share(19, SPAN));
}

/// A fleet with one team, whose calls go to random daemons.
fn offered(size: usize, rate: u32, limit: f64) -> World {
    let calls = Limits { requests: limit, ..Limits::default() };
    let team = TeamSpec { calls, ..TeamSpec::owed("sapporo", 0.5) };
    let mut world = World::new(Spec { teams: vec![team], ..spec(size) });
    for i in 0..rate * SPAN {
        let ask = Ask::plain(0, "GET").at(START + SECOND * i / rate);
        world.ask(Ask { daemon: Some(Rng::new(u64::from(i)).index(size)), ..ask });
    }
    world
}

/// Calls that were not refused for the limit, of those sent between two seconds of traffic.
fn passed(world: &World, from: u32, to: u32) -> f64 {
    let (from, to) = (START + SECOND * from, START + SECOND * to);
    let tries = world.callers.tries.iter().filter(|t| from <= t.sent && t.sent < to);
    let limited = |end: End| end == End::Refused(Refusal::RequestLimit);
    tries.filter(|t| t.end.is_some_and(|(_, end)| !limited(end))).count() as f64
}
