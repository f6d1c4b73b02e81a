//! Entries of other writers stand beside those of endpoints, or in their place.

use std::{thread, time::Instant};

use basilbank_standin::managed::{
    BadEntry, Caches, DESK, EndpointSpec, ManagedEndpoint, StoreFault, World, WorldSpec, key,
};
use test_case::test_case;

use crate::support::{draft, eventually, plain, stream_of, world};

/// A world with one plain endpoint: calls have nowhere else to go, so that they show whether it is
/// used. A daemon that may choose stays with one that answers soon.
fn one_endpoint(daemons: usize) -> World {
    let spec = WorldSpec { daemons, plain: 1, prefill: 0, decode: 0, ..WorldSpec::default() };
    World::start(&spec).expect("a world")
}

/// An endpoint that would run calls, if the bad entry under its id were taken for one.
fn decoy(instance: &str) -> ManagedEndpoint {
    ManagedEndpoint::start(EndpointSpec::plain(instance), &Caches::default()).expect("an endpoint")
}

/// Writes an entry of each bad kind, and returns the endpoints that they would name: keys come before
/// those of good entries, and after them.
fn write_all(world: &World) -> Vec<ManagedEndpoint> {
    let write = |(number, bad): (usize, BadEntry)| {
        let side = if number % 2 == 0 { "another" } else { "the-last" };
        let decoy = decoy(&format!("{side}-{number}"));
        bad.put(&world.store, &key(decoy.instance()), decoy.entry(DESK, "ready"));
        decoy
    };
    let kinds = BadEntry::KINDS.concat().into_iter().chain(BadEntry::ABSURD);
    kinds.enumerate().map(write).collect()
}

fn got_no_work(decoys: &[ManagedEndpoint]) {
    for decoy in decoys {
        assert_eq!(decoy.served().ran.len(), 0, "{} got work", decoy.instance());
    }
}

fn serves(world: &World, daemon: usize) -> bool {
    plain(world.callers(daemon), "GET /sheet/1", b"").status == 200
}

/// A daemon takes an endpoint's leaving in, and its return: it goes on reading, and uses no other.
fn reads_on(world: &World, daemon: usize, what: &str) {
    world.drain_plain(0);
    eventually(&format!("the endpoint leaves after {what}"), || !serves(world, daemon));
    world.list_plain(0);
    eventually(&format!("the endpoint returns after {what}"), || serves(world, daemon));
}

/// Calls of the store while a test goes on.
struct StoreCalls {
    before: u64,
    since: Instant,
}

/// Calls a second of a daemon that is alone and waits for changes, at most, over both its watches.
const QUIET_CALLS: f64 = 3.0;

impl StoreCalls {
    fn begin(world: &World) -> StoreCalls {
        StoreCalls { before: world.store.calls(), since: Instant::now() }
    }

    /// They were one for each change, and those of a quiet store besides.
    fn check(&self, world: &World, changes: usize) {
        let calls = world.store.calls() - self.before;
        let quiet = 8.0 + QUIET_CALLS * self.since.elapsed().as_secs_f64();
        assert!(calls as f64 <= changes as f64 + quiet, "{calls} calls for {changes} changes");
    }
}

/// Symptom: a new endpoint got no work, and one that left got all of it, for as long as the store held
/// an entry of another writer; or the store was called without a pause.
/// Sequence: while a daemon watches, somebody writes an entry that isn't an endpoint's.
/// Cause: one item that can't be read made the whole answer unreadable, or was taken for an endpoint.
#[test_case(&BadEntry::UNREADABLE; "that can not be read")]
#[test_case(&BadEntry::BYTELESS; "that encodes no bytes")]
#[test_case(&BadEntry::MISSING; "with a field missing")]
#[test_case(&BadEntry::MISTYPED; "with a field of another type")]
#[test_case(&BadEntry::UNNAMED; "with another state or service")]
#[test_case(&BadEntry::ABSURD; "with a value that no endpoint writes")]
fn an_entry_of_another_writer_names_no_endpoint(bad: &[BadEntry]) {
    let (world, decoy) = (one_endpoint(1), decoy("another"));
    let calls = StoreCalls::begin(&world);
    for bad in bad {
        bad.put(&world.store, &key(decoy.instance()), decoy.entry(DESK, "ready"));
        assert!(serves(&world, 0), "{bad:?}");
        reads_on(&world, 0, &format!("{bad:?}"));
        assert_eq!(decoy.served().ran.len(), 0, "{bad:?} got work");
    }
    calls.check(&world, 3 * bad.len());
}

/// Symptom: an endpoint was taken off although it lived, and its service had none.
/// Sequence: an entry of another writer, which names no endpoint to use, has a living one's address.
/// Cause: whoever had the address before was taken for gone.
#[test_case(&BadEntry::UNREADABLE; "that can not be read")]
#[test_case(&BadEntry::BYTELESS; "that encodes no bytes")]
#[test_case(&BadEntry::MISSING; "with a field missing")]
#[test_case(&BadEntry::MISTYPED; "with a field of another type")]
#[test_case(&BadEntry::UNNAMED; "with another state or service")]
#[test_case(&BadEntry::ABSURD; "with a value that no endpoint writes")]
fn an_entry_of_another_writer_does_not_take_an_address(bad: &[BadEntry]) {
    let mut world = one_endpoint(1);
    for bad in bad {
        let good = world.plain[0].entry(DESK, "ready");
        bad.put(&world.store, &key("another"), good);
        first_stays_in_use(&mut world, &format!("{bad:?}"));
    }
}

