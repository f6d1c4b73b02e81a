//! Datagrams to other data centres, which one peer there passes on to the others.

mod fleet;
mod plain;
mod plays;

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use basilbank_forward::{
    prelude::*,
    state::peers::MAX_PEERS_UNLIMITED_GOSSIP,
    state::relays::{DIRECT_INTERVAL, MIN_RELAYS, SETTLE_TIME, data_centre_hash},
};
use basilbank_wire::{LoadGossip, PeerAddress};
use test_case::test_case;

use crate::rig::Rig;

/// The time between a peer's datagrams.
const BEAT: u64 = 100;

/// A daemon of hall-a and its peers, which report to it.
struct Site {
    rig: Rig,
    /// The peers in hall-a and those in hall-b.
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    sequence: u64,
}

fn address(hall: u8, n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, hall, n], 7000))
}

fn hall(address: SocketAddr) -> &'static str {
    match address {
        SocketAddr::V4(v4) if v4.ip().octets()[2] == 1 => "hall-a",
        _ => "hall-b",
    }
}

impl Site {
    /// All have met some time ago.
    fn new(near: usize, far: usize) -> Site {
        let mut site = Site::meeting(near, far);
        site.pass(SETTLE_TIME + DIRECT_INTERVAL);
        site
    }

    /// All hear of each other for the first time.
    fn meeting(near: usize, far: usize) -> Site {
        let some = |hall, count: usize| (2..2 + count as u8).map(|n| address(hall, n)).collect();
        let rig = Rig::as_daemon(address(1, 1), vec![]);
        Site { rig, near: some(1, near), far: some(2, far), sequence: 0 }
    }

    fn beat(&self, from: SocketAddr) -> LoadGossip {
        let data_centre = data_centre_hash(hall(from));
        LoadGossip { incarnation: 1, sequence: self.sequence, data_centre, ..LoadGossip::default() }
    }

    /// Time passes in which all peers report directly.
    fn pass(&mut self, time: Duration) {
        for _ in 0..time.as_millis() as u64 / BEAT {
            self.rig.pass_ms(BEAT);
            self.sequence += 1;
            for from in self.near.clone().into_iter().chain(self.far.clone()) {
                self.rig.feed(Event::gossip(from, self.beat(from)));
            }
        }
    }

    /// The daemon's datagrams during some time.
    fn beats(&mut self, time: Duration) -> Vec<(SocketAddr, LoadGossip)> {
        self.rig.beats();
        self.pass(time);
        self.rig.beats()
    }

    /// A datagram of the first peer of hall-b, as a peer of hall-a passes it on.
    fn passed_on(&mut self) -> LoadGossip {
        self.sequence += 1;
        LoadGossip { origin: wire(self.far[0]), ..self.beat(self.far[0]) }
    }

    fn feed(&mut self, from: SocketAddr, gossip: LoadGossip) {
        self.rig.feed(Event::gossip(from, gossip));
    }

    fn sequence_of(&self, peer: SocketAddr) -> Option<u64> {
        self.rig.state.peers.known.get(&peer).map(|peer| peer.sequence)
    }

    fn is_far(&self, address: SocketAddr) -> bool {
        self.far.contains(&address)
    }
}

fn wire(address: SocketAddr) -> Option<PeerAddress> {
    let SocketAddr::V4(v4) = address else { return None };
    Some(PeerAddress { ip: v4.ip().to_bits(), port: v4.port().into() })
}

/// Guards against copies to each peer behind an expensive link.
#[test]
fn another_data_centre_gets_one_copy_between_direct_heartbeats() {
    let mut site = Site::new(3, MIN_RELAYS);
    let beats = site.beats(Duration::from_secs(6));
    let far = beats.iter().filter(|(to, _)| site.is_far(*to));
    let (relayed, direct): (Vec<_>, Vec<_>) = far.partition(|(_, beat)| beat.hops == 1);
    // Of 12 heartbeats in 6 s every second one is direct.
    assert_eq!((relayed.len(), direct.len()), (6, 6 * MIN_RELAYS));
    let near: Vec<_> = beats.iter().filter(|(to, _)| !site.is_far(*to)).collect();
    assert_eq!((near.len(), near.iter().all(|(_, beat)| beat.hops == 0)), (3 * 12, true));
}

/// Guards against a dead relay that loses all datagrams to its data centre.
#[test]
fn each_datagram_goes_to_another_relay() {
    let mut site = Site::new(3, MIN_RELAYS);
    let beats = site.beats(Duration::from_secs(40));
    let relays: HashSet<_> = beats.iter().filter(|(_, b)| b.hops == 1).map(|(to, _)| to).collect();
    assert!(8 <= relays.len(), "{relays:?}");
}

