//! The settings file changes while a daemon runs.

use std::{
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{ManagedStore, configuration};

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
