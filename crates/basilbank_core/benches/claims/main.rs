//! What idempotency keys cost: messages, memory and time. One `name=value` line for each figure.
#![expect(clippy::print_stdout, reason = "the figures are its output")]

#[expect(dead_code, reason = "the tests use all of it")]
#[path = "../../tests/daemons/fleet.rs"]
mod fleet;
#[path = "../../tests/world/mod.rs"]
mod world;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use basilbank_core::{
    prelude::*,
    state::{ClaimKey, KeyTable},
};
use basilbank_wire::{Claim, KeyRecord};
use prost::Message as _;

use crate::{
    fleet::{Fleet, catalogue, stock_order, vm},
    world::PACKET_OVERHEAD,
};

const WINDOW: Duration = Duration::from_secs(600);
const CALLS: u32 = 200;
const KEYS: u32 = 100_000;
const VOTES: u32 = 20_000;
/// How long the voter has been up.
const SINCE: Duration = Duration::from_secs(60);

fn main() {
    traffic();
    memory();
    for (members, lists) in [(8, 1), (320, 1), (320, 64)] {
        votes(members, lists);
    }
}

/// Messages and bytes of a keyed plain call, over all daemons.
fn traffic() {
    let mut fleet = Fleet::new(8, Tuning::default(), catalogue());
    fleet.run(WINDOW);
    fleet.traffic = Vec::new();
    for i in 0..CALLS {
        fleet.call(i as usize % 8, Some(&format!("order-{i}")), stock_order());
        fleet.run(Duration::from_millis(100));
        let (index, attempt) = fleet.runs()[i as usize];
        fleet.feed(index, Event::Engine(EngineEvent::Answered { attempt, status: 200 }));
        fleet.run(Duration::from_millis(100));
    }
    let is_claim =
        |m: &&Message| matches!(m.body, Some(Body::Claim(_) | Body::Vote(_) | Body::Settle(_)));
    let messages: Vec<_> = fleet.traffic.iter().filter(is_claim).collect();
    let bytes: u64 = messages.iter().map(|m| m.encoded_len() as u64 + PACKET_OVERHEAD).sum();
    println!("claim_messages_per_call={:.2}", messages.len() as f64 / f64::from(CALLS));
    println!("claim_bytes_per_call={:.0}", bytes as f64 / f64::from(CALLS));
}

/// Memory of a full table.
fn memory() {
    let before = resident();
    let mut table = KeyTable::default();
    for i in 0..KEYS {
        let stream = format!("stream-{i}");
        let record = KeyRecord {
            request: 1,
            vm: 2,
            endpoint: 3,
            stream,
            outcome: 1,
            ..KeyRecord::default()
        };
        table.insert(key(i), record, WINDOW + Duration::from_millis(i.into()));
    }
    let used = resident().saturating_sub(before);
    println!("key_bytes={:.0}", used as f64 / f64::from(KEYS));
    black_box(table);
}

/// Time of one vote on a key that is new; this daemon is the voter of some of them.
fn votes(members: usize, lists: usize) {
    let mut fleet = Fleet::new(1, Tuning { keys: 1 << 20, ..Tuning::default() }, catalogue());
    let names: Vec<_> = (0..members).collect();
    for list in 0..lists {
        let without: Vec<_> = names.iter().copied().filter(|n| *n != list + 1).collect();
        fleet.list(0, if list + 1 == lists { &names } else { &without });
    }
    // The others are not there, so they can't be heard.
    let mono = fleet.mono;
    for member in fleet.states[0].members.all.values_mut() {
        member.live = true;
        member.last_seen = Some(mono);
    }
    let presence = &mut fleet.states[0].members.own_status;
    presence.rejoining_since = None;
    presence.is_isolated = false;
    let now = Now { wall: fleet.now().wall + SINCE, ..fleet.now() };
    let made = now.unix_ms();
    let (from, incarnation) = (vm(1), 1);
    let events: Vec<_> = (0..VOTES)
        .map(|i| {
            let key = key(i).0.to_vec();
            let claim = Claim { key, request: u64::from(i), made, ..Claim::default() };
            Event::Peer { from, incarnation, message: Body::Claim(claim).into() }
        })
        .collect();
    let mut effects = Vec::new();
    let start = Instant::now();
    for event in events {
        reduce(&mut fleet.states[0], now, event, &mut effects);
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(VOTES);
    println!("vote_us_members_{members}_lists_{lists}={micros:.2}");
    let granted = fleet.states[0].claims.key_table.len();
    println!("vote_granted_members_{members}_lists_{lists}={granted}");
}

fn key(i: u32) -> ClaimKey {
    ClaimKey::new(TeamId(1), &i.to_string())
}

/// Resident memory in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
