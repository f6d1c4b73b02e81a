//! What a large fleet asks the store, all daemons together.

use std::time::Duration;

use crate::{fleet::Fleet, plan::Plan};

const DAEMONS: usize = 40;
const WATCHERS: usize = 6;
const SECONDS: u64 = 60;

/// Questions of all daemons while nothing fails and versions are confirmed so far apart.
fn questions(versions: Duration) -> u32 {
    let mut fleet = Fleet::new(Plan {
        daemons: DAEMONS,
        watchers: WATCHERS,
        silent: false,
        turns: Vec::new(),
        versions,
        list: None,
        end: Duration::from_secs(SECONDS),
        seed: 7,
    });
    fleet.play().expect("what is confirmed is in force in time");
    fleet.questions
}

/// What the waits allow: watches of 0.8 s and of three times that at least for those that watch, a look of
/// each topic in 9.6 s at least for the others, and three questions a topic until all have met.
fn quiet() -> u32 {
    let seconds = SECONDS as f64;
    let watches = WATCHERS as f64 * (seconds / 0.8 + seconds / 2.4);
    let looks = (DAEMONS - WATCHERS) as f64 * 2.0 * (seconds / 9.6 + 3.0);
    (watches + looks) as u32
}

#[test]
fn a_fleet_without_changes_asks_for_its_watchers_and_a_look_now_and_then() {
    let asked = questions(Duration::from_secs(1000));
    assert!(asked <= quiet(), "{asked} questions of {} allowed", quiet());
}

/// Each change costs each daemon one question.
#[test]
fn a_change_costs_each_daemon_one_question() {
    let asked = questions(Duration::from_secs(5));
    let changes = DAEMONS as u32 * (SECONDS as u32 / 5);
    let allowed = quiet() + changes;
    assert!(asked <= allowed, "{asked} questions of {allowed} allowed");
}
