//! The traffic that the design aims at: what slots, limits and membership cost together.

use std::time::Duration;

use basilbank_core::prelude::*;

use crate::{
    fleet::{LARGEST, SECOND, SETTLED, rates, sent, spec},
    timed,
    world::{Ask, Pool, Spec, TeamSpec, World},
};

/// Requests a second of the whole fleet.
const RATE: u32 = 6100;
/// Seconds of traffic before those that are measured: as long as a stream lasts.
const FILL: u32 = 8;
/// Seconds that are measured.
const SPAN: u32 = 6;
/// Client accounts.
const TEAMS: usize = 2000;
/// Tokens of a prompt: three quarters of what the prefill endpoints can do.
const PROMPT: u32 = 580;
/// Tokens of an answer. Real ones have about 230; a token that takes longer here makes streams last
/// as long with fewer events, which are no control.
const OUTPUT: u32 = 7;

/// Prints all figures.
pub fn run() {
    let mut world = World::new(letter());
    let total = RATE * (FILL + SPAN);
    for i in 0..total {
        let at = SETTLED + SECOND * i / RATE;
        let team = (u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % TEAMS;
        world.ask(Ask::draft(team, PROMPT, OUTPUT).at(at));
    }
    world.run_until(SETTLED + SECOND * FILL);
    let (bytes, messages) = (sent(&world, |t| t.bytes), sent(&world, |t| t.messages));
    timed::spent();
    timed::sent();
    timed::packets();
    world.run_until(SETTLED + SECOND * (FILL + SPAN));
    let (spent, events) = timed::spent();
    let time = SECOND * SPAN;
    let (mean, most) = rates(&bytes, &sent(&world, |t| t.bytes), time);
    println!("load.320.sent_bytes_s_mean={mean:.0}");
    println!("load.320.sent_bytes_s_max={most:.0}");
    let (mean, most) = rates(&messages, &sent(&world, |t| t.messages), time);
    println!("load.320.sent_messages_s_mean={mean:.1}");
    println!("load.320.sent_messages_s_max={most:.1}");
    let each = |all: u64| all as f64 / time.as_secs_f64() / LARGEST as f64;
    let packets = timed::packets();
    println!("load.320.packed_bytes_s_mean={:.0}", each(packets.bytes));
    println!("load.320.packets_s_mean={:.1}", each(packets.messages));
    for (kind, sent) in timed::sent() {
        println!("load.320.{kind}.sent_bytes_s={:.0}", each(sent.bytes));
        println!("load.320.{kind}.sent_messages_s={:.2}", each(sent.messages));
    }
    let share = spent.as_secs_f64() / time.as_secs_f64() / LARGEST as f64;
    println!("load.320.wall_core_us_per_s={:.0}", share * 1e6);
    println!("load.320.wall_core_us_per_event={:.2}", spent.as_secs_f64() * 1e6 / events as f64);
    let running = world.daemons.iter().map(|d| d.core().requests.arena.len());
    println!("load.320.requests_in_progress_max={}", running.max().unwrap_or(0));
    let used = world.daemons.iter().map(|d| d.core().limits.used.len()).max();
    println!("load.320.limits_used_max={}", used.unwrap_or(0));
    let shared = world.daemons.iter().map(|d| d.core().limits.shared.len()).max();
    println!("load.320.limits_shared_max={}", shared.unwrap_or(0));
    let refused: u64 = world.record.refusals.values().sum();
    println!("load.320.refused_share={:.4}", refused as f64 / f64::from(total));
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
