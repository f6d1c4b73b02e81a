//! The store comes back from a copy of itself that is some seconds old: a new era begins.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::{LoadGossip, StoreRevision};
use proptest::{
    prelude::{Just, ProptestConfig, Strategy, prop_assert, prop_assert_eq, prop_oneof, proptest},
    test_runner::RngSeed,
};

use crate::rig::{Rig, model, numbered, plain, table};

/// Everything of the list, as a store of the era holds it.
fn read_list(rig: &mut Rig, era: u64, number: u64, list: Vec<EndpointInfo>) {
    rig.feed(Event::EndpointsRead { revisions: Revisions::at(Revision { era, number }), list });
}

/// A change of the list.
fn change_list(rig: &mut Rig, era: u64, number: u64, listed: Vec<EndpointInfo>, gone: &[&str]) {
    let gone = gone.iter().map(|name| (*name).to_owned()).collect();
    rig.feed(Event::EndpointsChanged {
        revisions: Revisions::at(Revision { era, number }),
        updated: listed,
        removed: gone,
    });
}

fn read_routes(rig: &mut Rig, era: u64, number: u64, version: u64) {
    let read = Revisions::at(Revision { era, number });
    rig.feed(Event::RoutesRead { revisions: read, table: Some(Arc::new(table(version))) });
}

