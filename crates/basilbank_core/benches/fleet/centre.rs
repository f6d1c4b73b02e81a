//! One of five data centres goes.

use std::time::Duration;

use crate::{
    fleet::{LARGEST, SECOND, SETTLED, cores, print_time, rates, sent, settled, spec, until},
    timed,
    world::{Node, Step, World},
};

/// Longest wait.
const LIMIT: Duration = Duration::from_secs(60);
/// How long it is gone.
const GONE: Duration = Duration::from_secs(30);

/// Prints all figures.
pub fn run() {
    let mut world = settled(spec(LARGEST));
    let nodes = (0..LARGEST).step_by(5).map(Node::Daemon).collect();
    world.at(SETTLED, Step::Partition { nodes, lasting: GONE });
    world.run_until(SETTLED);
    let before = sent(&world, |t| t.bytes);
    let noticed = until(&mut world, LIMIT, all_noticed);
    print_time("centre.320.noticed_s_max", noticed);
    world.run_until(SETTLED + SECOND * 10);
    timed::spent();
    world.run_until(SETTLED + GONE);
    let (spent, _) = timed::spent();
    let share = spent.as_secs_f64() / 20.0 / LARGEST as f64;
    println!("centre.320.wall_core_us_per_s={:.0}", share * 1e6);
    let (mean, most) = rates(&before, &sent(&world, |t| t.bytes), GONE);
    println!("centre.320.sent_bytes_s_mean={mean:.0}");
    println!("centre.320.sent_bytes_s_max={most:.0}");
    let deciding = cores(&world).filter(|s| s.members.may_decide()).count();
    println!("centre.320.deciding={deciding}");
    let again = until(&mut world, LIMIT, |w| {
        cores(w).all(|s| s.members.count_members(|m| m.live).in_contact == LARGEST)
    });
    print_time("centre.320.joined_again_s_max", again);
    let reads = world.platform.calls.iter().skip(10).max().copied().unwrap_or(0);
    println!("centre.320.platform_reads_s_max={reads}");
}

/// Each daemon counts just its own side as live.
fn all_noticed(world: &World) -> bool {
    let sides: Vec<_> = world.daemons.iter().map(|d| (d.vm, d.side)).collect();
    world.daemons.iter().all(|d| {
        let members = &d.core().members;
        sides.iter().all(|(vm, side)| members.is_live(*vm) == (*side == d.side))
    })
}
