//! The platform's store comes back from a copy of itself that is some seconds old.

use std::{net::SocketAddr, thread, time::Duration};

use basilbank_standin::managed::{EndpointSpec, StoreFault};

use crate::support::{draft, eventually, plain, world};

/// Age of the copy, and how long the changes lie apart that it has and that it lacks.
const AGE: Duration = Duration::from_millis(500);

/// Symptom: changes that the store had confirmed were never seen again.
/// Sequence: the store comes back from a copy; its revisions go back, and are given out again to other
/// changes.
/// Cause: a daemon asks for changes after a revision that it has read, and the new ones lie before it.
#[test]
fn changes_after_the_return_are_seen_though_their_revisions_were_given_out_before() {
    let mut world = world();
    thread::sleep(AGE * 2);
    world.add_plain(EndpointSpec::plain("plain-8")).expect("an endpoint");
    eventually("it serves", || serves(world.callers(0), "plain-8"));
    let lost = world.store.restore(AGE);
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    eventually("the new endpoint serves", || serves(world.callers(0), "plain-9"));
    world.store.rewrite(lost);
    world.configure(6, &["/new/"]);
    eventually("the newest is served", || plain(world.callers(0), "GET /new/1", b"").status == 200);
    assert_eq!(draft(world.callers(0), "/draft/1", 3).status, 200);
}

fn serves(callers: SocketAddr, instance: &str) -> bool {
    plain(callers, "GET /sheet/1", b"").text().ends_with(instance)
}

/// Symptom: callers got 404 on a route that had been served.
/// Sequence: the store comes back from a copy that holds the configuration before it, until the operator's
/// is written again.
/// Cause: what the store holds would be taken for the operator's newest word.
#[test]
fn the_configuration_in_force_stays_though_the_copy_holds_an_older_one() {
    let world = world();
    thread::sleep(AGE * 2);
    world.configure(5, &["/new/"]);
    eventually("it is served", || plain(world.callers(0), "GET /new/1", b"").status == 200);
    let lost = world.store.restore(AGE);
    for _ in 0..40 {
        assert_eq!(plain(world.callers(0), "GET /new/1", b"").status, 200);
        thread::sleep(Duration::from_millis(25));
    }
    world.store.rewrite(lost);
    assert_eq!(plain(world.callers(0), "GET /new/1", b"").status, 200);
}

/// Symptom: a daemon that had started again denied a route that its peer served.
/// Sequence: it knows nothing and reads the copy.
/// Cause: the store itself is behind, so that what was read of it shows nothing newer.
#[test]
fn a_daemon_that_starts_before_the_copy_denies_nothing_that_a_peer_serves() {
    let mut world = world();
    thread::sleep(AGE * 2);
    world.configure(5, &["/new/"]);
    eventually("it is served", || plain(world.callers(0), "GET /new/1", b"").status == 200);
    let lost = world.store.restore(AGE);
    world.add_another().expect("it gets ready");
    let status = || plain(world.callers(1), "GET /new/1", b"").status;
    eventually("it has heard its peer", || status() == 503);
    assert_eq!(plain(world.callers(1), "POST /stock/1", b"x").status, 200);
    world.store.rewrite(lost);
    eventually("it is served", || status() == 200);
}

/// Symptom: a daemon that had seen one return from a copy held fast to the second one's numbers.
/// Sequence: the store is away, comes back from a copy, and does both once more before everything is
/// written again.
/// Cause: a return was recognized, but the one after it was taken for a late answer.
#[test]
fn two_returns_in_a_row_are_followed() {
    let mut world = world();
    thread::sleep(AGE * 2);
    world.add_plain(EndpointSpec::plain("plain-8")).expect("an endpoint");
    eventually("it serves", || serves(world.callers(0), "plain-8"));
    let mut lost = Vec::new();
    for _ in 0..2 {
        world.store.set_fault(StoreFault::Closing);
        thread::sleep(AGE / 2);
        lost = world.store.restore(AGE);
        world.store.set_fault(StoreFault::None);
        assert_eq!(plain(world.callers(0), "POST /stock/1", b"x").status, 200);
    }
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    eventually("the new endpoint serves", || serves(world.callers(0), "plain-9"));
    world.store.rewrite(lost);
    world.configure(6, &["/new/"]);
    eventually("the newest is served", || plain(world.callers(0), "GET /new/1", b"").status == 200);
}
