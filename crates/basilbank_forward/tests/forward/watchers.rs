//! Few daemons of a large fleet watch the store, and the others rest on their word.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::{EndpointLoad, LoadGossip, StoreRevision};

use crate::rig::{Rig, plain};

const FLEET: u8 = 60;

/// Daemons that watch in a large fleet.
const WATCHERS: usize = 6;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n], 7000))
}

/// A daemon that hears others say this of themselves.
fn daemon(n: u8, fleet: u8, watching: impl Fn(u8) -> bool) -> Rig {
    let mut rig = Rig::as_daemon(address(n), vec![]);
    rig.list(vec![plain("a", 1)]);
    say(&mut rig, n, fleet, 1, watching);
    rig
}

fn say(rig: &mut Rig, own: u8, fleet: u8, sequence: u64, watching: impl Fn(u8) -> bool) {
    for n in (0..fleet).filter(|n| *n != own) {
        let beat = LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() };
        rig.feed(Event::gossip(address(n), LoadGossip { watching: watching(n), ..beat }));
    }
}

/// Those that take themselves for watchers, as each daemon decides by itself.
fn watchers() -> Vec<u8> {
    (0..FLEET).filter(|n| daemon(*n, FLEET, |_| false).state.is_watcher()).collect()
}

/// One that doesn't watch.
fn follower(watching: impl Fn(u8) -> bool) -> (u8, Rig) {
    let watchers = watchers();
    let n = (0..FLEET).find(|n| !watchers.contains(n)).expect("a daemon that doesn't");
    (n, daemon(n, FLEET, watching))
}

#[test]
fn a_few_daemons_watch_and_all_agree_who() {
    assert_eq!(watchers().len(), WATCHERS);
}

#[test]
fn a_daemon_that_leaves_does_not_watch_and_another_one_takes_its_place() {
    let first = watchers()[0];
    let mut rig = daemon(first, FLEET, |_| false);
    rig.feed(Event::Shutdown { grace: Duration::from_secs(8) });
    assert!(!rig.state.is_watcher());
    // All that watch have drafts yet, and leave.
    let watchers = watchers();
    let load = EndpointLoad { endpoint: 1, tokens: 1, calls: 1, tokens_left: 0 };
    let next = (0..FLEET).filter(|n| !watchers.contains(n)).filter(|n| {
        let mut rig = daemon(*n, FLEET, |_| false);
        for at in &watchers {
            let beat =
                LoadGossip { incarnation: 1, sequence: 2, leaving: true, ..LoadGossip::default() };
            rig.feed(Event::gossip(address(*at), beat.with_loads([load])));
        }
        rig.state.is_watcher()
    });
    assert_eq!(next.count(), WATCHERS);
}

#[test]
fn each_daemon_of_a_small_fleet_watches_itself() {
    let rig = daemon(0, 8, |_| true);
    assert!(!rig.state.follow_state().follows);
}

#[test]
fn a_daemon_rests_while_enough_watch() {
    let watchers = watchers();
    let saying = |count: usize| {
        let said = watchers[..count].to_vec();
        follower(move |n| said.contains(&n)).1.state.follow_state().follows
    };
    assert!(saying(WATCHERS));
    assert!(saying(3));
    assert!(!saying(2));
}

/// Symptom: versions weren't in force for as long as a daemon rested.
/// Sequence: it is cut off from its peers, and nobody says anything any more.
/// Cause: the last word of those that watch counted for ever.
#[test]
fn a_word_that_is_old_counts_no_more() {
    let (_, mut rig) = follower(|_| true);
    assert!(rig.state.follow_state().follows);
    rig.pass_ms(1800);
    assert!(!rig.state.follow_state().follows);
}

#[test]
fn a_watcher_that_loses_the_store_says_so_at_once_and_others_hear_a_doubt() {
    let at = watchers()[0];
    let mut rig = daemon(at, FLEET, |_| false);
    rig.pass_ms(600);
    let said = rig.beats().pop().expect("a datagram").1;
    assert!(said.watching);
    rig.feed(Event::EndpointsReadFailed);
    rig.pass_ms(20);
    let (_, beat) = rig.beats().pop().expect("a datagram");
    assert!(!beat.watching);
    let (_, mut other) = follower(|_| true);
    let before = other.state.follow_state().watcher_losses;
    let beat = LoadGossip { incarnation: 1, sequence: 2, ..LoadGossip::default() };
    other.feed(Event::gossip(address(at), beat));
    assert_eq!(other.state.follow_state().watcher_losses, before + 1);
}

/// Symptom: at each change of the list 195 daemons sent 194 datagrams each.
/// Sequence: all read it, on a watcher's word, and each told the others.
/// Cause: what came from a peer was told like own news.
#[test]
fn news_that_came_from_a_peer_are_not_told_at_once() {
    let (n, mut rig) = follower(|_| true);
    rig.pass_ms(600);
    rig.beats();
    let told = Some(StoreRevision { era: 0, number: 40 });
    let beat = LoadGossip { incarnation: 1, sequence: 2, watching: true, ..LoadGossip::default() };
    let from = address((n + 1) % FLEET);
    rig.feed(Event::gossip(from, LoadGossip { endpoints_news: told, ..beat }));
    assert!(rig.state.is_stale(Topic::Endpoints));
    rig.set_revision(39);
    rig.beats();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    rig.pass_ms(20);
    assert!(rig.beats().is_empty());
    rig.set_revision(49);
    rig.list(vec![plain("c", 3)]);
    rig.pass_ms(20);
    let told = rig.beats().pop().map(|(_, beat)| beat.endpoints_news);
    assert_eq!(told, Some(Some(StoreRevision { era: 0, number: 50 })));
}

#[test]
fn a_view_is_as_old_as_the_word_of_those_it_rests_on() {
    let watchers = watchers();
    let (n, mut rig) = follower(|n| watchers.contains(&n));
    rig.pass_ms(1000);
    say(&mut rig, n, FLEET, 2, |n| watchers.contains(&n));
    rig.pass_ms(300);
    assert_eq!(rig.state.view_age(rig.now()), Duration::from_millis(300));
    rig.pass_ms(5000);
    assert!(!rig.state.follow_state().follows);
    assert!(
        Duration::from_millis(6300) <= rig.state.view_age(rig.now()),
        "it has read nothing since"
    );
}
