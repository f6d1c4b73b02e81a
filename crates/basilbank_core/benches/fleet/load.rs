//! The traffic that the design aims at: what slots, limits and membership cost together.

use std::time::Duration;

use basilbank_core::prelude::*;

use crate::{
    fleet::{LARGEST, SECOND, SETTLED, cores, rates, sent, spec},
    timed,
    world::{Ask, Pool, Spec, TeamSpec, World},
};

/// Requests a second of the whole fleet: the design's, and half of it, for the slopes.
const RATES: [u32; 2] = [3050, 6100];
/// Seconds of traffic before those that are measured: as long as a stream lasts.
const FILL: u32 = 8;
/// Seconds that are measured: a multiple of the time between two lists of holds.
const SPAN: u32 = 4;
/// Client accounts.
const TEAMS: usize = 2000;
/// Tokens of a prompt: three quarters of what the prefill endpoints can do.
const PROMPT: u32 = 580;
/// Tokens of an answer. Real ones have about 230; a token that takes longer here makes streams last
/// as long with fewer events, which are no control.
const OUTPUT: u32 = 7;

/// Prints all figures.
pub fn run() {
    for rate in RATES {
        at(rate);
    }
}

fn at(rate: u32) {
    let mut world = World::new(letter());
    let total = rate * (FILL + SPAN);
    for i in 0..total {
        let at = SETTLED + SECOND * i / rate;
        let team = (u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % TEAMS;
        world.ask(Ask::draft(team, PROMPT, OUTPUT).at(at));
    }
    world.run_until(SETTLED + SECOND * FILL);
    let (bytes, messages) = (sent(&world, |t| t.bytes), sent(&world, |t| t.messages));
    timed::spent();
    timed::sent();
    timed::packets();
    world.run_until(SETTLED + SECOND * (FILL + SPAN));
    let name = format!("load.{LARGEST}.{rate}");
    let time = SECOND * SPAN;
    let (mean, most) = rates(&bytes, &sent(&world, |t| t.bytes), time);
    println!("{name}.sent_bytes_s_mean={mean:.0}");
    println!("{name}.sent_bytes_s_max={most:.0}");
    let (mean, most) = rates(&messages, &sent(&world, |t| t.messages), time);
    println!("{name}.sent_messages_s_mean={mean:.1}");
    println!("{name}.sent_messages_s_max={most:.1}");
    kinds(&name, time);
    let (spent, events) = timed::spent();
    let share = spent.as_secs_f64() / time.as_secs_f64() / LARGEST as f64;
    println!("{name}.wall_core_us_per_s={:.0}", share * 1e6);
    println!("{name}.wall_core_us_per_event={:.2}", spent.as_secs_f64() * 1e6 / events as f64);
    let refused: u64 = world.record.refusals.values().sum();
    println!("{name}.refused_share={:.4}", refused as f64 / f64::from(total));
    tables(&name, &world);
}

/// Messages by kind, and packets if those of one event to one peer share one.
fn kinds(name: &str, time: Duration) {
    let each = |all: u64| all as f64 / time.as_secs_f64() / LARGEST as f64;
    let packets = timed::packets();
    println!("{name}.packed_bytes_s_mean={:.0}", each(packets.bytes));
    println!("{name}.packets_s_mean={:.1}", each(packets.messages));
    for (kind, sent) in timed::sent() {
        println!("{name}.{kind}.sent_bytes_s={:.0}", each(sent.bytes));
        println!("{name}.{kind}.sent_messages_s={:.2}", each(sent.messages));
    }
}

/// What each role keeps, at the daemon that keeps most.
fn tables(name: &str, world: &World) {
    let most = |of: fn(&State) -> usize| cores(world).map(of).max().unwrap_or(0);
    println!("{name}.requests_in_progress_max={}", most(|s| s.requests.arena.len()));
    println!("{name}.slots_held_max={}", most(|s| s.slots.own.len()));
    println!("{name}.slots_stewarded_max={}", most(|s| s.slots.ledgers.len()));
    println!("{name}.limits_used_max={}", most(|s| s.limits.usages.len()));
    println!("{name}.limits_shared_max={}", most(|s| s.limits.shared.len()));
}

/// 840 runners, and accounts with limits of their own.
fn letter() -> Spec {
    let base = spec(LARGEST);
    let limits = Limits { requests: 20.0, tokens: 200_000.0, concurrent: 0, owed: 0.0 };
    let team = |i: usize| TeamSpec {
        name: Box::leak(format!("team-{i}").into_boxed_str()),
        drafts: limits,
        calls: Limits::default(),
    };
    Spec {
        teams: (0..TEAMS).map(team).collect(),
        prefill: Pool { count: 240, slots: 8, backlog: 60 },
        decode: Pool { count: 600, slots: 110, backlog: 0 },
        plain: Pool { count: 4, slots: 16, backlog: 64 },
        step_base: Duration::from_secs(1),
        step_stream: Duration::ZERO,
        drafts: Class { tbt: Duration::from_secs(3), ..base.drafts.clone() },
        texts: false,
        ..base
    }
}
