//! The platform's store fails in all its ways.

use std::time::Duration;

use basilbank_standin::managed::{EndpointSpec, StoreFault};
use test_case::test_case;

use crate::support::{draft, eventually, plain, world};

#[test]
fn a_new_configuration_is_in_force_soon_and_an_older_one_is_not() {
    let world = world();
    assert_eq!(plain(world.callers(0), "GET /new/1", b"").status, 404);
    world.configure(5, &["/new/"]);
    eventually("it is served", || plain(world.callers(0), "GET /new/1", b"").status == 200);
    world.configure(3, &[]);
    world.configure(6, &["/new/", "/more/"]);
    eventually("the newest is served", || {
        plain(world.callers(0), "GET /more/1", b"").status == 200
    });
    assert_eq!(plain(world.callers(0), "GET /new/1", b"").status, 200);
}

/// Symptom: callers were refused, or a new endpoint never seen, after trouble with the store.
/// Sequence: the store fails while calls come, changes are made, and it returns.
/// Cause: a read without a limit, or a view that was dropped.
#[test_case(StoreFault::Busy)]
#[test_case(StoreFault::TooMany)]
#[test_case(StoreFault::Closing)]
#[test_case(StoreFault::Silent)]
#[test_case(StoreFault::Lost)]
#[test_case(StoreFault::Slow(Duration::from_millis(400)); "answers in time, but late")]
#[test_case(StoreFault::Slow(Duration::from_millis(2500)); "answers after the daemon's limit")]
fn calls_are_served_while_the_store_fails_and_changes_seen_after(fault: StoreFault) {
    let mut world = world();
    world.store.set_fault(fault);
    for _ in 0..5 {
        assert_eq!(plain(world.callers(0), "POST /stock/1", b"x").status, 200);
    }
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    world.store.set_fault(StoreFault::None);
    eventually("the new one serves", || {
        plain(world.callers(0), "GET /sheet/1", b"").text().ends_with("plain-9")
    });
}

#[test]
fn a_store_that_forgot_its_history_is_read_anew() {
    let mut world = world();
    world.store.compact();
    world.add_plain(EndpointSpec::plain("plain-9")).expect("an endpoint");
    world.store.compact();
    eventually("the new one serves", || {
        plain(world.callers(0), "GET /sheet/1", b"").text().ends_with("plain-9")
    });
    assert_eq!(draft(world.callers(0), "/draft/1", 3).status, 200);
}

#[test]
fn a_quiet_store_is_called_seldom() {
    let world = world();
    let before = world.store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let calls = world.store.calls() - before;
    assert!(calls <= 8, "{calls} calls in three seconds of a daemon that is alone");
}

/// Symptom: a daemon sent calls to an endpoint long after the store had said that it leaves.
/// Sequence: the store's answers lag; an endpoint is drained; its entry is taken off.
/// Cause: an answer that comes late must still be taken, and none of an older state after it.
#[test]
fn what_a_slow_store_says_binds_when_it_comes() {
    let mut world = world();
    let callers = world.callers(0);
    let answer = || plain(callers, "GET /sheet/1", b"").text();
    let leaving = usize::from(answer().ends_with("plain-1"));
    let other = ["plain-1", "plain-0"][leaving];
    world.store.set_fault(StoreFault::Slow(Duration::from_millis(300)));
    world.drain_plain(leaving);
    // An endpoint that was listed later is seen, so that the daemon has read both.
    world.add_plain(EndpointSpec::plain("marker")).expect("an endpoint");
    eventually("the marker serves", || answer().ends_with("marker"));
    world.drain_plain(2);
    eventually("the other one serves", || (0..10).all(|_| answer().ends_with(other)));
    for _ in 0..50 {
        let text = answer();
        assert!(text.ends_with(other) || text.ends_with("marker"), "{text}");
    }
}

/// Symptom: 298 daemons that were restarted at once took 8.5 s until they served, 100 took one.
/// Sequence: each reads all entries; the store's link is full, so that pages take longer than a
/// call's limit. A store that is slow by itself does the same to a single daemon.
/// Cause: the limit never grew, so that the same pages were asked for again and again, and the whole
/// reading had to fit into less than a second.
#[test_case(900; "longer than the first limit")]
#[test_case(2000; "longer than the second one")]
fn a_daemon_starts_while_the_store_is_slow(delay_ms: u64) {
    let mut world = world();
    world.store.set_fault(StoreFault::Slow(Duration::from_millis(delay_ms)));
    world.add_another().expect("it gets ready");
    assert_eq!(plain(world.callers(1), "POST /stock/1", b"x").status, 200);
}