/// The endpoints that get work.
fn used(rig: &Rig) -> BTreeSet<String> {
    rig.state.directory.in_service("desk").map(|(_, e)| e.info.instance.clone()).collect()
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn leaving(name: &str, port: u16) -> EndpointInfo {
    EndpointInfo { draining: true, ..plain(name, port) }
}

#[test]
fn a_list_of_a_later_era_is_taken_in_whatever_its_number() {
    let mut rig = Rig::new();
    read_list(&mut rig, 1, 900, vec![plain("a", 1)]);
    read_list(&mut rig, 2, 40, vec![plain("a", 1), plain("b", 2)]);
    assert_eq!(used(&rig), names(&["a", "b"]));
    assert_eq!(rig.state.directory.revision, Revision { era: 2, number: 40 });
}

/// Symptom: routes were denied that callers had been served on.
/// Sequence: the store comes back from a copy that holds version 3, while 5 is in force; the operator's is
/// written again.
/// Cause: the version of the copy would have replaced a newer one.
#[test]
fn the_copy_s_older_configuration_is_not_put_in_force() {
    let mut rig = Rig::new();
    read_routes(&mut rig, 1, 900, 5);
    read_routes(&mut rig, 2, 40, 3);
    assert_eq!(rig.state.routes.version, 5);
    read_routes(&mut rig, 2, 41, 5);
    read_routes(&mut rig, 2, 42, 6);
    assert_eq!(rig.state.routes.version, 6);
}

/// Symptom: a daemon went on watching for changes after a revision that the store would give out again.
/// Sequence: a peer reads the new era first, and its copy brings nothing new.
/// Cause: only changes were told.
#[test]
fn a_new_era_is_news_also_without_a_change() {
    let mut rig = numbered(1);
    let from = SocketAddr::from(([10, 0, 0, 2], 7000));
    rig.feed(Event::gossip(from, LoadGossip { sequence: 1, ..LoadGossip::default() }));
    read_routes(&mut rig, 1, 900, 5);
    read_list(&mut rig, 1, 900, vec![plain("a", 1)]);
    read_routes(&mut rig, 2, 40, 5);
    read_list(&mut rig, 2, 40, vec![plain("a", 1)]);
    rig.beats();
    rig.pass_ms(1000);
    let (_, beat) = rig.beats().pop().expect("a datagram");
    let told = Some(StoreRevision { era: 2, number: 40 });
    assert_eq!((beat.routes_news, beat.endpoints_news), (told, told));
}

#[test]
fn a_word_of_a_later_era_makes_a_daemon_look_and_is_disproved_once() {
    let mut rig = numbered(1);
    read_routes(&mut rig, 1, 900, 5);
    let from = SocketAddr::from(([10, 0, 0, 2], 7000));
    let word = Some(StoreRevision { era: 7, number: 3 });
    let beat = |sequence| LoadGossip { sequence, routes_news: word, ..LoadGossip::default() };
    rig.feed(Event::gossip(from, beat(1)));
    assert!(rig.state.is_stale(Topic::Routes));
    let revision = Revision { era: 7, number: 3 };
    rig.feed(Event::RevisionNotFound { topic: Topic::Routes, revision });
    rig.feed(Event::gossip(from, beat(2)));
    assert!(!rig.state.is_stale(Topic::Routes));
}

#[test]
fn endpoints_that_the_copy_lacks_have_time_to_write_again() {
    let mut rig = Rig::new();
    read_list(&mut rig, 1, 900, vec![plain("a", 1), plain("b", 2), plain("c", 3)]);
    read_list(&mut rig, 2, 40, vec![plain("a", 1)]);
    assert_eq!(used(&rig), names(&["a", "b", "c"]));
    rig.pass_ms(1000);
    change_list(&mut rig, 2, 41, vec![plain("b", 2)], &[]);
    rig.pass_ms(2000);
    assert_eq!(used(&rig), names(&["a", "b"]));
}

/// Symptom: an endpoint that had left got calls.
/// Sequence: its entry went; the store comes back from a copy that still has it.
/// Cause: an entry that is read counted, however old.
#[test]
fn an_endpoint_that_has_left_does_not_come_back_with_the_copy() {
    let mut rig = Rig::new();
    read_list(&mut rig, 1, 900, vec![plain("a", 1), plain("b", 2)]);
    change_list(&mut rig, 1, 901, vec![], &["b"]);
    read_list(&mut rig, 2, 40, vec![plain("a", 1), plain("b", 2)]);
    assert_eq!(used(&rig), names(&["a"]));
    rig.pass_ms(3000);
    // Its history is gone as well, so everything is read once more.
    read_list(&mut rig, 2, 44, vec![plain("a", 1), plain("b", 2)]);
    assert_eq!(used(&rig), names(&["a"]));
    change_list(&mut rig, 2, 45, vec![], &["b"]);
    rig.pass_ms(20_000);
    assert_eq!(used(&rig), names(&["a"]));
}

#[test]
fn an_endpoint_that_writes_again_is_used_again() {
    let mut rig = Rig::new();
    read_list(&mut rig, 1, 900, vec![plain("a", 1), plain("b", 2)]);
    change_list(&mut rig, 1, 901, vec![], &["b"]);
    read_list(&mut rig, 2, 40, vec![plain("a", 1), plain("b", 2)]);
    change_list(&mut rig, 2, 41, vec![plain("b", 2)], &[]);
    assert_eq!(used(&rig), names(&["a", "b"]));
}

/// An entry that nobody renews lapses after some seconds: one that stands for longer is of an endpoint
/// that lives, and whose heartbeats change nothing that a watch would show.
#[test]
fn an_entry_of_the_copy_that_stands_is_believed_in_the_end() {
    let mut rig = Rig::new();
    read_list(&mut rig, 1, 900, vec![plain("a", 1), plain("b", 2)]);
    change_list(&mut rig, 1, 901, vec![], &["b"]);
    read_list(&mut rig, 2, 40, vec![plain("a", 1), plain("b", 2)]);
    rig.pass_ms(11_000);
    change_list(&mut rig, 2, 40, vec![], &[]);
    assert_eq!(used(&rig), names(&["a", "b"]));
}

/// Symptom: an endpoint that drained got calls again.
/// Sequence: it says that it leaves; the store comes back from a copy in which it doesn't.
/// Cause: what it had said later was forgotten with the store.
#[test]
fn an_endpoint_that_drains_goes_on_draining() {
    let mut rig = Rig::new();
    read_list(&mut rig, 1, 900, vec![plain("a", 1), plain("b", 2)]);
    change_list(&mut rig, 1, 901, vec![leaving("b", 2)], &[]);
    read_list(&mut rig, 2, 40, vec![plain("a", 1), plain("b", 2)]);
    rig.pass_ms(500);
    read_list(&mut rig, 2, 40, vec![plain("a", 1), plain("b", 2)]);
    assert_eq!(used(&rig), names(&["a"]));
}

#[test]
fn an_older_start_in_the_copy_does_not_replace_the_present_one() {
    let mut rig = Rig::new();
    let start = |born, port| EndpointInfo { start_time: Some(born), ..plain("a", port) };
    read_list(&mut rig, 1, 900, vec![start(1000, 1)]);
    change_list(&mut rig, 1, 901, vec![start(2000, 2)], &[]);
    read_list(&mut rig, 2, 40, vec![start(1000, 1)]);
    let key = rig.state.directory.find("a").expect("known");
    let born = rig.state.directory.get(key).map(|endpoint| endpoint.info.start_time);
    assert_eq!(born, Some(Some(2000)));
}

/// Symptom: a daemon that had just started denied a route for good.
/// Sequence: it reads the copy's configuration, while its peers have a newer one in force.
/// Cause: the store has nothing newer, so what it was asked about its changes said nothing.
#[test]
fn a_peer_s_newer_version_says_that_the_own_one_is_outdated() {
    let mut rig = numbered(1);
    read_routes(&mut rig, 2, 40, 3);
    read_list(&mut rig, 2, 40, vec![plain("a", 1)]);
    assert!(!rig.state.is_configuration_outdated());
    let from = SocketAddr::from(([10, 0, 0, 2], 7000));
    let beat = |sequence, version| LoadGossip { sequence, version, ..LoadGossip::default() };
    rig.feed(Event::gossip(from, beat(1, 5)));
    rig.feed(Event::gossip(from, beat(2, 0)));
    assert!(rig.state.is_configuration_outdated());
    read_routes(&mut rig, 2, 41, 5);
    assert!(!rig.state.is_configuration_outdated());
}

/// Symptom: an endpoint refused the orders of the daemon that has the right to give them.
/// Sequence: the store comes back from a copy; that daemon starts again and orders.
/// Cause: fencing numbers followed the store's counter, which had gone back.
#[test]
fn fencing_numbers_rise_over_eras_and_restarts() {
    let order = |revision: Revision| {
        let mut rig = Rig::new();
        rig.feed(Event::OrderRight(OrderRight::AtOnce));
        let readers = (0..9).map(|n| model(&format!("p{n}"), 10 + n, Stage::Prefill));
        rig.feed(Event::EndpointsRead {
            revisions: Revisions::at(revision),
            list: readers.collect(),
        });
        rig.pass_ms(1500);
        let fence = |effect: &Effect| match effect {
            Effect::Order { fence, .. } => Some(*fence),
            _ => None,
        };
        rig.effects.iter().find_map(fence).expect("an order")
    };
    let before = order(Revision { era: 1, number: 900_000 });
    let after = order(Revision { era: 2, number: 40 });
    assert!(order(Revision { era: 0, number: 5 }) < before);
    assert!(before < after);
    assert!(after < 1 << 53, "no longer exact as a floating-point number");
}

/// Nothing is doubted for longer than entries take to lapse.
#[test]
fn lists_are_taken_at_their_word_again_after_a_while() {
    let mut rig = Rig::new();
    read_list(&mut rig, 1, 900, vec![plain("a", 1), plain("b", 2)]);
    read_list(&mut rig, 2, 40, vec![plain("a", 1), plain("b", 2)]);
    rig.pass(Duration::from_secs(11));
    change_list(&mut rig, 2, 41, vec![], &["b"]);
    read_list(&mut rig, 2, 42, vec![plain("a", 1), plain("b", 2)]);
    assert_eq!(used(&rig), names(&["a", "b"]));
}

/// What happens around a store that may come back from copies of itself.
#[derive(Clone, Copy, Debug)]
enum Happens {
    /// The operator writes the next version.
    Write,
    /// The daemon reads what the store holds, or has an answer that left so many states ago.
    Read(usize),
    /// The store comes back as it was so many states ago.
    Return(usize),
    /// The operator writes the newest version again.
    Rewrite,
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        3 => Just(Happens::Write),
        4 => (0..4_usize).prop_map(Happens::Read),
        2 => (1..8_usize).prop_map(Happens::Return),
        1 => Just(Happens::Rewrite),
    ]
}

