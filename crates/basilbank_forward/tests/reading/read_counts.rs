//! Limits on the number of reads that a large fleet sends to the store.

use std::time::Duration;

use crate::{fleet::Fleet, scenario::Scenario};

const DAEMONS: usize = 40;
const WATCHERS: usize = 6;
const RUN_SECONDS: u64 = 60;

/// Returns the number of reads of all daemons in a run without failures, in which the configuration
/// changes at this interval.
fn count_reads(routes_interval: Duration) -> u32 {
    let mut fleet = Fleet::new(Scenario {
        daemons: DAEMONS,
        watchers: WATCHERS,
        omits_era: false,
        transitions: Vec::new(),
        routes_interval,
        endpoints_interval: None,
        end: Duration::from_secs(RUN_SECONDS),
        seed: 7,
    });
    fleet.run().expect("confirmed changes are in force in time");
    fleet.read_count
}

/// Returns the maximum number of reads without changes. A watcher's watch of the list waits at least
/// 0.8 s, and its watch of the configuration three times as long. Each other daemon polls each topic
/// at most every 9.6 s, and reads each topic three times until all daemons are in contact.
fn max_idle_reads() -> u32 {
    let seconds = RUN_SECONDS as f64;
    let watches = WATCHERS as f64 * (seconds / 0.8 + seconds / 2.4);
    let polls = (DAEMONS - WATCHERS) as f64 * 2.0 * (seconds / 9.6 + 3.0);
    (watches + polls) as u32
}

#[test]
fn an_idle_fleet_reads_only_for_watches_and_polls() {
    let reads = count_reads(Duration::from_secs(1000));
    assert!(reads <= max_idle_reads(), "{reads} reads, {} allowed", max_idle_reads());
}

#[test]
fn a_change_costs_each_daemon_at_most_one_read() {
    let reads = count_reads(Duration::from_secs(5));
    let changes = DAEMONS as u32 * (RUN_SECONDS as u32 / 5);
    let allowed = max_idle_reads() + changes;
    assert!(reads <= allowed, "{reads} reads, {allowed} allowed");
}
