//! Daemons tell each other what they have at endpoints.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use basilbank_forward::prelude::*;
use basilbank_wire::LoadGossip;

use crate::rig::{Rig, held, model, numbered, prompt};

/// Some daemons, and a network that delivers at once.
struct Fleet {
    rigs: HashMap<SocketAddr, Rig>,
    addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// Daemons of which all know the first one only.
    fn new(count: u8) -> Fleet {
        let address = |n: u8| SocketAddr::from(([10, 0, 1, n], 7000));
        let addresses: Vec<_> = (0..count).map(address).collect();
        let mut rigs = HashMap::new();
        for (n, at) in addresses.iter().enumerate() {
            let seeds = if n == 0 { vec![] } else { vec![addresses[0]] };
            let mut rig = Rig::as_daemon(*at, seeds);
            rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
            rigs.insert(*at, rig);
        }
        Fleet { rigs, addresses }
    }

    fn rig(&mut self, n: usize) -> &mut Rig {
        let at = self.addresses[n];
        self.rigs.get_mut(&at).expect("a daemon")
    }

    /// Daemon `n` gets a slot for a draft, at this endpoint.
    fn hold(&mut self, n: usize) -> (RequestId, EndpointKey) {
        let rig = self.rig(n);
        let id = rig.call("/draft/1", 14_000, Some(prompt(3000)));
        let hold = rig.start();
        rig.came(id, hold.number, held());
        (id, hold.target.endpoint)
    }

    /// Lets time pass in steps, each with a call that comes and leaves, so that there is always
    /// something new to tell.
    fn busy(&mut self, steps: u32) {
        for _ in 0..steps {
            for at in self.addresses.clone() {
                let rig = self.rigs.get_mut(&at).expect("a daemon");
                let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
                rig.pass(Duration::from_millis(10));
                rig.feed(Event::CallerLeft(id));
                let beats = rig.beats();
                for (to, beat) in beats {
                    if let Some(rig) = self.rigs.get_mut(&to) {
                        rig.feed(Event::gossip(at, beat));
                    }
                }
            }
        }
    }
}

/// Symptom: decode endpoints were overfilled, though daemons told each other what they had there.
/// Sequence: all daemons start under load and know the seeds only.
/// Cause: addresses that a peer had named were tried with idle heartbeats only, and under load no
/// heartbeat is idle; so daemons that are no seeds never met. Besides, daemons that had started in the
/// same millisecond took each other's datagrams for their own: all here have one incarnation.
#[test]
fn daemons_meet_through_a_seed_under_load() {
    let mut fleet = Fleet::new(6);
    fleet.busy(200);
    for n in 0..6 {
        assert_eq!(fleet.rig(n).state.peers.known.len(), 5, "daemon {n}");
    }
}

#[test]
fn a_daemon_counts_what_its_peers_have_until_they_are_silent() {
    let mut fleet = Fleet::new(3);
    fleet.busy(100);
    let (_, endpoint) = fleet.hold(1);
    fleet.busy(10);
    let used = |rig: &Rig| rig.state.directory.get(endpoint).map(|e| e.peer_tokens);
    assert!(Some(3000) <= used(fleet.rig(2)));
    fleet.rig(2).pass_ms(3000);
    assert_eq!(used(fleet.rig(2)), Some(0));
}

/// Symptom: endpoints put drafts back while daemons were replaced in turn.
/// Sequence: a daemon is told to leave while its drafts stream for seconds yet; its peers place others on
/// the memory that these have.
/// Cause: its load was dropped with its first word that it leaves.
#[test]
fn what_a_leaving_daemon_still_has_counts() {
    let mut fleet = Fleet::new(3);
    fleet.busy(100);
    let (id, endpoint) = fleet.hold(1);
    fleet.rig(1).feed(Event::Shutdown { grace: Duration::from_secs(7) });
    fleet.busy(10);
    let used = |rig: &Rig| rig.state.directory.get(endpoint).map(|e| e.peer_tokens);
    assert!(Some(3000) <= used(fleet.rig(2)));
    fleet.rig(1).feed(Event::CallerLeft(id));
    fleet.busy(10);
    assert!(used(fleet.rig(2)) < Some(3000));
}

#[test]
fn a_leaving_daemon_with_nothing_left_is_no_peer() {
    let mut rig = numbered(1);
    let from = ([10, 0, 0, 2], 7000).into();
    let beat = LoadGossip { incarnation: 2, sequence: 1, ..LoadGossip::default() };
    rig.feed(Event::gossip(from, beat.clone()));
    assert_eq!(rig.state.peers.known.len(), 1);
    rig.feed(Event::gossip(from, LoadGossip { sequence: 2, leaving: true, ..beat }));
    assert!(rig.state.peers.known.is_empty());
}