/// Guards against any change in fleets that are too small for relays, or that don't report halls.
#[test]
fn without_relays_the_datagrams_are_the_same() {
    let beats = |reports: bool| {
        let mut site = Site::meeting(3, MIN_RELAYS - 1);
        site.rig.state.local.data_centre = if reports { "hall-a" } else { "" }.to_owned();
        let beats = site.beats(Duration::from_secs(5));
        let plain = |(to, beat)| (to, LoadGossip { data_centre: 0, ..beat });
        beats.into_iter().map(plain).collect::<Vec<_>>()
    };
    assert_eq!(beats(true), beats(false));
    assert!(beats(true).iter().all(|(_, beat)| beat.hops == 0 && beat.origin.is_none()));
}

/// Guards against datagrams that are lost because the others don't know a daemon that has started.
#[test]
fn those_that_have_just_started_hear_directly() {
    let mut site = Site::meeting(3, MIN_RELAYS);
    let beats = site.beats(SETTLE_TIME - Duration::from_millis(BEAT));
    assert!(!beats.is_empty() && beats.iter().all(|(_, beat)| beat.hops == 0));
    let mut site = Site::new(3, MIN_RELAYS + 1);
    let first = site.far[0];
    site.feed(first, LoadGossip { incarnation: 2, ..site.beat(first) });
    site.far.remove(0);
    let beats = site.beats(Duration::from_millis(1000));
    assert_eq!(beats.iter().filter(|(to, _)| *to == first).count(), 2, "each heartbeat");
}

/// Guards against a shutdown that peers learn of late because its relay is gone.
#[test]
fn a_shutdown_is_announced_directly() {
    let mut site = Site::new(3, MIN_RELAYS);
    site.rig.beats();
    site.rig.feed(Event::Shutdown { grace: Duration::from_secs(8) });
    let beats = site.rig.beats();
    assert_eq!(beats.len(), 3 + MIN_RELAYS);
    assert!(beats.iter().all(|(_, beat)| beat.leaving && beat.hops == 0));
}

/// Guards against a delay, a copy back to the sender, and copies without end.
#[test]
fn a_relay_passes_a_datagram_on_at_once_and_once() {
    let mut site = Site::new(3, MIN_RELAYS);
    let from = site.far[0];
    site.sequence += 1;
    let beat = LoadGossip { hops: 1, ..site.beat(from) };
    site.rig.beats();
    site.feed(from, beat.clone());
    let passed_on = LoadGossip { hops: 0, origin: wire(from), ..beat.clone() };
    let expected: Vec<_> = site.near.iter().map(|to| (*to, passed_on.clone())).collect();
    assert_eq!(site.rig.beats(), expected);
    site.feed(from, beat);
    assert!(site.rig.beats().is_empty());
}

/// Guards against amplification by datagrams that no daemon of another data centre has sent.
#[test_case(|site| (site.near[0], 1, None); "from the own data centre")]
#[test_case(|site| (site.far[0], 2, None); "more hops")]
#[test_case(|_| (address(2, 99), 1, None); "from an unknown peer")]
#[test_case(|site| (site.near[0], 1, wire(site.far[0])); "passed on before")]
fn a_relay_passes_nothing_else_on(
    forged: impl Fn(&Site) -> (SocketAddr, u32, Option<PeerAddress>),
) {
    let mut site = Site::new(3, MIN_RELAYS);
    let (from, hops, origin) = forged(&site);
    site.sequence += 1;
    site.rig.beats();
    site.feed(from, LoadGossip { hops, origin, ..site.beat(from) });
    let beats = site.rig.beats();
    assert!(beats.iter().all(|(_, beat)| beat.origin.is_none()), "{beats:?}");
}

/// Guards against the origin's report being taken for the relay's.
#[test]
fn a_datagram_that_was_passed_on_counts_as_its_origins() {
    let mut site = Site::new(3, MIN_RELAYS);
    let (relay, origin) = (site.near[0], site.far[0]);
    let before = site.sequence_of(relay);
    let beat = site.passed_on();
    site.feed(relay, beat);
    assert_eq!(site.sequence_of(origin), Some(site.sequence));
    assert_eq!(site.sequence_of(relay), before);
}

