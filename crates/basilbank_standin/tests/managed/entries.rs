//! Entries of other writers stand beside those of endpoints, or in their place.

use std::thread;

use crate::support::{draft, eventually, plain, stream_of, world};
use basilbank_standin::managed::{BadEntry, DESK, EndpointSpec, StoreFault, World, WorldSpec, key};

/// A world with one plain endpoint: calls have nowhere else to go, so that they show whether it is
/// used. A daemon that may choose stays with one that answers soon.
fn one_endpoint(daemons: usize) -> World {
    let spec = WorldSpec { daemons, plain: 1, prefill: 0, decode: 0 };
    World::start(&spec).expect("a world")
}

fn serves(world: &World, daemon: usize) -> bool {
    plain(world.callers(daemon), "GET /sheet/1", b"").status == 200
}

/// Symptom: a daemon used an endpoint whose entry had become another writer's.
/// Sequence: that happens while the store is away, or has forgotten its history; everything is read anew.
/// Cause: an item that can't be read counted as no news of its endpoint.
#[test]
fn an_entry_that_was_replaced_while_the_store_was_away_names_no_endpoint() {
    let mut world = one_endpoint(1);
    world.store.set_fault(StoreFault::Silent);
    let bad = BadEntry::Without("service");
    bad.put(&world.store, &key("plain-0"), world.plain[0].entry(DESK, "ready"));
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    world.store.compact();
    world.store.set_fault(StoreFault::None);
    let new = || plain(world.callers(0), "GET /sheet/1", b"").text().ends_with("plain-9");
    eventually("the other one serves alone", || (0..10).all(|_| new()));
}

/// Symptom: callers lost streams that their endpoints were sending.
/// Sequence: an entry that can't be read replaces that of an endpoint at work.
/// Cause: what has begun was ended with the entry.
#[test]
fn a_stream_goes_on_while_its_endpoints_entry_is_replaced() {
    let world = world();
    let callers = world.callers(0);
    let streaming = thread::spawn(move || draft(callers, "/once/1", 600));
    let active = || world.model.iter().any(|endpoint| endpoint.served().active != 0);
    eventually("it streams", active);
    for endpoint in &world.model[1..] {
        world.store.put_raw(&key(endpoint.instance()), b"\xff");
    }
    // They leave after the entries were replaced, so that the daemon has read both once it refuses.
    (0..2).for_each(|n| world.drain_plain(n));
    eventually("plain endpoints leave", || !serves(&world, 0));
    assert!(active(), "the stream was over before the entries were read");
    let answer = streaming.join().expect("the stream's thread");
    assert_eq!((answer.status, answer.whole, answer.text()), (200, true, stream_of(600)));
}
