//! How the readers of the two topics go together.

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

/// Symptom: an endpoint whose entry had gone got work for seconds.
/// Sequence: the list has not changed for two seconds; a watch goes silent; a peer has seen that the
/// entry went; the daemon asks anew, and reads it, too.
/// Cause: a watch that was dropped counted as an outage of the store, after which entries that went are
/// kept for a while.
#[test]
fn record_removed_during_a_silent_watch_is_dropped_at_once() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        // The watch doesn't end by itself meanwhile.
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

/// Symptom: a daemon started later than it had to.
/// Sequence: the store needs two seconds for the configuration; the list's reads fail now and then.
/// Cause: the configuration's read was given up with it, and began again with short limits.
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

/// Symptom: a configuration was in force 25 s late.
/// Sequence: all connections to the store go silent; the list's watch ends first, and is asked anew.
/// Cause: the configuration's watch waits three times as long, on a connection that is as dead.
#[test]
fn lost_list_watch_triggers_a_configuration_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        // The list's watch ends within 2.8 s, the configuration's not before 3.1.
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
        // It hears a peer, so that watches are long; the peer's connections are dead, too.
        rig.send_gossip(Topic::Routes, 10, ms(3090)).await;
        assert_eq!(rig.router.read(|state| state.routes.version), 2, "{:?}", rig.queries());
    });
}

/// Symptom: an outage of the store cost twice the calls.
/// Sequence: the store refuses everything for ten seconds.
/// Cause: both readers asked whether it is back.
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
        assert!(12 <= all - calls, "the list's reader goes on: {all} and {calls}");
        assert!(calls <= 6, "{calls} calls for the configuration in ten seconds");
    });
}

/// News of one topic is none of the other: a watch for it would wait in vain, and be dropped.
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
