//! The harness itself: the same figures on each run, and requests that get through.

mod world;

use std::time::Duration;

use world::{Ask, End, Report, Spec, World};

fn run(seed: u64) -> Report {
    let mut world = World::new(Spec::kitafuji().with_seed(seed));
    for i in 0..200 {
        let at = Duration::from_secs(2) + Duration::from_millis(70) * i;
        world.ask(Ask::draft(i as usize % 2, 1500, 40).at(at));
        world.ask(Ask::plain(i as usize % 2, "GET").at(at));
    }
    world.run_until(Duration::from_secs(40));
    world.report()
}

#[test]
fn same_seed_same_figures() {
    assert_eq!(run(3), run(3));
}

#[test]
fn requests_get_through() {
    let report = run(5);
    let done = report.asks.iter().filter(|a| a.end == Some(End::Done)).count();
    assert_eq!(done, report.asks.len());
    assert!(report.asks.iter().all(|a| !a.draft || a.tokens == 40));
}
