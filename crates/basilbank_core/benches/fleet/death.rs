//! A daemon dies under load: what it held is freed, and its stewardships pass on.

use std::time::Duration;

use crate::{
    fleet::{SECOND, SETTLED, print_time, spec},
    world::{Ask, Report, Spec, Step, Who, World},
};

/// Drafts and plain calls a second.
const RATE: u32 = 28;
/// Seconds of traffic.
const SPAN: u32 = 40;
/// When the daemon dies.
const DEATH: Duration = Duration::from_secs(20);

/// Prints all figures.
pub fn run() {
    for size in [8, 32] {
        let name = format!("death.{size}");
        let (calm, _) = play(size, None);
        let (report, world) = play(size, Some(2));
        let orphans = world.record.held.iter().filter(|h| h.orphan);
        let freed = orphans.clone().map(|h| h.until - h.since).max();
        println!("{name}.orphans={}", orphans.count());
        print_time(&format!("{name}.freed_s_max"), freed);
        println!("{name}.decode_taken={}", report.decode_taken);
        println!("{name}.refused_as_full={}", report.decode_full);
        println!("{name}.refused_as_full_without_death={}", calm.decode_full);
        let ended = report.asks.iter().filter(|a| a.end.is_some()).count();
        println!("{name}.asks_ended={ended}_of_{}", report.asks.len());
    }
}

/// Load near the capacity, so that a steward that gives a slot away twice shows at the endpoint.
fn play(size: usize, dies: Option<usize>) -> (Report, World) {
    let spec = spec(size);
    let spec = Spec { vm_lag: SECOND * 5, ..spec };
    let mut world = World::new(spec);
    for i in 0..RATE * SPAN {
        let at = SETTLED + SECOND * i / RATE;
        world.ask(Ask::draft(i as usize % 2, 1500, 180).at(at));
    }
    if let Some(daemon) = dies {
        world.at(DEATH, Step::Kill { daemon: Who::Daemon(daemon), back: None });
    }
    world.run_until(SETTLED + SECOND * (SPAN + 40));
    (world.report(), world)
}
