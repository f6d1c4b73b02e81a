//! The settings file changes while a daemon runs.

use std::{
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{EndpointSpec, ManagedStore, World, WorldSpec, configuration};

use crate::support::{eventually, plain, world};

/// Within this a daemon reads its settings again without a signal.
const PERIOD: Duration = Duration::from_secs(2);

/// Symptom: a daemon went on reading a store that had moved.
/// Sequence: the settings file names another store; there is no signal.
/// Cause: the watch at the old address, the kept connection and the counter that the watch goes on
/// from, each of which outlived the change.
#[test]
fn another_store_is_read_without_a_signal() {
    let world = world();
    let other = ManagedStore::start().expect("a store");
    // Its counter is further than the first one's.
    (2..9).for_each(|version| other.put("op/config", &configuration(version, &[])));
    other.put("op/config", &configuration(9, &["/moved/"]));
    for endpoint in &world.plain {
        other.put(&format!("servers/{}", endpoint.instance()), &endpoint.entry("desk", "ready"));
    }
    let (from, to) = (world.store.address().to_string(), other.address().to_string());
    world.change_settings(0, &from, &to).expect("the file is written");
    eventually("the other store's route is served", || {
        plain(world.callers(0), "GET /moved/1", b"").status == 200
    });
    assert_eq!(plain(world.callers(0), "GET /sheet/1", b"").status, 200);
}

/// Symptom: a daemon ended, or forgot its store, when a half-written settings file was read.
/// Sequence: the file is no TOML for longer than the period, calls come, and it is mended.
/// Cause: settings that are applied before they are checked.
#[test]
fn wrong_settings_change_nothing_until_they_are_mended() {
    let world = world();
    world.change_settings(0, "[platform]", "[platform").expect("the file is written");
    let end = Instant::now() + PERIOD * 2;
    while Instant::now() < end {
        assert_eq!(plain(world.callers(0), "GET /sheet/1", b"").status, 200);
        thread::sleep(Duration::from_millis(50));
    }
    world.configure(2, &["/new/"]);
    eventually("the store is still read", || {
        plain(world.callers(0), "GET /new/1", b"").status == 200
    });
    world.change_settings(0, "[platform", "[platform]").expect("the file is written");
    assert_eq!(plain(world.callers(0), "GET /new/1", b"").status, 200);
}

/// Guards against two daemons that order one endpoint, while the settings file of one of them is behind.
#[test]
fn seeds_of_one_daemon_that_stay_behind_make_no_second_holder() {
    let spec = WorldSpec { daemons: 3, prefill: 4, decode: 2, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    let orders = |world: &World| {
        world.model.iter().map(|e| (e.instance().to_owned(), e.served().orders)).collect::<Vec<_>>()
    };
    let count = |world: &World| orders(world).iter().map(|(_, orders)| orders.len()).sum::<usize>();
    eventually("two are ordered at first", || count(&world) == 2);
    let seeds = |n: usize| format!("seeds = [\"{}\"]", world.control(n));
    for daemon in [1, 2] {
        world.change_settings(daemon, &seeds(0), &seeds(1)).expect("the file is written");
    }
    thread::sleep(PERIOD * 2);
    for n in 0..2 {
        let spec = EndpointSpec::model(&format!("empty-{n}"), "prefill");
        world.add_model(spec).expect("an endpoint");
    }
    eventually("those that are added are ordered", || count(&world) == 4);
    // A second holder would give its orders within this.
    thread::sleep(PERIOD * 3);
    let holders = |orders: &[serde_json::Value]| -> Vec<_> {
        orders.iter().map(|order| order["holder"].to_string()).collect()
    };
    let all: Vec<_> = orders(&world).iter().flat_map(|(_, orders)| holders(orders)).collect();
    assert!(all.iter().all(|holder| *holder == all[0]), "{:?}", orders(&world));
}
