//! What a roll of a model's version costs its callers. One `name=value` line for each figure.
#![expect(clippy::print_stdout, reason = "the figures are its output")]

#[path = "../../tests/world/mod.rs"]
mod world;

use std::time::Duration;

use basilbank_core::prelude::*;
use world::{Ask, End, FakeKind, Spec, Step, World};

const SECOND: Duration = Duration::from_secs(1);
/// When the roll begins.
const ROLL: Duration = Duration::from_secs(20);
/// When the last call comes.
const LAST: Duration = Duration::from_secs(140);
const END: Duration = Duration::from_secs(300);

fn main() {
    for (name, gap) in [("third", 150), ("most", 55)] {
        for (kind, rolls) in [("still", false), ("roll", true)] {
            let mut world = load(Duration::from_millis(gap));
            if rolls {
                let mut catalogue = world.spec.catalogue();
                catalogue.models[0].version = "v2".into();
                world.at(ROLL, Step::Publish(Box::new(catalogue)));
            }
            report(&format!("{kind}_{name}"), &mut world);
        }
    }
}

/// Drafts at a steady pace; `gap` is the time between two.
fn load(gap: Duration) -> World {
    let mut world = World::new(Spec::kitafuji());
    let mut at = SECOND * 3;
    let mut team = 0;
    while at < LAST {
        world.ask(Ask::draft(team, 1500, 200).at(at));
        team = 1 - team;
        at += gap;
    }
    world
}

fn report(name: &str, world: &mut World) {
    let mut done = None;
    while world.now < END {
        let next = world.now + SECOND;
        world.run_until(next);
        let models = world.endpoints.iter().filter(|e| !matches!(e.kind, FakeKind::Plain(_)));
        if done.is_none() && models.clone().all(|e| e.version == "v2") {
            done = Some(world.now - ROLL);
        }
    }
    let report = world.report();
    let during = report.asks.iter().filter(|a| ROLL <= a.at);
    let mut ttft: Vec<_> = during.clone().filter_map(|a| a.ttft).collect();
    ttft.sort_unstable();
    let p95 = ttft.get(ttft.len() * 95 / 100).copied().unwrap_or_default();
    let class = &world.spec.drafts;
    println!("{name}_asked={}", during.clone().count());
    println!("{name}_not_done={}", during.clone().filter(|a| a.end != Some(End::Done)).count());
    println!("{name}_in_time={}", during.filter(|a| a.is_good(class)).count());
    println!("{name}_ttft_p95_ms={}", p95.as_millis());
    let cut = report.retries.get(&Retry::DecodeDied).copied().unwrap_or_default();
    println!("{name}_streams_cut={cut}");
    if let Some(done) = done {
        println!("{name}_seconds={}", done.as_secs());
    }
}