#[test]
fn a_peer_that_has_left_does_not_count_as_contact() {
    let mut rig = numbered(1);
    let (first, last) = (([10, 0, 0, 2], 7000).into(), ([10, 0, 0, 3], 7000).into());
    let beat = |sequence, leaving| LoadGossip {
        incarnation: 2,
        sequence,
        leaving,
        ..LoadGossip::default()
    };
    let is_isolated = |rig: &Rig| rig.state.peers.is_isolated(rig.now());
    rig.feed(Event::gossip(first, beat(1, false)));
    rig.pass_ms(500);
    rig.feed(Event::gossip(last, beat(1, false)));
    rig.pass_ms(300);
    assert!(!is_isolated(&rig), "the last one was heard a moment ago");
    rig.feed(Event::gossip(last, beat(2, true)));
    assert!(is_isolated(&rig), "the first one was not");
    rig.feed(Event::gossip(first, beat(2, true)));
    assert!(!is_isolated(&rig), "no peer is known");
}

/// Symptom: the same daemons of a large fleet heard little of a peer, and took it for gone.
/// Sequence: its link takes a part of the datagrams that it sends at a time, the first ones.
/// Cause: they went out in the same order each time.
#[test]
fn no_peer_is_always_the_last_to_be_told() {
    let mut fleet = Fleet::new(5);
    fleet.busy(60);
    fleet.rig(0).beats();
    let mut last = HashSet::new();
    for _ in 0..8 {
        fleet.rig(0).pass_ms(500);
        last.extend(fleet.rig(0).beats().last().map(|(to, _)| *to));
    }
    assert_eq!(last.len(), 4);
}

/// Symptom: a daemon counted work of a peer that had been over for long.
/// Sequence: two datagrams overtook each other.
/// Cause: the one that came last won.
#[test]
fn an_older_datagram_changes_nothing() {
    let mut fleet = Fleet::new(2);
    fleet.busy(60);
    fleet.rig(0).beats();
    fleet.rig(0).call("/draft/1", 14_000, Some(prompt(3000)));
    fleet.rig(0).pass_ms(600);
    let old = fleet.rig(0).beats();
    fleet.rig(0).pass_ms(600);
    let new = fleet.rig(0).beats();
    let from = fleet.addresses[0];
    for (_, beat) in new.into_iter().chain(old) {
        fleet.rig(1).feed(Event::gossip(from, beat));
    }
    let peer = fleet.rig(1).state.peers.known[&from].clone();
    assert_eq!(peer.loads.iter().map(|load| load.usage.tokens).sum::<u32>(), 3060);
}

#[test]
fn a_daemon_that_leaves_is_forgotten_at_once() {
    let mut fleet = Fleet::new(2);
    fleet.busy(60);
    fleet.rig(0).beats();
    fleet.rig(0).feed(Event::Shutdown { grace: Duration::from_secs(8) });
    let from = fleet.addresses[0];
    for (_, beat) in fleet.rig(0).beats() {
        fleet.rig(1).feed(Event::gossip(from, beat));
    }
    assert!(fleet.rig(1).state.peers.known.is_empty());
}

/// Symptom: each daemon learned by a refused call of its own that an endpoint changes its stage.
/// Sequence: the holder ordered it; the others still had the old stage from the list.
/// Cause: nobody told them.
#[test]
fn peers_leave_an_endpoint_alone_that_changes_its_stage() {
    let mut fleet = Fleet::new(2);
    fleet.busy(60);
    let key = fleet.rig(0).state.directory.find("p1").expect("listed");
    let accepted = basilbank_forward::event::Acceptance::Accepted;
    fleet.rig(0).feed(Event::OrderAnswered { endpoint: key, acceptance: accepted });
    fleet.busy(10);
    let key = fleet.rig(1).state.directory.find("p1").expect("listed");
    let now = fleet.rig(1).now();
    let endpoint = fleet.rig(1).state.directory.get(key).expect("known");
    assert!(now + Duration::from_secs(4) < endpoint.avoided_until);
}

/// Symptom: each daemon read the store several times a second, and most readings had no news.
/// Sequence: endpoints' heartbeats change the store all the time.
/// Cause: each daemon had to find out about changes by itself.
#[test]
fn a_daemon_that_reads_a_change_makes_the_others_read() {
    let mut fleet = Fleet::new(5);
    fleet.busy(60);
    let alone = fleet.rig(1).state.tuning.solo_watch_wait;
    assert!((0..20).any(|_| alone < fleet.rig(1).state.pick_watch_wait()));
    assert!(!fleet.rig(1).state.is_stale(Topic::Endpoints));
    let draining = EndpointInfo { draining: true, ..model("d1", 2, Stage::Decode) };
    fleet.rig(0).list(vec![draining.clone()]);
    fleet.busy(2);
    assert!(fleet.rig(1).state.is_stale(Topic::Endpoints));
    fleet.rig(1).list(vec![draining]);
    assert!(!fleet.rig(1).state.is_stale(Topic::Endpoints));
}

