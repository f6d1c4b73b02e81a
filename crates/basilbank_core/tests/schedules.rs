//! Random faults at random moments on several daemons; all promises are checked after each run.

mod script;
mod world;

use proptest::prelude::*;
use script::{END, Script, config, scripts};
use world::{Bounds, End, Spec, check};

/// Runs a script and gives what is wrong.
fn wrong(script: &Script, daemons: usize) -> Vec<String> {
    let (mut world, probes) = script.world(Spec::small().with_daemons(daemons));
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
    #![proptest_config(config(11, 300, "tests/schedules.regressions"))]

    #[test]
    fn nothing_fails(script in scripts(0)) {
        prop_assert_eq!(wrong(&script, 4), Vec::<String>::new());
    }
}

proptest! {
    #![proptest_config(config(12, 300, "tests/schedules.regressions"))]

    #[test]
    fn one_fault(script in scripts(1)) {
        prop_assert_eq!(wrong(&script, 4), Vec::<String>::new());
    }
}

proptest! {
    #![proptest_config(config(13, 300, "tests/schedules.regressions"))]

    #[test]
    fn several_faults(script in scripts(5)) {
        prop_assert_eq!(wrong(&script, 4), Vec::<String>::new());
    }
}

proptest! {
    #![proptest_config(config(14, 100, "tests/schedules.regressions"))]

    #[test]
    fn several_faults_on_eight_daemons(script in scripts(7)) {
        prop_assert_eq!(wrong(&script, 8), Vec::<String>::new());
    }
}
