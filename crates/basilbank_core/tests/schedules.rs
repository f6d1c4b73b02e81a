//! Random faults at random moments on several daemons; all promises are checked after each run.

mod script;
mod world;

use proptest::{
    prelude::*,
    test_runner::{Config, FileFailurePersistence, RngSeed},
};
use script::{END, Script, scripts};
use world::{Bounds, End, Spec, check};

/// Runs of each test.
const CASES: u32 = 300;

/// The same runs each time, after those that have failed before.
fn config(seed: u64) -> Config {
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/schedules.regressions",
        ))),
        max_shrink_iters: 400,
        ..Config::default()
    }
}

/// Runs a script and gives what is wrong.
fn wrong(script: &Script) -> Vec<String> {
    let (mut world, probes) = script.world(Spec::small());
    world.run_until(END);
    let found = check(&world, &Bounds::default());
    let mut wrong: Vec<_> = found.iter().map(ToString::to_string).collect();
    let report = world.report();
    for probe in probes {
        if report.asks[probe].end != Some(End::Done) {
            wrong.push(format!("afterwards {probe} ends as {:?}", report.asks[probe].end));
        }
    }
    wrong
}

proptest! {
    #![proptest_config(config(11))]

    #[test]
    fn nothing_fails(script in scripts(0)) {
        prop_assert_eq!(wrong(&script), Vec::<String>::new());
    }
}

proptest! {
    #![proptest_config(config(12))]

    #[test]
    fn one_fault(script in scripts(1)) {
        prop_assert_eq!(wrong(&script), Vec::<String>::new());
    }
}

proptest! {
    #![proptest_config(config(13))]

    #[test]
    fn several_faults(script in scripts(5)) {
        prop_assert_eq!(wrong(&script), Vec::<String>::new());
    }
}
