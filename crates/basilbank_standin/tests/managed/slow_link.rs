//! What the store says is long, and the link to it slow.

use basilbank_standin::managed::{
    EndpointSpec, NarrowWay, StoreFault, World, WorldSpec, configuration,
};
use test_case::test_case;

use crate::support::{eventually, plain};

/// A link of ten megabits a second, in bytes.
const SLOW: usize = 1_250_000;

/// Routes of a configuration that takes about a megabyte in an answer of the store.
const MANY: usize = 4200;

/// A world whose second daemon reaches the store over a slow link, and hears the first one.
fn slow_world(rate: usize) -> (World, NarrowWay) {
    let mut world = World::start(&WorldSpec::default()).expect("a world");
    let way = world.store.narrow_way(rate).expect("another way to the store");
    world.add_behind(&way).expect("a daemon behind it");
    (world, way)
}

/// Writes a configuration with so many routes more, of which the last is `last`.
fn grow(world: &World, version: u64, routes: usize, last: &str) {
    let more: Vec<_> = (1..routes).map(|n| format!("/more-{n}/")).collect();
    let more: Vec<_> = more.iter().map(String::as_str).chain([last]).collect();
    world.configure(version, &more);
}

fn serves(world: &World, daemon: usize, path: &str) -> bool {
    plain(world.callers(daemon), &format!("GET {path}"), b"").status == 200
}

/// The plain endpoint that a daemon uses.
fn used(world: &World, daemon: usize) -> usize {
    let answer = plain(world.callers(daemon), "GET /sheet/1", b"").text();
    world.plain.iter().position(|e| answer.ends_with(e.instance())).expect("one of them answers")
}

/// Calls after which a daemon knows its endpoints, and stays with one that answers soon.
const SETTLING: usize = 20;

/// Lists the endpoint that a daemon uses as draining, and returns which it is.
fn drain_used(world: &World, daemon: usize) -> usize {
    for _ in 0..SETTLING {
        used(world, daemon);
    }
    let leaving = used(world, daemon);
    world.drain_plain(leaving);
    leaving
}

/// Symptom: a route that had been confirmed was denied, and prompts were sent to an endpoint that had
/// said that it leaves, for as long as nobody restarted the daemon.
/// Sequence: the configuration grows to a megabyte; a daemon with a fast link reads it, and tells its
/// peers; one with a slow link needs a second for it; its watch is dropped 0.3 s after the peer's word,
/// and begun anew at the answer's first byte.
/// Cause: the limit was on the whole time of a read, not on the time without anything coming, so that
/// a read which was making progress was thrown away again and again.
/// Evidence: the slow link was full for 0.3 s of each 1.1 s, the daemon's `store_watch_stale` lines
/// named the same revision each time, and only daemons with slow links wrote them.
#[test]
fn a_large_configuration_arrives_over_a_slow_link() {
    let (world, _way) = slow_world(SLOW);
    grow(&world, 2, MANY, "/new/");
    let leaving = drain_used(&world, 1);
    eventually("the daemon with a fast link serves it", || serves(&world, 0, "/new/1"));
    eventually("the one with a slow link does, too", || serves(&world, 1, "/new/1"));
    let other = || used(&world, 1) != leaving;
    eventually("the endpoint that leaves is left alone", || (0..10).all(|_| other()));
}

/// Symptom: a daemon that had been cut off from the store answered by the configuration of that time
/// until the store had forgotten it, seven seconds and more after the cut had healed.
/// Sequence: operators write many versions meanwhile; the watch that goes on from the last revision
/// brings each of them whole; over a slow link that takes longer than the daemon waits, and longer the
/// next time; or it is more than the daemon takes at once.
/// Cause: a read that grows with what was missed, under limits that don't.
/// Evidence: half a megabyte a second reached the daemon while it stood still; once the history was
/// gone it read everything, a tenth of that, and was up to date.
#[test_case(60, 100; "each small, together longer than the limit")]
#[test_case(60, 800; "together more than an answer may have")]
fn a_daemon_that_missed_many_versions_catches_up(versions: u64, routes: usize) {
    let (world, way) = slow_world(SLOW);
    way.set_fault(StoreFault::Silent);
    for version in 2..2 + versions {
        grow(&world, version, routes, &format!("/new-{version}/"));
    }
    let last = format!("/new-{}/1", versions + 1);
    eventually("the daemon that reaches the store serves the last", || serves(&world, 0, &last));
    way.set_fault(StoreFault::None);
    eventually("the one that was cut off does, too", || serves(&world, 1, &last));
}

/// Symptom: a daemon never got ready.
/// Sequence: it starts; the configuration takes six seconds over its link.
/// Cause: the limit of a read grew to less than that, and each began at the first byte.
#[test]
fn a_daemon_starts_over_a_slow_link() {
    let mut world = World::start(&WorldSpec::default()).expect("a world");
    let way = world.store.narrow_way(SLOW / 8).expect("another way to the store");
    grow(&world, 2, MANY, "/new/");
    world.add_behind(&way).expect("it gets ready");
    assert!(serves(&world, 1, "/new/1"));
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    eventually("it goes on reading", || {
        plain(world.callers(1), "GET /sheet/1", b"").text().ends_with("plain-9")
    });
}

/// Symptom: an endpoint that leaves got work for as long as a new configuration was under way.
/// Sequence: a configuration that takes six seconds over the daemon's link is being read; an endpoint
/// says that it leaves; the daemon hears of it when the configuration is there.
/// Cause: one watch for both, so that what is small and urgent waited behind what is long.
#[test]
fn an_endpoint_that_leaves_is_known_while_a_configuration_is_under_way() {
    let (world, _way) = slow_world(SLOW / 8);
    grow(&world, 2, MANY, "/new/");
    eventually("the daemon with a fast link serves it", || serves(&world, 0, "/new/1"));
    let leaving = drain_used(&world, 1);
    let other = || used(&world, 1) != leaving;
    eventually("the endpoint that leaves is left alone", || (0..10).all(|_| other()));
    assert!(!serves(&world, 1, "/new/1"), "the configuration was there before");
    eventually("the configuration comes, too", || serves(&world, 1, "/new/1"));
}

/// Symptom: callers were told for good what had not been true for seconds.
/// Sequence: a newer configuration has another route and allows longer bodies; a daemon that can't read
/// it hears from a peer that there is one.
/// Cause: 404 and 413 were answered by the configuration that the daemon had.
#[test]
fn a_daemon_that_can_not_read_the_newest_configuration_denies_nothing_for_good() {
    let (world, way) = slow_world(SLOW);
    let body = vec![b'x'; 100_000];
    assert_eq!(plain(world.callers(1), "POST /stock/1", &body).status, 413);
    way.set_fault(StoreFault::Silent);
    let mut newer = configuration(2, &["/new/"]);
    newer["limits"]["maxBodyBytes"] = body.len().into();
    world.store.put("op/config", &newer);
    eventually("the daemon that reaches the store serves it", || serves(&world, 0, "/new/1"));
    eventually("the other one asks callers to come back", || {
        let answer = plain(world.callers(1), "GET /new/1", b"");
        answer.status == 503 && answer.header("retry-after").is_some()
    });
    assert_eq!(plain(world.callers(1), "POST /stock/1", &body).status, 503);
    way.set_fault(StoreFault::None);
    eventually("it reads it", || serves(&world, 1, "/new/1"));
    assert_eq!(plain(world.callers(1), "POST /stock/1", &body).status, 200);
}
