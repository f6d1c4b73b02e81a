//! Plans that once broke the bound, as they were found.

use std::time::Duration;

use test_case::test_case;

use crate::{
    fleet::Fleet,
    plan::{Plan, Turn},
    store::{SLOW, Way},
};

fn turn(at: u64, daemon: Option<usize>, way: Way) -> Turn {
    Turn { at: Duration::from_millis(at), daemon, way }
}

fn plan(daemons: usize, versions: u64, list: Option<u64>, seed: u64, turns: &[Turn]) -> Plan {
    let last = turns.last().map_or(Duration::ZERO, |turn| turn.at);
    Plan {
        daemons,
        watchers: 0,
        silent: false,
        turns: turns.to_vec(),
        versions: Duration::from_millis(versions),
        list: list.map(Duration::from_millis),
        end: last + Duration::from_secs(8),
        seed,
    }
}

/// Cause: the configuration's watch went out while the list was lost, and stood after it was found.
#[test_case(plan(3, 370, None, 3000, &[
    turn(3000, None, Way::Refused),
    turn(3150, None, Way::Silent),
    turn(4050, None, Way::Sound),
]) ; "a watch that went out meanwhile")]
/// Cause: each connection that couldn't be made led to a pause, long after it had been tried.
#[test_case(plan(3, 370, None, 3000, &[
    turn(3000, Some(0), Way::Cut),
    turn(8300, Some(0), Way::Silent),
    turn(9200, Some(0), Way::Sound),
]) ; "connections that fail late")]
/// Cause: one reader noticed that connections had died, and the other wasn't told.
#[test_case(plan(3, 1310, Some(790), 16_919_876_428_536_756_786, &[
    turn(2619, None, Way::Slow(SLOW)),
    turn(3502, None, Way::Silent),
    turn(5391, None, Way::Renewed),
    turn(6167, None, Way::Renewed),
]) ; "connections that died")]
/// Cause: a word that had led to a question was not heeded again when that brought an older answer.
#[test_case(plan(2, 2664, Some(1478), 71_518_405_606_649_100, &[
    turn(6011, None, Way::Slow(SLOW)),
    turn(7791, Some(1), Way::Silent),
    turn(9223, None, Way::Silent),
    turn(11_706, None, Way::Slow(2094)),
    turn(12_600, Some(0), Way::Sound),
    turn(17_047, None, Way::Compacted),
    turn(17_057, None, Way::Slow(SLOW)),
]) ; "a slow answer that is older than the word")]
/// Cause: after an outage connections died that were kept and idle, and the list's had just been renewed.
#[test_case(plan(2, 100, None, 0, &[
    turn(3848, None, Way::Refused),
    turn(6628, None, Way::Sound),
    turn(7184, None, Way::Renewed),
    turn(7194, None, Way::Sound),
]) ; "a kept connection that died after an outage, first")]
#[test_case(plan(2, 100, None, 0, &[
    turn(3081, None, Way::Refused),
    turn(3657, Some(2), Way::Sound),
    turn(6305, None, Way::Sound),
    turn(6417, None, Way::Renewed),
    turn(6717, Some(0), Way::Sound),
]) ; "a kept connection that died after an outage, second")]
/// Within three seconds of the end of a slow store: what left it slowly is on its way.
#[test_case(plan(2, 100, None, 0, &[
    turn(2910, Some(1), Way::Refused),
    turn(3918, None, Way::Refused),
    turn(3928, Some(1), Way::Silent),
    turn(5726, None, Way::Slow(1709)),
    turn(7357, Some(1), Way::Silent),
    turn(8426, Some(0), Way::Sound),
]) ; "answers that are still slow on their way")]
/// Cause: a store that had been slow once counted as slow for ever; and a connection on which nothing
/// came while another one brought that the history was gone wasn't taken for dead.
#[test_case(plan(2, 810, Some(303), 5_898_748_083_085_375_208, &[
    turn(2326, None, Way::Slow(1079)),
    turn(3877, None, Way::Silent),
    turn(6385, None, Way::Sound),
    turn(11_931, None, Way::Silent),
    turn(11_941, None, Way::Compacted),
]) ; "a store that was slow once")]
/// Cause: a pause between two readings of everything that was due however long ago the first one was.
#[test_case(plan(2, 3082, None, 576_518_535_976_901_416, &[
    turn(5714, Some(1), Way::Refused),
    turn(5865, None, Way::Sound),
    turn(8593, None, Way::Refused),
    turn(11_255, None, Way::Silent),
    turn(14_977, None, Way::Sound),
    turn(15_426, None, Way::Compacted),
    turn(16_549, Some(0), Way::Refused),
    turn(18_511, Some(1), Way::Compacted),
    turn(20_680, None, Way::Slow(SLOW)),
]) ; "a reading of everything long ago")]
/// Cause: the other topic's reader had seen the store's new era, and an answer to a question of the era
/// before, which came first, was taken for one of the new era's history.
#[test_case(plan(1, 2286, None, 11, &[
    turn(4869, None, Way::Slow(250)),
    turn(10_379, None, Way::Restored(1736)),
    turn(11_998, None, Way::Sound),
    turn(14_527, None, Way::Restored(1562)),
]) ; "a question of the era before")]
/// Cause: a reader that had to begin anew, since the other one had seen the new era, was woken only when
/// its watch would have ended.
#[test_case(plan(3, 3549, Some(2306), 5_173_756_940_650_580_132, &[
    turn(3549, None, Way::Restored(1244)),
]) ; "a reader that was not woken")]
fn what_is_confirmed_is_in_force_in_time_in_plans_that_once_failed(plan: Plan) {
    let played = Fleet::new(plan).play();
    assert!(played.is_ok(), "{}", played.unwrap_err());
}

/// The checker tells: without the era, changes that the store gave known revisions to are missed.
#[test]
fn a_return_from_a_copy_is_late_without_the_era() {
    let turns = [turn(6100, None, Way::Restored(3500))];
    let told = plan(1, 1000, None, 3, &turns);
    let silent = Plan { silent: true, ..told.clone() };
    assert!(Fleet::new(told).play().is_ok());
    assert!(Fleet::new(silent).play().is_err());
}
