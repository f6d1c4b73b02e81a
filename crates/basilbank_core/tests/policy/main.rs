//! The decisions about single requests: placement, queues, shares, retries and charges, in virtual
//! time. Each test tells a failure that was found while they were measured.

mod hints;
mod ledgers;
mod queues;
mod retries;
mod shares;
#[path = "../world/mod.rs"]
mod world;

use std::time::Duration;

use world::{AskReport, Bounds, End, World, check};

/// Daemons have found each other by then.
const START: Duration = Duration::from_secs(4);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What the checker finds, as text.
fn found(world: &World) -> Vec<String> {
    check(world, &Bounds::default()).iter().map(ToString::to_string).collect()
}

/// How many asks that a test picks ended whole.
fn done(world: &World, pick: impl Fn(&AskReport) -> bool) -> usize {
    world.report().asks.iter().filter(|a| pick(a) && a.end == Some(End::Done)).count()
}
