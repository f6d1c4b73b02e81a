//! Fleets, and what is read off them.

use std::time::Duration;

use basilbank_core::prelude::*;

use crate::{
    timed,
    world::{Spec, World},
};

/// Sizes that are measured.
pub const SIZES: [usize; 4] = [8, 32, 128, 320];
/// The size that the design aims at.
pub const LARGEST: usize = 320;
/// By then a fleet that started together has found itself.
pub const SETTLED: Duration = Duration::from_secs(10);
/// One second.
pub const SECOND: Duration = Duration::from_secs(1);

/// A fleet in five data centres, without traffic.
pub fn spec(daemons: usize) -> Spec {
    Spec {
        centres: vec!["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"],
        ..Spec::kitafuji().with_daemons(daemons).with_brain(timed::brain)
    }
}

/// A fleet that has found itself.
pub fn settled(spec: Spec) -> World {
    let mut world = World::new(spec);
    world.run_until(SETTLED);
    world
}

/// The core of each daemon that runs.
pub fn cores(world: &World) -> impl Iterator<Item = &State> {
    world.daemons.iter().filter_map(|d| d.brain.as_ref()?.state())
}

/// What each daemon sends: bytes or messages so far.
pub fn sent(world: &World, of: fn(&crate::world::Traffic) -> u64) -> Vec<u64> {
    world.daemons.iter().map(|d| of(&d.sent)).collect()
}

/// Mean and largest rise from `before` to `after`, a second.
pub fn rates(before: &[u64], after: &[u64], time: Duration) -> (f64, f64) {
    let rises = before.iter().zip(after).map(|(b, a)| (a - b) as f64 / time.as_secs_f64());
    let rises: Vec<_> = rises.collect();
    let mean = rises.iter().sum::<f64>() / rises.len() as f64;
    (mean, rises.into_iter().fold(0.0, f64::max))
}

/// Runs until a condition holds, at most `limit` from now, and gives the time that took.
pub fn until(
    world: &mut World,
    limit: Duration,
    holds: impl Fn(&World) -> bool,
) -> Option<Duration> {
    let start = world.now;
    while !holds(world) {
        if start + limit <= world.now {
            return None;
        }
        world.run_until(world.now + Duration::from_millis(50));
    }
    Some(world.now - start)
}

/// Prints a time in seconds; `never` when it did not come.
pub fn print_time(name: &str, time: Option<Duration>) {
    match time {
        Some(time) => println!("{name}={:.2}", time.as_secs_f64()),
        None => println!("{name}=never"),
    }
}
