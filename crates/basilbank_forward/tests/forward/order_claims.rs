//! Two daemons that claim the right to order endpoints, as the settings of one are outdated.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{Rig, model};

const STEP: Duration = Duration::from_millis(100);

/// Time within which two holders must not order one endpoint.
const LEASE: Duration = Duration::from_secs(3);

/// Daemons that send each other datagrams, and the orders that they give.
struct Fleet {
    rigs: Vec<Rig>,
    /// Which daemons are cut off from all others.
    cut: Vec<bool>,
    /// Which daemons stand still.
    frozen: Vec<bool>,
    now: Duration,
    revision: u64,
    endpoints: Vec<EndpointInfo>,
    /// When, by which daemon, to which instance.
    orders: Vec<(Duration, usize, String)>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(n).expect("few") + 1], 7000))
}

impl Fleet {
    fn start(rights: &[OrderRight]) -> Fleet {
        let seeds: Vec<_> = (0..rights.len()).map(address).collect();
        let rigs = rights.iter().enumerate().map(|(n, right)| {
            let mut rig = Rig::as_daemon(address(n), seeds.clone());
            rig.feed(Event::OrderRight(*right));
            rig
        });
        let rigs: Vec<_> = rigs.collect();
        let (cut, frozen) = (vec![false; rigs.len()], vec![false; rigs.len()]);
        let endpoints = (0..9).map(|n| model(&format!("m{n}"), n + 1, Stage::Prefill)).collect();
        let (now, revision, orders) = (Duration::ZERO, 10, Vec::new());
        Fleet { rigs, cut, frozen, now, revision, endpoints, orders }
    }

    fn right(&mut self, n: usize, right: OrderRight) {
        self.rigs[n].feed(Event::OrderRight(right));
    }

    /// Two empty endpoints are added.
    fn grow(&mut self) {
        for _ in 0..2 {
            let n = u16::try_from(self.endpoints.len()).expect("few");
            self.endpoints.push(model(&format!("m{n}"), n + 1, Stage::Prefill));
        }
    }

    fn pass(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.revision += 1;
        let mut sent = Vec::new();
        for n in 0..self.rigs.len() {
            let rig = &mut self.rigs[n];
            if self.frozen[n] {
                rig.freeze(STEP);
                continue;
            }
            rig.pass(STEP);
            rig.set_revision(self.revision);
            rig.list(self.endpoints.clone());
            for effect in rig.effects.drain(..) {
                match effect {
                    Effect::Order { target, .. } => {
                        self.orders.push((self.now, n, target.instance));
                    }
                    Effect::SendGossip { to, gossip } if !self.cut[n] => {
                        sent.extend(to.into_iter().map(|to| (n, to, gossip.clone())));
                    }
                    _ => {}
                }
            }
        }
        for (from, to, gossip) in sent {
            let to = self.rigs.iter().enumerate().position(|(n, _)| address(n) == to);
            let Some(to) = to.filter(|to| !self.cut[*to] && !self.frozen[*to]) else { continue };
            self.rigs[to].feed(Event::gossip(address(from), *gossip));
        }
    }

    /// The daemons that have given orders since a time.
    fn holders(&self, since: Duration) -> Vec<usize> {
        let orders = self.orders.iter().filter(|(at, ..)| since <= *at);
        let mut holders: Vec<_> = orders.map(|(_, n, _)| *n).collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    fn check(&self) {
        for (at, n, instance) in &self.orders {
            let other = self.orders.iter().find(|(later, other, same)| {
                other != n && same == instance && at <= later && *later < *at + LEASE
            });
            assert!(other.is_none(), "{instance} by {n} at {at:?} and {other:?}");
        }
    }
}

/// The first daemon keeps the right by its outdated settings, another one gets it by new ones.
fn outdated(holder: usize, next: usize, gained: OrderRight) -> Fleet {
    let mut rights = [OrderRight::None; 3];
    rights[holder] = OrderRight::AtOnce;
    let mut fleet = Fleet::start(&rights);
    fleet.pass(10);
    assert_eq!(fleet.holders(Duration::ZERO), [holder]);
    fleet.right(next, gained);
    fleet.pass(5);
    fleet
}

/// Guards against two daemons that order one endpoint while the settings of one are outdated.
#[test_case(0, 1, OrderRight::AfterSilence; "the former holder goes first")]
#[test_case(1, 0, OrderRight::AfterSilence; "the next one goes first")]
#[test_case(0, 1, OrderRight::AtOnce; "in the first run of the system")]
#[test_case(1, 0, OrderRight::AtOnce; "in the first run, the next one goes first")]
fn outdated_settings_of_one_daemon_make_no_second_holder(
    holder: usize,
    next: usize,
    gained: OrderRight,
) {
    let mut fleet = outdated(holder, next, gained);
    let changed = fleet.now;
    for _ in 0..6 {
        fleet.grow();
        fleet.pass(15);
    }
    fleet.check();
    assert_eq!(fleet.holders(changed + Duration::from_secs(30)), [0], "one goes on");
    // The settings are read after all.
    fleet.right(holder, OrderRight::None);
    let settled = fleet.now + Duration::from_secs(25);
    for _ in 0..4 {
        fleet.grow();
        fleet.pass(15);
    }
    fleet.check();
    assert_eq!(fleet.holders(settled), [next]);
}

#[test_case(0, 1; "the former holder goes first")]
#[test_case(1, 0; "the next one goes first")]
fn a_daemon_with_outdated_settings_that_is_cut_off_gives_no_orders(holder: usize, next: usize) {
    let mut fleet = outdated(holder, next, OrderRight::AfterSilence);
    fleet.cut[holder] = true;
    let cut = fleet.now;
    for _ in 0..5 {
        fleet.pass(15);
        fleet.grow();
    }
    fleet.check();
    assert_eq!(fleet.holders(cut + Duration::from_secs(10)), [next]);
    fleet.cut[holder] = false;
    for _ in 0..3 {
        fleet.grow();
        fleet.pass(15);
    }
    fleet.check();
}

#[test]
fn a_daemon_with_outdated_settings_that_stood_still_gives_no_orders_when_it_wakes() {
    let mut fleet = outdated(1, 0, OrderRight::AfterSilence);
    fleet.frozen[1] = true;
    fleet.pass(40);
    fleet.grow();
    fleet.frozen[1] = false;
    let woken = fleet.now;
    fleet.pass(40);
    fleet.check();
    assert_eq!(fleet.holders(woken), [0]);
}

#[test]
fn the_first_start_of_the_system_orders_at_once() {
    let mut fleet = Fleet::start(&[OrderRight::AtOnce, OrderRight::None, OrderRight::None]);
    fleet.pass(2);
    assert_eq!(fleet.holders(Duration::ZERO), [0]);
}
