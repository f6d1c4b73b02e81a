//! How daemons of a large fleet learn of each other.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;

use crate::rig::{Rig, held, model, prompt};

const FLEET: u8 = 150;

/// A turn of the network: what is sent in one arrives in the next.
const STEP: Duration = Duration::from_millis(10);

/// The operators' aim for all daemons to serve again after all were killed.
const AIM: Duration = Duration::from_secs(3);

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n], 7000))
}

struct Fleet {
    rigs: Vec<Rig>,
    index: HashMap<SocketAddr, usize>,
    /// Bytes that each daemon received.
    received: Vec<usize>,
}

impl Fleet {
    /// All start at once, and know the seeds.
    fn start() -> Fleet {
        let rigs = (0..FLEET).map(|n| {
            let mut rig = Rig::as_daemon(address(n), (0..3).map(address).collect());
            rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
            rig
        });
        let index = (0..FLEET).map(|n| (address(n), usize::from(n))).collect();
        Fleet { rigs: rigs.collect(), index, received: vec![0; FLEET.into()] }
    }

    fn step(&mut self) {
        let mut sent = Vec::new();
        for (n, rig) in self.rigs.iter_mut().enumerate() {
            rig.pass(STEP);
            sent.extend(rig.beats().into_iter().map(|(to, beat)| (n as u8, to, beat)));
        }
        for (from, to, beat) in sent {
            let Some(to) = self.index.get(&to).copied() else { continue };
            self.received[to] += beat.wire_bytes();
            self.rigs[to].feed(Event::gossip(address(from), beat));
        }
    }

    /// How long until all daemons for which it holds.
    fn until(&mut self, holds: impl Fn(&Rig) -> bool) -> Duration {
        let mut time = Duration::ZERO;
        while !self.rigs.iter().all(&holds) && time < AIM * 4 {
            self.step();
            time += STEP;
        }
        time
    }
}

fn knows_all(rig: &Rig) -> bool {
    rig.state.peers.known.len() == usize::from(FLEET) - 1
}

/// Symptom: the larger the fleet, the longer it took until it served again after all daemons were killed.
/// Sequence: all start at once and know three seeds; they learn of the others by what heartbeats name.
/// Cause: heartbeats of a large fleet name two peers, and are seconds apart.
#[test]
fn a_large_fleet_that_starts_at_once_has_met_in_time() {
    let mut fleet = Fleet::start();
    let time = fleet.until(knows_all);
    assert!(time <= AIM, "{time:?}");
    // As much as two seconds of what a daemon may use for control: once, at a start.
    let most = fleet.received.iter().max().copied().unwrap_or_default();
    assert!(most <= 52_000, "{most} bytes");
}

/// Symptom: daemons that had started again overfilled decode endpoints for seconds.
/// Sequence: one is replaced while the others have drafts.
/// Cause: it learned what these have as their heartbeats came.
#[test]
fn a_daemon_that_starts_again_knows_the_others_loads_at_once() {
    let mut fleet = Fleet::start();
    fleet.until(knows_all);
    for rig in &mut fleet.rigs[10..] {
        let id = rig.call("/draft/1", 14_000, Some(prompt(100)));
        for start in rig.starts() {
            rig.came(id, start.number, held());
        }
    }
    for _ in 0..50 {
        fleet.step();
    }
    let used = |rig: &Rig| {
        let key = rig.state.directory.find("d1").expect("listed");
        rig.state.directory.get(key).map_or(0, |endpoint| endpoint.total_tokens())
    };
    let all = used(&fleet.rigs[0]);
    let mut rig = Rig::as_next_daemon(address(9), (0..3).map(address).collect());
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
    fleet.rigs[9] = rig;
    for _ in 0..30 {
        fleet.step();
    }
    let known = used(&fleet.rigs[9]);
    assert!(all * 9 / 10 <= known, "{known} tokens of {all} are known after 0.3 s");
}
