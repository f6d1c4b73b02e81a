//! What membership and catalogue cost when nothing happens.

use crate::{
    fleet::{SECOND, SETTLED, SIZES, cores, print_time, rates, sent, settled, spec, until},
    timed,
    world::{Step, Who, World},
};

/// Seconds that are measured.
const SPAN: u32 = 20;

/// Prints all figures.
pub fn run() {
    for size in SIZES {
        let mut world = settled(spec(size));
        let (bytes, messages) = (sent(&world, |t| t.bytes), sent(&world, |t| t.messages));
        let calls = world.report().platform_calls;
        let wrong = dead(&world);
        timed::spent();
        world.run_until(SETTLED + SECOND * SPAN);
        let (spent, _) = timed::spent();
        let (mean, most) = rates(&bytes, &sent(&world, |t| t.bytes), SECOND * SPAN);
        println!("steady.{size}.sent_bytes_s_mean={mean:.0}");
        println!("steady.{size}.sent_bytes_s_max={most:.0}");
        let (mean, most) = rates(&messages, &sent(&world, |t| t.messages), SECOND * SPAN);
        println!("steady.{size}.sent_messages_s_mean={mean:.2}");
        println!("steady.{size}.sent_messages_s_max={most:.2}");
        let reads = (world.report().platform_calls - calls) as f64 / f64::from(SPAN);
        println!("steady.{size}.platform_reads_s={reads:.2}");
        let share = spent.as_secs_f64() / f64::from(SPAN) / size as f64;
        println!("steady.{size}.wall_core_us_per_s={:.0}", share * 1e6);
        println!("steady.{size}.members_dead_wrongly={}", dead(&world) - wrong);
        noticed(world, size);
    }
}

/// A daemon dies: how long until nobody counts it as live.
fn noticed(mut world: World, size: usize) {
    let vm = world.daemons[size / 2].vm;
    world.at(world.now, Step::Kill { daemon: Who::Daemon(size / 2), back: None });
    world.run_until(world.now);
    let time = until(&mut world, SECOND * 30, |w| cores(w).all(|s| !s.members.is_live(vm)));
    print_time(&format!("steady.{size}.death_noticed_s_max"), time);
}

fn dead(world: &World) -> u64 {
    world.record.notes.get("member_dead").copied().unwrap_or(0)
}
