//! Changes of the catalogue come into force.

use std::time::Duration;

use crate::{
    fleet::{LARGEST, SECOND, SETTLED, SIZES, print_time, settled, spec, until},
    world::{Step, World},
};

/// Changes of a burst within one second.
const BURST: u32 = 200;
/// Longest wait.
const LIMIT: Duration = Duration::from_secs(30);

/// Prints all figures.
pub fn run() {
    for size in SIZES {
        let mut world = settled(spec(size));
        let mut worst = Some(Duration::ZERO);
        // Each change comes at another phase of heartbeats and watches.
        for i in 0..6_u32 {
            world.run_until(SETTLED + SECOND * 3 * i + Duration::from_millis(137) * i);
            publish(&mut world, Duration::ZERO);
            let revision = u64::from(i) + 2;
            let took = until(&mut world, LIMIT, |w| have(w, revision));
            worst = worst.zip(took).map(|(a, b)| a.max(b));
        }
        print_time(&format!("catalogue.{size}.in_force_s_max"), worst);
    }
    burst();
}

fn burst() {
    let mut world = settled(spec(LARGEST));
    let before = world.platform.calls.len();
    for i in 0..BURST {
        publish(&mut world, SECOND * i / BURST);
    }
    world.run_until(SETTLED + SECOND);
    let took = until(&mut world, LIMIT, |w| have(w, u64::from(BURST) + 1));
    print_time("catalogue.320.burst_in_force_s_max", took);
    let reads = world.platform.calls.iter().skip(before).max().copied().unwrap_or(0);
    println!("catalogue.320.burst_platform_reads_s_max={reads}");
    let checks = world.record.notes.get("catalogue_in_force").copied().unwrap_or(0);
    println!("catalogue.320.burst_checks_per_daemon={:.1}", checks as f64 / LARGEST as f64 - 1.0);
    println!("catalogue.320.reverted={}", world.record.reverted.len());
}

fn publish(world: &mut World, after: Duration) {
    let catalogue = Box::new(world.spec.catalogue());
    world.at(world.now + after, Step::Publish(catalogue));
    if after.is_zero() {
        world.run_until(world.now);
    }
}

fn have(world: &World, revision: u64) -> bool {
    world.daemons.iter().flat_map(|d| &d.brain).all(|b| b.revision() == revision)
}