/// Guards against reports that their alleged origin hasn't made.
#[test_case(|_, beat| (address(1, 99), beat), 1; "relay unknown")]
#[test_case(|site, beat| (site.far[1], beat), 1; "relay in another data centre")]
#[test_case(|site, beat| (site.near[0], LoadGossip { origin: wire(address(2, 99)), ..beat }), 1; "origin unknown")]
#[test_case(|site, beat| (site.near[0], LoadGossip { origin: wire(site.near[1]), ..beat }), 1; "origin in this data centre")]
#[test_case(|site, beat| (site.near[0], LoadGossip { origin: wire(address(1, 1)), ..beat }), 1; "origin is the receiver")]
#[test_case(|site, beat| (site.near[0], LoadGossip { origin: Some(PeerAddress { ip: 1, port: 70_000 }), ..beat }), 1; "impossible address")]
#[test_case(|site, beat| (site.near[0], LoadGossip { incarnation: 2, ..beat }), 1; "another start")]
#[test_case(|site, beat| (site.near[0], LoadGossip { incarnation: 0, ..beat }), 1; "an earlier start")]
#[test_case(|site, beat| (site.near[0], LoadGossip { leaving: true, ..beat }), 1; "a shutdown")]
#[test_case(|site, beat| (site.near[0], LoadGossip { hops: 1, ..beat }), 1; "hops left")]
#[test_case(|site, beat| (site.near[0], LoadGossip { sequence: site.sequence - 1, ..beat }), 0; "an old one")]
fn a_forged_datagram_changes_nothing(
    forge: impl Fn(&Site, LoadGossip) -> (SocketAddr, LoadGossip),
    dropped: u64,
) {
    let mut site = Site::new(3, MIN_RELAYS);
    let beat = site.passed_on();
    let (from, beat) = forge(&site, beat);
    let before = format!("{:?}", site.rig.state.peers.known);
    site.feed(from, beat);
    assert_eq!(format!("{:?}", site.rig.state.peers.known), before);
    assert_eq!(site.rig.state.peers.relays.dropped, dropped);
}

/// Guards against a cut path that relays hide: owners of quotas would count on it.
#[test]
fn a_peer_heard_only_through_relays_is_out_of_reach() {
    let mut site = Site::new(3, MIN_RELAYS);
    let (relay, origin) = (site.near[0], site.far.remove(0));
    let subject = (0..).find(|n| site.rig.state.remote_owner(*n, |_| true) == Some(origin));
    let subject = subject.expect("an owner");
    let all = site.rig.state.peers.count_in_contact(site.rig.now());
    for step in 1..=40 {
        assert_eq!(site.rig.state.remote_owner(subject, |_| true), Some(origin), "{step}");
        site.pass(Duration::from_millis(BEAT));
        let beat = LoadGossip { origin: wire(origin), ..site.beat(origin) };
        site.feed(relay, beat);
        let out_of_contact = usize::from(27 <= step);
        let in_contact = site.rig.state.peers.count_in_contact(site.rig.now());
        assert_eq!(in_contact, all - out_of_contact, "{step}");
    }
    assert!(site.rig.state.peers.known.contains_key(&origin), "its load still counts");
    assert_ne!(site.rig.state.remote_owner(subject, |_| true), Some(origin));
}

/// Guards against a peer out of reach because relayed datagrams overtake all of its direct ones.
#[test_case(1, true; "just behind")]
#[test_case(16, true; "by the most that counts")]
#[test_case(17, false; "far behind")]
fn an_overtaken_direct_datagram_shows_that_the_path_works(behind: u64, in_contact: bool) {
    let mut site = Site::new(3, MIN_RELAYS);
    let (relay, origin) = (site.near[0], site.far.remove(0));
    let all = site.rig.state.peers.count_in_contact(site.rig.now());
    for _ in 0..28 {
        site.pass(Duration::from_millis(BEAT));
        let beat = LoadGossip { origin: wire(origin), ..site.beat(origin) };
        site.feed(relay, beat);
    }
    let late = LoadGossip { sequence: site.sequence - behind, ..site.beat(origin) };
    site.feed(origin, late);
    let out_of_contact = usize::from(!in_contact);
    assert_eq!(site.rig.state.peers.count_in_contact(site.rig.now()), all - out_of_contact);
    assert_eq!(site.sequence_of(origin), Some(site.sequence), "the newer report stays");
}

/// Guards against datagrams lost between a sender and a relay that know different numbers of peers.
#[test]
fn a_relay_that_knows_more_peers_than_the_sender_passes_on() {
    let mut site = Site::new(3, MAX_PEERS_UNLIMITED_GOSSIP);
    let from = site.far[0];
    site.sequence += 1;
    site.rig.beats();
    site.feed(from, LoadGossip { hops: 1, ..site.beat(from) });
    let passed_on = site.rig.beats().into_iter().filter(|(_, beat)| beat.origin == wire(from));
    assert_eq!(passed_on.count(), 3);
}

/// Guards against one peer flooding a data centre by way of its relays.
#[test]
fn a_relay_limits_the_rate_of_each_origin() {
    let mut site = Site::new(3, MIN_RELAYS);
    let mut passed_on = |ms: u64, n: usize| {
        site.rig.pass_ms(ms);
        site.rig.beats();
        site.sequence += 1;
        let from = site.far[n];
        site.feed(from, LoadGossip { hops: 1, ..site.beat(from) });
        site.rig.beats().into_iter().filter(|(_, beat)| beat.origin == wire(from)).count()
    };
    let copies = [(0, 0), (9, 0), (0, 1), (1, 0)].map(|(ms, n)| passed_on(ms, n));
    assert_eq!(copies, [3, 0, 3, 3]);
    let relays = site.rig.state.peers.relays;
    assert_eq!((relays.passed_on, relays.dropped), (3, 1));
}
