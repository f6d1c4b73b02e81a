//! A fifth of the largest fleet restarts at once.

use std::time::Duration;

use crate::{
    fleet::{LARGEST, SECOND, SETTLED, cores, print_time, rates, sent, settled, spec, until},
    world::{Step, Who, World},
};

/// Longest wait.
const LIMIT: Duration = Duration::from_secs(60);

/// Prints all figures.
pub fn run() {
    let mut world = settled(spec(LARGEST));
    for daemon in (0..LARGEST).step_by(5) {
        let back = Some(SECOND);
        world.at(SETTLED, Step::Kill { daemon: Who::Daemon(daemon), back });
    }
    world.run_until(SETTLED + SECOND);
    let before = sent(&world, |t| t.bytes);
    let ready = until(&mut world, LIMIT, |w| w.daemons.iter().all(|d| d.is_ready()));
    print_time("restart.320.all_ready_s", ready);
    let decide = until(&mut world, LIMIT, |w| cores(w).all(|s| s.members.may_decide()));
    print_time("restart.320.all_decide_s", ready.zip(decide).map(|(a, b)| a + b));
    let known = until(&mut world, LIMIT, all_known);
    print_time(
        "restart.320.all_known_s",
        ready.zip(decide).zip(known).map(|((a, b), c)| a + b + c),
    );
    world.run_until(SETTLED + SECOND * 11);
    let (mean, most) = rates(&before, &sent(&world, |t| t.bytes), SECOND * 10);
    println!("restart.320.sent_bytes_s_mean={mean:.0}");
    println!("restart.320.sent_bytes_s_max={most:.0}");
    let reads = world.platform.calls.iter().skip(10).max().copied().unwrap_or(0);
    println!("restart.320.platform_reads_s_max={reads}");
}

/// Each daemon knows each other's current process.
fn all_known(world: &World) -> bool {
    let incarnations: Vec<_> = world.daemons.iter().map(|d| (d.vm, d.incarnation)).collect();
    cores(world).all(|s| incarnations.iter().all(|(vm, i)| s.members.incarnation(*vm) == Some(*i)))
}
