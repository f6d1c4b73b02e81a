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
    /// The side of a cut that each daemon is on; those of one side hear each other.
    side: Vec<usize>,
    /// Two daemons that don't hear each other.
    apart: Option<(usize, usize)>,
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
        let (side, frozen) = (vec![0; rigs.len()], vec![false; rigs.len()]);
        let endpoints = (0..9).map(|n| model(&format!("m{n}"), n + 1, Stage::Prefill)).collect();
        let (now, revision, orders) = (Duration::ZERO, 10, Vec::new());
        Fleet { rigs, side, apart: None, frozen, now, revision, endpoints, orders }
    }

    fn right(&mut self, n: usize, right: OrderRight) {
        self.rigs[n].feed(Event::OrderRight(right));
    }

    /// A daemon's process starts again, with new seeds.
    fn restart(&mut self, n: usize, right: OrderRight, seeds: &[usize]) {
        let seeds = seeds.iter().copied().map(address).collect();
        self.rigs[n] = Rig::restarted_daemon(address(n), seeds, self.now);
        self.rigs[n].feed(Event::OrderRight(right));
    }

    fn hears(&self, n: usize, other: usize) -> bool {
        let are_apart = self.apart == Some((n.min(other), n.max(other)));
        self.side[n] == self.side[other] && !are_apart
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
                    Effect::SendGossip { to, gossip } => {
                        sent.extend(to.into_iter().map(|to| (n, to, gossip.clone())));
                    }
                    _ => {}
                }
            }
        }
        for (from, to, gossip) in sent {
            let to = self.rigs.iter().enumerate().position(|(n, _)| address(n) == to);
            let is_heard = |to: &usize| self.hears(from, *to) && !self.frozen[*to];
            let Some(to) = to.filter(is_heard) else { continue };
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
    fleet.side[holder] = 1;
    let cut = fleet.now;
    for _ in 0..5 {
        fleet.pass(15);
        fleet.grow();
    }
    fleet.check();
    assert_eq!(fleet.holders(cut + Duration::from_secs(10)), [next]);
    fleet.side[holder] = 0;
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

/// Daemons that started with the whole system, the first of which gives the orders, and some of which are
/// cut off then and start again there, with new seeds that begin with one of them.
fn restarted_behind_a_cut(count: usize, cut: &[usize], seeds: &[usize]) -> Fleet {
    let mut rights = vec![OrderRight::None; count];
    rights[0] = OrderRight::AtOnce;
    let mut fleet = Fleet::start(&rights);
    fleet.pass(10);
    for n in cut {
        fleet.side[*n] = 1;
        let right = if seeds[0] == *n { OrderRight::AfterSilence } else { OrderRight::None };
        fleet.restart(*n, right, seeds);
    }
    fleet
}

/// Guards against a process that takes the peers which it has met for the whole fleet.
#[test_case(3, &[2], &[2, 90, 91]; "alone")]
#[test_case(3, &[2], &[2]; "alone, without other seeds")]
#[test_case(3, &[2], &[2, 0, 1]; "alone, the others are seeds")]
#[test_case(5, &[3, 4], &[4, 3, 91]; "two together")]
#[test_case(7, &[4, 5, 6], &[4, 5, 6]; "three together that are all seeds")]
fn a_daemon_that_starts_behind_a_cut_gives_no_orders(count: usize, cut: &[usize], seeds: &[usize]) {
    let mut fleet = restarted_behind_a_cut(count, cut, seeds);
    for _ in 0..4 {
        fleet.pass(15);
        fleet.grow();
    }
    fleet.check();
    assert_eq!(fleet.holders(Duration::ZERO), [0]);
    // The cut ends, and all read the new settings.
    fleet.side.fill(0);
    fleet.right(0, OrderRight::None);
    let healed = fleet.now + Duration::from_secs(25);
    for _ in 0..4 {
        fleet.grow();
        fleet.pass(15);
    }
    fleet.check();
    assert_eq!(fleet.holders(healed), [seeds[0]], "it knows the fleet now");
}

/// Guards against a count of the fleet that shrinks as daemons shut down that are back behind a cut.
#[test]
fn daemons_that_shut_down_and_are_back_behind_a_cut_still_count() {
    let mut fleet = restarted_behind_a_cut(5, &[], &[]);
    fleet.apart = None;
    for n in [3, 4] {
        fleet.rigs[n].feed(Event::Shutdown { grace: Duration::from_secs(8) });
    }
    fleet.pass(1);
    for n in [2, 3, 4] {
        fleet.side[n] = 1;
    }
    fleet.restart(3, OrderRight::AfterSilence, &[3, 2, 4]);
    fleet.restart(4, OrderRight::None, &[3, 2, 4]);
    let cut = fleet.now + Duration::from_secs(5);
    for _ in 0..4 {
        fleet.pass(15);
        fleet.grow();
    }
    fleet.check();
    assert_eq!(fleet.holders(cut), [3], "most of the fleet is on its side");
}

/// Guards against two holders that don't hear each other's claims, while all others hear both.
#[test_case(0, 2; "the former holder goes first")]
#[test_case(2, 0; "the next one goes first")]
fn two_claimants_that_do_not_hear_each_other_learn_of_each_other_from_peers(
    holder: usize,
    next: usize,
) {
    let mut rights = [OrderRight::None; 4];
    rights[holder] = OrderRight::AtOnce;
    let mut fleet = Fleet::start(&rights);
    fleet.pass(10);
    fleet.apart = Some((0, 2));
    fleet.pass(5);
    fleet.right(next, OrderRight::AfterSilence);
    for _ in 0..6 {
        fleet.grow();
        fleet.pass(15);
    }
    fleet.check();
}
