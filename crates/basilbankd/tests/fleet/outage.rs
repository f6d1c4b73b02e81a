//! The platform is down, or comes back with old data.

use std::{net::SocketAddr, thread, time::Duration};

use basilbank_standin::{Client, Platform};

use crate::{common::wait_until, load::Load, rig::Fleet};

/// Callers at once.
const CALLERS: usize = 3;
/// Answers that show that callers are served.
const SOME: usize = 6;

/// Symptom: a withdrawn entry is served again. Sequence: the platform goes down; all daemons but one
/// are replaced, one after the other; the platform comes back from an old copy. Cause: the newest
/// catalogue lives in the daemons' memory only, and a new process knows no better than what it reads.
#[test]
fn a_change_outlives_replaced_daemons_and_an_old_platform() {
    let mut fleet = Fleet::start(4);
    let old = fleet.site.catalogue();
    let mut new = old.clone();
    new["services"][0]["prefix"] = "/new-desk/".into();
    let newest = fleet.site.platform.put("catalogue/site", &new.to_string());
    fleet.wait_revision(&[0, 1, 2, 3], newest);
    let address = fleet.site.platform.address();
    fleet.site.platform.die();
    let load = Load::default();
    *load.callers.lock().unwrap() = fleet.daemons.iter().map(|d| d.callers).collect();
    thread::scope(|scope| {
        let _running = load.start(scope, CALLERS);
        for daemon in [0, 1, 2] {
            load.wait_served(SOME);
            fleet.kill(daemon);
            fleet.replace(daemon);
            load.callers.lock().unwrap()[daemon] = fleet.daemons[daemon].callers;
            wait_ready_by(&fleet, daemon, newest);
        }
        load.wait_served(SOME);
        fleet.site.platform = old_platform(address, &old.to_string());
        fleet.list();
        wait_until("the old copy was read", || 0 < fleet.site.platform.counters().calls);
        fleet.kill(3);
        fleet.replace(3);
        load.callers.lock().unwrap()[3] = fleet.daemons[3].callers;
        wait_ready_by(&fleet, 3, newest);
        load.wait_served(SOME);
    });
    for daemon in 0..4 {
        assert_eq!(fleet.revision(daemon), newest);
        let client = Client::new(fleet.daemons[daemon].callers);
        assert_eq!(client.send("GET", "/new-desk/stock/1", "").unwrap().status(), 200);
        assert_eq!(client.send("GET", "/desk/stock/1", "").unwrap().status(), 404);
    }
}

/// Waits until a daemon serves. It must not serve by an older catalogue on the way.
fn wait_ready_by(fleet: &Fleet, daemon: usize, newest: u64) {
    wait_until("a replaced daemon is ready", || {
        let Some(status) = fleet.admin(daemon, "/admin/status") else { return false };
        let is_ready = status["ready"] == true;
        assert!(!is_ready || status["catalogue"] == newest, "{status}");
        is_ready
    });
    let client = fleet.client(daemon);
    wait_until("and takes calls by the newest catalogue", || {
        let answer = client.send("GET", "/new-desk/stock/1", "").unwrap();
        assert_ne!(answer.status(), 404);
        answer.status() == 200
    });
}

/// A platform at the former one's address, with the first revision only.
fn old_platform(address: SocketAddr, catalogue: &str) -> Platform {
    let mut platform = None;
    wait_until("the address is free", || {
        platform = Platform::start(address, Duration::ZERO).ok();
        platform.is_some()
    });
    let platform = platform.unwrap();
    platform.put("catalogue/site", catalogue);
    platform
}