/// The same cases on each run.
fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_version_in_force_is_never_left_for_an_older_one(
        play in proptest::collection::vec(happens(), 1..60),
    ) {
        let mut rig = Rig::new();
        let before = rig.state.routes_revision;
        // Era, revision and version of the store, state by state.
        let mut states = vec![(1, before.number + 10, 2)];
        let mut newest = 2;
        let ago = |states: &[(u64, u64, u64)], n: usize| states[states.len().saturating_sub(n + 1)];
        for event in play.into_iter().chain([Happens::Rewrite, Happens::Read(0)]) {
            let (era, number, version) = ago(&states, 0);
            match event {
                Happens::Write => {
                    newest += 1;
                    states.push((era, number + 1, newest));
                }
                Happens::Rewrite => states.push((era, number + 1, newest)),
                Happens::Return(n) => {
                    let (_, number, version) = ago(&states, n);
                    states.push((era + 1, number, version));
                }
                Happens::Read(n) => {
                    let (era, number, read) = ago(&states, n);
                    let in_force = rig.state.routes.version;
                    read_routes(&mut rig, era, number, read);
                    prop_assert!(in_force <= rig.state.routes.version);
                    prop_assert!(n != 0 || version <= rig.state.routes.version);
                }
            }
        }
        prop_assert_eq!(rig.state.routes.version, newest);
    }
}
