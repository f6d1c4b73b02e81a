//! Plans follow from their seeds.

use std::time::Duration;

use basilbank_soak::plan::{Fault, Sizes, plan};

const SIZES: Sizes = Sizes { daemons: 3, endpoints: 8, traffic: Duration::from_secs(10) };

#[test]
fn the_same_seed_gives_the_same_plan_and_another_one_another() {
    assert_eq!(plan(7, SIZES), plan(7, SIZES));
    assert_ne!(plan(7, SIZES), plan(8, SIZES));
}

#[test]
fn faults_come_in_order_and_before_the_traffic_ends() {
    for seed in 0..200 {
        let plan = plan(seed, SIZES);
        assert!(9 <= plan.len());
        assert!(plan.is_sorted_by_key(|(at, _)| *at));
        assert!(plan.iter().all(|(at, _)| *at <= SIZES.traffic.mul_f64(0.7)));
    }
}

#[test]
fn fifty_seeds_have_every_kind_of_fault() {
    let faults: Vec<_> = (0..50).flat_map(|seed| plan(seed, SIZES)).map(|(_, f)| f).collect();
    let kinds: [fn(&Fault) -> bool; 14] = [
        |f| matches!(f, Fault::Terminate(_)),
        |f| matches!(f, Fault::Kill(..)),
        |f| matches!(f, Fault::KillAll),
        |f| matches!(f, Fault::Pause(..)),
        |f| matches!(f, Fault::Reload(_)),
        |f| matches!(f, Fault::StoreLink(..)),
        |f| matches!(f, Fault::Store(..)),
        |f| matches!(f, Fault::Compact),
        |f| matches!(f, Fault::Link(..)),
        |f| matches!(f, Fault::Reset(_)),
        |f| matches!(f, Fault::Misbehave(..)),
        |f| matches!(f, Fault::Replace(_)),
        |f| matches!(f, Fault::Configure),
        |f| matches!(f, Fault::Step(_)),
    ];
    for (number, kind) in kinds.iter().enumerate() {
        assert!(faults.iter().any(kind), "kind {number}");
    }
}
