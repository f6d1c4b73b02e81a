//! Interaction of the readers of the two topics.

use std::{cell::Cell, rc::Rc, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_gateway::{ReadError, Reading};
use tokio::time::sleep;

use crate::rig::{Rig, configuration, delayed, immediately, in_virtual_time, list, no_answer};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn refused() -> ReadError {
    ReadError::Failed("status 503".to_owned())
}

/// An endpoint received work for seconds after its record was removed. The list had not changed for
/// two seconds, a watch got no answer, a peer had seen that the record was removed, and the daemon
/// read the change as well. A watch that was dropped counted as an outage of the store, after which
/// removed records are kept for a while.
#[test]
fn record_removed_during_a_silent_watch_is_dropped_at_once() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        // The watch doesn't end by itself in the meantime.
        rig.router.update_tuning(|tuning| {
            (tuning.solo_watch_wait, tuning.max_watch_wait) = (ms(20_000), ms(20_000));
        });
        let silent = Cell::new(true);
        rig.start_reader(Topic::Endpoints, move |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a", "b"]))),
            Scope::Changes { .. } if silent.replace(false) => no_answer(),
            Scope::Changes { after: 10, .. } => {
                let gone = vec!["a".to_owned()];
                immediately(Ok(Reading {
                    revisions: Revisions::at(20),
                    removed: gone,
                    ..Reading::default()
                }))
            }
            Scope::Changes { .. } => no_answer(),
        });
        rig.send_gossip(Topic::Endpoints, 10, ms(1600)).await;
        rig.send_gossip(Topic::Endpoints, 20, ms(800)).await;
        assert_eq!(rig.listed(), ["b"], "{:?}", rig.queries());
    });
}

/// A daemon started later than necessary. The store needed two seconds for the configuration, and
/// reads of the list failed now and then: the configuration's read was abandoned with each of them,
/// and started again with short timeouts.
#[test]
fn first_configuration_read_does_not_depend_on_the_list() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let fails = Cell::new(false);
        rig.start_reader(Topic::Endpoints, move |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            Scope::Changes { .. } if fails.replace(!fails.get()) => immediately(Err(refused())),
            Scope::Changes { .. } => delayed(ms(200), Ok(list(10, &["a"]))),
        });
        rig.start_reader(Topic::Routes, |query, _| match query.scope {
            Scope::Page { .. } => delayed(ms(2000), Ok(configuration(10, 1))),
            Scope::Changes { .. } => no_answer(),
        });
        sleep(ms(5500)).await;
        assert_eq!(rig.router.read(|state| state.routes.version), 1, "{:?}", rig.queries());
    });
}

/// A configuration was in force 25 s late. All connections to the store stopped answering; the
/// list's watch ended first, and the list was read again. The configuration's watch, on a
/// connection that was dead as well, waits three times as long.
#[test]
fn lost_list_watch_triggers_a_configuration_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        // The list's watch ends within 2.8 s, the configuration's not before 3.1 s.
        rig.router.update_tuning(|tuning| {
            (tuning.solo_watch_wait, tuning.max_watch_wait) = (ms(2000), ms(2000));
        });
        let (list_dead, routes_dead) = (Cell::new(true), Cell::new(true));
        rig.start_reader(Topic::Endpoints, move |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            Scope::Changes { .. } if list_dead.replace(false) => no_answer(),
            Scope::Changes { after: 10, .. } => immediately(Ok(list(20, &["a"]))),
            Scope::Changes { .. } => no_answer(),
        });
        rig.start_reader(Topic::Routes, move |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(configuration(10, 1))),
            Scope::Changes { .. } if routes_dead.replace(false) => no_answer(),
            Scope::Changes { after: 10, .. } => immediately(Ok(configuration(20, 2))),
            Scope::Changes { .. } => no_answer(),
        });
        // Gossip of a peer makes watches long; the peer's connections to the store are dead, too.
        rig.send_gossip(Topic::Routes, 10, ms(3090)).await;
        assert_eq!(rig.router.read(|state| state.routes.version), 2, "{:?}", rig.queries());
    });
}

/// An outage of the store cost twice the calls: while the store refused everything for ten seconds,
/// both readers polled it.
#[test]
fn only_one_reader_polls_during_an_outage() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Endpoints, |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            Scope::Changes { .. } => delayed(ms(5), Err(refused())),
        });
        let calls = Rc::new(Cell::new(0));
        let counted = Rc::clone(&calls);
        rig.start_reader(Topic::Routes, move |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(configuration(10, 1))),
            Scope::Changes { .. } => {
                counted.set(counted.get() + 1);
                delayed(ms(5), Err(refused()))
            }
        });
        sleep(ms(10_000)).await;
        let (all, calls) = (rig.watches(), calls.get());
        assert!(12 <= all - calls, "the list's reader keeps polling: {all} and {calls}");
        assert!(calls <= 6, "{calls} calls for the configuration in ten seconds");
    });
}

/// A change of one topic does not concern the other: a new watch would wait in vain, and be
/// dropped.
#[test]
fn configuration_change_does_not_affect_the_list_watch() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        rig.start_reader(Topic::Endpoints, |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(10, &["a"]))),
            Scope::Changes { .. } => no_answer(),
        });
        sleep(ms(1)).await;
        rig.send_gossip(Topic::Routes, 20, ms(1000)).await;
        assert_eq!(rig.watches(), 1);
    });
}

/// The answer if nothing has changed.
fn unchanged() -> Reading {
    Reading {
        revisions: Revisions { store: 1.into(), ..Revisions::default() },
        ..Reading::default()
    }
}

/// Daemons of a large fleet relied on a peer that couldn't read the configuration, because it could
/// read the list of endpoints.
#[test]
fn daemon_that_cannot_read_the_configuration_does_not_watch_for_others() {
    in_virtual_time(|| async {
        let rig = Rig::watcher();
        let is_lost = Rc::new(Cell::new(false));
        let lost = Rc::clone(&is_lost);
        rig.start_reader(Topic::Routes, move |query, _| match query.scope {
            _ if lost.get() => no_answer(),
            Scope::Page { .. } => immediately(Ok(configuration(1, 1))),
            Scope::Changes { wait, .. } => delayed(wait, Ok(unchanged())),
        });
        rig.start_reader(Topic::Endpoints, |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(1, &["a"]))),
            Scope::Changes { wait, .. } => delayed(wait, Ok(unchanged())),
        });
        let watches = || rig.router.read(State::is_active_watcher);
        rig.pass_with_peers(ms(500)).await;
        assert!(watches());
        is_lost.set(true);
        // The watch that is open is still answered. The next one isn't, and may be the longest, of 6 s.
        rig.pass_with_peers(ms(14_000)).await;
        assert!(!watches(), "{:?}", rig.queries());
        is_lost.set(false);
        rig.pass_with_peers(ms(2000)).await;
        assert!(watches());
    });
}