/// A new endpoint is seen, which shows that all that was written before has been read. It leaves, and
/// the first one, which has written nothing since, must do alone.
fn first_stays_in_use(world: &mut World, what: &str) {
    let marker = world.plain.len();
    world.add_plain(EndpointSpec::plain(&format!("marker-{marker}"))).expect("an endpoint");
    let world = &*world;
    let ran = |n: usize| world.plain[n].served().ran.len();
    eventually(&format!("the marker serves after {what}"), || serves(world, 0) && 0 < ran(marker));
    world.drain_plain(marker);
    eventually(&format!("the first one serves alone after {what}"), || {
        let before = ran(0);
        (0..10).all(|_| serves(world, 0)) && ran(0) == before + 10
    });
}

/// Symptom: a service had no endpoint left, and its calls were refused until the endpoint wrote again.
/// Sequence: an entry of a good shape, for a service that no route names, has a living endpoint's
/// address.
/// Cause: whoever had the address before was taken for gone.
#[test]
fn an_entry_of_an_unknown_service_does_not_take_an_address() {
    let mut world = one_endpoint(1);
    let foreign = world.plain[0].entry("harbour", "ready");
    world.store.put(&key("another"), &foreign);
    first_stays_in_use(&mut world, "a foreign entry");
}

/// Symptom: a daemon never got ready, or knew no endpoint.
/// Sequence: it starts while the store holds entries of other writers among the others, in all pages.
/// Cause: one item that can't be read made the page unreadable.
#[test]
fn a_daemon_starts_beside_entries_of_other_writers() {
    let mut world = one_endpoint(1);
    let decoys = write_all(&world);
    world.add_another().expect("it gets ready");
    let calls = StoreCalls::begin(&world);
    for daemon in [1, 0] {
        assert!((0..5).all(|_| serves(&world, daemon)));
        reads_on(&world, daemon, "the start");
    }
    got_no_work(&decoys);
    // Two daemons, and each hears of the other's news.
    calls.check(&world, 4 * 4);
}

/// Symptom: a new endpoint was not seen after the store had been away.
/// Sequence: while the store is away, another writer's entries come, and a new endpoint's.
/// Cause: one item that can't be read made the whole answer unreadable.
#[test_case(StoreFault::Busy)]
#[test_case(StoreFault::Silent)]
#[test_case(StoreFault::Closing)]
fn entries_of_other_writers_come_while_the_store_is_away(fault: StoreFault) {
    let mut world = one_endpoint(1);
    world.store.set_fault(fault);
    let decoys = write_all(&world);
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    world.drain_plain(0);
    assert!((0..5).all(|_| serves(&world, 0)), "what it knew holds");
    world.store.set_fault(StoreFault::None);
    let new = || plain(world.callers(0), "GET /sheet/1", b"").text().ends_with("plain-9");
    eventually("the new one serves alone", || (0..10).all(|_| new()));
    got_no_work(&decoys);
}

/// Symptom: an endpoint went on getting calls after its entry had become another writer's.
/// Sequence: an entry that can't be read replaces a good one under its key, and a good one follows.
/// Cause: what can't be read was skipped, and the entry before it stayed.
#[test_case(&BadEntry::UNREADABLE; "that can not be read")]
#[test_case(&BadEntry::BYTELESS; "that encodes no bytes")]
#[test_case(&BadEntry::MISSING; "with a field missing")]
#[test_case(&BadEntry::MISTYPED; "with a field of another type")]
#[test_case(&BadEntry::UNNAMED; "with another state or service")]
#[test_case(&BadEntry::ABSURD; "with a value that no endpoint writes")]
fn an_endpoint_whose_entry_is_replaced_is_left_alone_until_it_writes_again(bad: &[BadEntry]) {
    let world = one_endpoint(1);
    let name = key(world.plain[0].instance());
    for bad in bad {
        bad.put(&world.store, &name, world.plain[0].entry(DESK, "ready"));
        eventually(&format!("{bad:?} is left alone"), || !serves(&world, 0));
        let ran = world.plain[0].served().ran.len();
        assert!((0..10).all(|_| !serves(&world, 0)), "{bad:?}");
        assert_eq!(world.plain[0].served().ran.len(), ran, "{bad:?} got work");
        world.list_plain(0);
        eventually(&format!("the endpoint returns after {bad:?}"), || serves(&world, 0));
    }
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

/// How many entries of other writers are many.
const MANY: usize = 5000;

/// Guards against a list that isn't followed any more, or endpoints that are lost, among many entries
/// of other writers.
#[test]
fn endpoints_are_followed_among_many_entries_of_other_writers() {
    let mut world = one_endpoint(1);
    let rows: Vec<_> = BadEntry::KINDS.concat().into_iter().chain(BadEntry::ABSURD).collect();
    for (number, bad) in (0..MANY).zip(rows.iter().filter(|bad| is_short(bad)).cycle()) {
        let side = if number % 2 == 0 { "another" } else { "the-last" };
        let good = world.plain[0].entry("harbour", "ready");
        bad.put(&world.store, &key(&format!("{side}-{number}")), good);
    }
    reads_on(&world, 0, "many entries");
    world.add_another().expect("it gets ready");
    reads_on(&world, 1, "its start");
    assert!((0..20).all(|_| serves(&world, 0) && serves(&world, 1)));
}

/// Whether thousands of it fit into a store.
fn is_short(bad: &BadEntry) -> bool {
    !matches!(bad, BadEntry::Nested(_))
        && !matches!(bad, BadEntry::Bytes(bytes) if 100 < bytes.len())
}