#[test]
fn a_heartbeat_in_the_store_is_no_news() {
    let mut fleet = Fleet::new(5);
    fleet.busy(60);
    fleet.rig(0).list(vec![model("d1", 2, Stage::Decode)]);
    fleet.busy(2);
    assert!(!fleet.rig(1).state.is_stale(Topic::Endpoints));
}

/// Symptom: a daemon's view of the endpoints was 17 s old.
/// Sequence: its connection to the store went silent while a watch waited on it.
/// Cause: the watch waited for as long as the store allows.
#[test]
fn a_daemon_that_hears_nobody_waits_shortly() {
    let mut rig = Rig::new();
    let longest = (0..100).map(|_| rig.state.pick_watch_wait()).max();
    assert!(longest <= Some(rig.state.tuning.solo_watch_wait));
}

/// Steps of 50 ms until the daemon has the calls that it has on average.
const WARM: u64 = 80;

/// A daemon that hears as many peers as the planned size has, and has calls at endpoints.
fn daemon_of_320() -> Rig {
    let address = |n: u16| SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 7000));
    let mut rig = Rig::as_daemon(address(0), vec![]);
    let list = (0..19).map(|n| model(&format!("d{n}"), 100 + n, Stage::Decode));
    rig.list(list.chain([model("p1", 1, Stage::Prefill)]).collect());
    for n in 1..320 {
        let beat = LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() };
        rig.feed(Event::gossip(address(n), beat));
    }
    rig
}

/// Symptom: control took 45 KB a second of the 26 that a daemon may use, by arithmetic.
/// Sequence: 320 daemons, each with drafts at more than four endpoints.
/// Cause: the time between datagrams followed the number of peers, but not the datagrams' size.
#[test]
fn control_stays_within_its_bytes_at_the_planned_size() {
    let mut rig = daemon_of_320();
    rig.beats();
    let (mut bytes, mut longest) = (0, Duration::ZERO);
    let (mut last, seconds) = (rig.now(), 20);
    let mut running = std::collections::VecDeque::new();
    for step in 0..WARM + seconds * 20 {
        // Five drafts a second, of three seconds each.
        if step % 4 == 0 {
            running.push_back(rig.call("/draft/1", 14_000, Some(prompt(500))));
            if 15 < running.len() {
                let over = running.pop_front().expect("a draft");
                rig.feed(Event::CallerLeft(over));
            }
        }
        rig.pass_ms(50);
        // Its peers' heartbeats.
        for n in 1..320u16 {
            let from = SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 7000));
            let beat = LoadGossip { incarnation: 1, sequence: 2 + step, ..LoadGossip::default() };
            rig.feed(Event::gossip(from, beat));
        }
        let to = SocketAddr::from(([10, 1, 0, 1], 7000));
        let beats = rig.beats();
        let sent: usize =
            beats.iter().filter(|(at, _)| *at == to).map(|(_, b)| b.wire_bytes()).sum();
        // The first seconds, in which its calls begin, don't count.
        if sent != 0 {
            longest = if WARM <= step { longest.max(rig.now() - last) } else { longest };
            last = rig.now();
        }
        bytes += if WARM <= step { sent } else { 0 };
    }
    // What one peer receives from this daemon, times the daemons that send alike.
    let received = bytes as u64 * 319 / seconds;
    assert!(received <= 26_000, "{received} bytes a second");
    assert!(longest <= Duration::from_millis(3100), "{longest:?}");
    assert_eq!(rig.state.peers.known.len(), 319);
}

/// Symptom: the larger the fleet, the longer it took until it served after all daemons were killed.
/// Sequence: all start again, know the seeds alone, and callers come back at once.
/// Cause: each told the seeds of each change, every 15 ms, so that these got thousands of datagrams a
/// second from a large fleet.
#[test]
fn a_daemon_that_starts_again_with_all_others_spares_its_seeds() {
    let seed = SocketAddr::from(([10, 0, 1, 1], 7000));
    let sent_in_two_seconds = |start: SystemStart| {
        let mut rig = Rig::as_daemon(SocketAddr::from(([10, 0, 1, 2], 7000)), vec![seed]);
        rig.state.local.start = start;
        rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
        let beat = LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() };
        rig.feed(Event::gossip(seed, beat));
        rig.beats();
        let mut sent = 0;
        for _ in 0..100 {
            let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
            rig.pass_ms(20);
            rig.feed(Event::CallerLeft(id));
            sent += rig.beats().len();
        }
        sent
    };
    assert!(90 <= sent_in_two_seconds(SystemStart::First));
    assert!(sent_in_two_seconds(SystemStart::Restart) <= 15);
}
